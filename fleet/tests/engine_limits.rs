//! Rate limits of engines, as sums over all entry VMs, checked against the platform's bound and against the
//! requests that each engine receives.

mod node;
mod world;

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_core::time::Time;
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, WRITER, entry, plain, row, short_stream};
use world::{Backends, World, ZONES};

/// Time after the first report from which the limit must hold: the platform's bound for entry VMs in
/// contact with the engine.
const CONTACT: Duration = Duration::from_secs(3);

/// Two engines for each of three models, one engine alone with `m3`, and three of the plain service.
fn engines() -> Vec<Row> {
    let held =
        [("w0", "m0"), ("w1", "m1"), ("w2", "m2"), ("w3", "m0"), ("w4", "m1"), ("w5", "m2"), ("w6", "m3")];
    let writer = |(at, (id, model)): (usize, &(&str, &str))| {
        let entry = entry(id, WRITER, ZONES[at % ZONES.len()], &[model]);
        row(at as u64 + 1, Entry { slots: 32, ..entry })
    };
    let gateway = |at: usize| row(at as u64 + 8, entry(&format!("g{at}"), GATEWAY, ZONES[at], &[]));
    held.iter().enumerate().map(writer).chain((0..3).map(gateway)).collect()
}

fn world(vms: usize, seed: u64) -> World {
    let rows = engines();
    let mut world = World::new(vms, node::config(1), &rows, Settings::default(), seed);
    world.backends = Some(Backends::new(&rows));
    world.advance(Duration::from_secs(8));
    world
}

/// Sends this many streams and calls per second for a while, to random entry VMs.
fn run(world: &mut World, time: Duration, streams_per_s: f64, calls_per_s: f64) {
    let end = world.now + time;
    let step = Duration::from_millis(5);
    while world.now < end {
        for (per_s, streams) in [(streams_per_s, true), (calls_per_s, false)] {
            let mut due = per_s * step.as_secs_f64();
            while due > 0.0 && world.rng.f64() < due {
                due -= 1.0;
                let at = world.rng.usize(0..world.len());
                let model = ["m0", "m1", "m2", "m3"][world.rng.usize(0..4)];
                let arrival = if streams { short_stream(model) } else { plain("/ack/1") };
                world.arrive(at, &"none".into(), 0.0, arrival);
            }
        }
        world.advance(step);
    }
}

/// Requests per second that reach an engine from all entry VMs, counted from `CONTACT` after `since`.
fn per_s(world: &World, engine: &str, since: Time) -> f64 {
    let from = since + CONTACT;
    world.arrivals(engine, from) as f64 / world.now.since(from).as_secs_f64()
}

/// Guards against an incident: an engine that reported a limit of 2.9 requests per second got 49 in 4 s
/// from entry VMs that had received the report.
#[test]
fn engine_limit_kept() {
    let mut world = world(6, 1);
    run(&mut world, Duration::from_secs(4), 60.0, 60.0);
    let since = world.now;
    world.set_limit("w0", Some(2.9));
    world.set_limit("w6", Some(1.4));
    world.set_limit("g0", Some(3.0));
    run(&mut world, Duration::from_secs(12), 60.0, 60.0);
    for (engine, limit) in [("w0", 2.9), ("w6", 1.4), ("g0", 3.0)] {
        let excess = world.limit_excess(engine, CONTACT);
        assert!(excess <= 0.0, "{engine}: {excess} requests over the bound in 4 s");
        let got = per_s(&world, engine, since);
        assert!(got <= limit * 1.05, "{engine}: {got} requests/s, limit {limit}");
    }
}

/// The most that any of these engines got beyond the platform's bound in its worst window.
fn worst_excess(world: &World, engines: &[&str], contact: Duration) -> f64 {
    engines.iter().map(|engine| world.limit_excess(engine, contact)).fold(f64::NEG_INFINITY, f64::max)
}

/// Requests that an engine got from all entry VMs since a time, as a part of its limit.
fn part_of_limit(world: &World, engine: &str, limit: f64, since: Time) -> f64 {
    world.arrivals(engine, since) as f64 / world.now.since(since).as_secs_f64() / limit
}

