//! The time within which a change has to be in force everywhere, by the operators, and how it is divided over the way of the news.
//!
//! Each wait on that way may be in vain once, for an answer, a connection or a process that is lost: the sum of the waits, with one of them in
//! vain, is less than the bound.

use std::time::Duration;

/// A bound on how long a change may take to be in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(pub Duration);

impl Bound {
    /// How long the store may hold a call for changes until it answers that there are none.
    #[must_use]
    pub fn wait(self) -> Duration {
        self.0 / 4
    }

    /// How much later that answer may begin before the call is made anew on another connection: this one may deliver nothing more.
    #[must_use]
    pub fn overdue(self) -> Duration {
        self.0 / 10
    }

    /// The longest pause between two calls for changes of those that nobody tells, and after a call that failed.
    #[must_use]
    pub fn pause(self) -> Duration {
        self.0 / 5
    }

    /// How long after its time an attempt may still be written: later, what it was decided by may be too old.
    #[must_use]
    pub fn write(self) -> Duration {
        self.0 * 3 / 20
    }

    /// How old the word of others on the store may be, where all goes well and one answer is overdue.
    #[must_use]
    pub fn word(self) -> Duration {
        self.wait() + self.overdue() + self.pause()
    }

    /// How late a process may wake before what it knows is in doubt: it stood still, and was told nothing meanwhile.
    #[must_use]
    pub fn standstill(self) -> Duration {
        self.0 / 4
    }
}
