//! The time by which a change has to be in force on every entry VM, set by operators, and its division over the steps
//! by which the change travels.
//!
//! Each step may lose one response, connection or process. The sum of all waits, with one of them used up by such a
//! loss, is less than the bound.

use std::time::Duration;

/// Upper bound on the time until a change is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(pub Duration);

impl Bound {
    /// How long the store may hold a long poll for changes before it answers that there are none.
    #[must_use]
    pub fn long_poll_timeout(self) -> Duration {
        self.0 / 4
    }

    /// How much later than the end of the long poll its response may begin. After that the call is repeated on
    /// another connection, since the current one may never deliver anything again.
    #[must_use]
    pub fn response_grace(self) -> Duration {
        self.0 / 10
    }

    /// The longest pause between two calls for changes that no other entry VM reports, and after a failed call.
    #[must_use]
    pub fn poll_interval_max(self) -> Duration {
        self.0 / 5
    }

    /// How long after its scheduled time an attempt may still be sent. Later, the data on which its engine was chosen
    /// may be too old.
    #[must_use]
    pub fn send_delay_max(self) -> Duration {
        self.0 * 3 / 20
    }

    /// Greatest age of the store's data as relayed by other entry VMs, if nothing fails but one response that is
    /// overdue.
    #[must_use]
    pub fn relayed_age_max(self) -> Duration {
        self.long_poll_timeout() + self.response_grace() + self.poll_interval_max()
    }

    /// How late a process may wake before its data is in doubt: the process stalled and received nothing in that
    /// time.
    #[must_use]
    pub fn stall_threshold(self) -> Duration {
        self.0 / 4
    }
}
