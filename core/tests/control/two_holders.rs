//! Two holders that both believe in their lease, with orders that arrive at every later moment.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use boragecove_core::config::Document;
use boragecove_core::rules::Place;

use super::world::{Flight, World, document, model};

const MEMORY_MB: u64 = 20_000;
const MODELS: [(&str, u64); 4] = [("a", 12_000), ("b", 12_000), ("c", 7_000), ("d", 7_000)];
const STEPS: usize = 120;

fn declared(checks: bool, turned: bool) -> Document {
    let mut models: Vec<_> = MODELS.iter().map(|(name, memory_mb)| model(name, *memory_mb)).collect();
    if turned {
        models.swap(0, 1);
    }
    document(checks, MEMORY_MB, models)
}

fn overcommitted(world: &World) -> Option<String> {
    let over = world.engines.values().find(|engine| engine.taken_mb() > MEMORY_MB);
    over.map(|engine| format!("{} holds {} MB of {MEMORY_MB}", engine.vm.name, engine.taken_mb()))
}

/// Holds back every order of the first holder, pauses it, and has them arrive at the `moment`th step
/// of the second. Returns what was overcommitted.
fn run(checks: bool, forgets: bool, moment: usize) -> Option<String> {
    let mut world = World::new(2, 2, declared(checks, false));
    world.table.forgets_ledgers = forgets;
    world.until("a first holder", |world| world.holder().is_some());
    let first = world.holding().expect("a holder");
    world.holds = Some(first);
    world.until("orders on their way", |world| !world.held.is_empty());
    world.nodes[first].paused = true;
    world.declare(declared(checks, true));
    world.until("a second holder", |world| world.holding().is_some_and(|at| at != first));
    let mut late = std::mem::take(&mut world.held);
    for step in 0..STEPS {
        if step == moment {
            for flight in std::mem::take(&mut late) {
                world.arrive(&flight);
            }
        }
        world.tick();
        if let Some(over) = overcommitted(&world) {
            return Some(over);
        }
    }
    world.holds = None;
    world.resume(first);
    world.run(Duration::from_secs(30));
    assert_eq!(overcommitted(&world), None);
    for (name, _) in MODELS {
        assert!(world.engines.values().any(|engine| engine.holds(name)), "{name} is nowhere");
    }
    None
}

#[test]
fn late_everywhere() {
    for checks in [true, false] {
        for moment in 0..STEPS {
            assert_eq!(run(checks, false, moment), None, "checks: {checks}, late by {moment} steps");
        }
    }
}

#[test]
fn rows_forgotten() {
    let broken = (0..STEPS).filter(|moment| run(false, true, *moment).is_some()).count();
    assert!(broken > 0, "without the ledger's rows a late order overcommits an engine that does not check");
}

/// Any order of ticks, pauses, restarts of engines, and orders that are lost, late or doubled.
fn shuffle(u: &mut Unstructured<'_>, checks: bool) -> arbtest::arbitrary::Result<()> {
    let mut world = World::new(2, 2, declared(checks, false));
    world.until("a first holder", |world| world.holder().is_some());
    world.holds_all = true;
    let names: Vec<_> = world.engines.keys().cloned().collect();
    let mut late: Vec<Flight> = Vec::new();
    for _ in 0..u.int_in_range(10..=80)? {
        match u.int_in_range(0..=9)? {
            0 => {
                let at = u.choose_index(2)?;
                world.nodes[at].paused = true;
            }
            1 => world.resume(u.choose_index(2)?),
            2 => world.declare(declared(checks, u.arbitrary()?)),
            3 => world.run(Duration::from_secs(14)),
            4 if !names.is_empty() => {
                let engine = u.choose(&names)?.clone();
                world.engines.get_mut(&engine).expect("an engine").restart();
                // An exchange that is over does not outlive the process it was with.
                late.retain(|flight| flight.engine != engine);
            }
            5 | 6 if !world.held.is_empty() => {
                let at = u.choose_index(world.held.len())?;
                let flight = world.held.remove(at);
                match u.int_in_range(0..=2)? {
                    0 => world.arrive(&flight),
                    1 => {
                        world.lose(&flight);
                        late.push(flight);
                    }
                    _ => {
                        world.arrive(&flight);
                        late.push(flight);
                    }
                }
            }
            7 if !late.is_empty() => {
                let at = u.choose_index(late.len())?;
                world.arrive(&late[at].clone());
            }
            8 => {
                for flight in std::mem::take(&mut world.held) {
                    world.arrive(&flight);
                }
            }
            _ => world.tick(),
        }
        assert_eq!(overcommitted(&world), None);
    }
    Ok(())
}

#[test]
fn any_order_checking() {
    arbtest(|u| shuffle(u, true)).budget_ms(2_000);
}

/// A new holder knew a report of the engine's life before its predecessor's orders, and forgot those for it.
#[test]
fn older_report() {
    arbtest(|u| shuffle(u, false)).seed(0xeb8f_7bfd_0001_0000).run();
}

#[test]
fn any_order_unchecking() {
    arbtest(|u| shuffle(u, false)).budget_ms(2_000);
}

#[test]
fn both_wanted() {
    let mut declared = document(false, MEMORY_MB, vec![model("a", 6_000)]);
    declared.rules.places = vec![Place { model: "a".into(), zones: Vec::new(), copies: 2 }];
    let mut world = World::new(2, 2, declared);
    world.until("two copies", |world| world.copies("a") == 2);
    // Each of the two needs the memory of one copy: only one can have it.
    let large = vec![model("a", 6_000), model("c", 16_000), model("d", 16_000)];
    world.declare(document(false, MEMORY_MB, large));
    for _ in 0..1_800 {
        world.tick();
        assert!(world.copies("a") >= 1, "a has lost its last copy");
    }
    assert_eq!(world.copies("c") + world.copies("d"), 1);
}
