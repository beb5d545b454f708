//! The choice of an engine for a request: the one where the expected wait is shortest.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::engine::{Engine, Load};
use crate::flow::RETRY_AFTER;
use crate::frame;
use crate::path;
use crate::pin::{self, Pin};
use crate::rate_limit::{self, Access};
use crate::regions::{self, Permit, Regions};
use crate::request::Prompt;
use crate::settings::{Mechanism, Settings};
use crate::spread::{self, Estimate};
use crate::state::State;

/// Random part of a cost, in ms, so that entry VMs with the same data do not all pick the same engine.
const JITTER_MS: f64 = 2.0;
/// Requests that may wait at an engine before it gets no more prompts, as a multiple of its slots. What waits behind so many
/// streams begins late, and more urgent requests overtake it.
const QUEUE_DEPTH: f64 = 0.6;

/// Cost of sending a request through a relay, in ms of waiting.
const RELAY_MS: f64 = 10.0;

/// The result of the search for an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This engine.
    Engine(Pick),
    /// No engine holds the model or the adapter.
    NotLoaded,
    /// All engines that could run it are unreachable or suspected, or none is known.
    Unreachable,
    /// Only engines of one build may continue the stream, and none of that build takes work.
    BuildGone,
    /// The request may be served in some regions only, and no engine of the service can be reached there.
    RegionUnavailable,
    /// All engines that could run it are overloaded; one is expected to have room after this time.
    Full(Duration),
    /// No engine that could run it accepts requests from this process for this time.
    Paused(Duration),
}

/// The chosen engine, and what the choice was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The engine's id.
    pub engine: Name,
    /// Its expected cost, in ms of waiting.
    pub cost_ms: f64,
    /// How much longer than expected the request may wait there before the next engine would be better.
    pub slack: Duration,
    /// Number of engines that could get the request.
    pub candidates: usize,
    /// The proof that the engine is in a region where the request may be served.
    pub permit: Permit,
}

/// The requirements of a request on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    /// The service.
    pub(crate) service: &'a Name,
    /// The model that it needs and the size of its prompt; none for calls of plain services.
    pub(crate) prompt: Option<&'a Prompt>,
    /// The regions where it may be served.
    pub(crate) regions: &'a Regions,
    /// The builds that may run it.
    pub(crate) pin: &'a Pin,
    /// Whether it begins a stream that its caller may resume at another entry VM.
    pub(crate) begins: bool,
    /// Engines that must not get it.
    pub(crate) excluded: &'a [Name],
    /// Engines to which connecting failed for it.
    pub(crate) connect_failures: &'a [Name],
    /// Time until the answer must begin.
    pub(crate) time_left: Duration,
    /// How long it may wait for a reservation at a rate-limited engine.
    pub(crate) reservation_wait_max: Duration,
    /// The operator's target for the time to an answer.
    pub(crate) target: Duration,
}

/// An engine that can get the request, and its cost.
#[derive(Debug)]
struct Candidate<'a> {
    engine: &'a Engine,
    permit: Permit,
    cost_ms: f64,
}

/// The result of a scan of all engines of a service.
#[derive(Debug, Default)]
struct Scan<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Number of engines of the service whose region and build allow the request.
    members: usize,
    /// Number of those that take work and are not excluded.
    available: usize,
    /// Number of available engines that hold the model and have not asked for a pause.
    loaded: usize,
    /// The shortest time until an overloaded engine has room, in ms.
    soonest_ms: Option<f64>,
    /// The shortest remaining pause of the engines that accept no requests for a while.
    pause: Option<Duration>,
}

