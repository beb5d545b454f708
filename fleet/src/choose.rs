//! Which engine a request goes to: the one where it is expected to wait least.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::engine::{Engine, Load};
use crate::flow::COME_BACK;
use crate::frame;
use crate::homes::{self, Homes, Permit};
use crate::intake::{self, Access};
use crate::path;
use crate::pin::{self, Pin};
use crate::request::Prompt;
use crate::settings::{Mechanism, Settings};
use crate::spread::{self, Unseen};
use crate::state::State;

/// Random part of a cost, in ms: entry VMs that know the same do not all pick the same engine.
const JITTER_MS: f64 = 2.0;
/// Requests waiting at an engine, as a multiple of its slots, beyond which it gets no prompts: what waits behind so
/// many streams begins late, and those that are more urgent go first.
const QUEUE_DEPTH: f64 = 0.6;

/// What speaks against an engine that another entry VM passes requests on to, in ms of waiting.
const RELAY_MS: f64 = 10.0;

/// What was found for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An engine.
    Engine(Pick),
    /// No engine holds the model or the adapter.
    Absent,
    /// All that could run it are in doubt, or none is known.
    Nowhere,
    /// It may go on at engines of one build only, and none of that takes work.
    BuildGone,
    /// It may be served in some regions only, and no engine of the service can be reached there.
    Homeless,
    /// All that could run it have too much to do; they will have room after this time.
    Full(Duration),
    /// All that could run it want nothing from this process for this time.
    Paused(Duration),
}

/// The engine that was chosen, and what spoke for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Its id.
    pub engine: Name,
    /// What it is expected to cost, in ms of waiting.
    pub cost_ms: f64,
    /// How much longer the request may have to wait there than is expected, before another engine is better.
    pub slack: Duration,
    /// Engines that could have had the request.
    pub candidates: usize,
    /// The word that the engine is where the request may be served.
    pub permit: Permit,
}

/// What is wanted of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    /// The service.
    pub(crate) service: &'a Name,
    /// What a model is wanted for; none for calls of plain services.
    pub(crate) prompt: Option<&'a Prompt>,
    /// Where it may be served.
    pub(crate) homes: &'a Homes,
    /// The builds that may run it.
    pub(crate) pin: &'a Pin,
    /// Whether it begins a stream that its client may take up at another entry VM.
    pub(crate) begins: bool,
    /// Engines that are left out.
    pub(crate) avoid: &'a [Name],
    /// Engines to which no connection could be opened for it.
    pub(crate) unsent: &'a [Name],
    /// Time until the answer must begin.
    pub(crate) left: Duration,
    /// How long it may wait for a place at an engine in need.
    pub(crate) queue: Duration,
    /// The time to an answer that the operator aims at.
    pub(crate) target: Duration,
}

/// An engine that can have the request.
#[derive(Debug)]
struct Candidate<'a> {
    engine: &'a Engine,
    permit: Permit,
    cost_ms: f64,
}

/// What a look at all engines of a service gives.
#[derive(Debug, Default)]
struct Found<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Engines of the service that may run it, by their homes and builds.
    members: usize,
    /// Those of them that take work, and may get this request.
    takers: usize,
    /// Those of them that hold what is asked for.
    holders: usize,
    /// The shortest time until one that is full has room, in ms.
    soonest_ms: Option<f64>,
    /// The shortest pause of those that want one.
    pause: Option<Duration>,
}

/// Picks an engine.
pub(crate) fn choose(state: &mut State, now: Time, query: Query<'_>) -> Choice {
    let Query { service, prompt, .. } = query;
    let mut rng = state.rng.fork();
    let state = &*state;
    let work = prompt.map(|prompt| state.speed.work(service, &prompt.model, prompt.tokens));
    let mut found = look(state, now, query, &mut rng);
    for candidate in &mut found.candidates {
        candidate.cost_ms +=
            work.map_or(0.0, |work| read_ms(candidate.engine, work, now)) + rng.f64() * JITTER_MS;
    }
    if let Some(pick) = draw(state, now, service, &found.candidates, work, rng.f64()) {
        return Choice::Engine(pick);
    }
    match found.soonest_ms {
        Some(soonest) => Choice::Full(Duration::from_secs_f64(soonest / 1_000.0)),
        None if let Some(pause) = found.pause => Choice::Paused(pause),
        None if query.pin.binds() && found.takers == 0 => Choice::BuildGone,
        None if found.holders == 0 && found.members > 0 && prompt.is_some() => Choice::Absent,
        None if query.homes.bind() => Choice::Homeless,
        None => Choice::Nowhere,
    }
}

