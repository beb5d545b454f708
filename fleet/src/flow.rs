//! The life cycle of a request: its state, its dispatch to engines and its waits.

mod end;
mod reservation;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::access;
use crate::adapter;
use crate::admit;
use crate::budget::{self, Obtained, Retry};
use crate::choose::{self, Choice, Pick, Query};
use crate::config::{Route, Workspace};
use crate::crash::{self, Permission};
use crate::demand::Target;
use crate::effect::Effect;
use crate::engine::Load;
use crate::frame;
use crate::key::Digest;
use crate::outcome;
use crate::pin::{self, Pin};
use crate::quota;
use crate::record::{Record, ms};
use crate::regions;
use crate::request::{Arrival, End, Fingerprint, Id, Prompt, Refusal, Resumption, Step, Stream};
use crate::schedule::ReservationRequest;
use crate::settings::Settings;
use crate::state::State;
use crate::timer::Timer;
pub(crate) use end::{caller_gone, deadline_passed, detach, give_up, remove, wait_expired};
pub(crate) use reservation::reservation_answered;
use reservation::reserve;

/// How long a request waits while all engines are unreachable, or while nobody can have a missing model loaded.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// The `retry_after` of a refusal if no better estimate is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    /// The workspace of its caller; none if its route needs no key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Units that it uses of its workspace's limit; 0 if there is no limit.
    pub(crate) cost: f64,
    /// The workspace whose credit it used, until that is refunded.
    pub(crate) charged_workspace: Option<Name>,
    /// The digest of its caller's key.
    pub(crate) key: Option<Digest>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Arc<[Fingerprint]>,
    /// Whether an engine has answered it for long enough to show that it does not crash engines.
    pub(crate) proven_safe: bool,
    /// When the first event of the current attempt arrived.
    pub(crate) first_event_at: Option<Time>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// The time by which its answer must begin.
    pub(crate) begin_by: Time,
    /// Estimated time to read its prompt.
    pub(crate) prefill: Duration,
    pub(crate) stage: Stage,
    /// Attempts made; also the number of the current one.
    pub(crate) attempts_made: u32,
    /// Attempts without proof that the engine did not run the request. They count against the route's attempts.
    pub(crate) attempts_used: u32,
    /// Attempts that an engine refused.
    pub(crate) refusals: u32,
    /// Reservations that were denied since it was last sent.
    pub(crate) reservations_denied: u32,
    /// Engines that must not get it again.
    pub(crate) excluded: Vec<Name>,
    /// Engines to which connecting failed for this request; one entry per failure.
    pub(crate) connect_failures: Vec<Name>,
    pub(crate) may_have_run: bool,
    /// The builds whose engines may continue its answer.
    pub(crate) pin: Pin,
    /// The stream that it begins or resumes, if that has an id.
    pub(crate) stream: Option<Stream>,
    /// The stream that its caller resumes, until it is known which build began that.
    pub(crate) resumption: Option<Resumption>,
    /// Whether its next attempt needs a permit for a retry, or has one.
    pub(crate) retry: Retry,
    /// Expiry of a permit for a retry that was obtained while the current attempt is still open.
    pub(crate) early_permit: Option<Time>,
    /// Whether a request for a permit to the hub has not been answered yet.
    pub(crate) awaits_permit: bool,
    /// How its last attempt ended.
    pub(crate) last_end: Option<End>,
}

#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// It waits for credit of its workspace's limit.
    Charging(quota::Pending),
    /// It waits for this number of entry VMs to answer which build began the stream that it resumes. `confirmed`: one of those
    /// that do not know it shows that this process is not out of step.
    Tracing { left: usize, confirmed: bool },
    /// It waits for an engine.
    Waiting,
    /// It waits for a reservation in an engine's schedule.
    Scheduling { pick: Pick, ask: Box<ReservationRequest>, owner: Name },
    /// It was sent to an engine, or will be once the time of its reservation (`at`) comes.
    Sent { engine: Name, at: Time, begun: bool, relay: Option<Name> },
}

impl Flow {
    pub(crate) fn target(&self) -> Option<Target> {
        self.prompt.as_ref().map(|prompt| Target {
            service: self.service.clone(),
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
        })
    }

    /// How long it may wait for a reservation at a rate-limited engine. Less urgent requests may wait for a shorter time, so that the few
    /// reservations go to the urgent ones.
    pub(crate) fn reservation_wait_max(&self, settings: &Settings) -> Duration {
        settings.schedule_wait / (1 + u32::from(self.priority()))
    }

