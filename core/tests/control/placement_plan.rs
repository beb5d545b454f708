//! Placement: every declared model is loaded and stays loaded within the engines' memory, through changes of
//! the configuration, the engines and the table.

use std::time::Duration;

use boragecove_core::config::Document;
use boragecove_core::engine::Action;
use boragecove_core::inventory::{Adapter, Version};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Query};
use boragecove_core::rules::Place;
use boragecove_core::vm::Phase;

use super::world::{Mode, World, document, model};

const MEMORY_MB: u64 = 20_000;

fn loaded(document: Document, engines: usize) -> World {
    let names: Vec<_> = document.inventory.models.iter().map(|model| model.name.clone()).collect();
    let mut world = World::new(2, engines, document);
    world.run_until("all loaded", |world| names.iter().all(|name| world.copies(name) >= 1));
    world
}

fn six_models() -> Document {
    document(true, MEMORY_MB, ["a", "b", "c", "d", "e", "f"].map(|name| model(name, 6_000)).to_vec())
}

fn two_versions(first: &str, second: Option<&str>) -> Document {
    let mut declared = six_models();
    declared.inventory.models[0].versions = [Some(first), second]
        .into_iter()
        .flatten()
        .map(|name| Version { name: name.into(), memory_mb: 6_000 })
        .collect();
    declared
}

#[test]
fn each_model_loaded_once() {
    let mut world = loaded(six_models(), 2);
    let moves = world.moves();
    assert_eq!(moves, 6, "each model is loaded once");
    world.run(Duration::from_mins(10));
    assert_eq!(world.moves(), moves, "nothing moves while nothing changes");
}

#[test]
fn copies_by_rule() {
    let mut declared = six_models();
    declared.rules.places = vec![Place { model: "a".into(), zones: Vec::new(), copies: 3 }];
    let mut world = loaded(declared, 3);
    world.run_until("three copies", |world| world.copies("a") == 3);
}

#[test]
fn version_changes() {
    let mut world = loaded(six_models(), 3);
    world.declare(two_versions("2", None));
    let any = |world: &World, version: &str| {
        world.engines.values().any(|engine| engine.holds_version("a", version))
    };
    while any(&world, "1") {
        let ready = world.engines.values().any(|engine| engine.holds("a"));
        assert!(ready, "one of the two versions is ready");
        assert!(world.engines.values().all(|engine| engine.taken_mb() <= MEMORY_MB));
        world.tick();
    }
    assert!(any(&world, "2"));
}

#[test]
fn version_without_room() {
    let models = vec![model("a", 12_000)];
    let mut world = loaded(document(true, MEMORY_MB, models.clone()), 1);
    let mut changed = models;
    changed[0].versions[0].name = "2".into();
    world.declare(document(true, MEMORY_MB, changed));
    world.run_until("the new version", |world| world.engines["engine-1"].holds_version("a", "2"));
    assert!(world.engines["engine-1"].taken_mb() <= MEMORY_MB);
    assert!(!world.engines["engine-1"].holds_version("a", "1"), "the two versions don't fit together");
}

#[test]
fn adapter_with_its_model() {
    let mut declared = six_models();
    let adapter = |n: u32| Adapter {
        name: format!("t{n}").into(),
        versions: vec![Version { name: "1".into(), memory_mb: 300 }],
    };
    declared.inventory.models[2].adapters = (0..4).map(adapter).collect();
    let mut world = loaded(declared, 3);
    world.run_until("all adapters", |world| {
        let held: usize = world
            .engines
            .values()
            .map(|engine| engine.copies.iter().filter(|copy| copy.artifact.adapter.is_some()).count())
            .sum();
        held == 4
    });
    for engine in world.engines.values() {
        let adapters = engine.copies.iter().any(|copy| copy.artifact.adapter.is_some());
        assert!(!adapters || engine.holds("c"), "an adapter needs its model on the same engine");
    }
}

