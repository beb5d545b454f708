//! Demand forecast: copies are added before growing demand needs them, and noise causes no moves.

use std::time::Duration;

use boragecove_core::config::Document;

use super::world::{World, document, model};

/// Slots of an engine.
const SLOTS: f64 = 8.0;
/// Time that a request occupies a slot, in seconds.
const SERVICE_TIME: f64 = 2.0;

fn declared() -> Document {
    document(true, 40_000, ["a", "b", "c", "d"].map(|name| model(name, 9_000)).to_vec())
}

/// Runs with the given rate of requests per second for `a`, spread over the nodes, and sets the load that this
/// rate causes at the engines.
fn run_with_rate(world: &mut World, seconds: u64, rate: impl Fn(u64) -> f64) {
    let mut due = 0.0;
    let mut n = 0;
    for second in 0..seconds {
        due += rate(second);
        while due >= 1.0 {
            world.send_request(n % world.nodes.len(), "a");
            n += 1;
            due -= 1.0;
        }
        let copies = world.copies("a").max(1) as f64;
        let each = (rate(second) * SERVICE_TIME / copies).min(SLOTS * 2.0) as u32;
        world.engines.values_mut().for_each(|engine| engine.set_requests("a", each));
        world.run(Duration::from_secs(1));
    }
}

fn world() -> World {
    let mut world = World::new(2, 4, declared());
    world.run_until("all loaded", |world| ["a", "b", "c", "d"].iter().all(|name| world.copies(name) >= 1));
    world
}

#[test]
fn tenfold_growth() {
    let mut world = world();
    run_with_rate(&mut world, 300, |_| 1.0);
    assert_eq!(world.copies("a"), 1);
    run_with_rate(&mut world, 900, |second| 1.0 + 9.0 * second as f64 / 900.0);
    assert!(world.copies("a") >= 3, "demand takes 20 slots, but there are {} copies", world.copies("a"));
}

#[test]
fn noise_causes_no_moves() {
    let mut world = world();
    let before = world.moves();
    run_with_rate(&mut world, 900, |second| if second % 7 < 3 { 3.5 } else { 1.5 });
    assert_eq!(world.moves(), before);
}
