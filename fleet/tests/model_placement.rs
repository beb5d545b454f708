//! Placement follows demand: which models are loaded and dropped for a given demand.

mod node;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::Pool;
use boragecove_fleet::demand::Trend;
use boragecove_fleet::engine::Phase;
use boragecove_fleet::place::{Candidate, Input, Move, plan_moves};
use node::{millis, model, pool};

const NOW: Time = Time::from_millis(100_000);

fn candidate(engine: &str, zone: &str, models: &[&str]) -> Candidate {
    Candidate {
        engine: engine.into(),
        usable: true,
        idle: true,
        copies: models.iter().map(|name| (Name::from(*name), Phase::Ready)).collect(),
        recently_loaded: Vec::new(),
        free_mb: 200.0 - 70.0 * models.len() as f64,
        zone: zone.into(),
        ..Candidate::default()
    }
}

fn trend(requests: f64, reading: f64) -> Trend {
    Trend { concurrency: requests, reading_load: reading, last_requested: Some(NOW), ..Trend::default() }
}

fn input<'a>(pool: &'a Pool, candidates: Vec<Candidate>, demand: &[(&str, Trend)]) -> Input<'a> {
    let demand: BTreeMap<Name, Trend> =
        demand.iter().map(|(name, trend)| (Name::from(*name), *trend)).collect();
    Input {
        pool,
        engines: candidates,
        demand,
        cold_loads_left: 4,
        cold_loads_running: 0,
        observed_for: Duration::from_secs(20),
        interval: millis(250),
        now: NOW,
        disabled: &[],
    }
}

fn loads(moves: &[Move], model: &str) -> usize {
    moves.iter().filter(|step| step.load.as_deref() == Some(model)).count()
}

#[test]
fn missing_model_comes_first() {
    let pool = pool();
    let candidates = vec![candidate("w1", "a", &["m0", "m1"]), candidate("w2", "b", &["m0", "m2"])];
    let steps = plan_moves(input(&pool, candidates, &[("m0", trend(1.0, 0.01)), ("m1", trend(6.0, 0.1))]));
    assert_eq!(steps.first().and_then(|step| step.load.as_deref()), Some("m3"), "{steps:?}");
}

#[test]
fn last_copy_stays() {
    let pool = pool();
    let candidates = vec![candidate("w1", "a", &["m0", "m1"]), candidate("w2", "b", &["m2", "m3"])];
    let steps = plan_moves(input(&pool, candidates, &[("m0", trend(60.0, 0.9))]));
    assert!(steps.iter().all(|step| step.drop.is_none()), "each is the only copy of its model: {steps:?}");
}

/// Demand moves from one model to another within seconds, and the copies follow.
#[test]
fn copies_follow_demand() {
    let pool = pool();
    let candidates = vec![
        candidate("w1", "a", &["m0", "m1"]),
        candidate("w2", "b", &["m0", "m2"]),
        candidate("w3", "c", &["m0", "m3"]),
        candidate("w4", "a", &["m0", "m1"]),
    ];
    let demand = [("m0", trend(1.0, 0.01)), ("m2", trend(30.0, 0.6))];
    let steps = plan_moves(input(&pool, candidates, &demand));
    assert!(loads(&steps, "m2") >= 2, "{steps:?}");
    assert!(steps.iter().all(|step| step.drop.as_deref() != Some("m2")));
}

/// A model without demand does not replace a copy of a model with high demand.
#[test]
fn busiest_model_is_kept() {
    let pool = pool();
    let candidates = vec![candidate("w1", "a", &["m0", "m1"]), candidate("w2", "b", &["m0", "m2"])];
    let demand = [("m0", trend(60.0, 0.8)), ("m1", trend(1.0, 0.01)), ("m2", trend(1.0, 0.01))];
    let steps = plan_moves(input(&pool, candidates, &demand));
    assert!(steps.iter().all(|step| step.drop.as_deref() != Some("m0")), "{steps:?}");
}

/// A zone that is cut off serves only the models that it holds, so a further copy is placed in another zone.
#[test]
fn other_zone_first() {
    let pool = pool();
    let candidates = vec![
        candidate("w1", "a", &["m0", "m3"]),
        candidate("w2", "a", &["m1"]),
        candidate("w3", "b", &["m2"]),
    ];
    let steps = plan_moves(input(&pool, candidates, &[("m0", trend(6.0, 0.1))]));
    let placed = steps.iter().find(|step| step.load.as_deref() == Some("m0")).map(|step| &*step.engine);
    assert_eq!(placed, Some("w3"), "{steps:?}");
}

