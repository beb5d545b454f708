//! Closes a copy of a model before it is dropped: every entry VM of the zone first stops sending requests
//! to it.
//!
//! The unload is ordered once all entry VMs have acknowledged and a later report shows no request running
//! on the copy. The wait for acknowledgements is limited by `PATIENCE`. A missing acknowledgement is safe:
//! the engine refuses to drop a copy with running requests, and refuses requests for a dropped copy without
//! running them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::effect::Effect;
use crate::engine::Report;
use crate::id::Incarnation;
use crate::member;
use crate::name::Name;
use crate::peer::{Closing, Item};
use crate::route::Work;
use crate::route_sync;
use crate::state::State;
use crate::time::Time;

/// Time for which an entry VM sends nothing to a closed copy unless the close message is repeated.
const MARK_LENGTH: Duration = Duration::from_secs(15);
/// Interval at which the close message is repeated.
const REPEAT_EVERY: Duration = Duration::from_secs(4);
/// Maximum wait for acknowledgements.
const ACKNOWLEDGE_MAX: Duration = Duration::from_secs(10);
/// Time after which a closed copy that could not be dropped is used again.
const CLOSED_MAX: Duration = Duration::from_mins(5);

type Copy = (Name, Artifact);

/// Copies that are being closed.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Copies that this process, as lease holder, is about to drop.
    pending: BTreeMap<Copy, Pending>,
    /// Copies that this process sends no requests to.
    marks: BTreeMap<Copy, Mark>,
}

#[derive(Debug)]
struct Pending {
    cause: Cause,
    since: Time,
    sent_at: Time,
    acknowledged: BTreeSet<Name>,
    /// Latest report of the engine when the wait for acknowledgements ended. Only a later report can show
    /// that the copy is idle.
    settled: Option<(Incarnation, u64)>,
}

#[derive(Debug)]
struct Mark {
    until: Time,
    /// Entry VM that waits for an acknowledgement.
    acknowledge_to: Option<Name>,
}

impl Part {
    /// Whether this process, as lease holder, is about to drop the copy.
    pub(crate) fn is_closing(&self, engine: &Name, artifact: &Artifact) -> bool {
        self.pending.contains_key(&(engine.clone(), artifact.clone()))
    }
}

/// Starts to close a copy.
pub(crate) fn begin(
    state: &mut State,
    now: Time,
    engine: &Name,
    artifact: &Artifact,
    cause: Cause,
    out: &mut Vec<Effect>,
) {
    let copy = (engine.clone(), artifact.clone());
    if state.close.pending.contains_key(&copy) {
        return;
    }
    let pending = Pending { cause, since: now, sent_at: now, acknowledged: BTreeSet::new(), settled: None };
    state.close.pending.insert(copy.clone(), pending);
    mark(state, now, copy, None);
    broadcast(state, Item::Close, engine, artifact, out);
}

fn broadcast(
    state: &mut State,
    item: fn(Closing) -> Item,
    engine: &Name,
    artifact: &Artifact,
    out: &mut Vec<Effect>,
) {
    let closing = Closing { engine: engine.clone(), artifact: artifact.clone() };
    member::send_to_zone(state, &[item(closing)], out);
}

/// Cancels the close of a copy, so that it is used again.
pub(crate) fn reopen(
    state: &mut State,
    now: Time,
    engine: &Name,
    artifact: &Artifact,
    out: &mut Vec<Effect>,
) {
    let copy = (engine.clone(), artifact.clone());
    if state.close.pending.remove(&copy).is_some() {
        unmark(state, now, &copy);
        broadcast(state, Item::Reopen, engine, artifact, out);
    }
}

/// Cancels all closes after the lease has passed to another process. Entry VMs use the copies again once
/// their marks expire.
pub(crate) fn abandon(state: &mut State) {
    state.close.pending.clear();
}

/// Returns the copies that the lease holder can drop now: no entry VM sends to them and no request runs on
/// them.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) -> Vec<(Name, Artifact, Cause)> {
    let mut ready = Vec::new();
    let copies: Vec<Copy> = state.close.pending.keys().cloned().collect();
    for copy in copies {
        let (engine, artifact) = &copy;
        let report = state.fleet.backends.get(engine).and_then(|backend| backend.report.clone());
        let held = report.as_ref().is_some_and(|report| requests_on(report, artifact).is_some());
        if !held {
            state.close.pending.remove(&copy);
            unmark(state, now, &copy);
            continue;
        }
        if state.ledger.has_open_unload(engine, artifact) {
            mark(state, now, copy, None);
            continue;
        }
        let since = state.close.pending.get(&copy).map_or(now, |pending| pending.since);
        if now.since(since) > CLOSED_MAX {
            reopen(state, now, engine, artifact, out);
            continue;
        }
        repeat_close(state, now, &copy, out);
        if let Some(cause) = report.as_ref().and_then(|report| settled(state, now, &copy, report)) {
            ready.push((engine.clone(), artifact.clone(), cause));
        }
    }
    ready
}

