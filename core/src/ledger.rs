//! The ledger of an engine's memory: the copies that it holds and the orders that may still change them.
//!
//! An order is recorded in the engine's row before it is sent, and it is sent once. It counts as open until a
//! report of the engine's current incarnation lists it as ended, or the engine refuses it. An order whose
//! outcome is not known is cancelled: an order under the same id that asks for nothing makes the engine ignore
//! the original one if that arrives later.

mod sync;
mod writer;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::effect::Effect;
use crate::engine::{Action, Fence, Order, Receipt, Report};
use crate::id;
use crate::name::Name;
use crate::state::State;
use crate::table;
use crate::time::Time;

pub(crate) use sync::tick;
pub(crate) use writer::{Step, record, send_unrecorded, table_answered};

/// Orders that may be open at one engine. The limit is well below the 64 ended orders that a report lists, so
/// that no ended order is dropped from the list before it was seen here.
const OPEN_MAX: usize = 16;

/// Orders kept for other incarnations of an engine than the one reported last: enough for two incarnations.
const OTHERS_MAX: usize = 2 * OPEN_MAX;

/// Orders that may be sent to an engine between two of its reports.
const UNREPORTED_MAX: u32 = 24;

/// The row of an engine's ledger in the table. Orders are recorded in it before they are sent, except for loads
/// while the table cannot be reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The fence of the lease holder that wrote the row last. A holder with a lower one may not write it.
    pub fence: Fence,
    /// The incarnation of the engine that was reported last. New orders are meant for it.
    pub incarnation: id::Incarnation,
    /// Orders that may still take effect, oldest first. Those for another incarnation than the one reported
    /// last are kept too, since that report may be older than they are.
    pub intents: Vec<Intent>,
}

/// An order as recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Id of the order.
    pub order: id::Order,
    /// Fence of the lease under which it was made.
    pub fence: Fence,
    /// Incarnation of the engine that it is meant for. Any other incarnation refuses it.
    pub meant_for: id::Incarnation,
    /// What it asks the engine to do.
    pub action: Action,
}

impl Row {
    /// Removes an order that can no longer take effect. Returns whether the row contained it.
    fn remove(&mut self, order: id::Order) -> bool {
        let Some(at) = self.intents.iter().position(|intent| intent.order == order) else {
            return false;
        };
        self.intents.remove(at);
        true
    }

    /// Switches to another incarnation of the engine, which refuses orders for earlier ones. Of the orders for
    /// other incarnations only the latest [`OTHERS_MAX`] are kept.
    fn restart(&mut self, incarnation: id::Incarnation) {
        self.incarnation = incarnation;
        let others = self.intents.iter().filter(|intent| intent.meant_for != incarnation).count();
        let mut excess = others.saturating_sub(OTHERS_MAX);
        self.intents.retain(|intent| {
            let dropped = excess > 0 && intent.meant_for != incarnation;
            excess -= usize::from(dropped);
            !dropped
        });
    }

    /// Returns the orders that may still take effect in the incarnation that was reported last.
    pub(crate) fn open_intents(&self) -> impl Iterator<Item = &Intent> {
        self.intents.iter().filter(|intent| intent.meant_for == self.incarnation)
    }
}

/// The ledgers of this zone's engines, as known to the lease holder.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Rows with their versions, by engine. Empty before they are read.
    pub rows: BTreeMap<Name, (table::Version, Row)>,
    trackers: BTreeMap<Name, Tracker>,
    /// The fence under which the rows were read. Rows read under an earlier fence are not used.
    read_under: Option<Fence>,
    reading: bool,
}

/// State of this process about one engine's row.
#[derive(Debug, Default)]
struct Tracker {
    /// Whether the row was written under the current fence, so that no earlier holder can write it any more.
    claimed: bool,
    /// A write that may or may not have taken effect.
    pending: Option<Pending>,
    /// Whether the row has changed here since it was last written.
    dirty: bool,
    /// The barrier that was or is to be sent to the engine.
    sync: Option<Sync>,
    /// Orders to be cancelled, each with whether a cancelling order was sent.
    to_cancel: BTreeMap<id::Order, bool>,
    /// Orders that ended while the row that contains them was being written.
    ended_meanwhile: BTreeSet<id::Order>,
    /// Orders sent since the engine's last report.
    sent_since_report: u32,
}

/// A write of a row, and the orders to send once it took effect.
#[derive(Clone, Debug)]
struct Pending {
    row: Row,
    expected: table::Version,
    orders: Vec<(Order, Cause)>,
    lost: bool,
}

/// The barrier by which a holder knows that a report of the engine's current incarnation was made after it
/// took the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sync {
    incarnation: id::Incarnation,
    fence: Fence,
    /// Id of an order that asks for nothing. A report that lists it as ended was made after it arrived.
    barrier: id::Order,
    done: bool,
}

