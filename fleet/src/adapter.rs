//! Adapters: brought to engines that hold their models as soon as a request waits for one, in the place of
//! those that were asked for longest ago.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::demand::{Demand, Target};
use crate::effect::Effect;
use crate::engine::Phase;
use crate::ledger::{self, Order};
use crate::state::State;

/// Brings adapters that requests wait for to engines that hold their models.
pub(crate) fn wanted(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.orders(now).is_none() {
        return;
    }
    let State { appetite, hub, demand, .. } = state;
    appetite.touch(now, hub.frames().flat_map(|frame| &frame.demand).chain(demand.peek()));
    let own = state.demand.peek();
    let all = state.hub.frames().flat_map(|frame| &frame.demand).chain(own);
    let waiting = |demand: &&Demand| demand.waiting > 0 && demand.target.adapter.is_some();
    let mut targets: Vec<Target> = all.filter(waiting).map(|demand| demand.target.clone()).collect();
    targets.sort();
    targets.dedup();
    for target in targets {
        place(state, now, &target, out);
    }
}

/// Finds a place for an adapter that none is on its way to.
fn place(state: &mut State, now: Time, target: &Target, out: &mut Vec<Effect>) {
    let Some(name) = &target.adapter else {
        return;
    };
    let Some(pool) = state.pool(&target.service) else {
        return;
    };
    let mut best: Option<(f64, Name, Option<Order>)> = None;
    for engine in state.engines_of(&target.service) {
        if !engine.takes_work() || engine.health.suspected(now) {
            continue;
        }
        let Some(book) = state.ledger.book(&engine.entry.id) else {
            continue;
        };
        if !book.copies().any(|(model, phase)| *model == target.model && phase == Phase::Ready) {
            continue;
        }
        if book.expects(&target.model, name) {
            return;
        }
        let victim = if book.adapters_expected() < pool.adapters_max as usize {
            None
        } else {
            let Some(victim) = idlest(state, now, &engine.entry.id, &target.service) else {
                continue;
            };
            Some(victim)
        };
        if !book.takes_adapters(1 + usize::from(victim.is_some())) {
            continue;
        }
        let zone = if engine.entry.zone == state.me.zone { 0.0 } else { 0.5 };
        let cost = f64::from(engine.load().open) + f64::from(u8::from(victim.is_some())) * 4.0 + zone;
        if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
            best = Some((cost, engine.entry.id.clone(), victim));
        }
    }
    let Some((_, engine, victim)) = best else {
        return;
    };
    let load = Order::LoadAdapter { model: target.model.clone(), adapter: name.clone() };
    ledger::order(state, now, &engine, victim.into_iter().chain([load]), out);
}

/// The adapter at an engine that was asked for longest ago, if that is long enough.
fn idlest(state: &State, now: Time, engine: &Name, service: &Name) -> Option<Order> {
    let book = state.ledger.book(engine)?;
    let mut best: Option<(Time, Order)> = None;
    for (model, adapter) in book.adapters() {
        if book.drops(model, adapter) {
            continue;
        }
        let target =
            Target { service: service.clone(), model: model.clone(), adapter: Some(adapter.clone()) };
        let used = state.appetite.used(&target).unwrap_or_default();
        if now.since(used) < state.settings.adapter_idle {
            continue;
        }
        if best.as_ref().is_none_or(|(earliest, _)| used < *earliest) {
            best = Some((used, Order::UnloadAdapter { model: model.clone(), adapter: adapter.clone() }));
        }
    }
    best.map(|(_, order)| order)
}
