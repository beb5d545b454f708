//! Placement of adapters: an adapter is loaded at an engine that holds its model as soon as a request waits for
//! it, in place of the least recently used adapter if the engine is full.
//!
//! A second case is a high load on one adapter whose model has copies at several engines. With the adapter at
//! one engine only, that engine had 48 requests under way for 12 slots, and others with the same model had 17.
//! Loading an adapter takes 5 to 14 ms and uses none of the weight store's rate, so it is loaded at another
//! engine as soon as those that hold it are crowded.

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;

use crate::demand::{Demand, Target};
use crate::effect::Effect;
use crate::engine::{Engine, Phase};
use crate::holdings::Holdings;
use crate::ledger;
use crate::order::Order;
use crate::state::State;

/// Fraction of slots in use from which an engine counts as crowded: with more than half of its slots in use,
/// the events of its streams arrive later.
const CROWDED: f64 = 0.5;
/// Minimum difference in the fraction of slots in use between a crowded engine and the one that is to relieve
/// it: with a smaller difference, the latter would soon be crowded itself.
const RELIEF: f64 = 0.25;
/// Cost of an engine at which another adapter must be dropped, in requests under way: that adapter may be
/// requested again.
const VICTIM_COST: f64 = 4.0;
/// Cost of an engine in another availability zone, in requests under way: of two equal engines, the near one
/// answers the order sooner.
const ZONE_COST: f64 = 0.5;

/// Loads all adapters that requests at any entry VM wait for, at engines that hold their models.
pub(crate) fn place_all_waiting(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let targets = targets(state, |demand| demand.waiting > 0);
    place_targets(state, now, &targets, out);
}

/// The adapters for which the demand of any entry VM meets a condition, sorted and without duplicates.
fn targets(state: &State, of_interest: impl Fn(&Demand) -> bool) -> Vec<Target> {
    let all = state.hub.frames().flat_map(|frame| &frame.demand).chain(state.demand.iter());
    let interesting = all.filter(|demand| demand.target.adapter.is_some() && of_interest(demand));
    let distinct: FxHashSet<&Target> = interesting.map(|demand| &demand.target).collect();
    let mut targets: Vec<Target> = distinct.into_iter().cloned().collect();
    targets.sort();
    targets
}

/// Loads these adapters at engines that hold their models.
pub(crate) fn place_targets(state: &mut State, now: Time, targets: &[Target], out: &mut Vec<Effect>) {
    if state.lease.ordering_term(now).is_none() {
        return;
    }
    for target in targets.iter().filter(|target| target.adapter.is_some()) {
        load_if_absent(state, now, target, out);
    }
}

/// Targets that requests wait for.
pub(crate) fn waiting_targets<'a>(demands: impl IntoIterator<Item = &'a Demand>) -> Vec<Target> {
    let waiting = demands.into_iter().filter(|demand| demand.waiting > 0);
    waiting.map(|demand| demand.target.clone()).collect()
}

/// Loads an adapter at an engine unless it is loaded or being loaded at one already.
fn load_if_absent(state: &mut State, now: Time, target: &Target, out: &mut Vec<Effect>) {
    state.placement_searches += 1;
    if !is_placed_or_loading(state, now, target) {
        load_at_best(state, now, target, f64::INFINITY, out);
    }
}

/// Whether an adapter is loaded or expected at an engine that accepts requests.
pub(crate) fn is_placed_or_loading(state: &State, now: Time, target: &Target) -> bool {
    holders(state, now, target).any(|(_, holdings)| is_expected(holdings, target))
}

/// The engines that accept requests and hold a target's model in any phase, with their holdings.
fn holders<'a>(
    state: &'a State,
    now: Time,
    target: &'a Target,
) -> impl Iterator<Item = (&'a Engine, &'a Holdings)> {
    let holding = state.ledger.holders_of(&target.model);
    let engines = holding.filter_map(|(id, holdings)| Some((state.engines.get(id)?, holdings)));
    engines.filter(move |(engine, _)| engine.entry.service == target.service && is_usable(engine, now))
}

/// Loads adapters that are in use at more engines if those that hold them are crowded.
pub(crate) fn relieve(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.ordering_term(now).is_none() {
        return;
    }
    for target in targets(state, |demand| demand.open > 0) {
        if let Some(least) = crowding(state, now, &target) {
            load_at_best(state, now, &target, least - RELIEF, out);
        }
    }
}

