//! Retries over all lives of all entry VMs, counted by arrivals at engines and checked against the
//! platform's bound. They stay within the bound whatever happens to entry VMs, and without faults callers
//! can use most of what it allows.

mod node;
mod world;

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, entry, millis, row};
use world::repeats::{Window, settled};
use world::{Backends, World, ZONES};

const ENGINES: usize = 12;
/// Part of the requests that engines reject.
const SHED: f64 = 0.95;
const SECOND: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    Settings { repeat_slack: 58.0, ..Settings::default() }
}

/// The same for runs without faults; engines that reject more are sent less.
const SHED_WITHOUT_FAULTS: f64 = 0.7;

/// A deployment in which engines reject requests from the start.
fn world(vms: usize, seed: u64) -> World {
    world_with(vms, seed, settings())
}

fn world_with(vms: usize, seed: u64, settings: Settings) -> World {
    let wide = |number: usize| {
        let id = format!("g{number}");
        Entry { slots: 1_000, ..entry(&id, GATEWAY, ZONES[number % ZONES.len()], &[]) }
    };
    let rows: Vec<Row> = (0..ENGINES).map(|number| row(number as u64 + 1, wide(number))).collect();
    let mut world = World::new(vms, node::config(1), &rows, settings, seed);
    world.long_polls = true;
    world.backends = Some(Backends::new(&rows));
    world.advance(Duration::from_secs(if vms > 100 { 8 } else { 3 }));
    world.shed(SHED);
    world
}

/// Faults of entry VMs while engines reject requests.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Undisturbed,
    /// This part of the entry VMs is killed at once, every so many ms.
    Killed(f64, u64),
    /// Each entry VM is restarted, one after the other, twice.
    RestartedInTurn,
    /// The hub is killed every so many ms.
    HubsKilled(u64),
    /// Each zone in turn is cut off for a while.
    ZonesCutInTurn,
    /// All zones are cut off, and all entry VMs are restarted during that and after it.
    CutThenRestarted,
    /// Alternating halves of the entry VMs are suspended.
    Suspended,
    /// The store is unreachable, and all entry VMs are killed repeatedly in the meantime.
    StoreUnreachable,
    /// Entry VMs are added one by one, while every second one of the old is killed.
    Replaced,
}

impl Fault {
    const ALL: [Self; 13] = [
        Self::Undisturbed,
        Self::Killed(1.0, 1_200),
        Self::Killed(1.0, 2_000),
        Self::Killed(1.0, 5_000),
        Self::Killed(0.6, 1_200),
        Self::Killed(0.34, 1_000),
        Self::RestartedInTurn,
        Self::HubsKilled(1_500),
        Self::ZonesCutInTurn,
        Self::CutThenRestarted,
        Self::Suspended,
        Self::StoreUnreachable,
        Self::Replaced,
    ];
}

fn kill(world: &mut World, part: f64) {
    for at in 0..world.len() {
        if world.rng.f64() < part {
            world.restart(at);
        }
    }
}

/// Plays a fault for two and a half windows, then a window without faults.
fn play(world: &mut World, fault: Fault, per_s: f64) {
    let length = settings().repeat_window;
    let steps = |world: &mut World, every: Duration, step: &mut dyn FnMut(&mut World, u32)| {
        let mut number = 0;
        while every * number < length * 5 / 2 {
            world.generate_load(every, per_s);
            step(world, number);
            number += 1;
        }
    };
    world.generate_load(length / 2, per_s);
    match fault {
        Fault::Undisturbed => world.generate_load(length, per_s),
        Fault::Killed(part, every) => steps(world, millis(every), &mut |world, _| kill(world, part)),
        Fault::RestartedInTurn => {
            let every = length.div_f64(world.len() as f64).max(millis(5));
            for _ in 0..2 {
                for at in 0..world.len() {
                    world.generate_load(every, per_s);
                    world.restart(at);
                }
            }
        }
        Fault::HubsKilled(every) => steps(world, millis(every), &mut |world, _| {
            if let Some(hub) = world.leader() {
                world.restart(hub);
            }
        }),
        Fault::ZonesCutInTurn => steps(world, SECOND * 4, &mut |world, number| {
            let zone = number as usize % ZONES.len();
            (0..ZONES.len()).for_each(|other| world.cut(other, other == zone));
        }),
        Fault::CutThenRestarted => {
            (0..ZONES.len()).for_each(|zone| world.cut(zone, true));
            world.generate_load(SECOND * 4, per_s);
            kill(world, 1.0);
            world.generate_load(SECOND * 4, per_s);
            (0..ZONES.len()).for_each(|zone| world.cut(zone, false));
            kill(world, 1.0);
        }
        Fault::Suspended => steps(world, millis(800), &mut |world, number| {
            for at in 0..world.len() {
                world.suspend(at, at % 2 == number as usize % 2);
            }
        }),
        Fault::StoreUnreachable => {
            (0..world.len()).for_each(|at| world.set_store_access(at, false));
            steps(world, SECOND * 3, &mut |world, _| kill(world, 1.0));
            (0..world.len()).for_each(|at| world.set_store_access(at, true));
        }
        Fault::Replaced => {
            let before = world.len();
            let every = length.div_f64(before as f64).max(millis(5));
            for at in 0..before {
                world.generate_load(every, per_s);
                world.add();
                if at % 2 == 0 {
                    world.kill(at);
                }
            }
        }
    }
    world.heal();
    world.generate_load(length, per_s);
}

/// Plays a fault and returns the worst window.
fn worst(vms: usize, fault: Fault, per_s: f64) -> Window {
    let mut world = world(vms, vms as u64 + per_s as u64);
    play(&mut world, fault, per_s);
    let worst = world.repeats().worst(&settings());
    println!("{vms} entry VMs, {per_s} requests/s, {fault:?}: {:.2}, {worst:?}", worst.part());
    worst
}

