//! Periodic placement of models and adapters on engines, decided by the hub.
//!
//! Placement follows demand, which moves to other models within seconds. If there is room, each model keeps one
//! copy at all times. Further copies move from where their utility is lowest to where it is highest. A copy
//! that is unused and not the last of its model is dropped in advance, so that the next load does not have to
//! wait for the unload.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::adapter;
use crate::config::Pool;
use crate::effect::Effect;
use crate::engine::Engine;
use crate::ledger;
use crate::order::Order;
use crate::place::{Candidate, Input, plan_moves};
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// Minimum residence time of a copy as a multiple of its load time, where the engines lack room for all models:
/// an engine then spends at most a third of its time on loads.
const RESIDENCE_PER_LOAD: u32 = 2;

/// Makes the next plan and sends the orders that follow from it.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.plan_every, Timer::Plan);
    if state.lease.held_term(now).is_none() {
        return;
    }
    ledger::sync(state, now);
    update_demand(state, now);
    // A timer that fired while this process did not hold the lease or the engine was not listed had no effect.
    let managed: Vec<Name> = state.engines.keys().cloned().collect();
    for id in &managed {
        ledger::check(state, now, id, out);
    }
    if state.lease.ordering_term(now).is_none() {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    for service in &config.services {
        if let Some(pool) = &service.pool {
            place_models(state, now, &service.name, pool, out);
        }
    }
    adapter::place_all_waiting(state, now, out);
    if state.settings.is_enabled(Mechanism::AdapterRelief) {
        adapter::relieve(state, now, out);
    }
}

/// Updates the aggregated demand from the counters of all entry VMs.
fn update_demand(state: &mut State, now: Time) {
    let own = state.demand.take();
    for demand in &own {
        state.fleet_demand.add_arrivals(demand);
    }
    let State { fleet_demand: appetite, hub, .. } = state;
    appetite.update(now, hub.frames().flat_map(|frame| &frame.demand).chain(&own));
}

fn place_models(state: &mut State, now: Time, service: &Name, pool: &Pool, out: &mut Vec<Effect>) {
    let cold_left = state.ledger.cold_loads_left(now, pool.loads_per_s, &state.settings);
    let cold_running =
        state.engines_of(service).map(|engine| ledger::cold_loads_running(state, engine)).sum();
    let candidates: Vec<Candidate> =
        state.engines_of(service).filter_map(|engine| candidate(state, now, engine, pool)).collect();
    let demand =
        pool.models.iter().map(|model| (model.name.clone(), state.fleet_demand.trend(service, &model.name)));
    let watched = state.fleet_demand.observed_for(now);
    let input = Input {
        pool,
        engines: candidates,
        demand: demand.collect(),
        cold_loads_left: cold_left,
        cold_loads_running: cold_running,
        observed_for: watched,
        interval: state.settings.plan_every,
        now,
        disabled: &state.settings.disabled,
    };
    if state.fleet_demand.log_due(now) {
        out.push(Effect::Record(input.record(service)));
    }
    for step in plan_moves(input) {
        let drop = step.drop.map(|model| Order::Unload { model });
        let load = step.load.map(|model| Order::Load { model });
        ledger::enqueue(state, now, &step.engine, drop.into_iter().chain(load), out);
    }
}

fn candidate(state: &State, now: Time, engine: &Engine, pool: &Pool) -> Option<Candidate> {
    let holdings = state.ledger.holdings(&engine.entry.id)?;
    let reserve = state.ledger.late.reserve(now, &engine.entry.id, holdings, None, pool);
    let age =
        |model: &Name| pool.model(model).map_or(Duration::ZERO, |model| model.cold * RESIDENCE_PER_LOAD);
    Some(Candidate {
        engine: engine.entry.id.clone(),
        usable: engine.takes_work()
            && engine.missing_until.is_none()
            && (!engine.health.is_suspected(now)
                || engine.path.is_relayed()
                || engine.health.may_resume(now)),
        rate_limited: state.rate_limits.limit_of(engine, now).is_some(),
        idle: holdings.idle(now) && !engine.health.is_suspected(now),
        copies: holdings.copies_expected().map(|(model, phase)| (model.clone(), phase)).collect(),
        recently_loaded: holdings.ready_for_less_than(now, age).cloned().collect(),
        free_mb: pool.memory_mb - holdings.memory_mb(pool) - reserve.memory_mb,
        cached: engine.entry.cached.clone(),
        open_requests: engine.load().open,
        zone: engine.entry.zone.clone(),
    })
}
