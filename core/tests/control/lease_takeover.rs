//! The lease of a zone: it has one holder, which renews it and releases it on a stop, and it is taken over
//! after it has expired.

use std::time::Duration;

use boragecove_core::audit::{Cause, Decision};
use boragecove_core::engine::Fence;
use boragecove_core::event::Event;
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Query};
use boragecove_core::settings::Settings;

use super::world::{Mode, World, document, model};

const LENGTH: Duration = Duration::from_secs(10);

fn world(nodes: usize) -> World {
    let mut world = World::new(nodes, 1, document(true, 24_000, Vec::new()));
    world.run_until("a first holder", |world| world.lease_holder().is_some());
    world
}

fn taken(world: &World, at: usize) -> Vec<(Fence, Cause)> {
    let records = world.nodes[at].records.iter();
    records
        .filter_map(|record| match record.act {
            Decision::LeaseTaken(fence) => Some((fence, record.cause)),
            _ => None,
        })
        .collect()
}

#[test]
fn renewed_by_one_holder() {
    let mut world = world(3);
    let first = world.lease_holder();
    world.run(LENGTH * 20);
    assert_eq!(world.lease_holder(), first, "nobody else takes a renewed lease");
    let all: usize = (0..3).map(|at| taken(&world, at).len()).sum();
    assert_eq!(all, 1);
}

#[test]
fn taken_after_expiry() {
    let mut world = world(2);
    let (first, fence) = world.lease_holder().expect("a holder");
    let at = world.holder_node().expect("a holder");
    world.nodes[at].paused = true;
    let since = world.now;
    world
        .run_until("another holder", |world| world.lease_holder().is_some_and(|(holder, _)| holder != first));
    assert!(
        world.now.since(since) + Settings::default().lease_renew >= LENGTH,
        "taken over before it expired"
    );
    assert_eq!(world.lease_holder().map(|(_, fence)| fence), Some(Fence(fence.0 + 1)));
    assert_eq!(taken(&world, 1 - at), [(Fence(fence.0 + 1), Cause::Expired)]);

    let second = world.lease_holder();
    world.resume(at);
    world.run(LENGTH * 5);
    assert_eq!(world.lease_holder(), second, "the paused holder took the lease back when it resumed");
    let left = |act: &Decision| matches!(act, Decision::LeaseLeft(_));
    assert!(world.nodes[at].records.iter().any(|record| left(&record.act)));
}

#[test]
fn released_on_stop() {
    let mut world = world(2);
    let at = world.holder_node().expect("a holder");
    let first: Name = world.nodes[at].state.identity().vm.clone();
    let stopped_at = world.now;
    world.step(at, Event::Stop);
    let grace = Settings::default().balancer_grace;
    world
        .run_until("another holder", |world| world.lease_holder().is_some_and(|(holder, _)| holder != first));
    assert!(
        world.now.since(stopped_at) < grace + LENGTH,
        "a released lease is taken without waiting for its expiry"
    );
    assert_eq!(taken(&world, 1 - at).last().map(|(_, cause)| *cause), Some(Cause::Vacant));
}

#[test]
fn lost_answers() {
    let mut world = world(1);
    world.nodes[0].table = Mode::AnswersLost;
    world.run(Duration::from_secs(4));
    world.nodes[0].table = Mode::Up;
    world.run(LENGTH * 3);
    assert_eq!(
        world.lease_holder().map(|(_, fence)| fence),
        Some(Fence(1)),
        "the same holder keeps the lease"
    );
    assert_eq!(
        taken(&world, 0).len(),
        1,
        "a lost answer is resolved by reading the row before the lease expires"
    );
}

#[test]
fn table_down() {
    let mut world = world(2);
    let first = world.lease_holder();
    for node in &mut world.nodes {
        node.table = Mode::Down;
    }
    world.run(LENGTH * 10);
    assert_eq!(world.lease_holder(), first, "nobody takes over a lease that cannot be read");
    let left: usize = world
        .nodes
        .iter()
        .flat_map(|node| &node.records)
        .filter(|r| matches!(r.act, Decision::LeaseLeft(_)))
        .count();
    assert_eq!(left, 1, "its holder records that it expired");
    for node in &mut world.nodes {
        node.table = Mode::Up;
    }
    world.run(LENGTH * 3);
    assert!(world.lease_holder().is_some());
}

/// Orders for an earlier incarnation of an engine stay in its ledger, but they must not be counted as moves
/// under way, since the engine refuses them.
#[test]
fn old_orders_not_counted_as_moves() {
    let mut world = World::new(1, 1, document(true, 24_000, vec![model("a", 6_000)]));
    world.held_back_node = Some(0);
    world.run_until("a load order that is sent", |world| !world.held_back.is_empty());
    assert_eq!(moves_under_way(&mut world), 1);
    for engine in world.engines.values_mut() {
        engine.restart();
    }
    let sent = world.sent.len();
    world.run_until("a load for the restarted engine", |world| {
        world.sent.len() > sent && world.held_back.len() > 1
    });
    assert_eq!(moves_under_way(&mut world), 1, "the load for the earlier incarnation is not counted");
}

fn moves_under_way(world: &mut World) -> u32 {
    match world.query(0, Query::Status) {
        Some(Answer::Status(status)) => status.moves_under_way,
        other => panic!("no status: {other:?}"),
    }
}