/// Looks at all engines of a service.
fn look<'a>(state: &'a State, now: Time, query: Query<'a>, rng: &mut fastrand::Rng) -> Found<'a> {
    let Query { service, prompt, avoid, .. } = query;
    let settings = &state.settings;
    let run_ms = state.pace(service);
    let mut found = Found::default();
    let settling = settling(state, now, query);
    for engine in state.engines_of(service) {
        let Some(permit) = homes::permit(state, query.homes, engine) else {
            continue;
        };
        let build = engine.entry.build.as_ref();
        if !query.pin.allows(build)
            || settling.is_some_and(|settling| !state.history.is_settled(now, service, build, settling))
        {
            continue;
        }
        found.members += 1;
        found.takers += usize::from(engine.takes_work() && !avoid.contains(&engine.entry.id));
        let serves = |prompt: &Prompt| engine.serves(&prompt.model, prompt.adapter.as_deref(), now);
        if !engine.takes_work() || !prompt.is_none_or(serves) {
            continue;
        }
        if let Some(pause) = engine.health.pause(now) {
            found.pause = Some(found.pause.map_or(pause, |shortest| shortest.min(pause)));
            continue;
        }
        if avoid.contains(&engine.entry.id) {
            continue;
        }
        found.holders += 1;
        if !path::is_reachable(state, now, engine, query.unsent.contains(&engine.entry.id)) {
            continue;
        }
        let place_ms = match intake::access(state, now, engine) {
            Access::Open => 0.0,
            Access::Closed(pause) => {
                found.pause = Some(found.pause.map_or(pause, |shortest| shortest.min(pause)));
                continue;
            }
            Access::After(wait, _) if wait > query.queue.min(query.left) => {
                let room_ms = ms(wait);
                found.soonest_ms = Some(found.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
                continue;
            }
            // A prompt's wait is counted with the time to read it.
            Access::After(wait, reserve_ms) => reserve_ms + if prompt.is_none() { ms(wait) } else { 0.0 },
        };
        if intake::would_wait(state, now, engine) {
            let room_ms = run_ms / f64::from(engine.entry.slots.max(1));
            found.soonest_ms = Some(found.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
            continue;
        }
        let queue_ms = queue_ms(engine, engine.load(), run_ms);
        let (offered, come_back_ms) = match prompt {
            Some(_) => (!is_full(engine, engine.load()), run_ms / f64::from(engine.entry.slots.max(1))),
            None => (takes_call(engine, now, query, run_ms, rng.f64()), ms(COME_BACK)),
        };
        if queue_ms > ms(query.left) || !offered {
            let room_ms = queue_ms.max(come_back_ms);
            found.soonest_ms = Some(found.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
            continue;
        }
        let relay_ms = path::relay_of(state, engine).map_or(0.0, |_relay| RELAY_MS);
        let cost_ms = queue_ms + place_ms + relay_ms + beside_ms(engine, now, &state.me.zone, settings);
        found.candidates.push(Candidate { engine, permit, cost_ms });
    }
    found
}

/// How long a build must have been known to get a request: one that begins a stream which may be resumed goes to a build that all entry VMs
/// know, as long as any serves. None where any may have it.
fn settling(state: &State, now: Time, query: Query<'_>) -> Option<Duration> {
    let settling = pin::settling(state);
    if !query.begins || !state.history.is_settling(now, query.service, settling) {
        return None;
    }
    let settled = |engine: &Engine| {
        let build = engine.entry.build.as_ref();
        engine.takes_work() && state.history.is_settled(now, query.service, build, settling)
    };
    state.engines_of(query.service).any(settled).then_some(settling)
}

/// Draws one of the candidates, by what other entry VMs send there before it is known here.
fn draw(
    state: &State,
    now: Time,
    service: &Name,
    candidates: &[Candidate<'_>],
    work: Option<Duration>,
    drawn: f64,
) -> Option<Pick> {
    let run_ms = state.pace(service);
    let others: u32 = candidates.iter().map(|candidate| candidate.engine.others.open).sum();
    let slots = candidates.iter().map(|candidate| candidate.engine.entry.slots).max().unwrap_or(1);
    let step_ms = match work {
        Some(work) => ms(work) + state.settings.crowd_ms,
        None => run_ms / f64::from(slots.max(1)),
    };
    let mut zones: BTreeMap<&Name, usize> = BTreeMap::new();
    for candidate in candidates {
        *zones.entry(&candidate.engine.entry.zone).or_default() += 1;
    }
    let late_ms = ms(frame::lateness(state, now));
    // Each availability zone's requests go to its own engines first, and raise their costs.
    let requests = f64::from(others) * late_ms / run_ms.max(1.0) / zones.len().max(1) as f64;
    let requests = if state.settings.uses(Mechanism::Draw) { requests } else { 0.0 };
    let unseen = Unseen { requests, step_ms };
    let cost = |candidate: &Candidate<'_>| {
        let zone = &candidate.engine.entry.zone;
        let raised = if *zone == state.me.zone { 0.0 } else { unseen.each_ms(zones[zone]) };
        candidate.cost_ms + raised
    };
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let index = spread::draw(&costs, unseen, drawn)?;
    let chosen = &candidates[index];
    let others = costs.iter().enumerate().filter(|(other, _)| *other != index);
    let next_ms = others.map(|(_, cost)| *cost).fold(f64::INFINITY, f64::min);
    let slack = Duration::try_from_secs_f64((next_ms - costs[index]).max(0.0) / 1_000.0);
    Some(Pick {
        engine: chosen.engine.entry.id.clone(),
        cost_ms: chosen.cost_ms,
        slack: slack.unwrap_or(Duration::MAX),
        candidates: candidates.len(),
        permit: chosen.permit,
    })
}

/// Time until a slot is free for one more request.
fn queue_ms(engine: &Engine, load: Load, run_ms: f64) -> f64 {
    let slots = engine.entry.slots.max(1);
    let over = (load.open + 1).saturating_sub(slots);
    f64::from(over) * run_ms / f64::from(slots)
}

/// Whether an engine has too much to do for one more prompt.
fn is_full(engine: &Engine, load: Load) -> bool {
    let slots = f64::from(engine.entry.slots.max(1));
    f64::from(load.open) >= slots * (1.0 + QUEUE_DEPTH)
}

/// Whether an engine is offered one more call of a plain service. Calls wait as long as they can still be answered in time:
/// their runs are short. What other entry VMs have sent there is known too late for that, and tells by the answers.
fn takes_call(engine: &Engine, now: Time, query: Query<'_>, run_ms: f64, drawn: f64) -> bool {
    let answer_ms = queue_ms(engine, engine.own, run_ms) + run_ms;
    let late = is_full(engine, engine.own) && answer_ms > ms(query.target);
    !late && engine.share.takes(now, drawn)
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Time until a prompt has been read: it waits for its place in the schedule, or for the prompts that are ahead.
fn read_ms(engine: &Engine, work: Duration, now: Time) -> f64 {
    let ahead_ms = engine.load().reading_us as f64 / 1_000.0;
    ahead_ms.max(ms(engine.schedule.wait(now))) + ms(work)
}

/// What else speaks against an engine.
fn beside_ms(engine: &Engine, now: Time, zone: &Name, settings: &Settings) -> f64 {
    let mut cost = 0.0;
    if settings.uses(Mechanism::CrowdCost) {
        cost += f64::from(engine.load().open) * settings.crowd_ms;
    }
    if engine.entry.zone != *zone && settings.uses(Mechanism::ZoneCost) {
        cost += settings.zone_ms;
    }
    if settings.uses(Mechanism::Faults) {
        cost += engine.health.faults(now, settings) * settings.fault_ms;
    }
    cost
}
