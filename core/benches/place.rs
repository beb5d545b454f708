//! Time of one placement plan, for zones of the current sizes and of the size expected in two years.

#[path = "../tests/table/mod.rs"]
mod table;
#[path = "../tests/control/world.rs"]
#[expect(dead_code, reason = "some helpers are used by the tests only")]
mod world;

use std::cell::RefCell;
use std::time::Duration;

use boragecove_core::apply;
use boragecove_core::artifact::Artifact;
use boragecove_core::engine::{Copy, Stage};
use boragecove_core::event::Event;
use boragecove_core::settings::Settings;
use divan::Bencher;
use world::World;

const MEMORY_MB: u64 = 24_000;
const HOUR: Duration = Duration::from_hours(1);
const SECOND: Duration = Duration::from_secs(1);

/// Engines, artifacts, and the memory of each.
const SIZES: [(usize, usize, u64); 4] =
    [(9, 72, 2_000), (18, 135, 2_000), (30, 300, 1_500), (480, 780, 5_000)];

fn main() {
    divan::main();
}

/// A zone whose engines are three quarters full, with each model on several of them.
fn zone((engines, models, memory_mb): (usize, usize, u64)) -> World {
    let declared = (0..models).map(|n| world::model(&format!("m{n}"), memory_mb)).collect();
    // Only plans are due during the measurement, and the weight store does not limit their loads.
    let settings = Settings {
        poll_every: HOUR,
        list_every: HOUR,
        heartbeat_every: HOUR,
        lease_length: HOUR * 9,
        store_rate: 1_000.0,
        store_slots: 1_000,
        ..Settings::default()
    };
    let mut world = World::with_settings(1, engines, world::document(true, MEMORY_MB, declared), &settings);
    let copies_each = (MEMORY_MB * 3 / 4 / memory_mb) as usize;
    let mut next = 0;
    for engine in world.engines.values_mut() {
        for _ in 0..copies_each.max(models.div_ceil(engines)).min((MEMORY_MB / memory_mb) as usize) {
            let artifact =
                Artifact { model: format!("m{}", next % models).into(), adapter: None, version: "1".into() };
            engine.copies.push(Copy { artifact, memory_mb, stage: Stage::Ready, requests: 2 });
            next += 1;
        }
    }
    world.run(SECOND * 6);
    for _ in 0..2 {
        let reports: Vec<_> = world.engines.values_mut().map(world::Engine::report).collect();
        for report in reports {
            world.step(0, Event::ReportReceived(Box::new(report)));
        }
        world.run(SECOND * 2);
    }
    world
}

/// Measures only the plans. Their effects are carried out between two measurements.
fn plans(bencher: Bencher<'_, '_>, world: World) {
    let (world, effects) = (RefCell::new(world), RefCell::new(Vec::new()));
    bencher
        .with_inputs(|| {
            let mut world = world.borrow_mut();
            for effect in effects.take() {
                world.apply_effect(0, effect);
            }
            world.now = world.now + SECOND;
        })
        .bench_local_values(|()| {
            let mut world = world.borrow_mut();
            let now = world.now;
            effects.replace(apply(&mut world.nodes[0].state, now, Event::Wake));
        });
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn steady(bencher: Bencher<'_, '_>, size: (usize, usize, u64)) {
    plans(bencher, zone(size));
}

/// Requests for every model; for a third of the models, far more than their engines can handle.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn overloaded(bencher: Bencher<'_, '_>, size: (usize, usize, u64)) {
    let mut world = zone(size);
    for _ in 0..4 {
        for n in 0..size.1 {
            for _ in 0..if n % 3 == 0 { 60 } else { 3 } {
                world.send_request(0, &format!("m{n}"));
            }
        }
        world.run(SECOND * 11);
    }
    plans(bencher, world);
}
