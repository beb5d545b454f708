//! Closing of a copy: entry VMs stop sending requests to it, its running requests end, and then it is unloaded.

use std::time::Duration;

use boragecove_core::engine::Action;

use super::world::{World, document, model};

/// Two engines with the model `goes`, which a later configuration removes, and the model `stays`.
fn world() -> World {
    let mut world =
        World::new(3, 2, document(true, 20_000, vec![model("stays", 9_000), model("goes", 9_000)]));
    world.run_until("all loaded", |world| world.copies("stays") == 1 && world.copies("goes") == 1);
    world
}

fn remove_from_config(world: &mut World) {
    world.declare(document(true, 20_000, vec![model("stays", 9_000)]));
}

fn unload_count(world: &World) -> usize {
    world.sent.iter().filter(|sent_order| matches!(sent_order.order.action, Action::Unload { .. })).count()
}

#[test]
fn waits_for_running_requests() {
    let mut world = world();
    world.engines.values_mut().for_each(|engine| engine.set_requests("goes", 1));
    remove_from_config(&mut world);
    world.run(Duration::from_mins(1));
    assert_eq!((unload_count(&world), world.copies("goes")), (0, 1), "a request still runs on it");
    world.engines.values_mut().for_each(|engine| engine.set_requests("goes", 0));
    world.run_until("dropped", |world| world.copies("goes") == 0);
    assert_eq!(unload_count(&world), 1);
    assert_eq!(world.copies("stays"), 1);
}

#[test]
fn waits_for_all_entry_vms() {
    let mut world = world();
    let holder = world.holder_node().expect("a holder");
    world.nodes[(holder + 1) % 3].paused = true;
    remove_from_config(&mut world);
    world.run(Duration::from_secs(2));
    assert_eq!(unload_count(&world), 0, "one entry VM has not acknowledged the close");
    world.resume((holder + 1) % 3);
    world.run_until("dropped", |world| world.copies("goes") == 0);
}

#[test]
fn proceeds_without_silent_entry_vm() {
    let mut world = world();
    let holder = world.holder_node().expect("a holder");
    world.nodes[(holder + 1) % 3].paused = true;
    remove_from_config(&mut world);
    world.run_until("dropped", |world| world.copies("goes") == 0);
}
