//! The lease of an availability zone. The entry VM that holds it plans placement for the zone's engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::audit::{self, Cause, Decision};
use crate::effect::Effect;
use crate::engine::Fence;
use crate::id::Incarnation;
use crate::name::Name;
use crate::state::{Purpose, State};
use crate::table;
use crate::time::Time;
use crate::timer::Timer;

/// Fraction of the lease length by which the holder stops early. Without it, an observer whose clock
/// runs fast could take over while the holder still plans. It covers clocks that differ by up to 10%.
const MARGIN: f64 = 0.1;

/// The row of a lease in the table. An observer takes the lease over only after it has seen the row
/// unchanged for `length_ms` on its own clock, so the clocks of entry VMs need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process that holds the lease; none after it was released.
    pub holder: Option<Holder>,
    /// Fencing number of the lease. It grows by one with each new holder.
    pub fence: Fence,
    /// Number of renewals under this fence. Observers see by it that the holder is alive.
    pub renewal: u64,
    /// Time after which the lease expires if it is not renewed, in milliseconds.
    pub length_ms: u64,
}

/// The process that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the entry VM.
    pub vm: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// State of this entry VM about the lease of its zone.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// The row as last read or written here, with its version.
    known_row: Option<(table::Version, Row)>,
    /// When the row was first seen at this version, on the clock of this process.
    unchanged_since: Time,
    /// When the lease held by this process expires, counted from the time before its last renewal was sent.
    held_until: Option<Time>,
    /// The fence under which this process holds or last held the lease.
    last_fence: Option<Fence>,
    /// A write that was not answered yet, or whose answer was lost so that the row has to be read back.
    pending: Option<Pending>,
    /// Whether this process has released the lease and will not take it again.
    released: bool,
}

/// A write of the row whose effect is not known yet.
#[derive(Clone, Debug, PartialEq)]
struct Pending {
    row: Row,
    expected: table::Version,
    sent_at: Time,
    lost: bool,
    /// Whether it was sent a second time. If that answer is lost too, the row is read at the next regular
    /// check.
    resent: bool,
    cause: Cause,
}

impl Part {
    /// Returns the fence of the lease while this process holds it.
    pub(crate) fn fence(&self, now: Time) -> Option<Fence> {
        let until = self.held_until?;
        self.last_fence.filter(|_| now < until)
    }

    /// Returns the fence of a lease that this process held until it expired, if the row as last read shows
    /// no later holder.
    pub(crate) fn lapsed_fence(&self, now: Time) -> Option<Fence> {
        let (_, row) = self.known_row.as_ref()?;
        self.last_fence
            .filter(|last_fence| self.fence(now).is_none() && !self.released && row.fence == *last_fence)
    }

    /// Returns the holder according to the row as last read or written here.
    pub(crate) fn holder(&self) -> Option<&Name> {
        self.known_row.as_ref().and_then(|(_, row)| row.holder.as_ref()).map(|holder| &holder.vm)
    }

    /// Returns whether the lease is released and no write is pending, so that the process may exit.
    pub(crate) fn is_handed_back(&self) -> bool {
        self.released && self.pending.is_none()
    }
}

/// Calls of the table about the lease.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Reads the row.
    Read,
    /// Writes the row.
    Write,
}

fn key(state: &State) -> table::Key {
    table::Key::Lease(state.me.zone.clone())
}

/// Renews the lease if this process holds it, and reads its row otherwise.
pub(crate) fn check_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let wait = state.settings.lease_renew.mul_f64(0.9 + 0.2 * state.rng.f64());
    state.timers.set(now + wait, Timer::Lease);
    expire(state, now, out);
    let length = state.settings.lease_length;
    if let Some(pending) = state.lease.pending.as_mut().filter(|pending| now.since(pending.sent_at) >= length)
    {
        pending.lost = true;
    }
    let idle = state.lease.pending.is_none();
    if state.lease.released && idle {
        return;
    }
    if idle && state.lease.fence(now).is_some() {
        renew(state, now, out);
        return;
    }
    read(state, out);
}

