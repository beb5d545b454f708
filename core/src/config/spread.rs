//! Distribution of the configuration: pushed to peers, requested from peers, read from the table.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Delta, HISTORY_MAX, Head, Step, TableCall};
use crate::audit::{self, Cause, Decision};
use crate::catalog::Catalog;
use crate::code::Code;
use crate::effect::Effect;
use crate::id;
use crate::member;
use crate::name::Name;
use crate::operator::{Answer, Refusal};
use crate::peer::Item;
use crate::state::{Purpose, State};
use crate::table::{Call, Failure, Key, Prefix, Reply, Row, Value};
use crate::time::Time;
use crate::timer::Timer;

/// Minimum time between two requests to peers for newer versions.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Doublings of the read interval while there is no configuration; the regular interval is its limit.
const STARTUP_DOUBLINGS: u32 = 8;
/// Doublings of the regular read interval while the table does not answer.
const SLOWDOWN_DOUBLINGS: u32 = 2;

/// The peers that a new version is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// All peers that this entry VM exchanges frames with.
    All,
    /// Only peers of other zones, since the sender of the version informs its own zone.
    OtherZones,
}

/// Reads the table and schedules the next read with jitter, later after reads without result. One entry VM
/// of the zone reads often, so that a zone cut off from the others learns of a change soon; the others read
/// seldom, to limit the load on the table.
pub(crate) fn poll(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    read(state, out);
    let is_reader = member::is_forwarder(state, &state.me.zone);
    let interval = if is_reader { state.settings.config_first } else { state.settings.config_every };
    let failed_reads = state.config.failed_reads;
    let base = if state.config.version == 0 {
        interval.min(state.settings.settle_every * (1 << failed_reads.min(STARTUP_DOUBLINGS)))
    } else {
        interval * (1 << failed_reads.min(SLOWDOWN_DOUBLINGS))
    };
    let wait = base.mul_f64(0.75 + 0.5 * state.rng.f64());
    state.timers.set(now + wait, Timer::Config);
}

/// Reads the changes above the version in force, or the head if there is no configuration yet.
pub(crate) fn read(state: &mut State, out: &mut Vec<Effect>) {
    let version = state.config.version;
    if version == 0 {
        state.call(Call::Get(vec![Key::Config]), Purpose::Config(TableCall::Head), out);
    } else {
        state.call(Call::List(Prefix::ChangesAfter(version)), Purpose::Config(TableCall::Changes), out);
    }
}

/// Handles the table's answer to a read.
pub(super) fn read_answered(
    state: &mut State,
    now: Time,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    let Ok(Reply::Rows(rows)) = reply else {
        state.config.failed_reads = state.config.failed_reads.saturating_add(1);
        return;
    };
    let before = state.config.version;
    adopt_rows(state, now, rows, out);
    if state.config.version > before {
        push(state, Audience::All, out);
    }
    let not_found = state.config.version == 0;
    state.config.failed_reads = if not_found { state.config.failed_reads.saturating_add(1) } else { 0 };
}

/// Adopts newer versions from rows of the table.
pub(super) fn adopt_rows(state: &mut State, now: Time, rows: Vec<Row>, out: &mut Vec<Effect>) {
    let mut has_gap = false;
    for row in rows {
        match row.value {
            Value::Config(head) => adopt(state, now, &head, out),
            Value::Change(change) if change.version > state.config.version => match change.delta {
                Some(delta) if change.version == state.config.version + 1 && state.config.version > 0 => {
                    adopt_step(state, now, Step { version: change.version, op: change.op, delta }, out);
                }
                _ => has_gap = true,
            },
            _ => {}
        }
    }
    if has_gap && state.config.version > 0 {
        state.call(Call::Get(vec![Key::Config]), Purpose::Config(TableCall::Head), out);
    }
}

/// Adopts a head if it is newer than the version in force.
pub(crate) fn adopt(state: &mut State, now: Time, head: &Head, out: &mut Vec<Effect>) {
    let current = state.config.version;
    if head.version <= current {
        return;
    }
    state.config.highest_known = state.config.highest_known.max(head.version);
    // A process that has just started does not serve a version that it knows to be outdated.
    if current == 0 && head.version < state.config.highest_known {
        return;
    }
    let delta = (head.version == current + 1)
        .then(|| Delta::between(&state.config.document, &head.document))
        .flatten();
    put_in_force(state, now, head.clone(), out);
    match delta {
        Some(delta) if current > 0 => state.config.keep(Step { version: head.version, op: head.op, delta }),
        _ => state.config.steps.clear(),
    }
}

