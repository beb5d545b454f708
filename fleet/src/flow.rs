//! The way of a request: its route, the engines that it is sent to, and its end.

mod end;
mod place;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::access;
use crate::adapter;
use crate::admit;
use crate::budget::{self, Obtained, Repeat};
use crate::choose::{self, Choice, Pick, Query};
use crate::config::{Route, Workspace};
use crate::crash;
use crate::demand::Target;
use crate::effect::Effect;
use crate::engine::Load;
use crate::frame;
use crate::homes;
use crate::key::Digest;
use crate::outcome;
use crate::pin::{self, Pin};
use crate::quota;
use crate::record::{Record, ms};
use crate::request::{Arrival, End, Fingerprint, Id, Prompt, Refusal, Resumption, Step, Stream};
use crate::schedule::Ask;
use crate::settings::Settings;
use crate::state::State;
use crate::timer::Timer;
pub(crate) use end::{close, deadline, give_up, gone, leave, waited};
use place::engage;
pub(crate) use place::granted;

/// How long a request waits for engines in doubt, and for a hub that does not answer.
const DOUBT_WAIT: Duration = Duration::from_millis(400);
/// When a caller may come back if no better time is known.
pub(crate) const COME_BACK: Duration = Duration::from_millis(500);

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    /// The workspace that its caller belongs to, if it needs a key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// What it counts for its workspace's limit; 0 where there is none.
    pub(crate) cost: f64,
    /// The workspace from whose credit that was taken, until it is given back.
    pub(crate) charged: Option<Name>,
    /// The key that it came with.
    pub(crate) key: Option<Digest>,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) fingerprint: Fingerprint,
    /// What its prompt shares with others.
    pub(crate) parts: Arc<[Fingerprint]>,
    /// Whether an engine has answered it for long enough to say that it ends none.
    pub(crate) sound: bool,
    /// When the first event came of the engine that it is at.
    pub(crate) first_at: Option<Time>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// When its answer must begin.
    pub(crate) begin_by: Time,
    /// Time to read its prompt.
    pub(crate) work: Duration,
    pub(crate) stage: Stage,
    /// Attempts made.
    pub(crate) number: u32,
    /// Engines that it was handed to, and that did not prove that they have not run it.
    pub(crate) used: u32,
    /// Engines that refused it.
    pub(crate) refusals: u32,
    /// Places in schedules that it asked for in vain since it was last sent.
    pub(crate) asked: u32,
    /// Engines that are not to get it again.
    pub(crate) avoid: Vec<Name>,
    /// Engines to which no connection could be opened for it, once for each time.
    pub(crate) unsent: Vec<Name>,
    pub(crate) may_have_run: bool,
    /// The builds that may go on with it.
    pub(crate) pin: Pin,
    /// The stream that it begins or goes on with, if that has a name.
    pub(crate) stream: Option<Stream>,
    /// What its client says of a stream that it takes up, until it is known which build began that.
    pub(crate) resumes: Option<Resumption>,
    /// What it needs to be sent.
    pub(crate) repeat: Repeat,
    /// Until when it may be sent to another engine than the one that it is at, if that was asked.
    pub(crate) ahead: Option<Time>,
    /// Whether the leader is asked whether it may be sent once more.
    pub(crate) asks_repeat: bool,
    /// How its last attempt ended.
    pub(crate) ended: Option<End>,
}

#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Credit of its workspace's limit was asked for.
    Charging(quota::Asking),
    /// So many entry VMs are still to answer what began the stream that it goes on with.
    Tracing { left: usize },
    /// It waits for an engine.
    Waiting,
    /// A place in an engine's schedule was asked for.
    Scheduling { pick: Pick, ask: Box<Ask>, owner: Name },
    /// It is at an engine.
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

    /// How long it may wait for a place at an engine in need: a less urgent one finds the queue full sooner, so that the few places go to
    /// the urgent ones.
    pub(crate) fn queue(&self, settings: &Settings) -> Duration {
        settings.schedule_wait / (1 + u32::from(self.priority()))
    }

    /// Its rank; 0 goes first.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    pub(crate) fn load(&self, begun: bool) -> Load {
        Load { open: 1, reading_us: if begun { 0 } else { self.work.as_micros() as u64 } }
    }
}

/// A caller's request was read.
pub(crate) fn arrive(state: &mut State, now: Time, id: Id, arrival: Arrival, out: &mut Vec<Effect>) {
    let (fingerprint, parts) = (arrival.fingerprint, crash::shared(&arrival));
    match admit::admit(state, now, arrival) {
        Ok(flow) => {
            state.timers.set(flow.deadline, Timer::Deadline(id));
            state.flows.insert(id, flow);
            if quota::charge(state, now, id, out) {
                dispatch(state, now, id, true, out);
            }
        }
        Err(Refusal { code, retry_after }) => {
            if code == Code::CrashesBackends {
                let of = state.crashes.bars(fingerprint, &parts, now).unwrap_or(fingerprint);
                crash::refused(state, id, of, out);
            }
            end::refuse(state, now, id, Refusal { code, retry_after }, false, out);
        }
    }
}

