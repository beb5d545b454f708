//! Placement: which models and adapters are to be where, decided by the holder of the lease.
//!
//! It answers demand that moves to other models within seconds. Where there is room, each model keeps a copy at all times;
//! beyond that, copies go from where they are worth least to where they are worth most. A copy that nobody uses and that is
//! not the last is dropped ahead of need, so that the next load need not wait for it.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::adapter;
use crate::config::Pool;
use crate::effect::Effect;
use crate::engine::Engine;
use crate::ledger;
use crate::order::Order;
use crate::place::{Spot, View, moves};
use crate::settings::Mechanism;
use crate::state::State;
use crate::timer::Timer;

/// Times of its load for which a copy stays at least where models have no room beside each other: an engine then spends no
/// more than a third of its time on loads.
const EARNED: u32 = 2;

/// A plan is due.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.plan_every, Timer::Plan);
    if state.lease.holds(now).is_none() {
        return;
    }
    ledger::sync(state, now);
    take_in(state, now);
    // A timer that fired while the lease was not held, or the engine not listed, did nothing.
    let managed: Vec<Name> = state.engines.keys().cloned().collect();
    for id in &managed {
        ledger::check(state, now, id, out);
    }
    if state.lease.orders(now).is_none() {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    for service in &config.services {
        if let Some(pool) = &service.pool {
            models(state, now, &service.name, pool, out);
        }
    }
    adapter::all_wanted(state, now, out);
    if state.settings.uses(Mechanism::AdapterRelief) {
        adapter::relieve(state, now, out);
    }
}

/// Takes in what all entry VMs have under way.
fn take_in(state: &mut State, now: Time) {
    let own = state.demand.take();
    for demand in &own {
        state.appetite.arrived(demand);
    }
    let State { appetite, hub, .. } = state;
    appetite.update(now, hub.frames().flat_map(|frame| &frame.demand).chain(&own));
}

fn models(state: &mut State, now: Time, service: &Name, pool: &Pool, out: &mut Vec<Effect>) {
    let cold_left = state.ledger.cold_left(now, pool.loads_per_s, &state.settings);
    let cold_running = state.engines_of(service).map(|engine| ledger::cold_running(state, engine)).sum();
    let spots: Vec<Spot> =
        state.engines_of(service).filter_map(|engine| spot(state, now, engine, pool)).collect();
    let demand =
        pool.models.iter().map(|model| (model.name.clone(), state.appetite.trend(service, &model.name)));
    let watched = state.appetite.watched(now);
    let view = View {
        pool,
        spots,
        demand: demand.collect(),
        cold_left,
        cold_running,
        watched,
        every: state.settings.plan_every,
        now,
        without: &state.settings.without,
    };
    if state.appetite.report_due(now) {
        out.push(Effect::Record(view.record(service)));
    }
    for step in moves(view) {
        let drop = step.drop.map(|model| Order::Unload { model });
        let load = step.load.map(|model| Order::Load { model });
        ledger::order(state, now, &step.engine, drop.into_iter().chain(load), out);
    }
}

fn spot(state: &State, now: Time, engine: &Engine, pool: &Pool) -> Option<Spot> {
    let book = state.ledger.book(&engine.entry.id)?;
    let age = |model: &Name| pool.model(model).map_or(Duration::ZERO, |model| model.cold * EARNED);
    Some(Spot {
        engine: engine.entry.id.clone(),
        usable: engine.takes_work()
            && engine.missing_until.is_none()
            && (!engine.health.suspected(now) || engine.path.is_relayed() || engine.health.may_go_on(now)),
        limited: state.intakes.limit_of(engine, now).is_some(),
        idle: book.idle() && !engine.health.suspected(now),
        copies: book.copies_expected().map(|(model, phase)| (model.clone(), phase)).collect(),
        young: book.younger(now, age).cloned().collect(),
        free_mb: pool.memory_mb - book.memory_mb(pool),
        cached: engine.entry.cached.clone(),
        open: engine.load().open,
        zone: engine.entry.zone.clone(),
    })
}
