//! What a process knows of the lease, and whether it holds it.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_core::timer::Handle;

use super::row::{Call, Former, Row, Seen};
use crate::record::ms;
use crate::revision::Revision;

/// What this process knows of the lease.
#[derive(Debug, Default)]
pub struct Lease {
    pub(super) seen: Option<Seen>,
    pub(super) held: Option<Held>,
    /// The call under way, with the time at which it was sent.
    pub(super) pending: Option<(Time, Call)>,
    /// The last write that may have been done, with the time at which it was sent.
    pub(super) tried: Option<(Time, Row)>,
    pub(super) clock: Option<Sample>,
    /// The version of a row that was seen to be free, and when that was first seen.
    pub(super) free: Option<(Revision, Time)>,
    /// The store's era.
    pub(super) era: u64,
    /// The timer of the next look or renewal.
    pub(super) next: Option<Handle>,
}

/// A sight of the store's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// What it showed, in ms.
    pub(super) store_ms: u64,
    /// When it was asked: it showed that no earlier.
    pub(super) asked: Time,
    /// When the answer came: it showed that no later.
    pub(super) answered: Time,
}

impl Sample {
    /// The most that the store's clock can show at `time`.
    pub(super) fn at_most(self, time: Time) -> u64 {
        self.store_ms + ms(time.since(self.asked))
    }

    /// The process's time at which the store's clock shows this, or a later one.
    pub(super) fn no_earlier(self, store_ms: u64) -> Time {
        self.answered + Duration::from_millis(store_ms.saturating_sub(self.store_ms))
    }

    /// The most that the store's clock can have shown at `time`, before it was asked; less by a call's time at most.
    pub(super) fn before(self, time: Time) -> u64 {
        self.store_ms.saturating_sub(ms(self.asked.since(time)))
    }
}

/// The lease, held by this process.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) version: Revision,
    pub(super) term: u64,
    /// The term under which this process took it, which another follows if the store comes back from an older copy meanwhile.
    pub(super) taken: u64,
    pub(super) until: Time,
    pub(super) orders_from: Time,
    /// Who else may have given the last orders.
    pub(super) former: Option<Former>,
}

impl Lease {
    /// The fencing number, while this process holds the lease.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.term)
    }

    /// The fencing number, while this process may send orders.
    #[must_use]
    pub fn orders(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.until && now >= held.orders_from);
        // Until the new era's row is there, the fencing number may not be this one's own.
        held.filter(|held| held.version.era == self.era).map(|held| held.term)
    }

    /// How long until this process may send orders, if it holds the lease.
    #[must_use]
    pub fn orders_in(&self, now: Time) -> Option<Duration> {
        self.held.as_ref().filter(|held| now < held.until).map(|held| held.orders_from.since(now))
    }

    /// The term under which the process took the lease that was last seen to hold it; 0 if none was. What that has told the others since
    /// then holds on.
    #[must_use]
    pub fn taken_term(&self) -> u64 {
        let taken = self.held.as_ref().map(|held| held.taken);
        taken.or_else(|| self.hub().map(|row| row.term)).unwrap_or_default()
    }

    /// Who was last seen to hold it.
    #[must_use]
    pub fn hub(&self) -> Option<&Row> {
        self.seen.as_ref().map(|seen| &seen.row)
    }
}
