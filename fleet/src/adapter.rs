//! Adapters: brought to engines that hold their models as soon as a request waits for one, in the place of
//! those that were asked for longest ago.
//!
//! The load that this answers beside that: many requests for one adapter, while its model has copies at several
//! engines. With the adapter at one of them, that one had 48 requests under way for 12 slots, and others with the same
//! model 17. An adapter takes 5 to 14 ms to be loaded and none of the weight store's rate, so it is brought to another
//! engine as soon as those that hold it are crowded.

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;

use crate::book::Book;
use crate::demand::{Demand, Target};
use crate::effect::Effect;
use crate::engine::{Engine, Phase};
use crate::ledger;
use crate::order::Order;
use crate::state::State;

/// Part of its slots that is taken at an engine that counts as crowded: beyond half of them, events come later.
const CROWDED: f64 = 0.5;
/// How much less of its slots must be taken at an engine that is to relieve another: with less, it would soon be
/// crowded itself.
const RELIEF: f64 = 0.25;
/// What it speaks against an engine that another adapter has to make way there, in requests under way: it may be asked
/// for again.
const VICTIM_COST: f64 = 4.0;
/// What speaks against an engine of another availability zone, in requests under way: of two that are alike, the near
/// one answers the order sooner.
const ZONE_COST: f64 = 0.5;

/// Brings all adapters that requests wait for anywhere to engines that hold their models.
pub(crate) fn all_wanted(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let targets = targets(state, |demand| demand.waiting > 0);
    wanted(state, now, &targets, out);
}

/// The targets for which any entry VM has such demand, each once, in order.
fn targets(state: &State, of_interest: impl Fn(&Demand) -> bool) -> Vec<Target> {
    let all = state.hub.frames().flat_map(|frame| &frame.demand).chain(state.demand.peek());
    let interesting = all.filter(|demand| demand.target.adapter.is_some() && of_interest(demand));
    let distinct: FxHashSet<&Target> = interesting.map(|demand| &demand.target).collect();
    let mut targets: Vec<Target> = distinct.into_iter().cloned().collect();
    targets.sort();
    targets
}

/// Brings these adapters to engines that hold their models.
pub(crate) fn wanted(state: &mut State, now: Time, targets: &[Target], out: &mut Vec<Effect>) {
    if state.lease.orders(now).is_none() {
        return;
    }
    for target in targets.iter().filter(|target| target.adapter.is_some()) {
        place(state, now, target, out);
    }
}

/// What requests wait for.
pub(crate) fn waited_for<'a>(demands: impl IntoIterator<Item = &'a Demand>) -> Vec<Target> {
    let waiting = demands.into_iter().filter(|demand| demand.waiting > 0);
    waiting.map(|demand| demand.target.clone()).collect()
}

/// Finds a place for an adapter that is nowhere and that none is on its way to.
fn place(state: &mut State, now: Time, target: &Target, out: &mut Vec<Effect>) {
    state.places_sought += 1;
    if !is_on_its_way(state, now, target) {
        bring(state, now, target, f64::INFINITY, out);
    }
}

/// Whether an adapter is at an engine that takes requests, or on its way to one.
pub(crate) fn is_on_its_way(state: &State, now: Time, target: &Target) -> bool {
    holders(state, now, target).any(|(_, book)| is_expected(book, target))
}

/// The engines that take requests and hold a target's model, ready or not, with their books.
fn holders<'a>(
    state: &'a State,
    now: Time,
    target: &'a Target,
) -> impl Iterator<Item = (&'a Engine, &'a Book)> {
    let holding = state.ledger.holding(&target.model);
    let engines = holding.filter_map(|(id, book)| Some((state.engines.get(id)?, book)));
    engines.filter(move |(engine, _)| engine.entry.service == target.service && is_usable(engine, now))
}

/// Brings adapters that are in use to more engines where those that hold them are crowded.
pub(crate) fn relieve(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.orders(now).is_none() {
        return;
    }
    for target in targets(state, |demand| demand.open > 0) {
        if let Some(least) = crowding(state, now, &target) {
            bring(state, now, &target, least - RELIEF, out);
        }
    }
}

/// The part of its slots that is taken at the least crowded engine that holds an adapter, if all that do are crowded
/// and none is about to get it.
fn crowding(state: &State, now: Time, target: &Target) -> Option<f64> {
    let name = target.adapter.as_ref()?;
    let mut least: Option<f64> = None;
    for (engine, _) in holders(state, now, target).filter(|(_, book)| is_expected(book, target)) {
        if !engine.serves(&target.model, Some(name), now) {
            return None;
        }
        least = Some(least.map_or(taken(state, now, engine), |least| least.min(taken(state, now, engine))));
    }
    least.filter(|least| *least >= CROWDED)
}

/// Slots that are taken at an engine; more than it has if requests wait there. One in need is full, however little it has.
fn slots_taken(state: &State, now: Time, engine: &Engine) -> u32 {
    let open = engine.load().open;
    if state.intakes.limit_of(engine, now).is_some() { open.max(engine.entry.slots) } else { open }
}

/// The part of its slots that is taken at an engine; more than one if requests wait there.
fn taken(state: &State, now: Time, engine: &Engine) -> f64 {
    f64::from(slots_taken(state, now, engine)) / f64::from(engine.entry.slots.max(1))
}

/// Whether an adapter is at an engine or on its way there.
fn is_expected(book: &Book, target: &Target) -> bool {
    target.adapter.as_ref().is_some_and(|name| book.expects(&target.model, name))
}

fn is_usable(engine: &Engine, now: Time) -> bool {
    engine.takes_work() && !engine.health.suspected(now)
}

/// Loads an adapter at the best engine that holds its model and not the adapter, and of whose slots at most the given
/// part is taken.
fn bring(state: &mut State, now: Time, target: &Target, taken_max: f64, out: &mut Vec<Effect>) {
    let Some(name) = &target.adapter else {
        return;
    };
    let Some(pool) = state.pool(&target.service) else {
        return;
    };
    let mut best: Option<(f64, Name, Option<Order>)> = None;
    for (engine, book) in holders(state, now, target) {
        let ready = book.kept(&target.model).is_some_and(|copy| copy.phase == Phase::Ready);
        if !ready || taken(state, now, engine) > taken_max || book.expects(&target.model, name) {
            continue;
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
        let zone = if engine.entry.zone == state.me.zone { 0.0 } else { ZONE_COST };
        let cost = f64::from(slots_taken(state, now, engine))
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