/// Adopts a step if it starts from the version in force.
pub(super) fn adopt_step(state: &mut State, now: Time, step: Step, out: &mut Vec<Effect>) {
    if step.version != state.config.version + 1 {
        return;
    }
    let document = Arc::new(step.delta.apply(&state.config.document));
    put_in_force(state, now, Head { version: step.version, op: step.op, document }, out);
    state.config.keep(step);
}

fn put_in_force(state: &mut State, now: Time, head: Head, out: &mut Vec<Effect>) {
    let is_first = state.config.version == 0;
    state.config.version = head.version;
    state.config.op = Some(head.op);
    state.config.highest_known = state.config.highest_known.max(head.version);
    state.config.catalog = Catalog::new(&head.document);
    state.config.document = head.document;
    audit::record(state, now, Decision::Configured(head.version), Cause::Operator, out);
    if is_first && !state.drain.is_leaving() {
        out.push(Effect::Ready(true));
    }
    crate::collect::assign_collectors(state, now);
    crate::route_sync::config_changed(state, now, out);
}

/// Immediately sends a frame to the peers that are not known to have the version in force. It contains the
/// steps they lack if these are still kept, otherwise only the version, so that they ask for the full
/// document.
pub(crate) fn push(state: &mut State, audience: Audience, out: &mut Vec<Effect>) {
    let version = state.config.version;
    for (peer, peer_version) in member::outdated_peers(state, version, audience) {
        let steps = state.config.steps_from(peer_version);
        let items = steps.map(Item::Steps).into_iter().collect();
        member::send(state, &peer, items, out);
    }
}

/// Answers a peer that asks for changes above the version `peer_version`.
pub(crate) fn answer_request(state: &mut State, peer: &Name, peer_version: u64, out: &mut Vec<Effect>) {
    if peer_version >= state.config.version {
        return;
    }
    let items = match (state.config.steps_from(peer_version), state.config.op) {
        (Some(steps), _) => vec![Item::Steps(steps)],
        (None, Some(op)) => {
            let document = Arc::clone(&state.config.document);
            vec![Item::Config(Box::new(Head { version: state.config.version, op, document }))]
        }
        (None, None) => return,
    };
    member::send(state, peer, items, out);
}

/// Handles the version that a peer reported as in force, and asks the peer for the changes if it is newer.
pub(crate) fn version_received(
    state: &mut State,
    now: Time,
    peer: &Name,
    peer_version: u64,
    out: &mut Vec<Effect>,
) {
    state.config.highest_known = state.config.highest_known.max(peer_version);
    if peer_version <= state.config.version {
        return;
    }
    if state.config.requested_at.is_some_and(|at| now.since(at) < REQUEST_INTERVAL) {
        return;
    }
    state.config.requested_at = Some(now);
    let item = Item::WantConfig(state.config.version);
    member::send(state, peer, vec![item], out);
}

/// Adopts steps from a peer.
pub(crate) fn steps_received(state: &mut State, now: Time, steps: Vec<Step>, out: &mut Vec<Effect>) {
    if state.config.version == 0 {
        return;
    }
    for step in steps {
        adopt_step(state, now, step, out);
    }
}

/// Reads the latest changes from the table for an operator.
pub(crate) fn request_history(state: &mut State, ask: id::Ask, out: &mut Vec<Effect>) {
    let after = state.config.version.saturating_sub(HISTORY_MAX);
    let call = Call::List(Prefix::ChangesAfter(after));
    state.call(call, Purpose::Config(TableCall::History(ask)), out);
}

/// Handles the table's answer to the read of the history for an operator.
pub(super) fn history_answered(
    state: &State,
    ask: id::Ask,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    let Ok(Reply::Rows(rows)) = reply else {
        let refusal = Refusal {
            code: Code::PlatformDown,
            reasons: vec!["the history is kept in the platform's table, which does not answer".into()],
            hint: "try again once the platform answers".into(),
            version: Some(state.config.version),
        };
        out.push(Effect::Answer { ask, answer: Box::new(Answer::Error(refusal)) });
        return;
    };
    let mut changes: Vec<Change> = rows
        .into_iter()
        .filter_map(|row| match row.value {
            Value::Change(change) => Some(Change { delta: None, ..*change }),
            _ => None,
        })
        .collect();
    changes.sort_by_key(|change| std::cmp::Reverse(change.version));
    changes.truncate(HISTORY_MAX as usize);
    out.push(Effect::Answer { ask, answer: Box::new(Answer::History(changes)) });
}
