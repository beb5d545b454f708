//! The lease of an availability zone: who plans placement for its engines.

use serde::{Deserialize, Serialize};

use crate::audit::{self, Act, Cause};
use crate::effect::Effect;
use crate::engine::Fence;
use crate::id::Incarnation;
use crate::name::Name;
use crate::state::{Purpose, State};
use crate::table;
use crate::time::Time;
use crate::timer::Timer;

/// A lease as it stands in the table. An observer takes it over only after it saw the row unchanged
/// for the whole of `length_ms` on its own clock, so clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The entry VM that holds it; none when handed back.
    pub holder: Option<Holder>,
    /// Grows by one with each new holder.
    pub fence: Fence,
    /// Grows with each renewal, so that observers see the row change.
    pub renewal: u64,
    /// How long it lasts without renewal, in milliseconds.
    pub length_ms: u64,
}

/// Who holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM's name.
    pub vm: Name,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// What this entry VM knows of its zone's lease.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// The row as last read, with its version.
    pub seen: Option<(table::Version, Row)>,
    /// Since when the row has looked like that.
    pub since: Time,
    /// Until when this process holds it; counted from before the write that renewed it.
    pub held_until: Option<Time>,
}

impl Part {
    /// The fence of the lease while this process holds it.
    pub(crate) fn fence(&self, now: Time) -> Option<Fence> {
        let until = self.held_until?;
        let (_, row) = self.seen.as_ref()?;
        (now < until).then_some(row.fence)
    }

    /// Who holds it, as last read.
    pub(crate) fn holder(&self) -> Option<&Name> {
        self.seen.as_ref().and_then(|(_, row)| row.holder.as_ref()).map(|holder| &holder.vm)
    }
}

/// Steps that wait for the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// The row was asked for.
    Read,
    /// The row was written.
    Write {
        /// What was written.
        row: Row,
        /// The version it was written over.
        over: table::Version,
        /// When the write was sent.
        at: Time,
    },
}

/// The lease is to be renewed, or someone else's looked at.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.lease_renew, Timer::Lease);
    let mine = state.lease.fence(now).is_some();
    if let Some((over, row)) = state.lease.seen.clone().filter(|_| mine) {
        write(state, now, over, Row { renewal: row.renewal + 1, ..row }, out);
        return;
    }
    let key = table::Key::Lease(state.me.zone.clone());
    state.call(table::Call::Get(vec![key]), Purpose::Lease(Step::Read), out);
}

fn write(state: &mut State, now: Time, over: table::Version, row: Row, out: &mut Vec<Effect>) {
    let write = table::Write {
        key: table::Key::Lease(state.me.zone.clone()),
        expect: over,
        value: Some(table::Value::Lease(row.clone())),
    };
    state.call(table::Call::Commit(vec![write]), Purpose::Lease(Step::Write { row, over, at: now }), out);
}

/// The table answered about the lease.
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    step: Step,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    match (step, reply) {
        (Step::Read, Ok(table::Reply::Rows(rows))) => read(state, now, rows.into_iter().next(), out),
        (Step::Write { row, over, at }, Ok(table::Reply::Committed)) => {
            let fresh = state.lease.held_until.is_none();
            let fence = row.fence;
            state.lease.held_until = Some(at + state.settings.lease_length);
            state.lease.seen = Some((table::Version(over.0 + 1), row));
            state.lease.since = now;
            if fresh {
                audit::record(state, now, Act::LeaseTaken(fence), Cause::Vacant, out);
            }
        }
        (Step::Write { .. }, Ok(_)) => {
            state.lease.held_until = None;
            state.lease.seen = None;
        }
        _ => {}
    }
}

fn read(state: &mut State, now: Time, row: Option<table::Row>, out: &mut Vec<Effect>) {
    let (version, seen) = match row {
        Some(table::Row { version, value: table::Value::Lease(row), .. }) => (version, Some(row)),
        _ => (table::Version(0), None),
    };
    let holder = Some(Holder { vm: state.me.vm.clone(), incarnation: state.me.incarnation });
    let length_ms = state.settings.lease_length.as_millis() as u64;
    let Some(seen) = seen else {
        write(state, now, version, Row { holder, fence: Fence(1), renewal: 0, length_ms }, out);
        return;
    };
    let unchanged = state.lease.seen.as_ref().is_some_and(|(known, _)| *known == version);
    if !unchanged {
        state.lease.since = now;
    }
    let expired = now.since(state.lease.since).as_millis() as u64 >= seen.length_ms;
    let vacant = seen.holder.is_none();
    let fence = Fence(seen.fence.0 + 1);
    state.lease.seen = Some((version, seen));
    if vacant || expired {
        write(state, now, version, Row { holder, fence, renewal: 0, length_ms }, out);
    }
}
