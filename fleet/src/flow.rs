//! The way of a request: its route, the engines that it is sent to, and its end.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::adapter;
use crate::budget::Budget;
use crate::choose::{self, Choice, Pick};
use crate::config::{Kind, Route};
use crate::demand::Target;
use crate::effect::Effect;
use crate::engine::Load;
use crate::frame::{self, Absent};
use crate::record::{Record, ms};
use crate::request::{Arrival, Attempt, Cause, End, Id, Prompt, Refusal, Step};
use crate::state::State;
use crate::timer::Timer;
use crate::trust;

/// Sendings of one request that engines may refuse beyond the route's attempts: a refusal proves that
/// the request has not run, so it has not had an engine yet.
const REFUSALS_MAX: u32 = 2;
/// How long a request waits for engines in doubt, and for a hub that does not answer.
const DOUBT_WAIT: Duration = Duration::from_millis(400);
/// When a caller may come back if no better time is known.
const COME_BACK: Duration = Duration::from_millis(500);
/// A request that may run again is given to another engine after this part of its time.
const HANG_PART: u32 = 3;

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flow {
    route: Arc<Route>,
    service: Name,
    prompt: Option<Prompt>,
    arrived: Time,
    deadline: Time,
    /// When its answer must begin.
    begin_by: Time,
    /// Time to read its prompt.
    work: Duration,
    stage: Stage,
    /// Attempts made.
    number: u32,
    /// Engines that it was handed to, and that did not prove that they have not run it.
    used: u32,
    /// Engines that refused it.
    refusals: u32,
    /// Engines that are not to get it again.
    avoid: Vec<Name>,
    may_have_run: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    /// It waits for an engine.
    Waiting,
    /// It is at an engine.
    Sent { engine: Name, at: Time, begun: bool },
}

impl Flow {
    fn target(&self) -> Option<Target> {
        self.prompt.as_ref().map(|prompt| Target {
            service: self.service.clone(),
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
        })
    }

    fn load(&self, begun: bool) -> Load {
        Load { open: 1, reading_us: if begun { 0 } else { self.work.as_micros() as u64 } }
    }
}

/// A caller's request was read.
pub(crate) fn arrive(state: &mut State, now: Time, id: Id, arrival: Arrival, out: &mut Vec<Effect>) {
    match admit(state, now, arrival) {
        Ok(flow) => {
            state.timers.set(flow.deadline, Timer::Deadline(id));
            state.flows.insert(id, flow);
            dispatch(state, now, id, true, out);
        }
        Err(Refusal { code, retry_after }) => reject(state, id, code, retry_after, out),
    }
}

/// Finds a request's route and service, and counts it as demand.
fn admit(state: &mut State, now: Time, arrival: Arrival) -> Result<Flow, Refusal> {
    let refuse = |code, retry_after| Err(Refusal { code, retry_after });
    if state.config.is_none() {
        return refuse(Code::NotReady, Some(COME_BACK));
    }
    if state.graced {
        // Another entry VM has all the time for it.
        return refuse(Code::Stopping, Some(Duration::ZERO));
    }
    let Some(route) = state.routes.find(&arrival.host, &arrival.path).cloned() else {
        return refuse(Code::UnknownPath, None);
    };
    let Some(service) = pick_service(state, &route) else {
        return refuse(Code::NoBackend, Some(COME_BACK));
    };
    let runs_models = state.pool(&service).is_some();
    let prompt = arrival.prompt;
    if prompt.as_ref().is_some_and(|prompt| runs_models && !state.declared(&service, prompt)) {
        return refuse(Code::UnknownModel, None);
    }
    state.budget.request(now, &service, &state.settings);
    let flow = open(state, now, route, service, prompt, arrival.patience);
    if let Some(target) = flow.target() {
        state.demand.arrived(&target, flow.work);
    }
    Ok(flow)
}

fn open(
    state: &State,
    now: Time,
    route: Arc<Route>,
    service: Name,
    prompt: Option<Prompt>,
    patience: Option<Duration>,
) -> Flow {
    let deadline = now + patience.unwrap_or(route.timeout).min(route.timeout);
    let work = prompt
        .as_ref()
        .map_or(Duration::ZERO, |prompt| state.slowness.work(&prompt.model, prompt.tokens, &state.settings));
    Flow {
        begin_by: deadline.min(now + route.patience()),
        route,
        service,
        prompt,
        arrived: now,
        deadline,
        work,
        stage: Stage::Waiting,
        number: 0,
        used: 0,
        refusals: 0,
        avoid: Vec::new(),
        may_have_run: false,
    }
}

