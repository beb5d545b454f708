//! Target attainment per accelerator, and moves, of four placement policies while demand for models grows or
//! falls tenfold within an hour.
//!
//! An engine is modelled by its slots and memory, a load by its time at the weight store, and there is no
//! network. The policy of this system runs through the reducer. The other three are simple simulations of the
//! same engines.

#![expect(clippy::print_stdout, reason = "a benchmark prints its figures")]

#[path = "../tests/table/mod.rs"]
mod table;
#[path = "../tests/control/world.rs"]
#[expect(dead_code, reason = "some helpers are used by the tests only")]
mod world;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use boragecove_core::artifact::Artifact;
use boragecove_core::engine::Stage;
use boragecove_core::inventory::{Adapter, Model, Version as Release};
use boragecove_core::settings::Settings;
use world::World;

const SECONDS: u64 = 7_200;
const STEPS_A_SECOND: u64 = 4;
const SLOTS: usize = 8;
const MEMORY_MB: u64 = 24_000;
/// Mean time that a request occupies a slot, in seconds.
const SERVICE_TIME: f64 = 2.0;
/// A request meets its target if it starts within this time, in seconds.
const TARGET: f64 = 1.7;
/// Time after which a waiting request is given up, in seconds.
const GIVE_UP_AFTER: f64 = 10.0;
/// Fraction of all slots that demand takes on average.
const UTILIZATION: f64 = 0.6;
/// Time of one load at full speed, in seconds.
const LOAD_TIME: f64 = 3.0;
const ADAPTER_MB: u64 = 300;

/// Size of a deployment.
struct Size {
    engines: usize,
    models: usize,
    adapters: usize,
    model_mb: u64,
    /// Loads per second and concurrent loads that the weight store allows.
    store: (f64, usize),
    /// Cost of a move, in missed targets.
    weight: f64,
}

/// A model or adapter that engines may hold.
#[derive(Clone)]
struct Item {
    artifact: Artifact,
    mb: u64,
    base: usize,
    weight: f64,
}

/// A copy: its item, the time at which it is ready, and the time of its last use.
type CopyState = (usize, f64, f64);

#[derive(Clone, Default)]
struct Engine {
    copies: Vec<CopyState>,
    /// End time and item of each running request.
    running: Vec<(f64, usize)>,
}

struct Sim<'a> {
    size: &'a Size,
    items: Vec<Item>,
    engines: Vec<Engine>,
    queues: Vec<VecDeque<f64>>,
    now: f64,
    met: u64,
    total: u64,
    moves: usize,
    loads: Vec<f64>,
}

fn items(size: &Size) -> Vec<Item> {
    let mut items = Vec::new();
    for m in 0..size.models {
        let model = format!("m{m}");
        let weight = 1.0 / (1.0 + (m % (size.models / 3)) as f64);
        let count = size.adapters / size.models + usize::from(m < size.adapters % size.models);
        let base = items.len();
        let artifact = |adapter| Artifact { model: model.as_str().into(), adapter, version: "1".into() };
        let share = if count == 0 { 1.0 } else { 0.5 };
        items.push(Item { artifact: artifact(None), mb: size.model_mb, base, weight: weight * share });
        for a in 0..count {
            let adapter = Some(format!("a{a}").into());
            let weight = weight * 0.5 / count as f64;
            items.push(Item { artifact: artifact(adapter), mb: ADAPTER_MB, base, weight });
        }
    }
    items
}

/// Factor of the demand for a model at time `t`. For a third of the models demand grows tenfold within an
/// hour, for a third it falls to a tenth, and for a third it stays.
fn demand_factor(size: &Size, base: usize, items: &[Item], t: f64) -> f64 {
    let model = items[..=base].iter().enumerate().filter(|(at, item)| item.base == *at).count() - 1;
    let progress = ((t - 1_200.0) / 3_600.0).clamp(0.0, 1.0);
    match model / (size.models / 3) {
        0 => 10_f64.powf(progress),
        1 => 10_f64.powf(1.0 - progress),
        _ => 3.0,
    }
}

/// Requests per second for each item at time `t`.
fn rates(size: &Size, items: &[Item], t: f64) -> Vec<f64> {
    let raw: Vec<f64> =
        items.iter().map(|item| item.weight * demand_factor(size, item.base, items, t)).collect();
    let total: f64 = raw.iter().sum();
    let scale = UTILIZATION * (size.engines * SLOTS) as f64 / SERVICE_TIME / total;
    raw.into_iter().map(|rate| rate * scale).collect()
}

