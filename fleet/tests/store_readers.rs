//! Which entry VMs read the store if the hub does not, how soon a change is in force everywhere, and how many calls that takes in large
//! deployments.

mod node;
mod world;

use std::time::Duration;

use boragecove_fleet::settings::Settings;
use node::{GATEWAY, config, entry, row};
use world::{World, ZONES};

/// Maximum calls per second from all entry VMs: three readers in each zone with two tables each and at least 0.8 s between calls, and 100 per
/// second for each table from the other entry VMs.
const CALLS_PER_S: f64 = 250.0;

/// A deployment in which one in twenty entry VMs is large, and whose calls to the store follow their requested intervals.
fn world(vms: usize, seed: u64) -> World {
    let rows: Vec<_> =
        (0..3).map(|at| row(at + 1, entry(&format!("g{at}"), GATEWAY, ZONES[at as usize], &[]))).collect();
    let mut world = World::new(vms, config(1), &rows, Settings::default(), seed);
    world.long_polls = true;
    // Frames of hundreds of entry VMs are seconds apart.
    world.advance(Duration::from_secs(12));
    world
}

/// Runs until all entry VMs that are neither stopped nor suspended have this version. Returns how long that took.
fn in_force(world: &mut World, version: u64, limit: Duration) -> Option<Duration> {
    let begin = world.now;
    loop {
        let behind = (0..world.len())
            .filter(|at| world.is_running(*at))
            .any(|at| world.state(at).config().is_none_or(|config| config.version < version));
        if !behind {
            return Some(world.now.since(begin));
        }
        if world.now.since(begin) >= limit {
            return None;
        }
        world.tick();
    }
}

/// Measures the calls per second over an interval.
fn calls_per_s(world: &mut World, time: Duration) -> f64 {
    let before = world.calls;
    world.advance(time);
    (world.calls - before) as f64 / time.as_secs_f64()
}

/// Only the hub reads the store in normal operation.
#[test]
fn only_hub_reads() {
    let mut world = world(300, 1);
    let calls = calls_per_s(&mut world, Duration::from_secs(5));
    assert!(calls <= 20.0, "{calls} calls per second");
}

/// The store rejects the hub for longer than a change may take to be in force.
#[test]
fn hub_rejected() {
    for vms in [300, 600] {
        let mut world = world(vms, 2);
        let hub = world.leader().expect("a hub");
        world.set_store_access(hub, false);
        world.advance(Duration::from_millis(1_300));
        world.declare(config(2));
        let took = in_force(&mut world, 2, Duration::from_secs(5));
        let calls = calls_per_s(&mut world, Duration::from_secs(5));
        println!("{vms}: in force after {took:?}, {calls} calls per second");
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{vms}: in force after {took:?}");
        assert!(calls <= CALLS_PER_S, "{vms}: {calls} calls per second");
    }
}

/// The store rejects a third of the entry VMs, including the hub.
#[test]
fn third_rejected() {
    let mut world = world(300, 3);
    let hub = world.leader().expect("a hub");
    for at in (0..world.len()).filter(|at| at % 3 == hub % 3 || at % 7 == 0) {
        world.set_store_access(at, at % 2 == 1 && at != hub);
    }
    world.advance(Duration::from_millis(1_300));
    world.declare(config(2));
    let took = in_force(&mut world, 2, Duration::from_secs(5));
    assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "in force after {took:?}");
    let calls = calls_per_s(&mut world, Duration::from_secs(5));
    assert!(calls <= CALLS_PER_S, "{calls} calls per second");
}

/// The hub is killed: another one takes over soon, and a change is in force everywhere.
#[test]
fn hub_killed() {
    for vms in [300, 600] {
        let mut world = world(vms, 4);
        let hub = world.leader().expect("a hub");
        world.kill(hub);
        let began = world.now;
        world.advance(Duration::from_millis(200));
        world.declare(config(2));
        let pushes = world.pushes;
        let took = in_force(&mut world, 2, Duration::from_secs(6));
        let pushes = world.pushes - pushes;
        while world.leader().is_none() && world.now.since(began) < Duration::from_secs(10) {
            world.tick();
        }
        let led = world.now.since(began);
        println!("{vms}: in force after {took:?}, another hub after {led:?}, {pushes} messages");
        // The readers of a zone push to the whole zone, and the new hub pushes to all entry VMs twice.
        assert!(pushes <= 5 * vms, "{vms}: {pushes} messages");
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{vms}: in force after {took:?}");
        assert!(led <= Duration::from_secs(5), "{vms}: another hub after {led:?}");
    }
}

/// The store rejects all entry VMs: the number of calls stays bounded.
#[test]
fn all_rejected() {
    for vms in [300, 600] {
        let mut world = world(vms, 5);
        (0..vms).for_each(|at| world.set_store_access(at, false));
        world.advance(Duration::from_secs(2));
        let calls = calls_per_s(&mut world, Duration::from_secs(6));
        println!("{vms}: {calls} calls per second");
        assert!(calls <= 2.0 * CALLS_PER_S, "{vms}: {calls} calls per second");
    }
}
