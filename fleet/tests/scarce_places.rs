//! Demand for more models than engines have places for.
//!
//! The load that this answers: hundreds of models of which a few take most of the demand, others take turns, and the
//! busiest change every few seconds. Models fill the places, so that a copy comes only where another goes. With last
//! copies that never went, the busiest model of 26 stayed at one of 15 engines for 15 s, with twice as many requests as it
//! has slots, models that callers waited for never came, and six engines had nothing to do.
//!
//! The figures are the users': engines with one to three places and 12 or 16 slots, loads of 1.2 s, plans every 250 ms,
//! memory of demand that halves in 1.2 s.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Model, Pool};
use boragecove_fleet::demand::Trend;
use boragecove_fleet::engine::{Cached, Phase};
use boragecove_fleet::place::{Move, Spot, View, moves};

/// Time between plans.
const STEP: Duration = Duration::from_millis(250);
/// Time of a load from the weight store.
const LOAD: Duration = Duration::from_millis(1_200);
/// Slots of an engine.
const SLOTS: u32 = 12;
/// Memory of a model, in MB.
const MODEL_MB: f64 = 66.0;

/// Engines that carry out what is planned, for demand that a test sets.
struct World {
    pool: Pool,
    spots: Vec<Spot>,
    /// When loads that run are done, by engine.
    loading: BTreeMap<Name, Time>,
    /// When copies became ready, by engine and model.
    ready: BTreeMap<(Name, Name), Time>,
    trends: BTreeMap<Name, Trend>,
    now: Time,
    began: Time,
    /// Loads so far.
    loads: usize,
}

fn name(number: usize) -> Name {
    format!("m{number}").into()
}

impl World {
    /// Engines with so many places each, that hold the first models one after the other.
    fn new(models: usize, engines: usize, places: usize) -> Self {
        let model =
            |number| Model { name: name(number), memory_mb: MODEL_MB, cold: LOAD, ..Model::default() };
        let memory_mb = MODEL_MB * places as f64 + 1.0;
        let models: Vec<Model> = (0..models).map(model).collect();
        let spot = |number: usize| {
            let held = (0..places).map(|place| number + place * engines).filter(|held| *held < models.len());
            let copies: Vec<(Name, Phase)> = held.map(|held| (name(held), Phase::Ready)).collect();
            Spot {
                engine: format!("e{number}").into(),
                usable: true,
                idle: true,
                free_mb: memory_mb - MODEL_MB * copies.len() as f64,
                copies,
                cached: Cached::default(),
                zone: ["a", "b", "c"][number % 3].into(),
                ..Spot::default()
            }
        };
        let spots = (0..engines).map(spot).collect();
        let pool = Pool { slots: SLOTS, memory_mb, loads_per_s: 30.0, models, ..Pool::default() };
        let now = Time::from_millis(100_000);
        Self {
            pool,
            spots,
            loading: BTreeMap::new(),
            ready: BTreeMap::new(),
            trends: BTreeMap::new(),
            now,
            began: now,
            loads: 0,
        }
    }

    fn copies(&self, model: &str) -> usize {
        let holds = |spot: &&Spot| {
            spot.usable && spot.copies.iter().any(|(held, phase)| &**held == model && *phase == Phase::Ready)
        };
        self.spots.iter().filter(holds).count()
    }

    /// Requests at the engines that hold a model: all that there are, spread over its copies.
    fn open(&self, spot: &Spot, demand: &BTreeMap<Name, f64>) -> u32 {
        let share = |(model, _): &(Name, Phase)| {
            demand.get(model).map_or(0.0, |busy| busy / self.copies(model).max(1) as f64)
        };
        spot.copies.iter().map(share).sum::<f64>().round() as u32
    }

    /// One plan, and the time until the next. `demand`: requests that are under way or wait, by model.
    fn step(&mut self, demand: &BTreeMap<Name, f64>) -> Vec<Move> {
        self.now = self.now + STEP;
        self.finish();
        self.watch(demand);
        let opens: Vec<u32> = self.spots.iter().map(|spot| self.open(spot, demand)).collect();
        for (spot, open) in self.spots.iter_mut().zip(opens) {
            spot.open = open;
        }
        let steps = moves(View {
            pool: &self.pool,
            spots: self.spots.clone(),
            demand: self.trends.clone(),
            cold_left: 100,
            cold_running: self.loading.len(),
            watched: self.now.since(self.began),
            every: Duration::from_millis(250),
            now: self.now,
            without: &[],
        });
        for step in &steps {
            self.begin(step);
        }
        steps
    }

