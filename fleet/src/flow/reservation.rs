//! The reservation of a request at the chosen engine, and its sending.

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Flow, RETRY_AFTER, Stage, detach, dispatch, give_up};
use crate::access;
use crate::choose::Pick;
use crate::crash;
use crate::effect::Effect;
use crate::engine::Engine;
use crate::path;
use crate::proof;
use crate::quota;
use crate::rate_limit;
use crate::record::{Record, ms};
use crate::regions;
use crate::request::{Attempt, Id, Refusal, Step};
use crate::schedule::{self, Cost, Grant, ReservationRequest};
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// How long after its time a reservation at a rate-limited engine may still be used. A machine that was suspended could otherwise
/// send it late, on top of the reservations of others.
const RESERVATION_GRACE: Duration = Duration::from_millis(300);

/// Counts a request at the chosen engine, and sends it at once or after a reservation in the engine's schedule.
pub(super) fn reserve(state: &mut State, now: Time, id: Id, pick: Pick, fresh: bool, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let surge = rate_limit::surge_limit(state, &flow.service);
    let bound =
        state.engines.get(&pick.engine).and_then(|engine| rate_limit::effective_limit(state, now, engine));
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let Some(engine) = state.engines.get_mut(&pick.engine) else {
        return;
    };
    engine.own_load = engine.own_load.plus(flow.load(false));
    if let Some(target) = flow.target() {
        if !fresh {
            state.demand.end_wait(&target);
        }
        state.demand.record_sent(&target);
    }
    let limit = state.rate_limits.report(now, engine);
    let cold_left = engine.cold.map(|cold| cold.until.since(now)).filter(|left| !left.is_zero());
    let limited = bound.is_some();
    let brittle = limited && state.rate_limits.limit_of(engine, now).is_none();
    let spaced = flow.prompt.is_some() && state.settings.is_enabled(Mechanism::Spacing);
    if !limited && !spaced && surge.is_none() {
        send(state, now, id, &pick, Duration::ZERO, out);
        return;
    }
    // After a denied reservation, the request takes any wait that its time allows at the next engine.
    let slack = pick.slack.max(state.settings.schedule_slack);
    let wait_cap =
        if limited { flow.reservation_wait_max(&state.settings) } else { state.settings.schedule_wait };
    let wait_cap = if brittle { wait_cap.min(rate_limit::WAIT_MAX) } else { wait_cap };
    let permit_left = flow.retry.until().map_or(Duration::MAX, |until| until.since(now));
    let wait_left =
        flow.begin_by.since(now).saturating_sub(state.settings.answer_reserve).min(wait_cap).min(permit_left);
    let expected = engine.schedule.wait(now);
    let wait_max =
        if flow.reservations_denied == 0 { expected.saturating_add(slack).min(wait_left) } else { wait_left };
    let mut cost = Cost::default();
    if spaced {
        cost = Cost::new(flow.prefill, state.speed.event_time(&flow.service), &flow.route);
    }
    if !state.settings.is_enabled(Mechanism::DeadlinePressure) {
        cost.target = Duration::ZERO;
    }
    let ask = ReservationRequest { engine: pick.engine.clone(), cost, wait_max, limit, cold_left };
    let zone = &engine.entry.zone;
    let owner = if limited {
        state.members.sole_owner(&pick.engine, zone).cloned()
    } else {
        state.members.owner(&pick.engine, zone, now).cloned()
    };
    let owner = owner.filter(|owner| owner.vm != state.me.vm);
    flow.stage = Stage::Scheduling {
        pick,
        ask: Box::new(ask.clone()),
        owner: owner.as_ref().map_or_else(|| state.me.vm.clone(), |owner| owner.vm.clone()),
    };
    if let Some(owner) = owner {
        out.push(Effect::Reserve { address: owner.address, request: id, ask });
        return;
    }
    let grant = schedule::grant(state, now, &ask);
    state.rate_limits.count_answer(&ask, Some(grant));
    if grant == Grant::Elsewhere {
        schedule::learn_grant(state, now, &ask, grant);
    }
    grant_received(state, now, id, grant, out);
}

