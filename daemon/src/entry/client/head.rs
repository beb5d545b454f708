//! Finds the head of an answer in the bytes that were received on a connection.
//!
//! Bytes that follow an answer belong to no request, but can look like the beginning of a head: the status line of the
//! next answer is then part of one of its lines.

use memchr::memmem;

/// A status line up to its code; a zero stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/0.0 000";
/// Where the status begins in it.
const FIRST_DIGIT: usize = 9;
/// The beginning of each status line.
const PROTOCOL: &[u8] = b"HTTP/";

/// What was found in the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scan {
    /// The head is not complete. The first `stray` bytes are no part of it.
    Partial {
        /// Number of bytes in front of it.
        stray: usize,
    },
    /// The first complete head.
    Complete {
        /// Number of bytes in front of it.
        stray: usize,
        /// Its end.
        end: usize,
    },
}

/// Looks for the first complete head. It has one status line, which is the last one in front of its end.
pub(super) fn scan(bytes: &[u8]) -> Scan {
    let Some(first) = find_status_line(bytes) else {
        return Scan::Partial { stray: bytes.len() - split_status_line(bytes) };
    };
    match find_end(&bytes[first..]) {
        Some(end) => Scan::Complete { stray: last_status_line(bytes, first, first + end), end: first + end },
        None => Scan::Partial { stray: last_status_line(bytes, first, bytes.len()) },
    }
}

/// Position of the first status line.
fn find_status_line(bytes: &[u8]) -> Option<usize> {
    memmem::find_iter(bytes, PROTOCOL).find(|at| begins_status_line(&bytes[*at..]))
}

/// Position of the last status line between `first`, where one begins, and `end`.
fn last_status_line(bytes: &[u8], first: usize, end: usize) -> usize {
    let starts = memmem::find_iter(&bytes[first..end], PROTOCOL).map(|at| first + at);
    starts.filter(|at| begins_status_line(&bytes[*at..end])).last().unwrap_or(first)
}

fn begins_status_line(bytes: &[u8]) -> bool {
    bytes.get(..STATUS_LINE.len()).is_some_and(|start| start.iter().zip(STATUS_LINE).all(matches_byte))
}

/// Number of bytes at the end that may be the beginning of a status line.
fn split_status_line(bytes: &[u8]) -> usize {
    let longest = bytes.len().min(STATUS_LINE.len() - 1);
    let is_start = |count: &usize| bytes[bytes.len() - count..].iter().zip(STATUS_LINE).all(matches_byte);
    (1..=longest).rev().find(is_start).unwrap_or_default()
}

fn matches_byte((byte, expected): (&u8, &u8)) -> bool {
    byte == expected || (*expected == b'0' && byte.is_ascii_digit())
}

/// Whether each line of a head is what the protocol allows (RFC 9112, sections 4 and 5). The HTTP library accepts some that
/// are not.
pub(super) fn is_valid(head: &[u8]) -> bool {
    let Some(head) = head.strip_suffix(b"\r\n").or_else(|| head.strip_suffix(b"\n")) else {
        return false;
    };
    let mut lines = head.split_inclusive(|byte| *byte == b'\n').map(without_end);
    lines.next().is_some_and(is_status_line) && lines.all(is_field)
}

fn without_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Whether a line is a status line: the protocol's version, a status from 100 to 599 and perhaps a reason.
fn is_status_line(line: &[u8]) -> bool {
    let Some((start, reason)) = line.split_at_checked(STATUS_LINE.len()) else {
        return false;
    };
    let has_status = begins_status_line(start) && matches!(start[FIRST_DIGIT], b'1'..=b'5');
    has_status && matches!(reason, [] | [b' ', ..]) && is_text(reason)
}

/// Whether a line is a field: a name, a colon directly behind it, and a value.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = memchr::memchr(b':', line) else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    !name.is_empty() && name.iter().copied().all(is_token_byte) && is_text(value)
}

const fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(byte, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~')
}

/// Whether bytes hold no control byte but tabs.
fn is_text(bytes: &[u8]) -> bool {
    !bytes.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t')
}

/// Position behind the first empty line. The HTTP library accepts lines that end without a carriage return.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let with_return = memmem::find(bytes, b"\n\r\n").map(|at| at + 3);
    let without = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    with_return.into_iter().chain(without).min()
}