    fn finish(&mut self) {
        let now = self.now;
        for spot in &mut self.spots {
            if self.loading.get(&spot.engine).is_some_and(|done| *done <= now) {
                self.loading.remove(&spot.engine);
                spot.idle = true;
                for (model, phase) in &mut spot.copies {
                    if *phase == Phase::Loading {
                        *phase = Phase::Ready;
                        self.ready.insert((spot.engine.clone(), model.clone()), now);
                    }
                }
            }
            let young = |model: &&Name| {
                let since = self.ready.get(&(spot.engine.clone(), (*model).clone()));
                since.is_some_and(|since| now.since(*since) < LOAD * 2)
            };
            spot.young = spot.copies.iter().map(|(model, _)| model).filter(young).cloned().collect();
        }
    }

    /// Takes in demand as the one that plans does.
    fn watch(&mut self, demand: &BTreeMap<Name, f64>) {
        let keep = (-STEP.as_secs_f64() / 1.2).exp2();
        for model in self.pool.models.iter().map(|model| model.name.clone()) {
            let asked = demand.get(&model).copied().unwrap_or_default();
            let served = self.copies(&model) > 0;
            let trend = self.trends.entry(model).or_default();
            trend.busy = keep * trend.busy + (1.0 - keep) * asked;
            trend.waiting = if served { 0 } else { asked.ceil() as u32 };
            trend.starved = match (served, asked > 0.0) {
                (true, _) => Duration::ZERO,
                (false, true) => trend.starved + STEP,
                (false, false) => trend.starved,
            };
            if asked > 0.0 {
                trend.asked = Some(self.now);
            }
        }
    }

    fn begin(&mut self, step: &Move) {
        let Some(spot) = self.spots.iter_mut().find(|spot| spot.engine == step.engine) else {
            panic!("no such engine: {step:?}");
        };
        assert!(spot.idle && spot.usable, "{step:?} at an engine that is at work");
        if let Some(drop) = &step.drop {
            spot.copies.retain(|(model, _)| model != drop);
            spot.free_mb += MODEL_MB;
        }
        if let Some(load) = &step.load {
            assert!(spot.free_mb >= MODEL_MB, "{step:?} without room");
            spot.copies.push((load.clone(), Phase::Loading));
            spot.free_mb -= MODEL_MB;
            spot.idle = false;
            self.loads += 1;
            self.loading.insert(spot.engine.clone(), self.now + LOAD);
        }
    }

    /// Runs for a time under one demand. Returns the longest time for which each model that is asked for had no copy.
    fn run(&mut self, length: Duration, demand: &BTreeMap<Name, f64>) -> BTreeMap<Name, Duration> {
        let mut absent: BTreeMap<Name, (Duration, Duration)> = BTreeMap::new();
        let until = self.now + length;
        while self.now < until {
            self.step(demand);
            for model in demand.keys() {
                let (now, longest) = absent.entry(model.clone()).or_default();
                *now = if self.copies(model) > 0 { Duration::ZERO } else { *now + STEP };
                *longest = (*longest).max(*now);
            }
        }
        absent.into_iter().map(|(model, (_, longest))| (model, longest)).collect()
    }
}

fn demand(of: &[(usize, f64)]) -> BTreeMap<Name, f64> {
    of.iter().map(|(model, busy)| (name(*model), *busy)).collect()
}

/// The busiest model and those that nobody has a copy of get places of last copies that nobody asks for.
#[test]
fn last_copies_yield() {
    let mut world = World::new(26, 15, 1);
    let asked = demand(&[(0, 20.0), (1, 8.0), (2, 6.0), (15, 2.0), (16, 1.0), (17, 1.0)]);
    let absent = world.run(Duration::from_secs(6), &asked);
    assert!(
        world.copies("m0") >= 3,
        "20 requests at engines of 12 slots, beside idle ones: {}",
        world.copies("m0")
    );
    for (model, time) in absent {
        assert!(time <= Duration::from_secs(4), "{model} was absent for {time:?}");
    }
}