/// Picks an engine.
pub(crate) fn choose(state: &mut State, now: Time, query: Query<'_>) -> Choice {
    let Query { service, prompt, .. } = query;
    let mut rng = state.rng.fork();
    let state = &*state;
    let prefill = prompt.map(|prompt| state.speed.prefill_time(service, &prompt.model, prompt.tokens));
    let mut scanned = scan(state, now, query, &mut rng);
    for candidate in &mut scanned.candidates {
        candidate.cost_ms +=
            prefill.map_or(0.0, |prefill| read_ms(candidate.engine, prefill, now)) + rng.f64() * JITTER_MS;
    }
    if let Some(pick) = draw(state, now, service, &scanned.candidates, prefill, rng.f64()) {
        return Choice::Engine(pick);
    }
    match scanned.soonest_ms {
        Some(soonest) => Choice::Full(Duration::from_secs_f64(soonest / 1_000.0)),
        None if let Some(pause) = scanned.pause => Choice::Paused(pause),
        None if query.pin.is_restricted() && scanned.available == 0 => Choice::BuildGone,
        None if scanned.loaded == 0 && scanned.members > 0 && prompt.is_some() => Choice::NotLoaded,
        None if query.regions.is_restricted() => Choice::RegionUnavailable,
        None => Choice::Unreachable,
    }
}