/// Engines that no other engine can replace get as many requests as their limits allow, not fewer: the only
/// holder of a model, and all engines of a service.
#[test]
fn engines_get_their_limits() {
    let mut world = world(6, 2);
    let engines = [("w6", 3.0), ("g0", 8.0), ("g1", 3.0), ("g2", 1.0)];
    for (engine, limit) in engines {
        world.set_limit(engine, Some(limit));
    }
    run(&mut world, CONTACT, 60.0, 60.0);
    let since = world.now;
    run(&mut world, Duration::from_secs(20), 60.0, 60.0);
    for (engine, limit) in engines {
        let got = part_of_limit(&world, engine, limit, since);
        assert!((0.75..=1.1).contains(&got), "{engine}: {got} of its limit");
    }
}

/// The owner of the engine's schedule, which may also be the hub, is killed; another one takes over after a
/// while.
#[test]
fn owner_killed() {
    for seed in 0..6 {
        let mut world = world(9, seed);
        world.set_limit("w6", Some(3.0));
        run(&mut world, Duration::from_secs(5), 80.0, 0.0);
        let owner = world.owner_of("w6", "zone-a");
        world.kill(owner);
        run(&mut world, Duration::from_secs(10), 80.0, 0.0);
        let since = world.now;
        run(&mut world, Duration::from_secs(6), 80.0, 0.0);
        assert!(worst_excess(&world, &["w6"], CONTACT) <= 0.0);
        let got = part_of_limit(&world, "w6", 3.0, since);
        assert!((0.7..=1.1).contains(&got), "seed {seed}: {got} of its limit");
    }
}

/// The owner of the engine's schedule loses contact with all others and keeps serving many callers, as do
/// the others: there are two owners for as long as that lasts.
#[test]
fn owner_cut_off() {
    for seed in 0..4 {
        let mut world = world(9, 20 + seed);
        world.set_limit("w6", Some(4.0));
        run(&mut world, Duration::from_secs(5), 80.0, 0.0);
        let owner = world.owner_of("w6", "zone-a");
        world.isolate(owner, true);
        let since = world.now;
        for _ in 0..240 {
            for at in [owner, (owner + 1) % 9, (owner + 2) % 9] {
                world.arrive(at, &"none".into(), 0.0, short_stream("m3"));
            }
            world.advance(Duration::from_millis(50));
        }
        assert!(worst_excess(&world, &["w6"], CONTACT) <= 0.0, "seed {seed}");
        let got = part_of_limit(&world, "w6", 4.0, since);
        assert!((0.7..=1.3).contains(&got), "seed {seed}: {got} of its limit");
    }
}

/// The hub is lost: reservations are still granted, for a part of the limit, until a new hub has been in
/// place for a while.
#[test]
fn hub_lost() {
    let mut world = world(9, 4);
    world.set_limit("w6", Some(4.0));
    run(&mut world, Duration::from_secs(5), 80.0, 0.0);
    let hub = world.leader().expect("a hub");
    world.kill(hub);
    let since = world.now;
    run(&mut world, Duration::from_secs(6), 80.0, 0.0);
    let got = part_of_limit(&world, "w6", 4.0, since);
    assert!(got >= 0.15, "{got} of its limit");
    run(&mut world, Duration::from_secs(6), 80.0, 0.0);
    assert!(worst_excess(&world, &["w6"], CONTACT) <= 0.0);
}

/// The store is unreachable for longer than any lease, so that there is no hub.
#[test]
fn store_unreachable() {
    let mut world = world(9, 5);
    world.set_limit("w6", Some(4.0));
    run(&mut world, Duration::from_secs(5), 80.0, 0.0);
    (0..9).for_each(|at| world.set_store_access(at, false));
    run(&mut world, Duration::from_secs(6), 80.0, 0.0);
    let since = world.now;
    run(&mut world, Duration::from_secs(8), 80.0, 0.0);
    let got = part_of_limit(&world, "w6", 4.0, since);
    assert!(got >= 0.2, "{got} of its limit");
    assert!(worst_excess(&world, &["w6"], CONTACT) <= 0.0);
}

/// The zone of an engine is cut off, with or without the hub, and comes back: the engine keeps working on
/// what its own zone sends.
#[test]
fn zone_cut_off() {
    for zone in 0..ZONES.len() {
        let mut world = world(9, 6);
        let engines = ["w6", "g0", "g1", "g2"];
        for engine in engines {
            world.set_limit(engine, Some(2.0));
        }
        run(&mut world, Duration::from_secs(4), 60.0, 60.0);
        world.cut(zone, true);
        run(&mut world, Duration::from_secs(9), 60.0, 60.0);
        world.cut(zone, false);
        run(&mut world, Duration::from_secs(9), 60.0, 60.0);
        assert!(worst_excess(&world, &engines, CONTACT) <= 0.0, "zone {zone}");
    }
}

