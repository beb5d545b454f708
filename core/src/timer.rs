//! Timers of the reducer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::name::Name;
use crate::time::Time;

/// Purpose of a timer. A timer whose purpose no longer exists is ignored when it fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(id::Request),
    /// The next attempt of a request is due.
    Retry(id::Request),
    /// An attempt is checked for silence.
    Silence(id::Attempt),
    /// Claims on idempotency keys are written.
    Claims,
    /// The list of VMs is read.
    ListVms,
    /// The configuration is read from the table.
    Config,
    /// A change of the configuration whose answer was lost is read back.
    Settle(id::Op),
    /// The report of an engine is read.
    Poll(Name),
    /// A frame is sent to the peers.
    Heartbeat,
    /// The lease of the zone is renewed or read.
    Lease,
    /// The placement is planned.
    Plan,
    /// The balancer has had time to see that this entry VM is not ready.
    BalancerGrace,
}

/// Delay of a wake-up from which on the process counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(500);

/// Identifies an active timer to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle {
    at: Time,
    seq: u64,
}

/// Active timers, earliest first. Timers with equal times fire in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    set: BTreeMap<Handle, T>,
    seq: u64,
    wake_at: Option<Time>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), seq: 0, wake_at: None }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Time, timer: T) -> Handle {
        self.seq += 1;
        let handle = Handle { at, seq: self.seq };
        self.set.insert(handle, timer);
        handle
    }

    /// Cancels a timer. Does nothing if it has fired.
    pub fn cancel(&mut self, handle: Handle) {
        self.set.remove(&handle);
    }

    /// Time since the requested wake-up; zero if it is not reached yet.
    #[must_use]
    pub fn lateness(&self, now: Time) -> Duration {
        self.wake_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the process was woken so late that it must have stalled.
    #[must_use]
    pub fn has_stalled(&self, now: Time) -> bool {
        self.lateness(now) >= STALL_MIN
    }

    /// Number of active timers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Whether no timer is active.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }

    /// Removes and returns the next timer that is due.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let first = self.set.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// Time of the next wake-up, unless an earlier or equal one has been requested already.
    pub fn next_wake(&mut self, now: Time) -> Option<Time> {
        let next = self.set.first_key_value().map(|(handle, _)| handle.at)?;
        let pending = self.wake_at.is_some_and(|at| at > now && at <= next);
        if pending {
            return None;
        }
        self.wake_at = Some(next);
        Some(next)
    }
}
