//! The ledger of an engine's memory: what is resident and what any order may still bring about.
//!
//! An order is recorded in the engine's row before it is sent, and sent once. It counts until a
//! report of the engine's present life lists its end, or the engine refuses it. An order whose fate
//! is not known is cancelled: an order under the same id that asks for nothing uses the id up, so
//! that a copy which arrives later has no effect.

mod book;
mod sync;

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

pub(crate) use book::{Step, answered, intend, intend_unrecorded};
pub(crate) use sync::tick;

/// Orders that may be open at one engine. They stay well below the number of ended orders that a report lists, so
/// that no end passes unseen.
const OPEN_MAX: usize = 16;

/// Orders kept that are meant for other lives of an engine than the one reported last: those of two lives.
const OTHERS_MAX: usize = 2 * OPEN_MAX;

/// Orders sent to an engine between two of its reports.
const UNREPORTED_MAX: u32 = 24;

/// An engine's ledger as it stands in the table. Only orders recorded here are ever sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The fence of the holder that wrote it last; a holder with a lower one may not write.
    pub fence: Fence,
    /// The life of the engine that was reported last, and that new orders are weighed against.
    pub incarnation: id::Incarnation,
    /// Orders that may still take effect, oldest first. Those that are meant for another life than the one reported
    /// last are kept too: that report may be older than they are.
    pub intents: Vec<Intent>,
}

/// An order recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's id.
    pub order: id::Order,
    /// The fence it was made under.
    pub fence: Fence,
    /// The engine's life that it is meant for; another refuses it.
    pub meant_for: id::Incarnation,
    /// What it asks for.
    pub action: Action,
}

impl Row {
    /// Strikes an order that can have no further effect in this life of the engine.
    fn strike(&mut self, order: id::Order) -> bool {
        let Some(at) = self.intents.iter().position(|intent| intent.order == order) else {
            return false;
        };
        self.intents.remove(at);
        true
    }

    /// Turns to another life of the engine, which refuses every order that is meant for an earlier one.
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

    /// Orders that may still take effect in the life that was reported last.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Intent> {
        self.intents.iter().filter(|intent| intent.meant_for == self.incarnation)
    }
}

/// The ledgers of this zone's engines, as the lease holder knows them.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Rows with their versions, by engine; absent before they are read.
    pub rows: BTreeMap<Name, (table::Version, Row)>,
    desks: BTreeMap<Name, Desk>,
    /// The fence under which they were read; older knowledge does not count.
    read_under: Option<Fence>,
    reading: bool,
}

/// What this process has to do about one engine's row.
#[derive(Debug, Default)]
struct Desk {
    /// Whether the row was written under the present fence, so that no predecessor can write it.
    claimed: bool,
    /// A write whose effect is not known yet.
    writing: Option<Writing>,
    /// Whether orders were struck since the row was written.
    dirty: bool,
    /// How far the engine is known.
    sync: Option<Sync>,
    /// Orders to be cancelled, with whether a cancelling order was sent.
    doubtful: BTreeMap<id::Order, bool>,
    /// Orders that ended while the row was being written.
    struck: BTreeSet<id::Order>,
    /// Orders sent since the last report.
    unreported: u32,
}

/// A write of a row, and what to send once it took effect.
#[derive(Clone, Debug)]
struct Writing {
    row: Row,
    over: table::Version,
    orders: Vec<(Order, Cause)>,
    lost: bool,
}

/// Whether a report made after this holder took over, of the engine's present life, is at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sync {
    incarnation: id::Incarnation,
    fence: Fence,
    /// An order that asks for nothing: a report that shows its end was made after it.
    barrier: id::Order,
    done: bool,
}

