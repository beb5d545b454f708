//! The time within which a change has to be in force everywhere, by the operators, and how it is divided over the way of the news.
//!
//! Each wait on that way may be in vain once, for an answer, a connection or a process that is lost: the sum of the waits, with one of them in
//! vain, is less than the bound.

use std::time::Duration;

/// A bound on how long a change may take to be in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(pub Duration);

impl Bound {
    /// How late a process may wake before what it knows is in doubt: it stood still, and was told nothing meanwhile.
    #[must_use]
    pub fn standstill(self) -> Duration {
        self.0 / 4
    }
}