#[test]
fn own_disk_first() {
    let pool = pool();
    let mut near = candidate("w2", "b", &["m1"]);
    near.cached.disk = vec!["m0".into()];
    let candidates = vec![candidate("w1", "a", &["m0", "m3"]), near, candidate("w3", "b", &["m2"])];
    let mut input = input(&pool, candidates, &[("m0", trend(6.0, 0.1))]);
    input.cold_loads_left = 0;
    let steps = plan_moves(input);
    let placed = steps.iter().find(|step| step.load.as_deref() == Some("m0")).map(|step| &*step.engine);
    assert_eq!(placed, Some("w2"), "the weight store's rate is used up: {steps:?}");
}

#[test]
fn unused_copy_is_dropped() {
    let pool = pool();
    let idle = Trend { last_requested: None, ..Trend::default() };
    let candidates = vec![
        candidate("w1", "a", &["m0", "m1"]),
        candidate("w2", "b", &["m0", "m2"]),
        candidate("w3", "c", &["m3"]),
    ];
    let demand = [("m0", idle), ("m1", trend(0.1, 0.0)), ("m2", trend(0.1, 0.0)), ("m3", trend(0.1, 0.0))];
    let mut input = input(&pool, candidates, &demand);
    input.cold_loads_left = 0;
    let steps = plan_moves(input);
    let dropped: Vec<&Move> = steps.iter().filter(|step| step.drop.as_deref() == Some("m0")).collect();
    assert!(matches!(dropped[..], [Move { load: None, .. }]), "one of two unused copies: {steps:?}");
}

/// Before the first request, no model counts as unused.
#[test]
fn nothing_dropped_before_traffic() {
    let pool = pool();
    let candidates = vec![
        candidate("w1", "a", &["m0", "m1"]),
        candidate("w2", "b", &["m0", "m2"]),
        candidate("w3", "c", &["m3"]),
    ];
    let mut input = input(&pool, candidates, &[]);
    input.demand.clear();
    input.observed_for = Duration::ZERO;
    assert!(plan_moves(input).iter().all(|step| step.drop.is_none()));
}

#[test]
fn small_model_fits_in_free_memory() {
    let mut pool = pool();
    pool.models[3] = model("m3", 40.0);
    let candidates = vec![candidate("w1", "a", &["m0", "m1"]), candidate("w2", "b", &["m0", "m2"])];
    let steps = plan_moves(input(&pool, candidates, &[("m0", trend(60.0, 0.8))]));
    assert!(steps.iter().any(|step| step.load.as_deref() == Some("m3") && step.drop.is_none()), "{steps:?}");
}

/// After an outage, many models lack copies at once. The weight store serves two loads at a time here, and each
/// further load slows down all of them; a load from an engine's own disk does not count.
#[test]
fn parallel_loads_from_store_are_limited() {
    let mut pool = pool();
    pool.loads_per_s = 1.0;
    let empty = |id: &str| candidate(id, "a", &[]);
    let mut near = empty("w4");
    near.cached.disk = vec!["m3".into()];
    let candidates = vec![empty("w1"), empty("w2"), empty("w3"), near];
    let demand =
        [("m0", trend(9.0, 0.2)), ("m1", trend(8.0, 0.2)), ("m2", trend(7.0, 0.2)), ("m3", trend(1.0, 0.0))];
    let mut first = input(&pool, candidates.clone(), &demand);
    first.cold_loads_left = 20;
    let steps = plan_moves(first);
    let loaded: Vec<&str> = steps.iter().filter_map(|step| step.load.as_deref()).collect();
    assert_eq!(loaded, ["m0", "m1", "m3"], "the two models needed most, and one from a disk");
    let mut later = input(&pool, candidates, &demand);
    later.cold_loads_left = 20;
    later.cold_loads_running = 2;
    let steps = plan_moves(later);
    let loaded: Vec<&str> = steps.iter().filter_map(|step| step.load.as_deref()).collect();
    assert_eq!(loaded, ["m3"], "no further load from the weight store until one has finished");
}