impl<'a> Sim<'a> {
    fn new(size: &'a Size) -> Self {
        let items = items(size);
        let queues = vec![VecDeque::new(); items.len()];
        let engines = vec![Engine::default(); size.engines];
        Self { size, items, engines, queues, now: 0.0, met: 0, total: 0, moves: 0, loads: Vec::new() }
    }

    fn free_mb(&self, engine: usize) -> u64 {
        MEMORY_MB - self.engines[engine].copies.iter().map(|copy| self.items[copy.0].mb).sum::<u64>()
    }

    fn holds(&self, engine: usize, item: usize) -> bool {
        self.engines[engine].copies.iter().any(|copy| copy.0 == item)
    }

    /// Loads an item on an engine once the weight store has a free slot.
    fn load(&mut self, engine: usize, item: usize) {
        self.loads.retain(|end| *end > self.now);
        self.loads.sort_by(f64::total_cmp);
        let at = self.loads.len();
        let begin = if at < self.size.store.1 { self.now } else { self.loads[at - self.size.store.1] };
        let end = begin + LOAD_TIME;
        self.loads.push(end);
        self.moves += 1;
        self.engines[engine].copies.push((item, end, self.now));
    }

    fn unload(&mut self, engine: usize, item: usize) {
        self.moves += 1;
        self.engines[engine].copies.retain(|copy| copy.0 != item);
    }

    /// Starts waiting requests for which a slot is free, and gives up those that have waited too long.
    fn serve(&mut self, rng: &mut fastrand::Rng) {
        let now = self.now;
        for engine in &mut self.engines {
            engine.running.retain(|(end, _)| *end > now);
        }
        for item in 0..self.items.len() {
            while let Some(since) = self.queues[item].front().copied() {
                let fits = |engine: &&mut Engine| {
                    engine.running.len() < SLOTS
                        && engine.copies.iter().any(|copy| copy.0 == item && copy.1 <= now)
                };
                let best = self.engines.iter_mut().filter(fits).min_by_key(|engine| engine.running.len());
                if let Some(engine) = best {
                    engine.running.push((now - SERVICE_TIME * (1.0 - rng.f64()).ln(), item));
                    engine.copies.iter_mut().filter(|copy| copy.0 == item).for_each(|copy| copy.2 = now);
                    self.met += u64::from(now - since <= TARGET);
                } else if now - since <= GIVE_UP_AFTER {
                    break;
                }
                self.queues[item].pop_front();
            }
        }
    }

    /// Slots that demand takes at each engine, if the load of an item is spread evenly over its copies.
    fn pressure(&self, load: &[f64]) -> Vec<f64> {
        let copies: Vec<f64> = (0..self.items.len())
            .map(|item| {
                (0..self.engines.len()).filter(|engine| self.holds(*engine, item)).count().max(1) as f64
            })
            .collect();
        self.engines.iter().map(|e| e.copies.iter().map(|copy| load[copy.0] / copies[copy.0]).sum()).collect()
    }

    /// Loads an item and its base on an engine, after dropping the copies that `evict` names. Returns whether
    /// it fits.
    fn place(
        &mut self,
        engine: usize,
        item: usize,
        evict: &mut dyn FnMut(&Self, usize) -> Option<usize>,
    ) -> bool {
        let base = self.items[item].base;
        let mut needed = if self.holds(engine, item) { 0 } else { self.items[item].mb };
        if base != item && !self.holds(engine, base) {
            needed += self.items[base].mb;
        }
        while self.free_mb(engine) < needed {
            let Some(victim) = evict(self, engine).filter(|victim| *victim != base) else {
                return false;
            };
            self.unload(engine, victim);
        }
        for per_engine in [base, item] {
            if !self.holds(engine, per_engine) {
                self.load(engine, per_engine);
            }
        }
        true
    }
}

/// Places each item once, and then adds copies of the items on the engines with the highest load.
fn place_initially(sim: &mut Sim<'_>, load: &[f64]) {
    for item in 0..sim.items.len() {
        let pressure = sim.pressure(load);
        let base = sim.items[item].base;
        let mut candidates: Vec<usize> =
            (0..sim.engines.len()).filter(|e| base == item || sim.holds(*e, base)).collect();
        candidates.sort_by(|a, b| {
            pressure[*a].total_cmp(&pressure[*b]).then(sim.free_mb(*b).cmp(&sim.free_mb(*a)))
        });
        let placed = candidates.into_iter().any(|engine| sim.place(engine, item, &mut |_, _| None));
        assert!(placed, "each item fits once");
    }
    add_copies(sim, load);
}