fn read(state: &mut State, out: &mut Vec<Effect>) {
    let key = key(state);
    state.call(table::Call::Get(vec![key]), Purpose::Lease(Step::Read), out);
}

/// Gives up the lease held here once its time is over.
fn expire(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.held_until.is_some_and(|until| until <= now) {
        give_up(state, now, Cause::Expired, out);
    }
}

fn give_up(state: &mut State, now: Time, cause: Cause, out: &mut Vec<Effect>) {
    if state.lease.held_until.take().is_none() {
        return;
    }
    if let Some(fence) = state.lease.last_fence {
        audit::record(state, now, Decision::LeaseLeft(fence), cause, out);
    }
}

fn renew(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if let Some((expected, row)) = state.lease.known_row.clone() {
        write(state, now, expected, Row { renewal: row.renewal + 1, ..row }, Cause::Vacant, out);
    }
}

fn write(
    state: &mut State,
    now: Time,
    expected: table::Version,
    row: Row,
    cause: Cause,
    out: &mut Vec<Effect>,
) {
    let value = Some(table::Value::Lease(row.clone()));
    let write = table::Write { key: key(state), expect: expected, value };
    state.lease.pending = Some(Pending { row, expected, sent_at: now, lost: false, resent: false, cause });
    state.call(table::Call::Commit(vec![write]), Purpose::Lease(Step::Write), out);
}

/// Releases the lease on a planned stop. This process plans nothing from then on.
pub(crate) fn hand_back(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.released {
        return;
    }
    state.lease.released = true;
    let held = state.lease.fence(now).is_some();
    give_up(state, now, Cause::Stopping, out);
    let known_row = state.lease.known_row.clone().filter(|_| held && state.lease.pending.is_none());
    if let Some((expected, row)) = known_row {
        write(state, now, expected, Row { holder: None, ..row }, Cause::Stopping, out);
    }
}

/// Handles the table's answer to a call about the lease.
pub(crate) fn table_answered(
    state: &mut State,
    now: Time,
    step: &Step,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    match (step, reply) {
        (Step::Read, Ok(table::Reply::Rows(rows))) => row_read(state, now, rows.into_iter().next(), out),
        (Step::Write, Ok(table::Reply::Committed)) => committed(state, now, out),
        (Step::Write, Err(table::Failure::Unavailable)) => state.lease.pending = None,
        // A lease that cannot be released expires by itself, so the process need not wait for it.
        (Step::Read | Step::Write, Err(_)) if state.lease.released => state.lease.pending = None,
        (Step::Read, _) => {}
        (Step::Write, Ok(_) | Err(table::Failure::Unknown)) => {
            let Some(pending) = &mut state.lease.pending else {
                return;
            };
            pending.lost = true;
            if !pending.resent {
                read(state, out);
            }
        }
    }
    if state.lease.is_handed_back() {
        crate::drain::exit_if_idle(state, now, out);
    }
}

/// Applies the pending write, which took effect in the table.
fn committed(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let Some(Pending { row, expected, sent_at, cause, .. }) = state.lease.pending.take() else {
        return;
    };
    state.lease.unchanged_since = now;
    let mine = is_mine(state, &row);
    let fence = row.fence;
    state.lease.known_row = Some((table::Version(expected.0 + 1), row));
    if !mine {
        return;
    }
    if state.lease.released {
        let known_row = state.lease.known_row.clone();
        if let Some((expected, row)) = known_row {
            write(state, now, expected, Row { holder: None, ..row }, Cause::Stopping, out);
        }
        return;
    }
    let length = state.settings.lease_length;
    let newly_taken = state.lease.last_fence != Some(fence) || state.lease.held_until.is_none();
    state.lease.last_fence = Some(fence);
    state.lease.held_until = Some(sent_at + length.mul_f64(1.0 - MARGIN));
    if newly_taken {
        audit::record(state, now, Decision::LeaseTaken(fence), cause, out);
    }
    expire(state, now, out);
}

