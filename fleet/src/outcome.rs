//! Results of attempts: what they show about engines, and whether another attempt follows.

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget::{self, Obtained, Retry};
use crate::config::Kind;
use crate::crash::{self, Lost};
use crate::effect::Effect;
use crate::engine::{Engine, Load};
use crate::flow::{self, Stage};
use crate::frame::Absent;
use crate::ledger;
use crate::path;
use crate::pin;
use crate::proof;
use crate::rate_limit;
use crate::record::{Record, ms};
use crate::request::{Cause, End, Id, Step, Timing};
use crate::settings::Mechanism;
use crate::state::State;
use crate::suspicion;
use crate::timer::Timer;

/// Refusals by engines after which a request may still be sent to another one. They do not count as attempts of the route, because
/// a refusal proves that the request has not run.
const REFUSALS_MAX: u32 = 2;
/// Failed connections to an engine, direct or through a relay, after which the engine is excluded for the request.
const CONNECT_FAILURES_MAX: usize = 2;
/// Divisor of a request's time. An idempotent request whose answer has not begun after that part of its time moves to another
/// engine.
const HANG_DIVISOR: u32 = 3;

/// Handles events of an answer that an engine of this build wrote. They are forwarded to the caller.
pub(crate) fn events_received(
    state: &mut State,
    now: Time,
    id: Id,
    build: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let engine = match &flow.stage {
        Stage::Sent { engine, .. } => state.engines.get(engine),
        Stage::Waiting | Stage::Tracing { .. } | Stage::Charging(_) | Stage::Scheduling { .. } => None,
    };
    // If the engine's row names another build by now, the request was sent by an outdated row, or the engine has restarted since.
    let build = build.filter(|build| engine.is_none_or(|engine| engine.entry.build.as_ref() == Some(build)));
    let begins_stream = !flow.pin.is_restricted();
    flow.pin.events_from(build);
    flow.may_have_run = true;
    if begins_stream {
        pin::stream_began(state, now, id, out);
    }
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let reading_us = flow.load(false).reading_us;
    let arrived = flow.arrived;
    let prompt = flow.prompt.clone();
    let Stage::Sent { engine, begun, at, relay } = &mut flow.stage else {
        return;
    };
    let first = !std::mem::replace(begun, true);
    let first_at = *flow.first_event_at.get_or_insert(now);
    if first {
        out.push(Effect::Record(Record::Began {
            request: id.0,
            engine: engine.clone(),
            after_ms: ms(now.since(arrived)),
            sent_ms: ms(now.since(*at)),
        }));
        if let Some(prompt) = prompt {
            // The time at a crowded or rate-limited engine does not show how fast others read.
            let slowed =
                |engine: &Engine| engine.is_crowded() || state.rate_limits.limit_of(engine, now).is_some();
            if !state.engines.get(engine).is_some_and(slowed)
                && state.settings.is_enabled(Mechanism::MeasuredSpeed)
            {
                state.speed.learn_prefill(&flow.service, &prompt.model, prompt.tokens, now.since(*at));
            }
        }
    }
    let (engine, at, relayed) = (engine.clone(), *at, relay.is_some());
    if first {
        crash::answer_began(state, now, id);
    }
    crash::answer_continued(state, now, id, first_at, out);
    suspicion::attempt_responded(state, now, &engine, relayed, at, out);
    if let Some(engine_state) = state.engines.get_mut(&engine).filter(|_| first) {
        engine_state.own_load = engine_state.own_load.minus(Load { open: 0, reading_us });
    }
}

/// How a request's attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    /// The attempt's number.
    pub(crate) attempt: u32,
    pub(crate) end: End,
    pub(crate) events: Timing,
}

/// A failed attempt, after which the request may be retried.
#[derive(Clone, Copy, Debug)]
struct Failure {
    end: End,
    /// Whether the request may have crashed a second engine. That is known a moment later: an engine that got the request at once
    /// would crash too.
    may_crash_again: bool,
}