/// Adds copies into free memory until no item of the most loaded engine fits on another one.
fn add_copies(sim: &mut Sim<'_>, load: &[f64]) {
    loop {
        let pressure = sim.pressure(load);
        let mut by_pressure: Vec<usize> = (0..sim.engines.len()).collect();
        by_pressure.sort_by(|a, b| pressure[*b].total_cmp(&pressure[*a]));
        let hottest = by_pressure[0];
        let mut held: Vec<usize> = sim.engines[hottest].copies.iter().map(|copy| copy.0).collect();
        held.sort_by(|a, b| load[*b].total_cmp(&load[*a]));
        let options =
            held.iter().flat_map(|item| by_pressure.iter().rev().map(move |engine| (*engine, *item)));
        let options: Vec<(usize, usize)> =
            options.filter(|(engine, item)| !sim.holds(*engine, *item)).collect();
        if !options.into_iter().any(|(engine, item)| sim.place(engine, item, &mut |_, _| None)) {
            return;
        }
    }
}

/// Loads an item when it is requested, and evicts the least recently used copies.
fn on_demand(sim: &mut Sim<'_>, item: usize) {
    let now = sim.now;
    let copies = sim.engines.iter().flat_map(|engine| &engine.copies).filter(|copy| copy.0 == item);
    let loading = copies.clone().any(|copy| copy.1 > now);
    if loading || (copies.count() > 0 && sim.queues[item].len() <= SLOTS / 2) {
        return;
    }
    let free = (0..sim.engines.len()).filter(|e| !sim.holds(*e, item));
    let Some(engine) = free.min_by_key(|e| sim.engines[*e].running.len()) else {
        return;
    };
    let base = sim.items[item].base;
    sim.place(engine, item, &mut |sim, engine| {
        let idle = |copy: &&CopyState| {
            let needed =
                sim.engines[engine].copies.iter().any(|o| o.0 != copy.0 && sim.items[o.0].base == copy.0);
            !needed
                && copy.0 != base
                && copy.1 <= now
                && sim.engines[engine].running.iter().all(|(_, on)| *on != copy.0)
        };
        let oldest = sim.engines[engine].copies.iter().filter(idle);
        oldest.min_by(|a, b| a.2.total_cmp(&b.2)).map(|copy| copy.0)
    });
}

/// The policy of this system: one entry VM that holds the lease of the only zone.
fn control(sim: &Sim<'_>) -> World {
    let mut models: Vec<Model> = Vec::new();
    for item in &sim.items {
        match (&item.artifact.adapter, models.last_mut()) {
            (Some(name), Some(model)) => {
                let versions = vec![Release { name: "1".into(), memory_mb: item.mb }];
                model.adapters.push(Adapter { name: name.clone(), versions });
            }
            _ => models.push(world::model(&item.artifact.model, item.mb)),
        }
    }
    let mut document = world::document(true, MEMORY_MB, models);
    document.rules.weights.moves = sim.size.weight;
    let settings = Settings {
        open_max: 1 << 20,
        queue_max: 1 << 20,
        poll_every: Duration::from_secs(1),
        store_rate: sim.size.store.0,
        store_slots: sim.size.store.1 as u32,
        ..Settings::default()
    };
    let mut world = World::with_settings(1, sim.engines.len(), document, &settings);
    world.engines.values_mut().for_each(|engine| engine.load_time = Duration::from_secs_f64(LOAD_TIME));
    world
}

