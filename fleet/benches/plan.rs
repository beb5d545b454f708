//! Time of one placement plan after demand has moved, at the sizes of the users' sites and at the size expected
//! in two years.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Model, Pool};
use boragecove_fleet::demand::Trend;
use boragecove_fleet::engine::{Cached, Phase};
use boragecove_fleet::place::{Candidate, Input, plan_moves};
use divan::Bencher;

const NOW: Time = Time::from_millis(100_000);
/// Number of models that fit into one engine.
const EACH: usize = 3;

/// Numbers of engines and models.
const SIZES: [(usize, usize); 5] = [(9, 13), (18, 34), (112, 135), (204, 248), (6_700, 780)];

fn main() {
    divan::main();
}

fn name(number: usize) -> Name {
    format!("m{number}").into()
}

fn pool(models: usize) -> Pool {
    let model = |number| Model { name: name(number), memory_mb: 66.0, ..Model::default() };
    Pool { slots: 12, memory_mb: 200.0, models: (0..models).map(model).collect(), ..Pool::default() }
}

/// Every model has copies, and a tenth of the models have demand.
fn input(pool: &Pool, (engines, models): (usize, usize)) -> Input<'_> {
    let candidate = |number: usize| Candidate {
        engine: format!("e{number}").into(),
        usable: true,
        idle: true,
        copies: (0..EACH).map(|place| (name((number * EACH + place) % models), Phase::Ready)).collect(),
        free_mb: 2.0,
        recently_loaded: Vec::new(),
        cached: Cached::default(),
        open_requests: (number % 12) as u32,
        zone: ["a", "b", "c"][number % 3].into(),
        ..Candidate::default()
    };
    let trend = |number: usize| {
        let requests =
            if number.is_multiple_of(10) { 10.0 * engines as f64 / models as f64 * 12.0 } else { 0.0 };
        Trend {
            concurrency: requests,
            reading_load: requests / 100.0,
            last_requested: Some(NOW),
            ..Trend::default()
        }
    };
    let demand: BTreeMap<Name, Trend> = (0..models).map(|number| (name(number), trend(number))).collect();
    let candidates = (0..engines).map(candidate).collect();
    Input {
        pool,
        engines: candidates,
        demand,
        cold_loads_left: 1_000,
        cold_loads_running: 0,
        observed_for: Duration::from_secs(20),
        interval: Duration::from_millis(250),
        now: NOW,
        disabled: &[],
    }
}

#[divan::bench(args = SIZES, sample_count = 10, sample_size = 1)]
fn plan(bencher: Bencher<'_, '_>, size: (usize, usize)) {
    let pool = pool(size.1);
    bencher.with_inputs(|| input(&pool, size)).bench_values(plan_moves);
}