/// Scans all engines of a service for candidates.
fn scan<'a>(state: &'a State, now: Time, query: Query<'a>, rng: &mut fastrand::Rng) -> Scan<'a> {
    let Query { service, prompt, excluded, .. } = query;
    let settings = &state.settings;
    let run_ms = state.mean_run_ms(service);
    let mut scanned = Scan::default();
    let settling = settling(state, now, query);
    for engine in state.engines_of(service) {
        let Some(permit) = regions::permit(state, query.regions, engine) else {
            continue;
        };
        let build = engine.entry.build.as_ref();
        if !query.pin.allows(build)
            || settling.is_some_and(|settling| !state.history.is_settled(now, service, build, settling))
        {
            continue;
        }
        scanned.members += 1;
        scanned.available += usize::from(engine.takes_work() && !excluded.contains(&engine.entry.id));
        let serves = |prompt: &Prompt| engine.serves(&prompt.model, prompt.adapter.as_deref(), now);
        if !engine.takes_work() || !prompt.is_none_or(serves) {
            continue;
        }
        if let Some(pause) = engine.health.pause_left(now) {
            scanned.pause = Some(scanned.pause.map_or(pause, |shortest| shortest.min(pause)));
            continue;
        }
        if excluded.contains(&engine.entry.id) {
            continue;
        }
        scanned.loaded += 1;
        if !path::is_reachable(state, now, engine, query.connect_failures.contains(&engine.entry.id)) {
            continue;
        }
        let limit_ms = match rate_limit::access(state, now, engine) {
            Access::Unlimited => 0.0,
            Access::Closed(pause) => {
                scanned.pause = Some(scanned.pause.map_or(pause, |shortest| shortest.min(pause)));
                continue;
            }
            Access::After(wait, _) if wait > query.reservation_wait_max.min(query.time_left) => {
                let room_ms = ms(wait);
                scanned.soonest_ms = Some(scanned.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
                continue;
            }
            // For a prompt, `read_ms` counts the wait.
            Access::After(wait, penalty_ms) => penalty_ms + if prompt.is_none() { ms(wait) } else { 0.0 },
        };
        if rate_limit::would_wait(state, now, engine) {
            let room_ms = run_ms / f64::from(engine.entry.slots.max(1));
            scanned.soonest_ms = Some(scanned.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
            continue;
        }
        let queue_ms = queue_ms(engine, engine.load(), run_ms);
        let (offered, retry_after_ms) = match prompt {
            Some(_) => (!is_full(engine, engine.load()), run_ms / f64::from(engine.entry.slots.max(1))),
            None => (takes_call(engine, now, query, run_ms, rng.f64()), ms(RETRY_AFTER)),
        };
        if queue_ms > ms(query.time_left) || !offered {
            let room_ms = queue_ms.max(retry_after_ms);
            scanned.soonest_ms = Some(scanned.soonest_ms.map_or(room_ms, |soonest| soonest.min(room_ms)));
            continue;
        }
        let relay_ms = path::relay_of(state, engine).map_or(0.0, |_relay| RELAY_MS);
        let cost_ms = queue_ms + limit_ms + relay_ms + other_costs_ms(engine, now, &state.me.zone, settings);
        scanned.candidates.push(Candidate { engine, permit, cost_ms });
    }
    scanned
}

/// How long a build must have been known to get a request; none if any build may get it. A request that begins a resumable stream goes to
/// a build that all entry VMs know, as long as any such build serves.
fn settling(state: &State, now: Time, query: Query<'_>) -> Option<Duration> {
    let settling = pin::settling_time(state);
    if !query.begins || !state.history.is_settling(now, query.service, settling) {
        return None;
    }
    let settled = |engine: &Engine| {
        let build = engine.entry.build.as_ref();
        engine.takes_work() && state.history.is_settled(now, query.service, build, settling)
    };
    state.engines_of(query.service).any(settled).then_some(settling)
}

/// Draws one of the candidates. Their weights depend on the requests that other entry VMs are expected to have sent to each, and
/// that have not been reported here yet.
fn draw(
    state: &State,
    now: Time,
    service: &Name,
    candidates: &[Candidate<'_>],
    prefill: Option<Duration>,
    drawn: f64,
) -> Option<Pick> {
    let run_ms = state.mean_run_ms(service);
    let others: u32 = candidates.iter().map(|candidate| candidate.engine.load_of_others().open).sum();
    let slots = candidates.iter().map(|candidate| candidate.engine.entry.slots).max().unwrap_or(1);
    let step_ms = match prefill {
        Some(prefill) => ms(prefill) + state.settings.open_request_ms,
        None => run_ms / f64::from(slots.max(1)),
    };
    let mut zones: BTreeMap<&Name, usize> = BTreeMap::new();
    for candidate in candidates {
        *zones.entry(&candidate.engine.entry.zone).or_default() += 1;
    }
    let staleness_ms = ms(frame::load_staleness(state, now));
    // Entry VMs prefer the engines of their own availability zone, so the unseen requests of each zone raise the costs there.
    let requests = f64::from(others) * staleness_ms / run_ms.max(1.0) / zones.len().max(1) as f64;
    let requests = if state.settings.is_enabled(Mechanism::WeightedDraw) { requests } else { 0.0 };
    let unseen = Estimate { requests, step_ms };
    let cost = |candidate: &Candidate<'_>| {
        let zone = &candidate.engine.entry.zone;
        let raised = if *zone == state.me.zone { 0.0 } else { unseen.per_engine_ms(zones[zone]) };
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

/// Expected time until a slot is free for one more request, in ms.
fn queue_ms(engine: &Engine, load: Load, run_ms: f64) -> f64 {
    let slots = engine.entry.slots.max(1);
    let over = (load.open + 1).saturating_sub(slots);
    f64::from(over) * run_ms / f64::from(slots)
}

/// Whether an engine has too many open requests for one more prompt.
fn is_full(engine: &Engine, load: Load) -> bool {
    let slots = f64::from(engine.entry.slots.max(1));
    f64::from(load.open) >= slots * (1.0 + QUEUE_DEPTH)
}

/// Whether an engine is offered one more call of a plain service. Calls may wait in its queue as long as they can still be answered
/// in time, because their runs are short. The load of other entry VMs is reported too late for this decision; the share of
/// calls that is offered follows it by the waits seen in answers.
fn takes_call(engine: &Engine, now: Time, query: Query<'_>, run_ms: f64, drawn: f64) -> bool {
    let answer_ms = queue_ms(engine, engine.own_load, run_ms) + run_ms;
    let late = is_full(engine, engine.own_load) && answer_ms > ms(query.target);
    !late && engine.throttle.admits(now, drawn)
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Expected time until a prompt has been read, in ms: it waits for its reservation, or for the prompts ahead of it.
fn read_ms(engine: &Engine, prefill: Duration, now: Time) -> f64 {
    let ahead_ms = engine.load().reading_us as f64 / 1_000.0;
    ahead_ms.max(ms(engine.schedule.wait(now))) + ms(prefill)
}

/// Other costs of an engine, in ms: its open requests, another availability zone, and recent failures.
fn other_costs_ms(engine: &Engine, now: Time, zone: &Name, settings: &Settings) -> f64 {
    let mut cost = 0.0;
    if settings.is_enabled(Mechanism::OpenRequestCost) {
        cost += f64::from(engine.load().open) * settings.open_request_ms;
    }
    if engine.entry.zone != *zone && settings.is_enabled(Mechanism::ZoneCost) {
        cost += settings.zone_ms;
    }
    if settings.is_enabled(Mechanism::RecentFailures) {
        cost += engine.health.recent_failures(now, settings) * settings.fault_ms;
    }
    cost
}