/// Handles the answer of a schedule's owner; `grant` is none if it did not answer.
pub(crate) fn reservation_answered(
    state: &mut State,
    now: Time,
    id: Id,
    grant: Option<Grant>,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let surge = rate_limit::surge_limit(state, &flow.service);
    let Stage::Scheduling { ask, owner, .. } = flow.stage.clone() else {
        return;
    };
    state.rate_limits.count_answer(&ask, grant);
    if let Some(grant) = grant {
        schedule::learn_grant(state, now, &ask, grant);
        grant_received(state, now, id, grant, out);
        return;
    }
    schedule::owner_timed_out(state, now, &owner, out);
    if is_limited(state, now, &ask.engine) {
        // Only the owner may grant reservations at a rate-limited engine.
        detach(state, id);
        dispatch(state, now, id, true, out);
        return;
    }
    if surge.is_some() {
        // The engine may be cold, and the next owner may know how many requests it has had.
        grant_received(state, now, id, Grant::Elsewhere, out);
        return;
    }
    let grant = schedule::grant(state, now, &ask);
    grant_received(state, now, id, grant, out);
}

/// Sends a request whose reservation was granted, or looks for another engine if it was denied.
fn grant_received(state: &mut State, now: Time, id: Id, grant: Grant, out: &mut Vec<Effect>) {
    let Some(Flow { stage: Stage::Scheduling { pick, ask, .. }, reservations_denied: denied, .. }) =
        state.flows.get(&id)
    else {
        return;
    };
    let (pick, denied) = (pick.clone(), *denied);
    // The reservation may have been granted by an owner that did not know the rate limit.
    let unaware = !ask.is_limited() && is_limited(state, now, &pick.engine);
    if let Err(Refusal { code, retry_after }) = access::recheck(state, now, id) {
        give_up(state, now, id, code, retry_after, out);
        return;
    }
    match grant {
        Grant::After(wait)
            if !unaware && !state.freshness.awaits_refresh() && can_be_sent(state, now, id, &pick.engine) =>
        {
            send(state, now, id, &pick, wait, out);
        }
        // The engine was removed, suspected or rate-limited meanwhile, or the engines' table awaits a refresh.
        Grant::After(_) => {
            detach(state, id);
            dispatch(state, now, id, true, out);
        }
        Grant::Busy(_) | Grant::Elsewhere if denied == 0 => {
            detach(state, id);
            if let Some(flow) = state.flows.get_mut(&id) {
                flow.reservations_denied += 1;
            }
            dispatch(state, now, id, true, out);
        }
        Grant::Busy(wait) => {
            give_up(state, now, id, Code::DeadlineUnreachable, Some(wait), out);
        }
        Grant::Elsewhere => {
            give_up(state, now, id, Code::DeadlineUnreachable, Some(RETRY_AFTER), out);
        }
    }
}

/// Whether a rate limit applies to an engine.
fn is_limited(state: &State, now: Time, engine: &Name) -> bool {
    state.engines.get(engine).is_some_and(|engine| rate_limit::effective_limit(state, now, engine).is_some())
}

/// Whether an engine can still be sent the request that it was chosen for.
fn can_be_sent(state: &State, now: Time, id: Id, engine: &Name) -> bool {
    let Some(flow) = state.flows.get(&id) else {
        return false;
    };
    let (prompt, regions) = (flow.prompt.as_ref(), regions::of_request(state, flow));
    let serves = |engine: &Engine| {
        prompt.is_none_or(|prompt| engine.serves(&prompt.model, prompt.adapter.as_deref(), now))
    };
    let engine = state.engines.get(engine);
    engine.is_some_and(|engine| {
        engine.takes_work()
            && path::is_reachable(state, now, engine, false)
            && engine.health.pause_left(now).is_none()
            && serves(engine)
            && regions::permit(state, &regions, engine).is_some()
            && flow.pin.allows(engine.entry.build.as_ref())
    })
}

