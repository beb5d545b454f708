//! A copy that is to be dropped: first nothing is sent to it any more, then nothing runs on it, then it goes.

use std::time::Duration;

use boragecove_core::engine::Action;

use super::world::{World, document, model};

/// Two engines with a model that is about to be left out, and one that stays.
fn world() -> World {
    let mut world =
        World::new(3, 2, document(true, 20_000, vec![model("stays", 9_000), model("goes", 9_000)]));
    world.until("all loaded", |world| world.copies("stays") == 1 && world.copies("goes") == 1);
    world
}

fn leave_out(world: &mut World) {
    world.declare(document(true, 20_000, vec![model("stays", 9_000)]));
}

fn unloads(world: &World) -> usize {
    world.sent.iter().filter(|flight| matches!(flight.order.action, Action::Unload { .. })).count()
}

#[test]
fn waits_for_requests() {
    let mut world = world();
    world.engines.values_mut().for_each(|engine| engine.run("goes", 1));
    leave_out(&mut world);
    world.run(Duration::from_mins(1));
    assert_eq!((unloads(&world), world.copies("goes")), (0, 1), "a request still runs on it");
    world.engines.values_mut().for_each(|engine| engine.run("goes", 0));
    world.until("dropped", |world| world.copies("goes") == 0);
    assert_eq!(unloads(&world), 1);
    assert_eq!(world.copies("stays"), 1);
}

#[test]
fn waits_for_all() {
    let mut world = world();
    let holder = world.holding().expect("a holder");
    world.nodes[(holder + 1) % 3].paused = true;
    leave_out(&mut world);
    world.run(Duration::from_secs(2));
    assert_eq!(unloads(&world), 0, "one entry VM has not acknowledged");
    world.resume((holder + 1) % 3);
    world.until("dropped", |world| world.copies("goes") == 0);
}

#[test]
fn goes_without_the_silent() {
    let mut world = world();
    let holder = world.holding().expect("a holder");
    world.nodes[(holder + 1) % 3].paused = true;
    leave_out(&mut world);
    world.until("dropped", |world| world.copies("goes") == 0);
}