    /// Its priority; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    pub(crate) fn load(&self, begun: bool) -> Load {
        Load { open: 1, reading_us: if begun { 0 } else { self.prefill.as_micros() as u64 } }
    }
}

/// Handles a new request of a caller.
pub(crate) fn arrive(state: &mut State, now: Time, id: Id, arrival: Arrival, out: &mut Vec<Effect>) {
    let (fingerprint, parts) = (arrival.fingerprint, crash::shared_parts(&arrival));
    match admit::admit(state, now, arrival) {
        Ok(flow) => {
            state.timers.set(flow.deadline, Timer::Deadline(id));
            state.flows.insert(id, flow);
            if quota::charge(state, now, id, out) {
                dispatch(state, now, id, true, out);
            }
        }
        Err(Refusal { code, retry_after }) => {
            if matches!(code, Code::CrashesBackends | Code::CrashSuspected)
                && let Permission::Blocked(of) = crash::permission(state, now, None, fingerprint, &parts)
            {
                crash::log_refusal(state, id, of, out);
            }
            end::refuse(state, now, id, Refusal { code, retry_after }, false, out);
        }
    }
}

/// Sends a request to an engine, lets it wait for one, or refuses it. `fresh` means that it is not waiting yet.
pub(crate) fn dispatch(state: &mut State, now: Time, id: Id, fresh: bool, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    // These checks apply to every attempt: also to retries, resumed streams, and requests that waited or lost a reservation.
    let (fingerprint, parts) = (flow.fingerprint, Arc::clone(&flow.parts));
    let trial_of = match crash::permission(state, now, Some(id), fingerprint, &parts) {
        Permission::Free => None,
        Permission::Trial(of) => Some(of),
        Permission::Held => return,
        Permission::Blocked(of) => {
            let Refusal { code, retry_after } = crash::refusal(state, now, of);
            give_up(state, now, id, code, retry_after, out);
            return;
        }
    };
    if let Err(Refusal { code, retry_after }) = access::recheck(state, now, id) {
        give_up(state, now, id, code, retry_after, out);
        return;
    }
    if state.freshness.awaits_refresh() {
        // Waiting requests are dispatched again anyway.
        if fresh {
            state.freshness.hold(id);
        }
        return;
    }
    if !pin::resolve_origin(state, now, id, out) {
        return;
    }
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let (service, prompt, excluded) = (flow.service.clone(), flow.prompt.clone(), flow.excluded.clone());
    let (connect_failures, pin) = (flow.connect_failures.clone(), flow.pin.clone());
    let regions = regions::of_request(state, flow);
    let query = Query {
        service: &service,
        prompt: prompt.as_ref(),
        regions: &regions,
        pin: &pin,
        begins: pin::begins_resumable(flow),
        excluded: &excluded,
        connect_failures: &connect_failures,
        time_left: flow.begin_by.since(now).saturating_sub(state.settings.answer_reserve),
        reservation_wait_max: flow.reservation_wait_max(&state.settings),
        target: flow.route.target,
    };
    let choice = choose::choose(state, now, query);
    if let Some(of) = trial_of {
        match choice {
            Choice::Engine(_) if crash::begin_trial(state, now, id, of) => {
                end_wait(state, id);
                return;
            }
            Choice::NotLoaded | Choice::Unreachable if crash::await_engine_for_trial(state, now, id, of) => {}
            Choice::Engine(_)
            | Choice::NotLoaded
            | Choice::Unreachable
            | Choice::BuildGone
            | Choice::RegionUnavailable
            | Choice::Full(_)
            | Choice::Paused(_) => {
                let Refusal { code, retry_after } = crash::refusal(state, now, of);
                give_up(state, now, id, code, retry_after, out);
                return;
            }
        }
    }
    match choice {
        Choice::Engine(pick) => match budget::obtain(state, now, id, out) {
            Obtained::Yes => reserve(state, now, id, pick, fresh, out),
            Obtained::Pending => {}
            Obtained::No => outcome::end_without_retry(state, now, id, out),
        },
        Choice::NotLoaded => {
            // A request that is pinned to a build does not make the hub load its model on engines of that build.
            let loadable = can_load(state, now) && !pin.is_restricted();
            let wait = if loadable { state.settings.load_wait } else { SHORT_WAIT };
            wait_for(state, now, id, wait, fresh, out);
        }
        Choice::BuildGone => give_up(state, now, id, Code::BuildGone, Some(Duration::ZERO), out),
        Choice::RegionUnavailable => give_up(state, now, id, Code::NoBackend, Some(RETRY_AFTER), out),
        Choice::Unreachable => wait_for(state, now, id, SHORT_WAIT, fresh, out),
        Choice::Full(wait) if fresh || has_waited(state, now, id) => {
            give_up(state, now, id, Code::DeadlineUnreachable, Some(wait), out);
        }
        Choice::Full(_) => {}
        Choice::Paused(wait) => give_up(state, now, id, Code::BackendRefused, Some(wait), out),
    }
}