/// Handles the end of a request's attempt.
pub(crate) fn attempt_ended(state: &mut State, now: Time, id: Id, ended: AttemptEnd, out: &mut Vec<Effect>) {
    let AttemptEnd { attempt: number, end, events } = ended;
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if flow.attempts_made != number {
        return;
    }
    let begun = matches!(flow.stage, Stage::Sent { begun: true, .. });
    let relay = match &flow.stage {
        Stage::Sent { relay, .. } => relay.clone(),
        Stage::Waiting | Stage::Tracing { .. } | Stage::Charging(_) | Stage::Scheduling { .. } => None,
    };
    let (request, first_at) = (flow.fingerprint, flow.first_event_at.take());
    let Some((engine, at)) = flow::detach(state, id) else {
        return;
    };
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    out.push(Effect::Record(Record::Ended {
        request: id.0,
        attempt: number,
        engine: engine.clone(),
        end: end.label(),
        not_run: end.proves_not_run(),
        after_ms: ms(now.since(at)),
        pause_ms: ms(events.longest_pause),
    }));
    if end.proves_not_run() {
        flow.attempts_used -= 1;
    } else {
        flow.may_have_run = true;
    }
    if matches!(end, End::Refused(_)) {
        flow.refusals += 1;
    }
    if end.proves_not_run() {
        crash::attempt_not_run(state, id);
    }
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let took = now.since(at);
    let service = flow.service.clone();
    let call_target = flow.prompt.is_none().then_some(flow.route.target);
    let suspect = end == End::Lost && crash::is_suspect(now, first_at);
    let may_crash_again = suspect
        && (!begun && state.crashes.is_suspected(request) || state.crashes.has_suspected_part(&flow.parts));
    if suspect {
        crash::connection_lost(state, now, id, Lost { engine: &engine, sent: at, begun }, out);
    }
    update_engine(state, now, id, EndedAttempt { engine: &engine, end, relay, at }, out);
    if let Some(target) = call_target {
        learn_queue_wait(state, now, &service, &engine, end, took, target);
    }
    match end {
        End::Done => {
            if events.unframed {
                crash::connection_closed(state, now, id, Lost { engine: &engine, sent: at, begun }, first_at);
            } else {
                crash::request_succeeded(state, now, request, out);
                crash::mark_sound(state, now, id, first_at.unwrap_or(now), out);
            }
            state.record_run(&service, took);
            if let Some(gap) = events.mean_gap {
                state.speed.learn_event(&service, gap);
            }
            flow::remove(state, id);
            out.push(Effect::Step { request: id, step: Step::Forward });
        }
        End::Failed | End::Unsent | End::Withheld | End::Refused(_) | End::Lost | End::Broken => {
            retry(state, now, id, engine, Failure { end, may_crash_again }, out);
        }
    }
}

/// Learns from the end of a call of a plain service how long calls wait in the queue of its engine.
fn learn_queue_wait(
    state: &mut State,
    now: Time,
    service: &Name,
    engine: &Name,
    end: End,
    took: Duration,
    target: Duration,
) {
    if end == End::Done {
        state.speed.learn_call(service, took);
    }
    let run = state.speed.call_time(service);
    let Some(engine) = state.engines.get_mut(engine) else {
        return;
    };
    // At an engine with free slots nothing waits: a call that took long there had a long run.
    let queued = engine.load().open + 1 >= engine.entry.slots;
    let waited = if queued { took.saturating_sub(run) } else { Duration::ZERO };
    match end {
        End::Done => engine.throttle.answered(now, waited, target.saturating_sub(run)),
        End::Refused(Cause::Busy) => engine.throttle.rejected(now),
        End::Failed | End::Unsent | End::Withheld | End::Lost | End::Broken | End::Refused(_) => {}
    }
}

/// An attempt that ended, as evidence about its engine.
struct EndedAttempt<'a> {
    engine: &'a Name,
    end: End,
    /// The entry VM that relayed it.
    relay: Option<Name>,
    /// When it was sent.
    at: Time,
}

/// Updates what is known about an engine from the end of an attempt there.
fn update_engine(state: &mut State, now: Time, id: Id, attempt: EndedAttempt<'_>, out: &mut Vec<Effect>) {
    let EndedAttempt { engine, end, relay, at } = attempt;
    let settings = state.settings.clone();
    let prompt = state.flows.get(&id).and_then(|flow| flow.prompt.clone());
    let Some(engine_state) = state.engines.get_mut(engine) else {
        return;
    };
    match end {
        End::Done => suspicion::attempt_responded(state, now, engine, relay.is_some(), at, out),
        End::Failed => engine_state.health.last_heard = now,
        End::Lost | End::Broken => engine_state.health.record_failure(now, &settings),
        End::Refused(Cause::Busy) => {
            engine_state.health.last_heard = now;
            engine_state.health.record_failure(now, &settings);
            rate_limit::rejection_received(state, now, engine, out);
        }
        End::Withheld => {}
        End::Unsent => match relay {
            Some(relay) => path::relay_failed(state, now, engine, &relay, out),
            None => suspicion::unreachable(state, now, engine, out),
        },
        End::Refused(Cause::Absent) => {
            engine_state.health.last_heard = now;
            if let Some(prompt) = prompt {
                let until = now + settings.absence_ttl;
                engine_state.absent.retain(|(_, _, until)| *until > now);
                engine_state.absent.push((prompt.model.clone(), prompt.adapter.clone(), until));
                let refused = Absent { engine: engine.clone(), model: prompt.model, adapter: prompt.adapter };
                if state.lease.held_term(now).is_some() {
                    ledger::recheck_after_refusal(state, now, &refused);
                } else {
                    state.hub.absent.push(refused);
                }
            }
        }
        End::Refused(Cause::Replaced) => engine_state.replaced = true,
    }
}

