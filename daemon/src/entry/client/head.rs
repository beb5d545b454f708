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

/// Looks for the first complete head in bytes that are received little by little. Each byte is looked at once.
#[derive(Debug, Default)]
pub(super) struct Scanner {
    /// Number of bytes that were looked at before; they begin with a status line, if there are any.
    seen: usize,
}

impl Scanner {
    /// Looks at the received bytes, from whose front those were removed that are no part of a head. The head has one status
    /// line, which is the last one in front of its end.
    pub(super) fn scan(&mut self, bytes: &[u8]) -> Scan {
        let first = if self.seen == 0 { find_status_line(bytes) } else { Some(0) };
        let Some(first) = first else {
            return Scan::Partial { stray: bytes.len() - split_status_line(bytes) };
        };
        // What begins in the last bytes that were looked at is found as well.
        let from = first.max(self.seen.saturating_sub(STATUS_LINE.len() - 1));
        if let Some(end) = find_end(&bytes[from..]) {
            self.seen = 0;
            let end = from + end;
            return Scan::Complete { stray: last_status_line(bytes, from, end).unwrap_or(first), end };
        }
        let stray = last_status_line(bytes, from, bytes.len()).unwrap_or(first);
        self.seen = bytes.len() - stray;
        Scan::Partial { stray }
    }
}

/// Position of the first status line.
fn find_status_line(bytes: &[u8]) -> Option<usize> {
    memmem::find_iter(bytes, PROTOCOL).find(|at| begins_status_line(&bytes[*at..]))
}

/// Position of the last status line between `from` and `end`.
fn last_status_line(bytes: &[u8], from: usize, end: usize) -> Option<usize> {
    let starts = memmem::rfind_iter(&bytes[from..end], PROTOCOL).map(|at| from + at);
    starts.into_iter().find(|at| begins_status_line(&bytes[*at..end]))
}

/// Number of bytes at the end that may be the beginning of a status line.
fn split_status_line(bytes: &[u8]) -> usize {
    let longest = bytes.len().min(STATUS_LINE.len() - 1);
    let is_start = |count: &usize| bytes[bytes.len() - count..].iter().zip(STATUS_LINE).all(matches_byte);
    (1..=longest).rev().find(is_start).unwrap_or_default()
}