/// The load rises tenfold at once, and then all entry VMs but one restart.
#[test]
fn burst_and_restarts() {
    let mut world = world(9, 7);
    let engines = ["w0", "w6", "g0", "g1", "g2"];
    for engine in engines {
        world.set_limit(engine, Some(2.0));
    }
    run(&mut world, Duration::from_secs(4), 40.0, 40.0);
    run(&mut world, Duration::from_secs(4), 400.0, 400.0);
    (1..9).for_each(|at| world.restart(at));
    run(&mut world, Duration::from_secs(8), 400.0, 400.0);
    assert!(worst_excess(&world, &engines, CONTACT) <= 0.0);
}

/// All 300 entry VMs have requests for the engine at the same time.
#[test]
fn many_entry_vms() {
    let mut world = world(300, 8);
    run(&mut world, Duration::from_secs(2), 200.0, 200.0);
    let engines = [("w0", 2.9), ("w6", 1.0), ("g0", 3.0)];
    for (engine, limit) in engines {
        world.set_limit(engine, Some(limit));
    }
    let since = world.now;
    run(&mut world, Duration::from_secs(9), 300.0, 300.0);
    for (engine, limit) in engines {
        let excess = world.limit_excess(engine, Duration::from_secs(5));
        assert!(excess <= 0.0, "{engine}: {excess} requests over the bound in 4 s");
        let late = since + Duration::from_secs(5);
        let got = world.arrivals(engine, late) as f64;
        assert!(got <= limit * 4.0 + 2.0, "{engine}: {got} requests in 4 s from all entry VMs");
    }
}

/// Guards against requests that run twice: a request with a reservation at an engine that then reports a
/// limit was sent to another engine although it had also run at the first, and its answer was put together
/// from both.
#[test]
fn cancelled_runs_once() {
    for seed in 0..8 {
        let mut world = world(6, 30 + seed);
        run(&mut world, Duration::from_secs(1), 300.0, 0.0);
        for engine in ["w0", "w1", "w6"] {
            world.set_limit(engine, Some(5.0));
        }
        run(&mut world, Duration::from_secs(2), 300.0, 0.0);
        assert_eq!(world.over_repeated(), 0, "seed {seed}");
    }
}

/// 300 entry VMs lose their hub, the owners of three schedules and a zone, new ones are added, and callers
/// send five times as much. Frames are 1.5 s apart, and a killed entry VM is detected after 3.7 s.
#[test]
fn many_with_faults() {
    let mut world = world(300, 11);
    let engines = ["w0", "w6", "g0", "g1"];
    for (engine, limit) in engines.into_iter().zip([2.9, 1.0, 3.0, 8.0]) {
        world.set_limit(engine, Some(limit));
    }
    let contact = Duration::from_secs(5);
    run(&mut world, contact, 150.0, 150.0);
    let hub = world.leader().expect("a hub");
    world.kill(hub);
    run(&mut world, Duration::from_secs(4), 750.0, 750.0);
    for engine in ["w0", "w6", "g0"] {
        // All three engines are in the first zone.
        let owner = world.owner_of(engine, ZONES[0]);
        world.kill(owner);
    }
    for _ in 0..10 {
        world.add();
    }
    run(&mut world, Duration::from_secs(4), 150.0, 150.0);
    world.cut(0, true);
    run(&mut world, Duration::from_secs(5), 150.0, 150.0);
    world.cut(0, false);
    run(&mut world, Duration::from_secs(5), 150.0, 150.0);
    assert!(worst_excess(&world, &engines, contact) <= 0.0);
}

