//! What the head of an answer is by HTTP/1.1 (RFC 9112, sections 4 and 5). The HTTP library accepts heads that are none.

use memchr::memmem;

/// A status line up to its code; a zero stands for any digit.
pub(crate) const STATUS_LINE: &[u8] = b"HTTP/0.0 000";
/// Where the status begins in it.
const FIRST_DIGIT: usize = 9;

/// Whether each line of a head is what the protocol allows.
pub(crate) fn is_valid(head: &[u8]) -> bool {
    let Some(head) = head.strip_suffix(b"\r\n").or_else(|| head.strip_suffix(b"\n")) else {
        return false;
    };
    let mut lines = head.split_inclusive(|byte| *byte == b'\n').map(without_end);
    lines.next().is_some_and(is_status_line) && lines.all(is_field)
}

/// Whether a valid head is that of an informational (1xx) answer, behind which another head follows.
pub(crate) fn is_informational(head: &[u8]) -> bool {
    head.get(FIRST_DIGIT) == Some(&b'1')
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

/// Whether bytes begin with a status line.
pub(crate) fn begins_status_line(bytes: &[u8]) -> bool {
    bytes.get(..STATUS_LINE.len()).is_some_and(|start| start.iter().zip(STATUS_LINE).all(matches_byte))
}

/// Whether a byte is one that the status line has at its place.
pub(crate) fn matches_byte((byte, expected): (&u8, &u8)) -> bool {
    byte == expected || (*expected == b'0' && byte.is_ascii_digit())
}

/// Position behind the first empty line. The HTTP library accepts lines that end without a carriage return.
pub(crate) fn find_end(bytes: &[u8]) -> Option<usize> {
    let with_return = memmem::find(bytes, b"\n\r\n").map(|at| at + 3);
    let without = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    with_return.into_iter().chain(without).min()
}
