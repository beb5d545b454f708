//! Counters for each refusal and each reason to retry.

use crate::code::Code;

/// Why a request was tried again, or an answer dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(usize)]
pub enum Reason {
    /// No connection came about.
    Connect,
    /// The back end's queue was full.
    Busy,
    /// The back end was leaving.
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
    /// The connection went silent.
    Silent,
    /// A resumed attempt was forgotten by the engine.
    Forgotten,
    /// A stream had a gap.
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

/// What is under way now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that have not ended.
    pub requests: usize,
    /// Those that wait for a back end.
    pub waiting: usize,
    /// Tries open at back ends.
    pub tries: usize,
    /// Claims on idempotency keys that are held or not settled.
    pub claims: usize,
    /// Timers that are set.
    pub timers: usize,
}

/// Counts since the process started.
#[derive(Clone, Debug)]
pub struct Counters {
    ends: Vec<u64>,
    retries: [u64; Reason::ALL.len()],
    /// Events that came for something that is not known any more and were dropped.
    pub stale: u64,
    /// Answers dropped since they carried another attempt's id.
    pub foreign: u64,
    /// Streamed events dropped since they had been delivered before.
    pub repeated: u64,
    /// Outcomes that could not be written to their claims: these keys count as used until they expire.
    pub claims_left: u64,
    /// Orders sent to engines.
    pub orders: u64,
    /// Calls of the platform's table that write.
    pub table_writes: u64,
    /// Calls of the platform's table that read.
    pub table_reads: u64,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            ends: vec![0; Code::ALL.len()],
            retries: [0; Reason::ALL.len()],
            stale: 0,
            foreign: 0,
            repeated: 0,
            claims_left: 0,
            orders: 0,
            table_writes: 0,
            table_reads: 0,
        }
    }
}

impl Counters {
    /// Requests that ended with `code`.
    #[must_use]
    pub fn ended(&self, code: Code) -> u64 {
        position(code).map_or(0, |at| self.ends[at])
    }

    /// Tries that were followed by another for `reason`.
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
