//! Finds the head of an answer in the bytes that were received on a connection.
//!
//! Bytes that follow an answer belong to no request, but can look like the beginning of a head: the status line of the
//! next answer is then part of one of its lines.

use memchr::memmem;

use crate::head::{STATUS_LINE, begins_status_line, find_end, matches_byte};

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

/// Number of bytes at the end that may be the beginning of a status line.
fn split_status_line(bytes: &[u8]) -> usize {
    let longest = bytes.len().min(STATUS_LINE.len() - 1);
    let is_start = |count: &usize| bytes[bytes.len() - count..].iter().zip(STATUS_LINE).all(matches_byte);
    (1..=longest).rev().find(is_start).unwrap_or_default()
}