/// Sets the running requests of the reducer's engines, advances time, and copies the engines' state to the
/// simulation.
fn advance_control(sim: &mut Sim<'_>, world: &mut World) {
    let index: BTreeMap<&Artifact, usize> =
        sim.items.iter().enumerate().map(|(at, item)| (&item.artifact, at)).collect();
    for (engine, held) in sim.engines.iter_mut().zip(world.engines.values_mut()) {
        for copy in &mut held.copies {
            let item = index[&copy.artifact];
            copy.requests = engine.running.iter().filter(|(_, on)| *on == item).count() as u32;
        }
    }
    world.run(Duration::from_millis(1_000 / STEPS_A_SECOND));
    for (engine, held) in sim.engines.iter_mut().zip(world.engines.values()) {
        assert!(held.taken_mb() <= MEMORY_MB, "memory is overcommitted");
        let ready = |stage| if stage == Stage::Ready { f64::MIN } else { f64::MAX };
        engine.copies =
            held.copies.iter().map(|copy| (index[&copy.artifact], ready(copy.stage), 0.0)).collect();
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Placed once, for the mean demand of the whole run.
    Static,
    /// Loaded when no copy can take a request, in place of the least recently used copies.
    OnDemand,
    /// The policy of this system.
    Reducer,
    /// Upper bound: every item is on every engine, so no planner can do better.
    Bound,
}

fn run(size: &Size, policy: Policy) -> (f64, usize, f64) {
    let mut sim = Sim::new(size);
    let mut rng = fastrand::Rng::with_seed(7);
    let mean = |from: f64, to: f64| -> Vec<f64> {
        let times: Vec<f64> = (0..8).map(|n| from + (to - from) * f64::from(n) / 7.0).collect();
        let all: Vec<Vec<f64>> = times.iter().map(|t| rates(size, &items(size), *t)).collect();
        (0..all[0].len())
            .map(|i| all.iter().map(|per_engine| per_engine[i]).sum::<f64>() / 8.0 * SERVICE_TIME)
            .collect()
    };
    let first = if policy == Policy::Static { mean(0.0, SECONDS as f64) } else { mean(0.0, 60.0) };
    let mut control = (policy == Policy::Reducer).then(|| control(&sim));
    match policy {
        Policy::Reducer => {}
        Policy::Static | Policy::OnDemand => place_initially(&mut sim, &first),
        Policy::Bound => {
            let all: Vec<CopyState> = (0..sim.items.len()).map(|item| (item, f64::MIN, 0.0)).collect();
            sim.engines.iter_mut().for_each(|engine| engine.copies.clone_from(&all));
        }
    }
    // The other policies start with loaded engines. The reducer gets this time to load the declared items.
    sim.now = if control.is_some() { -300.0 } else { -10.0 };
    let mut before = None;
    let mut control_time = Duration::ZERO;
    while sim.now < SECONDS as f64 {
        if sim.now >= 0.0 && before.is_none() {
            before = Some(control.as_ref().map_or(sim.moves, World::moves));
            (sim.met, sim.total) = (0, 0);
        }
        for (item, rate) in rates(size, &sim.items, sim.now).iter().enumerate() {
            // Draws a Poisson-distributed number of arrivals by adding up exponential waiting times.
            let mut due = rate / STEPS_A_SECOND as f64 + (1.0 - rng.f64()).ln();
            while due > 0.0 {
                due += (1.0 - rng.f64()).ln();
                sim.total += 1;
                let now = sim.now;
                sim.queues[item].push_back(now);
                match &mut control {
                    Some(world) => world.send_request(0, sim.items[item].artifact.to_string().as_str()),
                    None if policy == Policy::OnDemand => on_demand(&mut sim, item),
                    None => {}
                }
            }
        }
        sim.serve(&mut rng);
        if let Some(world) = &mut control {
            let begin = Instant::now();
            advance_control(&mut sim, world);
            control_time += begin.elapsed();
        }
        sim.now += 1.0 / STEPS_A_SECOND as f64;
    }
    let moves = control.as_ref().map_or(sim.moves, World::moves) - before.unwrap_or_default();
    (sim.met as f64 / sim.total as f64, moves, control_time.as_secs_f64() * 1e3 / SECONDS as f64)
}

fn main() {
    let sizes = [
        Size { engines: 9, models: 12, adapters: 60, model_mb: 8_000, store: (2.0, 6), weight: 2.0 },
        Size { engines: 18, models: 35, adapters: 100, model_mb: 5_500, store: (3.0, 4), weight: 10.0 },
    ];
    for size in &sizes {
        println!("{} engines, {} models, {} adapters", size.engines, size.models, size.adapters);
        println!("policy      attainment  per accelerator     moves  control ms/s");
        for policy in [Policy::Static, Policy::OnDemand, Policy::Reducer, Policy::Bound] {
            let (attained, moves, control_time) = run(size, policy);
            let (per_engine, name) = (attained / size.engines as f64, format!("{policy:?}"));
            println!("{name:<10}{attained:>12.4}{per_engine:>17.5}{moves:>10}{control_time:>14.3}");
        }
    }
}