fn repeat_close(state: &mut State, now: Time, copy: &Copy, out: &mut Vec<Effect>) {
    let Some(pending) = state.close.pending.get_mut(copy) else {
        return;
    };
    if now.since(pending.sent_at) < REPEAT_EVERY {
        return;
    }
    pending.sent_at = now;
    mark(state, now, copy.clone(), None);
    broadcast(state, Item::Close, &copy.0, &copy.1, out);
}

/// Returns the cause of the drop once all entry VMs have acknowledged, or `ACKNOWLEDGE_MAX` has passed, and a
/// later report shows no running request.
fn settled(state: &mut State, now: Time, copy: &Copy, report: &Report) -> Option<Cause> {
    let (engine, artifact) = copy;
    let own_attempts = state.routes.open_attempts_for(engine, &Work::Artifact(artifact.clone()));
    let peers: Vec<Name> = member::zone_peers(state)
        .filter(|(_, peer)| peer.is_available())
        .map(|(name, _)| name.clone())
        .collect();
    let pending = state.close.pending.get_mut(copy)?;
    let all = own_attempts == 0 && peers.iter().all(|peer| pending.acknowledged.contains(peer));
    if !all && now.since(pending.since) < ACKNOWLEDGE_MAX {
        return None;
    }
    let (incarnation, seq) = *pending.settled.get_or_insert((report.incarnation, report.seq));
    let later = report.incarnation != incarnation || report.seq > seq;
    (later && requests_on(report, artifact) == Some(0)).then_some(pending.cause)
}

fn requests_on(report: &Report, artifact: &Artifact) -> Option<u32> {
    report.copies.iter().find(|copy| copy.artifact == *artifact).map(|copy| copy.requests)
}

fn mark(state: &mut State, now: Time, copy: Copy, acknowledge_to: Option<Name>) {
    if let Some(backend) = state.fleet.backends.get_mut(&copy.0)
        && !backend.closing.contains(&copy.1)
    {
        backend.closing.push(copy.1.clone());
    }
    let engine = copy.0.clone();
    state.close.marks.insert(copy, Mark { until: now + MARK_LENGTH, acknowledge_to });
    route_sync::refresh(state, now, &engine);
}

fn unmark(state: &mut State, now: Time, copy: &Copy) {
    state.close.marks.remove(copy);
    if let Some(backend) = state.fleet.backends.get_mut(&copy.0) {
        backend.closing.retain(|artifact| *artifact != copy.1);
    }
    route_sync::refresh(state, now, &copy.0);
}

/// Sends the acknowledgements that are due, and removes expired marks so that the copies are used again.
pub(crate) fn tick(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let expired: Vec<Copy> = state
        .close
        .marks
        .iter()
        .filter(|(copy, mark)| mark.until <= now && !state.close.pending.contains_key(*copy))
        .map(|(copy, _)| copy.clone())
        .collect();
    for copy in expired {
        unmark(state, now, &copy);
    }
    let acknowledge_to: Vec<Copy> = state
        .close
        .marks
        .iter()
        .filter(|(_, mark)| mark.acknowledge_to.is_some())
        .map(|(copy, _)| copy.clone())
        .collect();
    for copy in acknowledge_to {
        acknowledge(state, &copy, out);
    }
}

fn acknowledge(state: &mut State, copy: &Copy, out: &mut Vec<Effect>) {
    if state.routes.open_attempts_for(&copy.0, &Work::Artifact(copy.1.clone())) > 0 {
        return;
    }
    let Some(peer) = state.close.marks.get_mut(copy).and_then(|mark| mark.acknowledge_to.take()) else {
        return;
    };
    let closing = Closing { engine: copy.0.clone(), artifact: copy.1.clone() };
    member::send(state, &peer, vec![Item::Closed(closing)], out);
}

/// Handles a close message of the lease holder.
pub(crate) fn receive_close(
    state: &mut State,
    now: Time,
    from: &Name,
    closing: Closing,
    out: &mut Vec<Effect>,
) {
    let copy = (closing.engine, closing.artifact);
    mark(state, now, copy.clone(), Some(from.clone()));
    acknowledge(state, &copy, out);
}

/// Handles an acknowledgement of an entry VM.
pub(crate) fn receive_closed(state: &mut State, from: &Name, closing: Closing) {
    if let Some(pending) = state.close.pending.get_mut(&(closing.engine, closing.artifact)) {
        pending.acknowledged.insert(from.clone());
    }
}

/// Handles a message that a copy is to be used again.
pub(crate) fn receive_reopen(state: &mut State, now: Time, closing: Closing) {
    unmark(state, now, &(closing.engine, closing.artifact));
}