/// Retries a request after a failed attempt, if it may run again or has not run, and if time is left. A permit is
/// obtained once an engine has been chosen.
fn retry(state: &mut State, now: Time, id: Id, engine: Name, failure: Failure, out: &mut Vec<Effect>) {
    let Failure { end, may_crash_again } = failure;
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let may_run_again = flow.route.kind.repeatable() || !flow.may_have_run;
    let attempts_left = flow.attempts_used < flow.route.attempts && flow.refusals <= REFUSALS_MAX;
    let in_time = now + state.settings.answer_reserve < flow.deadline;
    // An engine that lacks the model may load it. It is not excluded here, but by `Engine::absent` for a limited time.
    match end {
        End::Refused(Cause::Absent) | End::Withheld => {}
        // Another entry VM may reach the engine and relay the request, and if that one fails, yet another may.
        End::Unsent
            if flow.connect_failures.iter().filter(|failed| **failed == engine).count()
                < CONNECT_FAILURES_MAX =>
        {
            flow.connect_failures.push(engine);
        }
        _ => flow.excluded.push(engine),
    }
    flow.last_end = Some(end);
    // If nothing was sent, no engine has spent work on it, and its permit is still unused.
    flow.retry = match end {
        End::Unsent | End::Withheld => flow.retry.withdrawn(),
        End::Done | End::Failed | End::Lost | End::Broken | End::Refused(_) => {
            flow.early_permit.take().map_or(Retry::Needed, Retry::Permitted)
        }
    };
    if !(may_run_again && !may_crash_again && attempts_left && in_time) {
        return end_without_retry(state, now, id, out);
    }
    *state.retries.entry(end.label()).or_default() += 1;
    flow::dispatch(state, now, id, true, out);
}

/// Ends a request that is not retried, with the result of its last attempt.
pub(crate) fn end_without_retry(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let has_key = flow.workspace.is_some();
    let code = match flow.last_end {
        Some(End::Failed) => {
            flow::remove(state, id);
            out.push(Effect::Step { request: id, step: Step::Forward });
            return;
        }
        Some(End::Refused(_)) => Code::BackendRefused,
        Some(End::Unsent) => Code::RetriesSpent,
        Some(End::Withheld) if has_key && !proof::is_valid(state, now) => Code::KeyUnproven,
        Some(End::Withheld) => Code::DeadlineUnreachable,
        Some(End::Done | End::Lost | End::Broken) | None => Code::BackendFailed,
    };
    flow::give_up(state, now, id, code, Some(budget::pause_max(&state.settings)), out);
}

/// Checks whether the engine of an attempt is silent. Silence alone ends no attempt: the request moves to another engine only if
/// it may run again, a permit is granted, and the engine cannot be reached or does not answer an idempotent request.
pub(crate) fn check_silence(state: &mut State, now: Time, id: Id, number: u32, out: &mut Vec<Effect>) {
    let settings = state.settings.clone();
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let Stage::Sent { engine, at, begun, relay } = flow.stage.clone() else {
        return;
    };
    if flow.attempts_made != number {
        return;
    }
    let Some(engine_state) = state.engines.get_mut(&engine) else {
        return;
    };
    // What the engine sent while this process was stalled is read only after this event.
    let resumed_at = state.freshness.resumed_at();
    let last = engine_state.health.last_heard.max(at).max(resumed_at);
    let silent = now.since(last) >= settings.engine_silence;
    // An engine that its relay still reaches may just be slow.
    let relayed = relay.as_ref().is_some_and(|relay| engine_state.path.is_relayed_by(relay));
    let dead = silent && engine_state.path.is_lost() && !relayed;
    let hangs = !begun
        && flow.route.kind == Kind::Idempotent
        && now.since(at.max(resumed_at)) >= flow.deadline.since(flow.arrived) / HANG_DIVISOR;
    if silent && relayed {
        path::recheck_relay(state, &engine, out);
    } else if silent && !engine_state.health.is_suspected(now) {
        suspicion::silent(state, now, &engine, out);
    }
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let movable = flow.route.kind.repeatable() && flow.attempts_used < flow.route.attempts;
    if (dead || hangs) && movable && budget::obtain_early(state, now, id, out) == Obtained::Yes {
        attempt_ended(
            state,
            now,
            id,
            AttemptEnd { attempt: number, end: End::Broken, events: Timing::default() },
            out,
        );
        return;
    }
    state.timers.set(now + settings.engine_silence / 2, Timer::Silence(id, number));
}
