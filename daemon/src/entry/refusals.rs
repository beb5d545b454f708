//! Counts requests that were refused before they were read completely.

use std::sync::atomic::{AtomicU64, Ordering};

use boragecove_core::code::Code;

/// Number of refused requests by result code.
#[derive(Debug)]
pub(crate) struct Refusals(Vec<AtomicU64>);

impl Default for Refusals {
    fn default() -> Self {
        Self(Code::ALL.iter().map(|_| AtomicU64::new(0)).collect())
    }
}

impl Refusals {
    pub(crate) fn count(&self, code: Code) {
        if let Some(at) = Code::ALL.iter().position(|each| *each == code) {
            self.0[at].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The codes that were given, with their numbers.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (Code, u64)> {
        let counts = self.0.iter().map(|count| count.load(Ordering::Relaxed));
        Code::ALL.iter().copied().zip(counts).filter(|(_, count)| *count > 0)
    }
}