impl Part {
    /// Returns the orders that may still take effect at an engine, including those being recorded.
    pub(crate) fn open_intents<'a>(&'a self, engine: &str) -> impl Iterator<Item = &'a Intent> {
        let recorded = self.rows.get(engine).map(|(_, row)| row);
        let pending = self.trackers.get(engine).and_then(|tracker| tracker.pending.as_ref());
        let unrecorded = pending.into_iter().flat_map(|pending| pending.row.open_intents());
        let known = move |intent: &&Intent| {
            recorded.is_some_and(|row| row.intents.iter().any(|known| known.order == intent.order))
        };
        recorded
            .into_iter()
            .flat_map(Row::open_intents)
            .chain(unrecorded.filter(move |intent| !known(intent)))
    }

    /// Returns whether an order to unload the artifact may still take effect at the engine.
    pub(crate) fn has_open_unload(&self, engine: &str, artifact: &Artifact) -> bool {
        self.open_intents(engine)
            .any(|intent| matches!(&intent.action, Action::Unload { artifact: other } if other == artifact))
    }

    /// Returns whether a report of this incarnation has passed the barrier of this holder, so that orders may
    /// be sent to the engine.
    pub(crate) fn is_synced(&self, report: &Report, fence: Fence) -> bool {
        let Some(tracker) = self.trackers.get(&report.engine) else {
            return false;
        };
        let synced = tracker
            .sync
            .as_ref()
            .is_some_and(|sync| sync.done && sync.fence == fence && sync.incarnation == report.incarnation);
        synced && tracker.claimed && self.read_under == Some(fence)
    }

    /// Returns how many orders may be added at the engine now.
    pub(crate) fn order_capacity(&self, engine: &str) -> usize {
        let Some(tracker) = self.trackers.get(engine) else {
            return 0;
        };
        let unreported = UNREPORTED_MAX.saturating_sub(tracker.sent_since_report) as usize;
        if tracker.pending.is_some() {
            return 0;
        }
        OPEN_MAX.saturating_sub(self.open_intents(engine).count()).min(unreported)
    }

    /// Returns the memory of an engine that is free for an artifact, in MB: neither held by other artifacts nor
    /// to be taken by open orders for them. Memory that the artifact itself already takes counts as free.
    pub(crate) fn free_mb_for(&self, report: &Report, artifact: &Artifact) -> u64 {
        let mut taken = loadable(self.open_intents(&report.engine));
        for copy in &report.copies {
            let size = taken.entry(&copy.artifact).or_default();
            *size = (*size).max(copy.memory_mb);
        }
        let others = taken.into_iter().filter(|(other, _)| *other != artifact);
        report.memory_mb.saturating_sub(others.map(|(_, memory_mb)| memory_mb).sum())
    }
}

/// Returns the memory of an engine that is taken or may still be taken by open orders, in MB.
pub(crate) fn reserved_mb(report: &Report, row: &Row) -> u64 {
    reserved_by(report, row.open_intents())
}

fn reserved_by<'a>(report: &Report, open: impl Iterator<Item = &'a Intent>) -> u64 {
    let held: u64 = report.copies.iter().map(|copy| copy.memory_mb).sum();
    let additional = |(artifact, memory_mb): (&Artifact, u64)| {
        let held = report.copies.iter().find(|copy| copy.artifact == *artifact);
        memory_mb.saturating_sub(held.map_or(0, |copy| copy.memory_mb))
    };
    held + loadable(open).into_iter().map(additional).sum::<u64>()
}

/// Returns the artifacts that open orders may load, with the memory of each in MB.
fn loadable<'a>(open: impl Iterator<Item = &'a Intent>) -> BTreeMap<&'a Artifact, u64> {
    let mut loadable: BTreeMap<&Artifact, u64> = BTreeMap::new();
    for intent in open {
        if let Action::Load { artifact, memory_mb } = &intent.action {
            let size = loadable.entry(artifact).or_default();
            *size = (*size).max(*memory_mb);
        }
    }
    loadable
}

/// Handles an engine's answer to an order; `None` if the answer was lost.
pub(crate) fn order_answered(state: &mut State, order: id::Order, engine: &Name, receipt: Option<&Receipt>) {
    let Some(tracker) = state.ledger.trackers.get_mut(engine) else {
        return;
    };
    let cancelled = tracker.to_cancel.get(&order).copied();
    match receipt {
        None => {
            let known = |(_, row): &(table::Version, Row)| row.intents.iter().any(|open| open.order == order);
            if state.ledger.rows.get(engine).is_some_and(known) {
                tracker.to_cancel.entry(order).or_insert(false);
            }
        }
        // An engine that refuses the fence, or has restarted, refuses the order also if it arrives again.
        Some(Receipt::Stale { .. } | Receipt::Restarted) => remove_orders(state, engine, &[order]),
        // If a cancelling order was sent under the same id, this may be the answer to either of them.
        Some(Receipt::Full { .. } | Receipt::Busy | Receipt::Invalid) if cancelled != Some(true) => {
            remove_orders(state, engine, &[order]);
        }
        Some(Receipt::Taken | Receipt::Full { .. } | Receipt::Busy | Receipt::Invalid) => {}
    }
}

/// Handles an engine's report: removes the orders that it lists as ended.
pub(crate) fn report_received(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    if !state.ledger.trackers.contains_key(&report.engine) {
        return;
    }
    sync::report_received(state, now, report, out);
    let ended: Vec<id::Order> = report.ended.iter().map(|ended| ended.order).collect();
    remove_orders(state, &report.engine, &ended);
}

fn remove_orders(state: &mut State, engine: &Name, orders: &[id::Order]) {
    let (Some(tracker), Some((_, row))) =
        (state.ledger.trackers.get_mut(engine), state.ledger.rows.get_mut(engine))
    else {
        return;
    };
    let pending_row = tracker.pending.as_ref().map(|pending| &pending.row);
    for order in orders {
        tracker.to_cancel.remove(order);
        tracker.dirty |= row.remove(*order);
        let recorded = pending_row.is_some_and(|row| row.intents.iter().any(|open| open.order == *order));
        if recorded {
            tracker.ended_meanwhile.insert(*order);
        }
    }
}
