//! The last known state of the lease, and whether this process holds it.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_core::timer::Handle;

use super::row::{Call, Predecessor, Row, Versioned};
use crate::record::ms;
use crate::revision::Revision;

/// State of the lease as last seen by this process.
#[derive(Debug, Default)]
pub struct Lease {
    pub(super) seen: Option<Versioned>,
    pub(super) held: Option<Held>,
    /// The call to the store under way, with the time at which it was sent.
    pub(super) pending: Option<(Time, Call)>,
    /// The last write, with the time at which it was sent; the store may have done it even if no answer came.
    pub(super) last_write: Option<(Time, Row)>,
    pub(super) clock: Option<ClockSample>,
    /// The version of a row that was free when read, and the time of the first such read.
    pub(super) free_since: Option<(Revision, Time)>,
    /// Current era of the store.
    pub(super) era: u64,
    /// The timer of the next read or renewal.
    pub(super) timer: Option<Handle>,
}

/// A sample of the store's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClockSample {
    /// Time of the store's clock, in ms.
    pub(super) store_ms: u64,
    /// Send time of the call: the clock showed `store_ms` no earlier.
    pub(super) asked: Time,
    /// Arrival time of the answer: the clock showed `store_ms` no later.
    pub(super) answered: Time,
}

impl ClockSample {
    /// The latest time that the store's clock can show at `time`, in ms.
    pub(super) fn latest_at(self, time: Time) -> u64 {
        self.store_ms + ms(time.since(self.asked))
    }

    /// Process time at which the store's clock shows `store_ms` or later.
    pub(super) fn earliest_at(self, store_ms: u64) -> Time {
        self.answered + Duration::from_millis(store_ms.saturating_sub(self.store_ms))
    }

    /// The latest time that the store's clock can have shown at `time`, which is before the sample was taken,
    /// in ms; it is too late by at most the duration of the call.
    pub(super) fn before(self, time: Time) -> u64 {
        self.store_ms.saturating_sub(ms(self.asked.since(time)))
    }
}

/// A lease that this process holds.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) version: Revision,
    pub(super) term: u64,
    /// The term under which this process took the lease. `term` moves on if the store is restored from an older
    /// copy meanwhile.
    pub(super) taken: u64,
    pub(super) until: Time,
    pub(super) orders_from: Time,
    /// The other machine that may have sent the last orders before this lease.
    pub(super) former: Option<Predecessor>,
}

impl Lease {
    /// The term, which fences orders, while this process holds the lease.
    #[must_use]
    pub fn held_term(&self, now: Time) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.term)
    }

    /// Time until which this process may assume that it holds the lease, if it does.
    pub(crate) fn held_until(&self) -> Option<Time> {
        self.held.as_ref().map(|held| held.until)
    }

    /// The term, which fences orders, while this process may send orders.
    #[must_use]
    pub fn ordering_term(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.until && now >= held.orders_from);
        // Until the new era's row is written, another process may have been given this term.
        held.filter(|held| held.version.era == self.era).map(|held| held.term)
    }

    /// Time until this process may send orders, if it holds the lease.
    #[must_use]
    pub fn orders_allowed_in(&self, now: Time) -> Option<Duration> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.orders_from.since(now))
    }

    /// The term under which the last known holder took the lease; 0 if there was none. Everything that this
    /// holder has sent to other entry VMs since then remains valid.
    #[must_use]
    pub fn taken_term(&self) -> u64 {
        let taken = self.held.as_ref().map(|held| held.taken);
        taken.or_else(|| self.hub().map(|row| row.term)).unwrap_or_default()
    }

    /// The row of the last known holder.
    #[must_use]
    pub fn hub(&self) -> Option<&Row> {
        self.seen.as_ref().map(|seen| &seen.row)
    }
}