impl Part {
    /// Orders that may still take effect at an engine, including those being recorded.
    pub(crate) fn open<'a>(&'a self, engine: &str) -> impl Iterator<Item = &'a Intent> {
        let written = self.rows.get(engine).map(|(_, row)| row);
        let writing = self.desks.get(engine).and_then(|desk| desk.writing.as_ref());
        let fresh = writing.into_iter().flat_map(|writing| writing.row.open());
        let known = move |intent: &&Intent| {
            written.is_some_and(|row| row.intents.iter().any(|known| known.order == intent.order))
        };
        written.into_iter().flat_map(Row::open).chain(fresh.filter(move |intent| !known(intent)))
    }

    /// Whether an order to drop the artifact may still take effect there.
    pub(crate) fn may_drop(&self, engine: &str, artifact: &Artifact) -> bool {
        self.open(engine)
            .any(|intent| matches!(&intent.action, Action::Unload { artifact: other } if other == artifact))
    }

    /// Whether the engine is known as of this holder's own time, and may be given orders.
    pub(crate) fn is_ready(&self, report: &Report, fence: Fence) -> bool {
        let Some(desk) = self.desks.get(&report.engine) else {
            return false;
        };
        let synced = desk
            .sync
            .as_ref()
            .is_some_and(|sync| sync.done && sync.fence == fence && sync.incarnation == report.incarnation);
        synced && desk.claimed && self.read_under == Some(fence)
    }

    /// Orders that may be added at the engine now.
    pub(crate) fn room(&self, engine: &str) -> usize {
        let Some(desk) = self.desks.get(engine) else {
            return 0;
        };
        let unreported = UNREPORTED_MAX.saturating_sub(desk.unreported) as usize;
        if desk.writing.is_some() {
            return 0;
        }
        OPEN_MAX.saturating_sub(self.open(engine).count()).min(unreported)
    }

    /// Memory at a reporting engine that is free for an artifact, in MB: neither held, nor to be taken
    /// by an open order. What the artifact itself already takes counts as free for it.
    pub(crate) fn free_for(&self, report: &Report, artifact: &Artifact) -> u64 {
        let mut taken = coming(self.open(&report.engine));
        for copy in &report.copies {
            let most = taken.entry(&copy.artifact).or_default();
            *most = (*most).max(copy.memory_mb);
        }
        let others = taken.into_iter().filter(|(other, _)| *other != artifact);
        report.memory_mb.saturating_sub(others.map(|(_, memory_mb)| memory_mb).sum())
    }
}

/// Memory that is taken or may still be taken at an engine, in MB.
pub(crate) fn reserved(report: &Report, row: &Row) -> u64 {
    reserved_by(report, row.open())
}

fn reserved_by<'a>(report: &Report, open: impl Iterator<Item = &'a Intent>) -> u64 {
    let held: u64 = report.copies.iter().map(|copy| copy.memory_mb).sum();
    let beyond = |(artifact, memory_mb): (&Artifact, u64)| {
        let there = report.copies.iter().find(|copy| copy.artifact == *artifact);
        memory_mb.saturating_sub(there.map_or(0, |copy| copy.memory_mb))
    };
    held + coming(open).into_iter().map(beyond).sum::<u64>()
}

/// What loads could bring, with the memory of each.
fn coming<'a>(open: impl Iterator<Item = &'a Intent>) -> BTreeMap<&'a Artifact, u64> {
    let mut coming: BTreeMap<&Artifact, u64> = BTreeMap::new();
    for intent in open {
        if let Action::Load { artifact, memory_mb } = &intent.action {
            let most = coming.entry(artifact).or_default();
            *most = (*most).max(*memory_mb);
        }
    }
    coming
}

/// An engine answered an order, or no answer came.
pub(crate) fn ordered(state: &mut State, order: id::Order, engine: &Name, receipt: Option<&Receipt>) {
    let Some(desk) = state.ledger.desks.get_mut(engine) else {
        return;
    };
    let cancelled = desk.doubtful.get(&order).copied();
    match receipt {
        None => {
            let known = |(_, row): &(table::Version, Row)| row.intents.iter().any(|open| open.order == order);
            if state.ledger.rows.get(engine).is_some_and(known) {
                desk.doubtful.entry(order).or_insert(false);
            }
        }
        // An engine that refuses the number, or has restarted, refuses every copy of the order.
        Some(Receipt::Stale { .. } | Receipt::Restarted) => strike(state, engine, &[order]),
        // After a cancelling order it is not known which of the two was refused.
        Some(Receipt::Full { .. } | Receipt::Busy | Receipt::Invalid) if cancelled != Some(true) => {
            strike(state, engine, &[order]);
        }
        Some(Receipt::Taken | Receipt::Full { .. } | Receipt::Busy | Receipt::Invalid) => {}
    }
}

/// Strikes the orders that a report shows to have ended.
pub(crate) fn reported(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    if !state.ledger.desks.contains_key(&report.engine) {
        return;
    }
    sync::reported(state, now, report, out);
    let ended: Vec<id::Order> = report.ended.iter().map(|ended| ended.order).collect();
    strike(state, &report.engine, &ended);
}

fn strike(state: &mut State, engine: &Name, orders: &[id::Order]) {
    let (Some(desk), Some((_, row))) =
        (state.ledger.desks.get_mut(engine), state.ledger.rows.get_mut(engine))
    else {
        return;
    };
    let being_written = desk.writing.as_ref().map(|writing| &writing.row);
    for order in orders {
        desk.doubtful.remove(order);
        desk.dirty |= row.strike(*order);
        let written = being_written.is_some_and(|row| row.intents.iter().any(|open| open.order == *order));
        if written {
            desk.struck.insert(*order);
        }
    }
}