/// Each model that is asked for again and again is served, however rarely, beside others with steady demand.
#[test]
fn nobody_starves() {
    for (models, engines, places) in [(26, 15, 1), (35, 12, 2), (60, 12, 3)] {
        let mut world = World::new(models, engines, places);
        let all: Vec<(usize, f64)> = (0..models).map(|at| (at, if at < 3 { 14.0 } else { 1.0 })).collect();
        let absent = world.run(Duration::from_secs(40), &demand(&all));
        for (model, time) in absent {
            assert!(time <= Duration::from_secs(12), "{model} of {models} was absent for {time:?}");
        }
    }
}

/// Where all models are asked for all the time, engines serve more than they load.
#[test]
fn copies_earn_their_loads() {
    let mut world = World::new(26, 15, 1);
    let all: Vec<(usize, f64)> = (0..26).map(|at| (at, 1.0)).collect();
    world.run(Duration::from_secs(30), &demand(&all));
    let loading = world.loads as f64 * LOAD.as_secs_f64() / (15.0 * 30.0);
    assert!(loading <= 0.34, "engines spend {loading:.2} of their time on loads");
}

/// Demand that moves to other models every four seconds: the busiest has a copy within two of them, and more by the end.
#[test]
fn moving_demand() {
    for (models, engines, places) in [(26, 15, 1), (35, 12, 2)] {
        let mut world = World::new(models, engines, places);
        for phase in 0..6 {
            let hot = phase * 4 % models;
            let asked = demand(&[(hot, 20.0), ((hot + 1) % models, 8.0), ((hot + 2) % models, 4.0)]);
            let absent = world.run(Duration::from_secs(4), &asked);
            for (model, time) in absent {
                assert!(
                    time <= Duration::from_secs(2),
                    "{model} of {models} was absent for {time:?}, phase {phase}"
                );
            }
            assert!(world.copies(&name(hot)) >= 2, "phase {phase} of {models}");
        }
    }
}

/// A cut leaves engines with a part of the models: what is asked for comes, although each copy there is a last one.
#[test]
fn cut_off_with_a_part() {
    let mut world = World::new(45, 18, 3);
    for spot in world.spots.iter_mut().skip(6) {
        spot.usable = false;
    }
    let asked = demand(&[(0, 6.0), (7, 3.0), (30, 2.0), (44, 1.0)]);
    let absent = world.run(Duration::from_secs(6), &asked);
    for (model, time) in absent {
        assert!(time <= Duration::from_secs(3), "{model} was absent for {time:?}");
    }
}

/// Where there is room for all models, each keeps a copy whatever is asked for.
#[test]
fn all_stay_where_there_is_room() {
    for (models, engines, places) in [(206, 84, 3), (248, 204, 3), (13, 9, 2)] {
        let mut world = World::new(models, engines, places);
        let hot = (0..models / 10).map(|at| (at, 40.0)).collect::<Vec<_>>();
        for _ in 0..80 {
            world.step(&demand(&hot));
            let gone = world.pool.models.iter().find(|model| {
                let held = |spot: &Spot| spot.copies.iter().any(|(held, _)| *held == model.name);
                !world.spots.iter().any(held)
            });
            assert!(gone.is_none(), "{:?} has no copy", gone.map(|model| &model.name));
        }
    }
}

/// As many places as models, of which the busiest takes two: a model without a copy is asked for, and each other copy is the
/// last of a model that nobody asks for. Seen: 21 models at seven engines of three places, and callers of one of them
/// refused for 12 s and more.
#[test]
fn asked_for_without_slack() {
    let mut world = World::new(21, 7, 3);
    let spot = world.spots.iter_mut().find(|spot| spot.copies.iter().any(|(model, _)| **model == *"m20"));
    let spot = spot.expect("an engine holds it");
    spot.copies.retain(|(model, _)| **model != *"m20");
    spot.copies.push((name(0), Phase::Ready));
    world.run(Duration::from_secs(5), &demand(&[(0, 30.0)]));
    let absent = world.run(Duration::from_secs(15), &demand(&[(0, 30.0), (20, 1.0)]));
    let time = absent[&name(20)];
    assert!(time <= Duration::from_secs(12), "m20 was absent for {time:?}");
}
