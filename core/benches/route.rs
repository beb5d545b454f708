//! Time of one routing decision, of one request and of one report for fleets of different sizes.

use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::name::Name;
use boragecove_core::route::{Choice, Description, Query, Routes, Work};
use boragecove_core::rules::Priority;
use boragecove_core::time::Time;
use divan::Bencher;

mod node;

/// Fleet sizes: number of engines, and number of models and adapters.
const SIZES: [(usize, usize); 3] = [(33, 135), (480, 780), (6_700, 780)];
/// Number of artifacts that each engine holds.
const HELD: usize = 12;
const SLOTS: u32 = 16;
/// Number of prompt blocks of a request.
const BLOCKS: u64 = 16;

fn main() {
    divan::main();
}

struct Fleet {
    routes: Routes,
    works: Vec<Work>,
    rng: fastrand::Rng,
}

fn prefix(of: usize) -> Vec<u64> {
    (0..BLOCKS).map(|block| (of as u64 * 1_000 + block).wrapping_mul(0x9E37_79B9_7F4A_7C15)).collect()
}

fn fleet((engines, artifacts): (usize, usize)) -> Fleet {
    let works: Vec<Work> = (0..artifacts)
        .map(|number| {
            let model: Name = format!("model-{number}").into();
            Work::Artifact(Artifact { model, adapter: None, version: "1".into() })
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut routes = Routes::new(1 << 18);
    for engine in 0..engines {
        let first = engine * HELD;
        let mut held: Vec<Work> =
            (first..first + HELD).map(|number| works[number % artifacts].clone()).collect();
        held.sort_unstable();
        let name: Name = format!("engine-{engine}").into();
        let description = Description {
            name: name.clone(),
            address: ([127, 0, 0, 1], 9_000).into(),
            local: true,
            slots: SLOTS,
            accepts_work: true,
            incarnation: None,
            works: held,
        };
        routes.set(Time::from_millis(1), description, false);
        routes.record_load(&name, rng.u32(..SLOTS));
    }
    for (number, work) in works.iter().enumerate() {
        let query = Query { work, prefix: &[], avoid: &[], priority: Priority::Normal };
        if let Choice::Backend(site) = routes.pick(&mut rng, Time::from_millis(2), &query) {
            routes.attempt_sent(site, work, &prefix(number));
        }
    }
    Fleet { routes, works, rng }
}

/// Choice of a back end for a prompt that one of them has cached.
#[divan::bench(args = SIZES, sample_count = 200)]
fn decision(bencher: Bencher<'_, '_>, size: (usize, usize)) {
    let mut fleet = fleet(size);
    let prefixes: Vec<Vec<u64>> = (0..fleet.works.len()).map(prefix).collect();
    let now = Time::from_millis(1) + Duration::from_mins(1);
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 7) % fleet.works.len();
        let query =
            Query { work: &fleet.works[at], prefix: &prefixes[at], avoid: &[], priority: Priority::Normal };
        fleet.routes.pick(&mut fleet.rng, now, &query)
    });
}

/// A complete request through the reducer: arrival, choice, head, one event, end.
#[divan::bench(args = SIZES, sample_count = 100)]
fn request(bencher: Bencher<'_, '_>, (engines, artifacts): (usize, usize)) {
    let mut node = node::Node::new(engines, artifacts, HELD, SLOTS);
    let mut at = 0;
    bencher.bench_local(|| {
        at += 7;
        node.request(at)
    });
}

/// One report of an engine.
#[divan::bench(args = SIZES, sample_count = 100)]
fn report(bencher: Bencher<'_, '_>, (engines, artifacts): (usize, usize)) {
    let mut node = node::Node::new(engines, artifacts, HELD, SLOTS);
    let mut at = 0;
    bencher.bench_local(|| {
        at += 1;
        node.report(at % engines)
    });
}
