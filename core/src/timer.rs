//! What the reducer wants to be woken for.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::name::Name;
use crate::time::Time;

/// Something due at a time. A timer that has become pointless is ignored when it fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A request's deadline.
    Deadline(id::Request),
    /// A request's next try.
    Retry(id::Request),
    /// A look at whether an attempt has gone silent.
    Silence(id::Attempt),
    /// Claims are to be written.
    Claims,
    /// The VM list is to be read.
    List,
    /// The configuration is to be read from the table.
    Config,
    /// A change of the configuration whose answer was lost is to be settled.
    Settle(id::Op),
    /// An engine is to be asked for its report.
    Poll(Name),
    /// Peers are to be told.
    Heartbeat,
    /// The zone's lease is to be renewed or looked at.
    Lease,
    /// Placement is to be planned.
    Plan,
    /// The balancer has had time to see that this entry VM is not ready.
    Grace,
}

/// How late a wake-up comes at the least when the process has been paused.
const PAUSE: Duration = Duration::from_millis(500);

/// Names a timer that is set, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle {
    at: Time,
    seq: u64,
}

/// Timers, earliest first; equal times fire in the order they were set.
#[derive(Debug)]
pub struct Timers<T> {
    set: BTreeMap<Handle, T>,
    seq: u64,
    announced: Option<Time>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), seq: 0, announced: None }
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

    /// Cancels a timer; one that has fired is let be.
    pub fn cancel(&mut self, handle: Handle) {
        self.set.remove(&handle);
    }

    /// By how much later than it had asked for the process is awake.
    #[must_use]
    pub fn late(&self, now: Time) -> Duration {
        self.announced.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the process was woken long after it had asked for: it has been paused.
    #[must_use]
    pub fn overslept(&self, now: Time) -> bool {
        self.late(now) >= PAUSE
    }

    /// Timers that are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Whether no timer is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }

    /// Takes the next timer that is due.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let first = self.set.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// The time to be woken at, if it is not the one announced last.
    pub fn announce(&mut self, now: Time) -> Option<Time> {
        let next = self.set.first_key_value().map(|(handle, _)| handle.at)?;
        let pending = self.announced.is_some_and(|at| at > now && at <= next);
        if pending {
            return None;
        }
        self.announced = Some(next);
        Some(next)
    }
}
