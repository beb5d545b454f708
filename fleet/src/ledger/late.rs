//! Load orders that an engine may still carry out although it has restarted since they were sent.
//!
//! An engine that restarts under its id counts its orders from zero again. An order to its earlier start that was
//! not answered may reach the new one seconds later, and is carried out if the engine has then accepted as many
//! orders as the late one names. Late orders can follow each other, since each brings the count up by one, and so
//! can they and the orders of this process.
//!
//! A process remembers what it has sent itself. Of what others have sent before it took the lease it knows nothing:
//! until none of that can arrive any more, it sends no order to an engine that may have restarted shortly before. The
//! row of the lease names the others, so that also a process that has just started knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::config::Pool;
use crate::engine::{Engine, Incarnation};
use crate::holdings::Holdings;
use crate::order::Order;
use crate::revision::Revision;

/// Time after sending within which an engine may still carry out an unanswered order. The platform says that
/// this can take seconds and names no bound; 15 s is a conservative estimate.
const LATENESS_MAX: Duration = Duration::from_secs(15);
/// Maximum number of engines that the row of the lease names. With more, all engines count as restarted recently.
const RECENT_MAX: usize = 256;

/// The late orders of all engines.
#[derive(Debug, Default)]
pub(crate) struct Late {
    by_engine: BTreeMap<Name, Vec<Unanswered>>,
    /// The last term under which this process took the lease.
    term: u64,
    /// Time until which orders of other processes may arrive that this one does not know of.
    unknown_until: Time,
    /// What the row of the lease says that this process took over.
    inherited: Option<Starts>,
    /// Whether the engines have been looked through since.
    is_reviewed: bool,
}

/// The starts of engines that the holder of the lease has known for so long that no order to an earlier start can
/// arrive any more: all up to a revision of the engines' table, but for the named ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// Revision up to which the holder knows the table.
    pub known: Revision,
    /// Engines whose present start it has not known for so long.
    pub recent: Vec<Name>,
}

/// A load order that was not answered.
#[derive(Clone, Debug)]
struct Unanswered {
    order: Order,
    /// Number of orders that the engine must have accepted before this one.
    sequence: u64,
    /// Incarnation of the engine that it was sent to.
    incarnation: Incarnation,
    /// Time from which it can no longer be carried out.
    until: Time,
}

/// Room at an engine that is reserved for late orders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Reserve {
    /// Memory, in MB.
    pub(crate) memory_mb: f64,
    /// Number of places for adapters.
    pub(crate) adapters: usize,
}

impl Late {
    /// Takes over what the row of the lease says, or nothing if there is no row to go by.
    pub(crate) fn inherit(&mut self, starts: Option<Starts>) {
        self.inherited = starts;
        self.is_reviewed = false;
    }

    /// Begins a lease. `fresh`: no process has sent orders before.
    pub(super) fn begin(&mut self, now: Time, term: u64, fresh: bool) {
        // No other process has held the lease since this one did if the term is the next one.
        let continued = self.term > 0 && term == self.term + 1;
        self.term = term;
        if !fresh && !continued {
            self.unknown_until = now + LATENESS_MAX;
        }
    }

    /// Called when all engines of the table have been looked through under the present lease.
    pub(super) fn mark_reviewed(&mut self) {
        self.is_reviewed = true;
    }

    /// Time until which no order may be sent to a start of an engine, since orders to an earlier start can arrive of
    /// which this process knows nothing.
    pub(super) fn uncertain_until(&self, engine: &Engine) -> Time {
        // An engine that does not report its start gets a new id with each.
        if engine.entry.incarnation.0.is_none() || self.is_old(engine) {
            return Time::default();
        }
        self.unknown_until.min(engine.learned + LATENESS_MAX)
    }

    /// Whether the holder of the lease before had known an engine's present start for long.
    pub(super) fn is_old(&self, engine: &Engine) -> bool {
        let is_old =
            |starts: &Starts| engine.version <= starts.known && !starts.recent.contains(&engine.entry.id);
        self.inherited.as_ref().is_some_and(is_old)
    }

    /// What the row of the lease is to say; none if nothing is known for sure.
    pub(crate) fn starts<'a>(
        &self,
        now: Time,
        known: Revision,
        engines: impl Iterator<Item = &'a Engine>,
    ) -> Option<Starts> {
        if !self.is_reviewed {
            return self.inherited.clone();
        }
        let recent = engines.filter(|engine| now.since(engine.learned) < LATENESS_MAX);
        let recent: Vec<Name> = recent.map(|engine| engine.entry.id.clone()).take(RECENT_MAX + 1).collect();
        (recent.len() <= RECENT_MAX).then_some(Starts { known, recent })
    }

    /// Remembers an order that was not answered, if it is a load. `holdings` are those for which it was sent.
    pub(super) fn remember(&mut self, now: Time, engine: &Name, order: &Order, holdings: &Holdings) {
        let (Order::Load { .. } | Order::LoadAdapter { .. }, Some(sequence)) = (order, holdings.sequence)
        else {
            return;
        };
        let (order, incarnation) = (order.clone(), holdings.incarnation);
        let until = now + LATENESS_MAX;
        let late = self.by_engine.entry(engine.clone()).or_default();
        late.retain(|late| late.until > now);
        late.push(Unanswered { order, sequence, incarnation, until });
    }

    /// Room to leave at an engine when it is sent `order`, or the next order whatever it is: for any sequence of late
    /// loads that would follow it.
    pub(crate) fn reserve(
        &self,
        now: Time,
        engine: &Name,
        holdings: &Holdings,
        order: Option<&Order>,
        pool: &Pool,
    ) -> Reserve {
        let (Some(late), Some(sequence)) = (self.by_engine.get(engine), holdings.sequence) else {
            return Reserve::default();
        };
        // A late order with the engine's present count is carried out in place of the next one, never after it. Of
        // several with one count, one is carried out at most.
        let mut by_sequence: BTreeMap<u64, Reserve> = BTreeMap::new();
        for late in late.iter().filter(|late| late.until > now && late.incarnation != holdings.incarnation) {
            if late.sequence > sequence && !holdings.would_hold(&late.order, order) {
                by_sequence.entry(late.sequence).or_default().raise(&late.order, pool);
            }
        }
        by_sequence.into_values().fold(Reserve::default(), Reserve::plus)
    }
}

impl Reserve {
    /// Raises the room to what a load needs.
    fn raise(&mut self, order: &Order, pool: &Pool) {
        self.memory_mb = self.memory_mb.max(order.memory_mb(pool));
        self.adapters = self.adapters.max(usize::from(matches!(order, Order::LoadAdapter { .. })));
    }

    fn plus(self, other: Self) -> Self {
        Self { memory_mb: self.memory_mb + other.memory_mb, adapters: self.adapters + other.adapters }
    }
}