/// A request that is refused before it is one.
fn reject(state: &mut State, id: Id, code: Code, retry_after: Option<Duration>, out: &mut Vec<Effect>) {
    *state.refusals.entry(code).or_default() += 1;
    out.push(Effect::Record(refused_record(id, code, retry_after, false, Duration::ZERO)));
    out.push(Effect::Step { request: id, step: Step::Refuse(Refusal { code, retry_after }) });
}

fn refused_record(id: Id, code: Code, retry_after: Option<Duration>, ran: bool, after: Duration) -> Record {
    Record::Refused {
        request: id.0,
        code: code.number(),
        label: code.label(),
        outcome: if ran { "unknown" } else { "not-run" },
        retry_after_ms: retry_after.map(ms),
        after_ms: ms(after),
    }
}

fn pick_service(state: &mut State, route: &Route) -> Option<Name> {
    if let [only] = &*route.split {
        return Some(only.service.clone());
    }
    let total: u32 = route.split.iter().map(|share| share.weight).sum();
    let mut drawn = state.rng.u32(0..total.max(1));
    for share in &route.split {
        if drawn < share.weight {
            return Some(share.service.clone());
        }
        drawn -= share.weight;
    }
    None
}

/// Sends a request to an engine, or lets it wait for one, or refuses it. `fresh`: it does not wait yet.
fn dispatch(state: &mut State, now: Time, id: Id, fresh: bool, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let (service, prompt, avoid) = (flow.service.clone(), flow.prompt.clone(), flow.avoid.clone());
    let left = flow.begin_by.since(now).saturating_sub(state.settings.reserve);
    match choose::choose(state, now, &service, prompt.as_ref(), &avoid, left) {
        Choice::Engine(pick) => send(state, now, id, pick, fresh, out),
        Choice::Absent => {
            let wait = if can_load(state, now) { state.settings.load_wait } else { DOUBT_WAIT };
            wait_for(state, now, id, wait, fresh, out);
        }
        Choice::Nowhere => wait_for(state, now, id, DOUBT_WAIT, fresh, out),
        Choice::Full(wait) if fresh || flow_waited(state, now, id) => {
            give_up(state, now, id, Code::DeadlineUnreachable, Some(wait), out);
        }
        Choice::Full(_) => {}
    }
}

/// Whether whoever gives orders can be told what is missing.
fn can_load(state: &State, now: Time) -> bool {
    state.lease.orders(now).is_some() || (state.hub.leads && state.hub.alive(now, &state.settings))
}

/// Whether a request has waited as long as is reasonable for engines that are full.
fn flow_waited(state: &State, now: Time, id: Id) -> bool {
    state.flows.get(&id).is_some_and(|flow| now.since(flow.arrived) > DOUBT_WAIT)
}

fn send(state: &mut State, now: Time, id: Id, pick: Pick, fresh: bool, out: &mut Vec<Effect>) {
    let hub_age = state.hub.age(now);
    let config = state.config.as_ref().map_or(0, |config| config.version);
    let silence = state.settings.silence;
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let Some(engine) = state.engines.get_mut(&pick.engine) else {
        return;
    };
    flow.number += 1;
    flow.used += 1;
    flow.stage = Stage::Sent { engine: pick.engine.clone(), at: pick.at, begun: false };
    if let Some(target) = flow.target() {
        if !fresh {
            state.demand.waited(&target);
        }
        state.demand.sent(&target);
    }
    out.push(Effect::Record(Record::Sent {
        request: id.0,
        attempt: flow.number,
        engine: pick.engine.clone(),
        route: flow.route.name.clone(),
        config,
        cost_ms: (pick.cost_ms * 10.0).round() / 10.0,
        candidates: pick.candidates,
        open: engine.load().open,
        hub_age_ms: ms(hub_age.min(Duration::from_hours(1))),
        turn_ms: ms(pick.at.since(now)),
        left_ms: ms(flow.deadline.since(now)),
    }));
    if flow.prompt.is_some() {
        engine.turn.take(state.round.as_ref(), pick.at, flow.work, &state.settings);
    }
    engine.own = engine.own.plus(flow.load(false));
    let attempt = Attempt {
        number: flow.number,
        engine: pick.engine,
        address: engine.entry.address,
        at: pick.at,
        deadline: flow.deadline,
        priority: flow.route.priority,
        streams: flow.route.kind.streams(),
    };
    state.timers.set(pick.at + silence, Timer::Silence(id, attempt.number));
    out.push(Effect::Step { request: id, step: Step::Send(attempt) });
}

fn wait_for(state: &mut State, now: Time, id: Id, wait: Duration, fresh: bool, out: &mut Vec<Effect>) {
    if !fresh {
        return;
    }
    let reserve = state.settings.reserve;
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let until = (now + wait).min(flow.begin_by - reserve);
    if until <= now {
        give_up(state, now, id, Code::DeadlineUnreachable, Some(COME_BACK), out);
        return;
    }
    state.timers.set(until, Timer::Wait(id));
    state.waiting.insert(id);
    if let Some(target) = flow.target() {
        out.push(Effect::Record(Record::Waits {
            request: id.0,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            at_most_ms: ms(until.since(now)),
        }));
        state.demand.waits(&target);
        if state.lease.orders(now).is_some() {
            adapter::wanted(state, now, out);
        } else {
            frame::send(state, now, out);
        }
    }
}