fn send(state: &mut State, now: Time, id: Id, pick: &Pick, wait: Duration, out: &mut Vec<Effect>) {
    let hub_age = state.hub.age(now);
    let listed_age = state.freshness.age(now);
    let config = state.config.as_ref().map_or(0, |config| config.version);
    let silence = state.settings.engine_silence;
    let charge = quota::charge_record(state, now, id);
    let send_by = proof::valid_until(state);
    let surge = state.flows.get(&id).and_then(|flow| rate_limit::surge_limit(state, &flow.service));
    let bound =
        state.engines.get(&pick.engine).and_then(|engine| rate_limit::effective_limit(state, now, engine));
    let relay = state.engines.get(&pick.engine).and_then(|engine| path::relay_of(state, engine)).cloned();
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let Some(engine) = state.engines.get_mut(&pick.engine) else {
        return;
    };
    let at = now + wait;
    engine.health.last_sent = Some(at);
    let limit = state.rate_limits.limit_of(engine, now);
    let reported = state.rate_limits.reported_limit(engine).is_some() || state.rate_limits.is_brittle(engine);
    if limit.is_some() {
        state.rate_limits.count_sent();
    }
    let reservation_until = (bound.is_some() || surge.is_some()).then_some(at + RESERVATION_GRACE);
    flow.attempts_made += 1;
    flow.attempts_used += 1;
    flow.retry = flow.retry.sent();
    flow.reservations_denied = 0;
    state.paths.sent_by_relay += u64::from(relay.is_some());
    let relay_vm = relay.as_ref().map(|relay| relay.vm.clone());
    flow.stage = Stage::Sent { engine: pick.engine.clone(), at, begun: false, relay: relay_vm.clone() };
    out.push(Effect::Record(Record::Sent {
        request: id.0,
        attempt: flow.attempts_made,
        engine: pick.engine.clone(),
        build: engine.entry.build.clone(),
        route: flow.route.name.clone(),
        config,
        cost_ms: (pick.cost_ms * 10.0).round() / 10.0,
        relay: relay_vm,
        candidates: pick.candidates,
        open: engine.load().open.saturating_sub(1),
        hub_age_ms: ms(hub_age.min(Duration::from_hours(1))),
        listed_age_ms: listed_age.map(ms),
        wait_ms: ms(wait),
        target_ms: ms(flow.route.target),
        pause_max_ms: flow.route.kind.streams().then_some(ms(flow.route.pause)),
        left_ms: ms(flow.deadline.since(now)),
        limit_per_s: limit.map(|limit| limit.per_s),
        limit_age_ms: limit.map(|limit| ms(now.since(limit.reported_at))),
        charge,
    }));
    let attempt = Attempt {
        number: flow.attempts_made,
        engine: pick.engine.clone(),
        incarnation: engine.entry.incarnation,
        build: engine.entry.build.clone(),
        address: engine.entry.address,
        relay,
        at,
        deadline: flow.deadline,
        priority: flow.priority(),
        streams: flow.route.kind.streams(),
        workspace: flow.workspace.as_ref().map(|workspace| workspace.name.clone()),
        send_by: send_by
            .filter(|_| flow.workspace.is_some())
            .into_iter()
            .chain(reservation_until)
            .chain(flow.retry.until())
            .min(),
        write_by: at + state.settings.departure_bound.send_delay_max(),
        limited: reported,
        permit: pick.permit,
    };
    state.timers.set(at + silence, Timer::Silence(id, attempt.number));
    crash::trial_sent(state, now, id, &attempt.engine, out);
    out.push(Effect::Step { request: id, step: Step::Send(attempt) });
}