fn is_mine(state: &State, row: &Row) -> bool {
    row.holder.as_ref().is_some_and(|holder| holder.incarnation == state.me.incarnation)
}

/// Handles the row that was read: resolves a write whose answer was lost, or takes the lease if it is free.
fn row_read(state: &mut State, now: Time, found: Option<table::Row>, out: &mut Vec<Effect>) {
    let (version, row) = match found {
        Some(table::Row { version, value: table::Value::Lease(row), .. }) => (version, Some(row)),
        _ => (table::Version(0), None),
    };
    if state.lease.known_row.as_ref().is_some_and(|(known, _)| *known > version) {
        return;
    }
    if let Some(pending) = state.lease.pending.clone() {
        if !pending.lost {
            return;
        }
        resolve_lost_write(state, now, &pending, version, row.as_ref(), out);
        if state.lease.pending.is_some() {
            return;
        }
    }
    let unchanged = state.lease.known_row.as_ref().is_some_and(|(known, _)| *known == version);
    if !unchanged {
        state.lease.unchanged_since = now;
    }
    let known = row.clone();
    state.lease.known_row = row.map(|row| (version, row));
    let fence = known.as_ref().map_or(Fence(0), |row| row.fence);
    if state.lease.last_fence.is_some_and(|last_fence| last_fence < fence) {
        give_up(state, now, Cause::Superseded, out);
    }
    if state.drain.is_leaving() || state.lease.released {
        return;
    }
    take(state, now, version, known, out);
}

/// Takes the lease if nobody holds it or if it has expired.
fn take(
    state: &mut State,
    now: Time,
    expected: table::Version,
    known_row: Option<Row>,
    out: &mut Vec<Effect>,
) {
    let length_ms = state.settings.lease_length.as_millis() as u64;
    let holder = Some(Holder { vm: state.me.vm.clone(), incarnation: state.me.incarnation });
    let Some(known_row) = known_row else {
        let row = Row { holder, fence: Fence(1), renewal: 0, length_ms };
        write(state, now, expected, row, Cause::Vacant, out);
        return;
    };
    if is_mine(state, &known_row) {
        write(state, now, expected, Row { renewal: known_row.renewal + 1, ..known_row }, Cause::Vacant, out);
        return;
    }
    let unchanged_for = now.since(state.lease.unchanged_since);
    let cause = match &known_row.holder {
        None => Cause::Vacant,
        Some(_) if unchanged_for >= Duration::from_millis(known_row.length_ms) => Cause::Expired,
        Some(_) => return,
    };
    let row = Row { holder, fence: Fence(known_row.fence.0 + 1), renewal: 0, length_ms };
    write(state, now, expected, row, cause, out);
}

/// Decides by the row that was read whether a write whose answer was lost took effect.
fn resolve_lost_write(
    state: &mut State,
    now: Time,
    pending: &Pending,
    version: table::Version,
    row: Option<&Row>,
    out: &mut Vec<Effect>,
) {
    if row == Some(&pending.row) && version.0 == pending.expected.0 + 1 {
        committed(state, now, out);
        return;
    }
    if version != pending.expected {
        state.lease.pending = None;
        return;
    }
    // The lost write may still reach the table. Writing the same row over the same version again is safe:
    // whichever of the two comes first takes effect, and the other one fails.
    let write = table::Write {
        key: key(state),
        expect: pending.expected,
        value: Some(table::Value::Lease(pending.row.clone())),
    };
    if let Some(pending) = &mut state.lease.pending {
        pending.lost = false;
        pending.resent = true;
    }
    state.call(table::Call::Commit(vec![write]), Purpose::Lease(Step::Write), out);
}