/// Whether a missing model can be loaded: this process may send orders, or the hub can be told.
fn can_load(state: &State, now: Time) -> bool {
    state.lease.ordering_term(now).is_some() || (state.hub.leads && state.hub.is_alive(now, &state.settings))
}

/// Whether a request has waited for overloaded engines as long as it may.
fn has_waited(state: &State, now: Time, id: Id) -> bool {
    state.flows.get(&id).is_some_and(|flow| now.since(flow.arrived) > SHORT_WAIT)
}

fn wait_for(state: &mut State, now: Time, id: Id, wait: Duration, fresh: bool, out: &mut Vec<Effect>) {
    if !fresh {
        return;
    }
    let answer_reserve = state.settings.answer_reserve;
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let until = (now + wait).min(flow.begin_by - answer_reserve);
    if until <= now {
        give_up(state, now, id, Code::DeadlineUnreachable, Some(RETRY_AFTER), out);
        return;
    }
    state.timers.set(until, Timer::LoadWait(id));
    state.waiting.insert(id);
    if let Some(target) = flow.target() {
        out.push(Effect::Record(Record::Waits {
            request: id.0,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            at_most_ms: ms(until.since(now)),
        }));
        state.demand.begin_wait(&target);
        if state.lease.ordering_term(now).is_some() {
            state.fleet_demand.mark_used(now, state.demand.get(&target));
            adapter::place_targets(state, now, &[target], out);
        } else {
            frame::report_waiting(state, now, out);
        }
    }
}

/// Requests a rescan of the waiting requests at the end of this event, since something that they may wait for has changed.
pub(crate) const fn request_rescan(state: &mut State) {
    state.rescan_requested = true;
}

/// Dispatches all requests that wait for an engine again.
pub(crate) fn rescan_waiting(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.rescan_requested = false;
    let waiting: Vec<Id> = state.waiting.iter().copied().collect();
    for id in waiting {
        redispatch(state, now, id, out);
    }
}

/// Ends the wait of a request for an engine, if it waits for one.
pub(crate) fn end_wait(state: &mut State, id: Id) {
    let target = state.flows.get(&id).and_then(Flow::target);
    if state.waiting.remove(&id)
        && let Some(target) = target
    {
        state.demand.end_wait(&target);
    }
}

/// Dispatches a request again that waits for an engine, or that was held back.
pub(crate) fn redispatch(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let fresh = !state.waiting.contains(&id);
    dispatch(state, now, id, fresh, out);
    let waits = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Waiting));
    if !waits {
        state.waiting.remove(&id);
    }
}

/// Dispatches requests that were held back until the engines' table was refreshed, unless they have ended or wait already.
pub(crate) fn dispatch_held(state: &mut State, now: Time, held: &[Id], out: &mut Vec<Effect>) {
    for id in held {
        let flow = state.flows.get(id);
        if flow.is_some_and(|flow| matches!(flow.stage, Stage::Waiting)) && !state.waiting.contains(id) {
            dispatch(state, now, *id, true, out);
        }
    }
}

/// Withdraws the attempts that wait for their reservations at an engine that must get nothing more. Each ends as withheld if nothing
/// of it was written, and its request is dispatched again then: only its task knows that for sure.
pub(crate) fn cancel_reservations(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    cancel_reservations_where(state, now, |at| at == engine, out);
}

/// Withdraws the attempts that wait for their reservations at any engine.
pub(crate) fn cancel_all_reservations(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    cancel_reservations_where(state, now, |_any| true, out);
}

fn cancel_reservations_where(state: &State, now: Time, from: impl Fn(&Name) -> bool, out: &mut Vec<Effect>) {
    let due = |stage: &Stage| matches!(stage, Stage::Sent { engine, at, .. } if from(engine) && *at > now);
    let mut due: Vec<Id> =
        state.flows.iter().filter(|(_, flow)| due(&flow.stage)).map(|(id, _)| *id).collect();
    due.sort_unstable();
    out.extend(due.into_iter().map(|id| Effect::Step { request: id, step: Step::Hold }));
}