fn assert_bound(vms: usize, fault: Fault, per_s: f64) {
    let worst = worst(vms, fault, per_s);
    assert!(worst.part() <= 1.0, "{vms} entry VMs, {per_s} requests/s, {fault:?}: {worst:?}");
}

/// Guards against retries drawn from a fixed share of each process, which its successor has again. Engines
/// reject requests while entry VMs are killed in series, restarted in turn, replaced, suspended, cut off or
/// left without a store.
#[test]
fn bound_holds_over_restarts() {
    for vms in [6, 9] {
        for fault in Fault::ALL {
            assert_bound(vms, fault, 100.0);
        }
    }
}

/// The same with many entry VMs, which at their start do not know how many there are.
#[test]
fn bound_holds_with_many() {
    for (vms, per_s) in [(65, 100.0), (300, 300.0)] {
        for fault in [Fault::Killed(1.0, 2_000), Fault::CutThenRestarted, Fault::HubsKilled(1_500)] {
            assert_bound(vms, fault, per_s);
        }
    }
    assert_bound(984, Fault::Killed(1.0, 5_000), 300.0);
}

/// The worst window in which engines of a previously healthy service begin to reject requests and one hub
/// after the other is killed. Each hub grants its whole allowance at once, since hardly any process has
/// earned retries.
fn worst_of_killed_hubs(forgetful: bool) -> Window {
    let mut world = world(9, 3);
    world.forgets_shares = forgetful;
    world.shed(0.0);
    world.generate_load(settings().repeat_window, 40.0);
    world.shed(SHED);
    for _ in 0..8 {
        world.generate_load(SECOND * 2, 40.0);
        if let Some(hub) = world.leader() {
            world.restart(hub);
        }
    }
    world.repeats().worst(&settings())
}

/// Proves that the lease row is needed: without the counts in it, each hub has the whole slack again.
#[test]
fn row_counts_are_needed() {
    let (kept, broken) = (worst_of_killed_hubs(false), worst_of_killed_hubs(true));
    println!("hubs killed: {:.2}; without counts in the row: {:.2}", kept.part(), broken.part());
    assert!(kept.part() <= 1.0, "{kept:?}");
    assert!(broken.part() > 1.0, "the missing counts were not detected: {broken:?}");
}

/// Proves that the check works: with twice the ratio and the slack of the platform's bound, it must find an
/// excess.
#[test]
fn excess_is_detected() {
    let loose = Settings { repeat_ratio: 0.4, repeat_slack: 116.0, ..settings() };
    let mut world = world_with(9, 3, loose);
    world.generate_load(settled(&settings()), 100.0);
    let worst = world.repeats().worst(&settings());
    assert!(worst.part() > 1.0, "twice the allowed ratio was not detected: {worst:?}");
}

/// The part of the allowed retries that is used without faults.
fn used(vms: usize, per_s: f64) -> f64 {
    let mut world = world(vms, 5);
    world.shed(SHED_WITHOUT_FAULTS);
    world.generate_load(settled(&settings()) * 2, per_s);
    let used = world.repeats().used(world.now, &settings());
    println!("{vms} entry VMs, {per_s} requests/s: {used:.2} of the allowed retries are used");
    used
}

/// An allowed retry that is not made is a caller that is not served. With many entry VMs each gets few
/// requests, and a fixed share of each would be less than one retry.
#[test]
fn allowance_is_used_without_faults() {
    for (vms, per_s) in [(9, 100.0), (9, 300.0), (65, 100.0), (65, 300.0), (300, 100.0), (300, 300.0)] {
        let used = used(vms, per_s);
        assert!(used >= 0.75, "{vms} entry VMs, {per_s} requests/s: {used:.2}");
    }
}

/// Plays a random sequence of faults, one after the other and at the same time.
fn random_faults(u: &mut Unstructured<'_>) -> arbitrary::Result<(Vec<String>, Window)> {
    let vms = *u.choose(&[6, 9, 9, 65])?;
    let mut world = world(vms, u.arbitrary()?);
    let per_s = *u.choose(&[30.0, 100.0, 300.0])?;
    let mut steps = vec![format!("{vms} entry VMs, {per_s} requests/s")];
    world.generate_load(millis(u.int_in_range(0..=10_000)?), per_s);
    for _ in 0..u.int_in_range(1..=24)? {
        let (kind, at) = (u.int_in_range(0..=13)?, u.int_in_range(0..=world.len() - 1)?);
        steps.push(format!("{:?}: {kind}, vm {at}", world.now));
        match kind {
            9 | 10 => kill(&mut world, 1.0),
            11 => kill(&mut world, 0.5),
            12 => world.heal(),
            13 => world.add(),
            kind => world.disturb(kind, at),
        }
        let per_s = per_s * f64::from(u.int_in_range(1..=4)?) / 4.0;
        world.generate_load(millis(u.int_in_range(0..=3_000)?), per_s);
    }
    world.heal();
    world.generate_load(settled(&settings()), per_s);
    Ok((steps, world.repeats().worst(&settings())))
}

#[test]
fn bound_holds_at_random() {
    arbtest(|u| {
        let (steps, worst) = random_faults(u)?;
        assert!(worst.part() <= 1.0, "{worst:?} after {steps:#?}");
        Ok(())
    })
    .budget_ms(world::budget_ms(8_000));
}

/// Prints the worst window of each fault and the part used without faults.
#[test]
#[ignore = "run by hand to print figures"]
fn figures() {
    for vms in [9, 65, 300] {
        for per_s in [100.0, 300.0] {
            used(vms, per_s);
            for fault in Fault::ALL {
                worst(vms, fault, per_s);
            }
        }
    }
}