/// Something changed that requests may be waiting for: look again once this event is dealt with.
pub(crate) const fn stir_later(state: &mut State) {
    state.stirred = true;
}

/// Looks again at all requests that wait for an engine.
pub(crate) fn stir(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.stirred = false;
    let waiting: Vec<Id> = state.waiting.iter().copied().collect();
    for id in waiting {
        dispatch(state, now, id, false, out);
        let still = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Waiting));
        if !still {
            state.waiting.remove(&id);
        }
    }
}

/// The first of an answer's events came.
pub(crate) fn began(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let reading_us = flow.load(false).reading_us;
    let arrived = flow.arrived;
    let prompt = flow.prompt.clone();
    let Stage::Sent { engine, begun, at } = &mut flow.stage else {
        return;
    };
    let first = !std::mem::replace(begun, true);
    if first {
        out.push(Effect::Record(Record::Began {
            request: id.0,
            engine: engine.clone(),
            after_ms: ms(now.since(arrived)),
            sent_ms: ms(now.since(*at)),
        }));
        if let Some(prompt) = prompt {
            state.slowness.learn(&prompt.model, prompt.tokens, now.since(*at), &state.settings);
        }
    }
    if let Some(engine) = state.engines.get_mut(engine) {
        engine.health.hear(now);
        if first {
            engine.own = engine.own.minus(Load { open: 0, reading_us });
        }
    }
}

/// How a request's attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    /// The attempt's number.
    pub(crate) attempt: u32,
    pub(crate) end: End,
    /// The longest pause between two of its events.
    pub(crate) pause: Duration,
}

/// A request's attempt ended.
pub(crate) fn ended(state: &mut State, now: Time, id: Id, ended: Ended, out: &mut Vec<Effect>) {
    let Ended { attempt: number, end, pause } = ended;
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    if flow.number != number {
        return;
    }
    let Some((engine, at)) = leave(state, id) else {
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
        pause_ms: ms(pause),
    }));
    if end.proves_not_run() {
        flow.used -= 1;
    } else {
        flow.may_have_run = true;
    }
    if matches!(end, End::Refused(_)) {
        flow.refusals += 1;
    }
    let took = now.since(at);
    let service = flow.service.clone();
    judge(state, now, id, &engine, end, out);
    match end {
        End::Done => {
            state.paced(&service, took);
            close(state, id);
            out.push(Effect::Step { request: id, step: Step::Pass });
        }
        End::Failed | End::Unsent | End::Refused(_) | End::Broken => {
            again(state, now, id, engine, end, out);
        }
    }
}

/// What an attempt's end says of its engine.
fn judge(state: &mut State, now: Time, id: Id, engine: &Name, end: End, out: &mut Vec<Effect>) {
    let settings = state.settings.clone();
    let prompt = state.flows.get(&id).and_then(|flow| flow.prompt.clone());
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    match end {
        End::Done => known.health.hear(now),
        End::Failed => known.health.heard = now,
        End::Broken => known.health.fail(now, &settings),
        End::Refused(Cause::Busy) => {
            known.health.heard = now;
            known.health.fail(now, &settings);
        }
        End::Unsent => {
            known.health.unreached = true;
            known.health.suspect(now, &settings);
            trust::probe_later(state, now, engine, out);
        }
        End::Refused(Cause::Absent) => {
            known.health.heard = now;
            if let Some(prompt) = prompt {
                let until = now + settings.absence;
                known.absent.retain(|(_, _, until)| *until > now);
                known.absent.push((prompt.model.clone(), prompt.adapter.clone(), until));
                let refused = Absent { engine: engine.clone(), model: prompt.model, adapter: prompt.adapter };
                if state.lease.holds(now).is_some() {
                    state.ledger.doubt(now, &refused);
                } else {
                    state.hub.absent.push(refused);
                }
            }
        }
        End::Refused(Cause::Replaced) => known.entry.leaving = true,
    }
}