/// The limit ends as soon as the engine stops reporting it, even a limit of zero.
#[test]
fn limit_ends() {
    for limit in [0.0, 0.1, 3.0] {
        let mut world = world(6, 9);
        for engine in ["w6", "g0"] {
            world.set_limit(engine, Some(limit));
        }
        run(&mut world, Duration::from_secs(8), 40.0, 60.0);
        assert!(worst_excess(&world, &["w6", "g0"], CONTACT) <= 0.0, "limit {limit}");
        for engine in ["w6", "g0"] {
            world.set_limit(engine, None);
        }
        run(&mut world, Duration::from_secs(6), 40.0, 60.0);
        let since = world.now;
        run(&mut world, Duration::from_secs(3), 40.0, 60.0);
        for (engine, usual) in [("w6", 10.0), ("g0", 15.0)] {
            let got = part_of_limit(&world, engine, usual, since);
            assert!(got > 0.5, "limit {limit}: {engine} gets {got} of its usual load");
        }
    }
}

/// The limit falls and rises again.
#[test]
fn limit_changes() {
    let mut world = world(6, 10);
    for limit in [8.0, 1.0, 6.0] {
        world.set_limit("w6", Some(limit));
        run(&mut world, Duration::from_secs(4), 80.0, 0.0);
        let since = world.now;
        run(&mut world, Duration::from_secs(8), 80.0, 0.0);
        assert!(world.limit_excess("w6", CONTACT) <= 0.0);
        let got = part_of_limit(&world, "w6", limit, since);
        assert!((0.7..=1.15).contains(&got), "{got} of {limit}");
    }
}

fn inject_fault(world: &mut World, kind: u8, at: usize) {
    match kind {
        0 => world.kill(at),
        1 => world.restart(at),
        2 => world.suspend(at, true),
        3 => world.cut(at % ZONES.len(), true),
        4 => world.set_store_access(at, false),
        5 => world.isolate(at, true),
        6 => (0..world.len()).for_each(|at| world.set_store_access(at, false)),
        7 => (0..world.len()).for_each(|at| world.restart(at)),
        8 => world.restore_store(Duration::from_millis(500 * (at as u64 + 1))),
        _ => world.add(),
    }
}

/// Plays a random sequence of faults and limits. Returns the largest excess over the platform's bound at
/// any engine; negative if there was none.
fn play_random_faults(u: &mut Unstructured<'_>) -> arbitrary::Result<(f64, &'static str)> {
    const NAMES: [&str; 10] = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "g0", "g1", "g2"];
    let mut world = world(u.int_in_range(4..=13)?, u.arbitrary()?);
    let load = *u.choose(&[20.0, 80.0, 300.0])?;
    let mut worst = (f64::NEG_INFINITY, NAMES[0]);
    for _ in 0..u.int_in_range(2..=6)? {
        match u.int_in_range(0..=3)? {
            0 => {
                let engine = *u.choose(&NAMES)?;
                let excess = world.limit_excess(engine, CONTACT);
                worst = if excess > worst.0 { (excess, engine) } else { worst };
                let limit = *u.choose(&[None, Some(0.0), Some(0.4), Some(1.4), Some(2.9), Some(12.0)])?;
                world.set_limit(engine, limit);
            }
            1 if u.ratio(1, 2)? => world.heal(),
            _ => {
                let at = u.int_in_range(0..=world.len() - 1)?;
                inject_fault(&mut world, u.int_in_range(0..=9)?, at);
            }
        }
        let ms = u.int_in_range(200..=5_000)?;
        run(&mut world, Duration::from_millis(ms), load, load);
    }
    world.heal();
    run(&mut world, Duration::from_secs(3), load, load);
    for engine in NAMES {
        let excess = world.limit_excess(engine, CONTACT);
        worst = if excess > worst.0 { (excess, engine) } else { worst };
    }
    assert_eq!(world.over_repeated(), 0, "requests ran twice");
    Ok(worst)
}

/// Whatever is lost, cut off, suspended, restarted or added: in any 4 s, no rate-limited engine gets more
/// than the platform's bound allows from entry VMs that received its report.
#[test]
fn limit_sum_holds() {
    arbtest(|u| {
        let (excess, engine) = play_random_faults(u)?;
        assert!(excess <= 0.0, "{engine}: {excess} over the bound");
        Ok(())
    })
    .budget_ms(world::budget_ms(8_000));
}

/// Proves that the check works: with every reservation granted at once, and without any fault, it must find
/// an excess.
#[test]
fn check_finds_excess() {
    let mut world = world(6, 1);
    world.grants_immediately = true;
    world.set_limit("w6", Some(1.4));
    run(&mut world, Duration::from_secs(8), 80.0, 0.0);
    assert!(world.limit_excess("w6", CONTACT) > 0.0);
}