/// After a restart of all entry VMs, a new hub has observed hardly any demand for the busiest model. Until it
/// has, no copy is dropped for a model that nobody waits for.
#[test]
fn new_hub_drops_nothing() {
    let pool = pool();
    let candidates = vec![
        candidate("w1", "a", &["m0", "m1"]),
        candidate("w2", "b", &["m0", "m2"]),
        candidate("w3", "c", &["m0", "m1"]),
        candidate("w4", "c", &["m0", "m2"]),
    ];
    let demand = [("m0", trend(2.0, 0.05)), ("m1", trend(0.2, 0.0)), ("m2", trend(0.2, 0.0))];
    let mut new = input(&pool, candidates.clone(), &demand);
    new.observed_for = millis(400);
    assert!(plan_moves(new).iter().all(|step| step.drop.is_none()));
    let mut waited_for = input(&pool, candidates.clone(), &demand);
    waited_for.observed_for = millis(400);
    let asked = Trend { waiting: 1, ..trend(1.0, 0.0) };
    waited_for.demand.insert("m3".into(), asked);
    let steps = plan_moves(waited_for);
    assert_eq!(loads(&steps, "m3"), 1, "a request waits for m3: {steps:?}");
    let steps = plan_moves(input(&pool, candidates, &demand));
    assert_eq!(loads(&steps, "m3"), 1, "demand has been observed for long enough: {steps:?}");
}

/// A quarter of the engines have crashed: tens of models have no copy, and requests wait for them. Four changes
/// per plan would use 16 loads per second of the 30 that the weight store serves.
#[test]
fn store_rate_is_used() {
    let models = (0..60).map(|number| model(&format!("m{number}"), 70.0)).collect();
    let pool = Pool { loads_per_s: 30.0, models, ..pool() };
    let candidates = || (0..40).map(|number| candidate(&format!("w{number}"), "a", &[])).collect();
    let missing = Input { cold_loads_left: 150, ..input(&pool, candidates(), &[]) };
    assert_eq!(plan_moves(missing).len(), 8, "30 loads per second, four plans per second");
    let pool = Pool { loads_per_s: 2.0, ..pool };
    let missing = Input { cold_loads_left: 10, ..input(&pool, candidates(), &[]) };
    assert_eq!(
        plan_moves(missing).len(),
        4,
        "a slow store is limited by its rate and its number of parallel loads"
    );
}

/// An engine with a rate limit serves few requests. A model with demand gets a copy at another engine; a model
/// without demand does not.
#[test]
fn copies_at_rate_limited_engine() {
    let pool = pool();
    let limited = |candidate: Candidate| Candidate { rate_limited: true, ..candidate };
    let candidates = vec![
        limited(candidate("w1", "a", &["m1", "m2"])),
        candidate("w2", "b", &["m0"]),
        candidate("w3", "c", &["m3"]),
    ];
    let idle = Trend { last_requested: None, ..Trend::default() };
    let demand = [("m0", trend(0.5, 0.01)), ("m1", trend(2.0, 0.05)), ("m2", idle), ("m3", trend(0.5, 0.01))];
    let steps = plan_moves(input(&pool, candidates, &demand));
    assert_eq!(loads(&steps, "m1"), 1, "{steps:?}");
    assert_eq!(loads(&steps, "m2"), 0, "{steps:?}");
    assert!(steps.iter().all(|step| *step.engine != *"w1"), "w1 gets no orders: {steps:?}");
}

/// If the only other copy of a model is at an engine with a rate limit, a copy is not replaced by one of lower
/// utility.
#[test]
fn only_copy_beside_rate_limited_one_is_kept() {
    let pool = pool();
    let candidates = |limited| {
        let first = Candidate { rate_limited: limited, ..candidate("w1", "a", &["m0", "m1"]) };
        vec![first, candidate("w2", "b", &["m0", "m2"])]
    };
    let demand = [("m0", trend(1.0, 0.1)), ("m3", trend(0.5, 0.02))];
    let dropped = |limited| {
        let steps = plan_moves(input(&pool, candidates(limited), &demand));
        steps.iter().any(|step| step.drop.as_deref() == Some("m0"))
    };
    assert!(dropped(false), "one of two copies is replaced");
    assert!(!dropped(true));
}

/// A copy that is still being loaded does not count: the only ready copy stays, although it is unused.
#[test]
fn loading_copy_does_not_count_as_ready() {
    let pool = pool();
    let idle = Trend { last_requested: None, ..Trend::default() };
    let mut candidates = vec![
        candidate("w1", "a", &["m0", "m1"]),
        candidate("w2", "b", &["m0", "m2"]),
        candidate("w3", "c", &["m3"]),
    ];
    candidates[1].copies[0].1 = Phase::Loading;
    let demand = [("m0", idle), ("m1", trend(0.1, 0.0)), ("m2", trend(0.1, 0.0)), ("m3", trend(0.1, 0.0))];
    let mut input = input(&pool, candidates, &demand);
    input.cold_loads_left = 0;
    let steps = plan_moves(input);
    assert!(steps.iter().all(|step| step.drop.as_deref() != Some("m0")), "{steps:?}");
}