/// Sends a request once more after a failed attempt, if it may run again or has not run, and if there is
/// time and allowance for it.
fn again(state: &mut State, now: Time, id: Id, engine: Name, end: End, out: &mut Vec<Effect>) {
    let nodes = state.nodes(now);
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let repeatable = flow.route.kind.repeatable() || !flow.may_have_run;
    let within = flow.used < flow.route.attempts && flow.refusals <= REFUSALS_MAX;
    let in_time = now + state.settings.reserve < flow.deadline;
    let service = flow.service.clone();
    // An engine that lacks what was asked for may get it: that is kept with the engine, for a while.
    if end != End::Refused(Cause::Absent) {
        flow.avoid.push(engine);
    }
    // Where nothing was sent, no engine has had work of it.
    let allowed = repeatable
        && within
        && in_time
        && (end == End::Unsent || state.budget.repeat(now, &service, nodes, &state.settings));
    if allowed {
        *state.retries.entry(end.label()).or_default() += 1;
        flow.stage = Stage::Waiting;
        dispatch(state, now, id, true, out);
        return;
    }
    if end == End::Failed {
        close(state, id);
        out.push(Effect::Step { request: id, step: Step::Pass });
        return;
    }
    let code = match end {
        End::Refused(_) => Code::BackendRefused,
        End::Unsent => Code::RetriesSpent,
        End::Done | End::Failed | End::Broken => Code::BackendFailed,
    };
    give_up(state, now, id, code, Some(Budget::pause(&state.settings)), out);
}

/// A request ends without an answer of an engine.
fn give_up(
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
    // A code that promises that nothing has run is only for requests that have not.
    let code = match code {
        Code::DeadlineUnreachable | Code::NoBackend | Code::RetriesSpent | Code::BackendRefused if ran => {
            Code::BackendFailed
        }
        code => code,
    };
    let retry_after = if ran { None } else { retry_after };
    out.push(Effect::Record(refused_record(id, code, retry_after, ran, now.since(flow.arrived))));
    *state.refusals.entry(code).or_default() += 1;
    leave(state, id);
    close(state, id);
    out.push(Effect::Step { request: id, step: Step::Refuse(Refusal { code, retry_after }) });
}

/// Takes a request off its engine. Returns the engine and when it was sent there.
fn leave(state: &mut State, id: Id) -> Option<(Name, Time)> {
    let flow = state.flows.get_mut(&id)?;
    let Stage::Sent { engine, at, begun } = std::mem::replace(&mut flow.stage, Stage::Waiting) else {
        return None;
    };
    let load = flow.load(begun);
    if let Some(target) = flow.target() {
        state.demand.ended(&target);
    }
    if let Some(engine) = state.engines.get_mut(&engine) {
        engine.own = engine.own.minus(load);
    }
    Some((engine, at))
}

/// Forgets a request.
fn close(state: &mut State, id: Id) {
    let Some(flow) = state.flows.remove(&id) else {
        return;
    };
    if state.waiting.remove(&id)
        && let Some(target) = flow.target()
    {
        state.demand.waited(&target);
    }
}

/// A request's caller is gone.
pub(crate) fn gone(state: &mut State, id: Id) {
    leave(state, id);
    close(state, id);
}

/// A request's deadline has come.
pub(crate) fn deadline(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let ran = flow.may_have_run || matches!(flow.stage, Stage::Sent { .. });
    let code = if ran { Code::DeadlinePassed } else { Code::DeadlineUnreachable };
    give_up(state, now, id, code, Some(COME_BACK), out);
}

/// A request has waited for a model or an engine as long as it may.
pub(crate) fn waited(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    if state.waiting.contains(&id) {
        give_up(state, now, id, Code::NoBackend, Some(COME_BACK), out);
    }
}

/// A look at whether an attempt's engine has gone silent. Silence alone ends nothing: the request is given to
/// another engine only if it may be, if there is allowance for it, and if this one cannot be reached.
pub(crate) fn silence(state: &mut State, now: Time, id: Id, number: u32, out: &mut Vec<Effect>) {
    let settings = state.settings.clone();
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let Stage::Sent { engine, at, begun } = flow.stage.clone() else {
        return;
    };
    if flow.number != number {
        return;
    }
    let Some(known) = state.engines.get_mut(&engine) else {
        return;
    };
    let last = known.health.heard.max(at);
    let silent = now.since(last) >= settings.silence;
    let dead = silent && known.health.unreached;
    let hangs = !begun
        && flow.route.kind == Kind::Idempotent
        && now.since(at) >= flow.deadline.since(flow.arrived) / HANG_PART;
    if silent && !known.health.suspected(now) {
        known.health.suspect(now, &settings);
        known.health.asked = now;
        // It may just be slow: then it gets its work back at once.
        out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
    }
    let nodes = state.nodes(now);
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let movable = flow.route.kind.repeatable() && flow.used < flow.route.attempts;
    if (dead || hangs) && movable && state.budget.allows(now, &flow.service, nodes, &settings) {
        ended(state, now, id, Ended { attempt: number, end: End::Broken, pause: Duration::ZERO }, out);
        return;
    }
    state.timers.set(now + settings.silence / 2, Timer::Silence(id, number));
}