#[test]
fn engine_restarts() {
    let mut world = loaded(six_models(), 3);
    world.engines.values_mut().next().expect("an engine").restart();
    world.run_until("all loaded again", |world| {
        ["a", "b", "c", "d", "e", "f"].iter().all(|name| world.copies(name) >= 1)
    });
    assert!(world.engines.values().all(|engine| engine.taken_mb() <= MEMORY_MB));
}

#[test]
fn engine_leaves() {
    let mut world = loaded(six_models(), 3);
    let leaving = world.vms.iter_mut().find(|vm| vm.name == "engine-1").expect("an engine");
    leaving.phase = Phase::Leaving;
    let on_other_engine = |world: &World, name: &str| {
        world.engines.iter().any(|(engine, held)| *engine != "engine-1" && held.holds(name))
    };
    world.run_until("all loaded elsewhere", |world| {
        ["a", "b", "c", "d", "e", "f"].iter().all(|name| on_other_engine(world, name))
    });
}

#[test]
fn engine_silent() {
    let mut world = loaded(six_models(), 3);
    let dead = world.engines.get_mut("engine-1").expect("an engine");
    dead.silent = true;
    let on_other_engine = |world: &World, name: &str| {
        world.engines.iter().any(|(engine, held)| *engine != "engine-1" && held.holds(name))
    };
    world.run_until("all loaded elsewhere, though it is still listed", |world| {
        ["a", "b", "c", "d", "e", "f"].iter().all(|name| on_other_engine(world, name))
    });
}

#[test]
fn copy_relocated_for_large_model() {
    let models = ["a", "b", "c", "d"].map(|name| model(name, 6_000)).to_vec();
    let mut world = loaded(document(true, MEMORY_MB, models.clone()), 2);
    let large = [models, vec![model("large", 13_000)]].concat();
    world.declare(document(true, MEMORY_MB, large));
    world.run_until("a copy of the large model", |world| world.copies("large") == 1);
    for name in ["a", "b", "c", "d"] {
        assert!(world.copies(name) >= 1, "{name} was dropped");
    }
}

#[test]
fn table_down() {
    let mut world = loaded(six_models(), 3);
    world.nodes.iter_mut().for_each(|node| node.table = Mode::Down);
    world.run(Duration::from_secs(30));
    let first = world.engines.keys().next().expect("an engine").clone();
    let models = ["a", "b", "c", "d", "e", "f"].map(|name| model(name, 6_000)).to_vec();
    world.declare(document(true, MEMORY_MB, [models, vec![model("new", 3_000)]].concat()));
    world.run_until("a load into free memory", |world| world.copies("new") == 1);
    world.engines.get_mut(&first).expect("an engine").restart();
    world.run(Duration::from_mins(1));
    assert!(world.engines[&first].copies.is_empty(), "an engine that lost the fence gets no load");
    let unloads =
        world.sent.iter().filter(|sent_order| matches!(sent_order.order.action, Action::Unload { .. }));
    assert_eq!(unloads.count(), 0, "nothing is dropped");
    world.nodes.iter_mut().for_each(|node| node.table = Mode::Up);
    world.run_until("all loaded again", |world| {
        ["a", "b", "c", "d", "e", "f", "new"].iter().all(|name| world.copies(name) >= 1)
    });
    assert!(world.engines.values().all(|engine| engine.taken_mb() <= MEMORY_MB));
}

#[test]
fn explanation() {
    let mut world = loaded(six_models(), 2);
    let holder = world.holder_node().expect("a holder");
    let Some(Answer::Explanation(lines)) = world.query(holder, Query::Explain("a".into())) else {
        panic!("no explanation");
    };
    let text: Vec<&str> = lines.iter().map(Name::as_str).collect();
    assert!(text.iter().any(|line| line.starts_with("a@1: 6000 MB")), "{text:?}");
    assert!(text.iter().any(|line| line.contains("a copy is ready")), "{text:?}");
    assert!(text.iter().any(|line| line.contains("no copy is dropped")), "{text:?}");
}