/// The fraction of slots in use at the least crowded engine that holds an adapter; none if an engine that holds
/// it is not crowded or another is loading it.
fn crowding(state: &State, now: Time, target: &Target) -> Option<f64> {
    let name = target.adapter.as_ref()?;
    let mut least: Option<f64> = None;
    for (engine, _) in holders(state, now, target).filter(|(_, holdings)| is_expected(holdings, target)) {
        if !engine.serves(&target.model, Some(name), now) {
            return None;
        }
        least = Some(least.map_or(usage(state, now, engine), |least| least.min(usage(state, now, engine))));
    }
    least.filter(|least| *least >= CROWDED)
}

/// Number of slots in use at an engine; more than it has if requests wait there. An engine with a rate limit
/// counts as full, however few requests it has.
fn slots_used(state: &State, now: Time, engine: &Engine) -> u32 {
    let open = engine.load().open;
    if state.rate_limits.limit_of(engine, now).is_some() { open.max(engine.entry.slots) } else { open }
}

/// Fraction of slots in use at an engine; more than one if requests wait there.
fn usage(state: &State, now: Time, engine: &Engine) -> f64 {
    f64::from(slots_used(state, now, engine)) / f64::from(engine.entry.slots.max(1))
}

/// Whether an adapter is loaded, loading or to be loaded at an engine.
fn is_expected(holdings: &Holdings, target: &Target) -> bool {
    target.adapter.as_ref().is_some_and(|name| holdings.expects_adapter(&target.model, name))
}

fn is_usable(engine: &Engine, now: Time) -> bool {
    engine.takes_work() && !engine.health.is_suspected(now)
}

/// Loads an adapter at the best engine that holds its model but not the adapter, and whose fraction of slots in
/// use is at most `used_max`.
fn load_at_best(state: &mut State, now: Time, target: &Target, used_max: f64, out: &mut Vec<Effect>) {
    let Some(name) = &target.adapter else {
        return;
    };
    let Some(pool) = state.pool(&target.service) else {
        return;
    };
    let mut best: Option<(f64, Name, Option<Order>)> = None;
    for (engine, holdings) in holders(state, now, target) {
        let ready = holdings.copy_of(&target.model).is_some_and(|copy| copy.phase == Phase::Ready);
        if !ready || usage(state, now, engine) > used_max || holdings.expects_adapter(&target.model, name) {
            continue;
        }
        let reserve = state.ledger.late.reserve(now, &engine.entry.id, holdings, None, pool);
        let victim = if holdings.adapters_expected() + reserve.adapters < pool.adapters_max as usize {
            None
        } else if reserve.adapters > 0 {
            // A late order may take the place within seconds: no adapter is given up for it.
            continue;
        } else {
            let Some(victim) = least_recently_used(state, now, &engine.entry.id, &target.service) else {
                continue;
            };
            Some(victim)
        };
        if !holdings.accepts_adapter_orders(now, 1 + usize::from(victim.is_some())) {
            continue;
        }
        let zone = if engine.entry.zone == state.me.zone { 0.0 } else { ZONE_COST };
        let cost = f64::from(slots_used(state, now, engine))
            + f64::from(u8::from(victim.is_some())) * VICTIM_COST
            + zone;
        if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
            best = Some((cost, engine.entry.id.clone(), victim));
        }
    }
    let Some((_, engine, victim)) = best else {
        return;
    };
    let load = Order::LoadAdapter { model: target.model.clone(), adapter: name.clone() };
    ledger::enqueue(state, now, &engine, victim.into_iter().chain([load]), out);
}

/// An order to unload the least recently used adapter of an engine, if it has been idle for the configured
/// time.
fn least_recently_used(state: &State, now: Time, engine: &Name, service: &Name) -> Option<Order> {
    let holdings = state.ledger.holdings(engine)?;
    let mut best: Option<(Time, Order)> = None;
    for (model, adapter) in holdings.adapters() {
        if holdings.drops_adapter(model, adapter) {
            continue;
        }
        let target =
            Target { service: service.clone(), model: model.clone(), adapter: Some(adapter.clone()) };
        let used = state.fleet_demand.last_used(&target).unwrap_or_default();
        if now.since(used) < state.settings.adapter_idle {
            continue;
        }
        if best.as_ref().is_none_or(|(earliest, _)| used < *earliest) {
            best = Some((used, Order::UnloadAdapter { model: model.clone(), adapter: adapter.clone() }));
        }
    }
    best.map(|(_, order)| order)
}