/// Sends a request to an engine, or lets it wait for one, or refuses it. `fresh`: it does not wait yet.
pub(crate) fn dispatch(state: &mut State, now: Time, id: Id, fresh: bool, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    // Each way to an engine passes here: retries, resumed streams, and those that waited or lost their place in a schedule.
    if state.crashes.bars(flow.fingerprint, &flow.parts, now).is_some() {
        give_up(state, now, id, Code::CrashesBackends, None, out);
        return;
    }
    if let Err(Refusal { code, retry_after }) = access::recheck(state, now, id) {
        give_up(state, now, id, code, retry_after, out);
        return;
    }
    if state.freshness.in_doubt() {
        // One that waits is looked at again anyhow.
        if fresh {
            state.freshness.hold(id);
        }
        return;
    }
    if !pin::identify(state, now, id, out) {
        return;
    }
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let (service, prompt, avoid) = (flow.service.clone(), flow.prompt.clone(), flow.avoid.clone());
    let (unsent, pin) = (flow.unsent.clone(), flow.pin.clone());
    let homes = homes::of(state, flow);
    let query = Query {
        service: &service,
        prompt: prompt.as_ref(),
        homes: &homes,
        pin: &pin,
        begins: pin::begins(flow),
        avoid: &avoid,
        unsent: &unsent,
        left: flow.begin_by.since(now).saturating_sub(state.settings.reserve),
        queue: flow.queue(&state.settings),
        target: flow.route.target,
    };
    match choose::choose(state, now, query) {
        Choice::Engine(pick) => match budget::obtain(state, now, id, out) {
            Obtained::Yes => engage(state, now, id, pick, fresh, out),
            Obtained::Asked => {}
            Obtained::No => outcome::not_repeated(state, now, id, out),
        },
        Choice::Absent => {
            // Nobody brings a model to engines of a build for one that is pinned to it.
            let loads = can_load(state, now) && !pin.binds();
            let wait = if loads { state.settings.load_wait } else { DOUBT_WAIT };
            wait_for(state, now, id, wait, fresh, out);
        }
        Choice::BuildGone => give_up(state, now, id, Code::BuildGone, Some(Duration::ZERO), out),
        Choice::Homeless => give_up(state, now, id, Code::NoBackend, Some(COME_BACK), out),
        Choice::Nowhere => wait_for(state, now, id, DOUBT_WAIT, fresh, out),
        Choice::Full(wait) if fresh || flow_waited(state, now, id) => {
            give_up(state, now, id, Code::DeadlineUnreachable, Some(wait), out);
        }
        Choice::Full(_) => {}
        Choice::Paused(wait) => give_up(state, now, id, Code::BackendRefused, Some(wait), out),
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
            state.appetite.touch(now, state.demand.of(&target));
            adapter::wanted(state, now, &[target], out);
        } else {
            frame::tell_wait(state, now, out);
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

/// Looks for engines for requests that were held back, and have not ended meanwhile.
pub(crate) fn release(state: &mut State, now: Time, held: &[Id], out: &mut Vec<Effect>) {
    for id in held {
        let flow = state.flows.get(id);
        if flow.is_some_and(|flow| matches!(flow.stage, Stage::Waiting)) && !state.waiting.contains(id) {
            dispatch(state, now, *id, true, out);
        }
    }
}

/// Finds other engines for the requests that have a place in an engine's schedule and have not gone out yet: the engine is
/// to get nothing more.
pub(crate) fn withdraw(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    withdraw_from(state, now, |of| of == engine, out);
}

/// The same for all engines.
pub(crate) fn withdraw_all(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    withdraw_from(state, now, |_any| true, out);
}

fn withdraw_from(state: &mut State, now: Time, from: impl Fn(&Name) -> bool, out: &mut Vec<Effect>) {
    let due = |stage: &Stage| matches!(stage, Stage::Sent { engine, at, .. } if from(engine) && *at > now);
    let mut due: Vec<Id> =
        state.flows.iter().filter(|(_, flow)| due(&flow.stage)).map(|(id, _)| *id).collect();
    due.sort_unstable();
    for id in due {
        // Another engine may be asked for a place first, and the time of this one may come meanwhile.
        out.push(Effect::Step { request: id, step: Step::Wait });
        leave(state, id);
        if let Some(flow) = state.flows.get_mut(&id) {
            flow.used -= 1;
        }
        dispatch(state, now, id, true, out);
    }
}
