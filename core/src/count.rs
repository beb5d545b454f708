//! Counters of ended requests by result code, of retries by reason, and of other events.

use crate::code::Code;

/// Why a request was retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(usize)]
pub enum Reason {
    /// The connection was not established.
    Connect,
    /// The back end's queue was full.
    Busy,
    /// The back end was shutting down.
    Leaving,
    /// The back end did not hold the model.
    NotLoaded,
    /// The back end could not meet the deadline.
    Late,
    /// The connection broke.
    Broken,
    /// The back end failed with an error.
    Error,
    /// The answer was for another attempt.
    Foreign,
    /// No data was received within the time limit.
    Silent,
    /// The engine no longer knew the attempt to resume.
    Forgotten,
    /// An event of the stream was missing.
    Gap,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 11] = [
        Self::Connect,
        Self::Busy,
        Self::Leaving,
        Self::NotLoaded,
        Self::Late,
        Self::Broken,
        Self::Error,
        Self::Foreign,
        Self::Silent,
        Self::Forgotten,
        Self::Gap,
    ];

    /// The value of the `reason` label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::NotLoaded => "not_loaded",
            Self::Late => "late",
            Self::Broken => "broken",
            Self::Error => "error",
            Self::Foreign => "foreign",
            Self::Silent => "silent",
            Self::Forgotten => "forgotten",
            Self::Gap => "gap",
        }
    }
}

/// Current numbers of open requests, attempts, claims and timers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Open requests.
    pub requests: usize,
    /// Requests that wait for a back end.
    pub waiting: usize,
    /// Open attempts at back ends.
    pub attempts: usize,
    /// Claims on idempotency keys that are held, to be written or in flight.
    pub claims: usize,
    /// Active timers.
    pub timers: usize,
}

/// Counts since the process started.
#[derive(Clone, Debug)]
pub struct Counters {
    ends: Vec<u64>,
    retries: [u64; Reason::ALL.len()],
    /// Dropped events that refer to an attempt or operation no longer known.
    pub stale: u64,
    /// Answers dropped because they carried the id of another attempt.
    pub foreign: u64,
    /// Streamed events dropped because they had been delivered already.
    pub duplicate_events: u64,
    /// Outcomes that were not written to their claims. The keys count as used until they expire.
    pub claims_unwritten: u64,
    /// Orders sent to engines.
    pub orders: u64,
    /// Write calls to the platform's table.
    pub table_writes: u64,
    /// Read calls to the platform's table.
    pub table_reads: u64,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            ends: vec![0; Code::ALL.len()],
            retries: [0; Reason::ALL.len()],
            stale: 0,
            foreign: 0,
            duplicate_events: 0,
            claims_unwritten: 0,
            orders: 0,
            table_writes: 0,
            table_reads: 0,
        }
    }
}

impl Counters {
    /// Number of requests that ended with `code`.
    #[must_use]
    pub fn ended(&self, code: Code) -> u64 {
        position(code).map_or(0, |at| self.ends[at])
    }

    /// Number of retries for `reason`.
    #[must_use]
    pub fn retried(&self, reason: Reason) -> u64 {
        self.retries[reason as usize]
    }

    pub(crate) fn end(&mut self, code: Code) {
        if let Some(at) = position(code) {
            self.ends[at] += 1;
        }
    }

    pub(crate) fn retry(&mut self, reason: Reason) {
        self.retries[reason as usize] += 1;
    }
}

fn position(code: Code) -> Option<usize> {
    Code::ALL.iter().position(|each| *each == code)
}
