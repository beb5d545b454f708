//! Who reads the store where the leader does not, and how soon all know what stands there: calls are counted, at sizes of large
//! deployments.

mod node;
mod world;

use std::time::Duration;

use boragecove_fleet::settings::Settings;
use node::{GATEWAY, config, entry, row};
use world::{World, ZONES};

/// Calls a second of all entry VMs together: three that read for the others in each zone, with two tables each and a call in 0.8 s at most,
/// and 100 a second for each table of those that need not.
const CALLS_PER_S: f64 = 250.0;

/// Entry VMs of which one in twenty is strong, with the store's calls paced as they want them.
fn world(vms: usize, seed: u64) -> World {
    let rows: Vec<_> =
        (0..3).map(|at| row(at + 1, entry(&format!("g{at}"), GATEWAY, ZONES[at as usize], &[]))).collect();
    let mut world = World::new(vms, config(1), &rows, Settings::default(), seed);
    world.paced = true;
    // Frames of hundreds are seconds apart.
    world.pass(Duration::from_secs(12));
    world
}

/// Lets time pass until all entry VMs that run and are not suspended go by this version. Returns how long that took.
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

/// Calls a second over a time.
fn calls_per_s(world: &mut World, time: Duration) -> f64 {
    let before = world.calls;
    world.pass(time);
    (world.calls - before) as f64 / time.as_secs_f64()
}

/// Nobody but the leader reads the store on a quiet day.
#[test]
fn leader_reads() {
    let mut world = world(300, 1);
    let calls = calls_per_s(&mut world, Duration::from_secs(5));
    assert!(calls <= 20.0, "{calls} calls a second");
}

/// The store turns the leader away for longer than a change may take to be in force.
#[test]
fn leader_turned_away() {
    for vms in [300, 600] {
        let mut world = world(vms, 2);
        let leader = world.leader().expect("there is one");
        world.serve(leader, false);
        world.pass(Duration::from_millis(1_300));
        world.declare(config(2));
        let took = in_force(&mut world, 2, Duration::from_secs(5));
        let calls = calls_per_s(&mut world, Duration::from_secs(5));
        println!("{vms}: in force after {took:?}, {calls} calls a second");
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{vms}: in force after {took:?}");
        assert!(calls <= CALLS_PER_S, "{vms}: {calls} calls a second");
    }
}

/// A third of all is turned away, with the leader among them.
#[test]
fn third_turned_away() {
    let mut world = world(300, 3);
    let leader = world.leader().expect("there is one");
    for at in (0..world.len()).filter(|at| at % 3 == leader % 3 || at % 7 == 0) {
        world.serve(at, at % 2 == 1 && at != leader);
    }
    world.pass(Duration::from_millis(1_300));
    world.declare(config(2));
    let took = in_force(&mut world, 2, Duration::from_secs(5));
    assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "in force after {took:?}");
    let calls = calls_per_s(&mut world, Duration::from_secs(5));
    assert!(calls <= CALLS_PER_S, "{calls} calls a second");
}

/// The leader is killed: another leads soon, and the change is in force everywhere.
#[test]
fn leader_killed() {
    for vms in [300, 600] {
        let mut world = world(vms, 4);
        let leader = world.leader().expect("there is one");
        world.kill(leader);
        let began = world.now;
        world.pass(Duration::from_millis(200));
        world.declare(config(2));
        let pushes = world.pushes;
        let took = in_force(&mut world, 2, Duration::from_secs(6));
        let pushes = world.pushes - pushes;
        while world.leader().is_none() && world.now.since(began) < Duration::from_secs(10) {
            world.tick();
        }
        let led = world.now.since(began);
        println!("{vms}: in force after {took:?}, another leads after {led:?}, {pushes} messages");
        // Those that read for a zone tell all of it, and the new leader tells everybody twice.
        assert!(pushes <= 5 * vms, "{vms}: {pushes} messages");
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{vms}: in force after {took:?}");
        assert!(led <= Duration::from_secs(5), "{vms}: another leads after {led:?}");
    }
}

/// The store turns everybody away: calls stay few.
#[test]
fn all_turned_away() {
    for vms in [300, 600] {
        let mut world = world(vms, 5);
        (0..vms).for_each(|at| world.serve(at, false));
        world.pass(Duration::from_secs(2));
        let calls = calls_per_s(&mut world, Duration::from_secs(6));
        println!("{vms}: {calls} calls a second");
        assert!(calls <= 2.0 * CALLS_PER_S, "{vms}: {calls} calls a second");
    }
}
