//! Requests that end without an engine's answer: refused, abandoned by their callers, or too late.

use std::time::Duration;

use boragecove_core::code::{Code, Outcome};
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Flow, RETRY_AFTER, Stage, can_load};
use crate::budget;
use crate::crash;
use crate::effect::Effect;
use crate::proof;
use crate::quota;
use crate::record::{Record, ms};
use crate::request::{Id, Refusal, Step};
use crate::state::State;

/// Refuses a request, or breaks its answer off if that has begun. `ran` means that an engine may have run it.
pub(super) fn refuse(
    state: &mut State,
    now: Time,
    id: Id,
    refusal: Refusal,
    ran: bool,
    out: &mut Vec<Effect>,
) {
    *state.refusals.entry(refusal.code).or_default() += 1;
    if refusal.code == Code::KeyUnproven {
        // The regular check runs once per frame interval: it would not log a shorter loss of the proof.
        proof::log_change(state, now, out);
    }
    out.push(Effect::Record(refused_record(state, now, id, refusal, ran)));
    out.push(Effect::Step { request: id, step: Step::Refuse(refusal) });
}

fn refused_record(state: &State, now: Time, id: Id, refusal: Refusal, ran: bool) -> Record {
    let flow = state.flows.get(&id);
    let proof = state.proof.age(now).filter(|_| state.needs_keys());
    Record::Refused {
        request: id.0,
        route: flow.map(|flow| flow.route.name.clone()),
        code: refusal.code.number(),
        label: refusal.code.label(),
        outcome: if ran { "unknown" } else { "not-run" },
        retry_after_ms: refusal.retry_after.map(ms),
        after_ms: flow.map_or(0, |flow| ms(now.since(flow.arrived))),
        charge: quota::charge_record(state, now, id),
        proof_age_ms: proof.map(ms),
    }
}

/// Ends a request without an answer of an engine.
pub(crate) fn give_up(
    state: &mut State,
    now: Time,
    id: Id,
    code: Code,
    retry_after: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let ran = flow.may_have_run || matches!(flow.stage, Stage::Sent { .. });
    // A code that guarantees that nothing ran must not be given to requests that may have run.
    let code = match code {
        Code::BuildGone | Code::OriginUnknown if ran => Code::Interrupted,
        code if ran && code.outcomes() == [Outcome::NotRun] => Code::BackendFailed,
        code => code,
    };
    let retry_after = if ran { None } else { retry_after };
    refuse(state, now, id, Refusal { code, retry_after }, ran, out);
    if !ran {
        quota::refund(state, now, id);
    }
    detach(state, id);
    remove(state, id);
}

/// Detaches a request from its engine. Returns the engine and when the request was sent there; none if it was not.
pub(crate) fn detach(state: &mut State, id: Id) -> Option<(Name, Time)> {
    let flow = state.flows.get_mut(&id)?;
    let (engine, at, begun) = match std::mem::replace(&mut flow.stage, Stage::Waiting) {
        Stage::Waiting | Stage::Tracing { .. } | Stage::Charging(_) => return None,
        Stage::Scheduling { pick, .. } => (pick.engine, None, false),
        Stage::Sent { engine, at, begun, .. } => (engine, Some(at), begun),
    };
    let load = flow.load(begun);
    if let Some(target) = flow.target() {
        state.demand.record_ended(&target);
    }
    if let Some(engine) = state.engines.get_mut(&engine) {
        engine.own_load = engine.own_load.minus(load);
    }
    at.map(|at| (engine, at))
}

/// Drops the state of a request.
pub(crate) fn remove(state: &mut State, id: Id) {
    let Some(flow) = state.flows.remove(&id) else {
        return;
    };
    crash::request_removed(state, id);
    budget::return_unused(state, &flow);
    if state.waiting.remove(&id)
        && let Some(target) = flow.target()
    {
        state.demand.end_wait(&target);
    }
}

/// Handles the disconnection of a request's caller.
pub(crate) fn caller_gone(state: &mut State, now: Time, id: Id) {
    let ran = |flow: &Flow| flow.may_have_run || matches!(flow.stage, Stage::Sent { .. });
    if !state.flows.get(&id).is_none_or(ran) {
        quota::refund(state, now, id);
    }
    detach(state, id);
    remove(state, id);
}

/// Ends a request whose deadline has passed.
pub(crate) fn deadline_passed(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let ran = flow.may_have_run || matches!(flow.stage, Stage::Sent { .. });
    let code = if ran { Code::DeadlinePassed } else { Code::DeadlineUnreachable };
    give_up(state, now, id, code, Some(RETRY_AFTER), out);
}

/// The `retry_after` for a caller whose wait has expired. While nobody may send orders, no model is loaded. Callers have one or
/// two more attempts, and would use them up before anything can have changed. On days with faults that is the case for 57% to
/// 82% of the requests whose wait expires.
fn retry_after_wait(state: &State, now: Time, id: Id) -> Duration {
    let waits_for_model = state.flows.get(&id).is_some_and(|flow| flow.prompt.is_some());
    if waits_for_model && !can_load(state, now) {
        return state.lease.orders_allowed_in(now).unwrap_or(state.settings.order_gap) + RETRY_AFTER;
    }
    RETRY_AFTER
}

/// Ends a request that has waited for a model or an engine as long as it may.
pub(crate) fn wait_expired(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    if state.waiting.contains(&id) {
        let retry_after = retry_after_wait(state, now, id);
        give_up(state, now, id, Code::NoBackend, Some(retry_after), out);
    }
}
