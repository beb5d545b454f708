//! All entry VMs learn in time that an engine is leaving, from any source and in any order: a response of the engine, its row, a push, a frame, a
//! reply to a frame, or a read of the whole table. This also holds while hubs are lost, zones are cut off, and the store rejects some of
//! the entry VMs.

mod node;
mod world;

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_fleet::departure::{Audience, Source};
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, entry, millis, row};
use world::departures::{Departures, Mute};
use world::{World, ZONES};

const ENGINES: usize = 9;
const ALL_SIZES: [usize; 4] = [9, 65, 300, 984];

/// The limits for a deployment size: how long after the store's write a leaving engine may still get requests, and how long an entry VM must
/// have been undisturbed for this limit to apply.
fn bounds(vms: usize) -> (Duration, Duration) {
    let limit = match vms {
        ..30 => 2,
        30..150 => 3,
        150..600 => 4,
        _ => 5,
    };
    (Duration::from_secs(limit), Duration::from_secs(limit + 1))
}

fn id(number: usize) -> String {
    format!("g{number}")
}

fn gateway(number: usize) -> Entry {
    entry(&id(number), GATEWAY, ZONES[number % ZONES.len()], &[])
}

fn leaving(number: usize) -> Entry {
    Entry { leaving: true, ..gateway(number) }
}

/// A deployment in which all entry VMs know the engines and have sent their first frames.
fn world(vms: usize, seed: u64) -> World {
    let rows: Vec<Row> = (0..ENGINES).map(|number| row(number as u64 + 1, gateway(number))).collect();
    let mut world = World::new(vms, node::config(1), &rows, Settings::default(), seed);
    world.long_polls = true;
    let (_, undisturbed) = bounds(vms);
    world.advance(undisturbed * 3);
    assert_eq!(world.count_senders("g0"), vms);
    world
}

fn checks(vms: usize) -> Departures {
    let (limit, undisturbed) = bounds(vms);
    Departures::new((0..ENGINES).map(id), limit, undisturbed)
}

fn hub(world: &World) -> usize {
    world.leader().expect("a hub")
}

/// An entry VM other than the hub, if possible one that does not read the store.
fn other(world: &World) -> usize {
    let hub = hub(world);
    let reads = |at: usize| world.state(hub).members().is_reader(&format!("vm-{at}").as_str().into());
    let others = (0..world.len()).filter(|at| *at != hub);
    others.clone().find(|at| !reads(*at)).or_else(|| others.clone().next()).expect("another entry VM")
}

fn assert_no_faults(vms: usize, checks: &Departures) {
    let faults = &checks.faults;
    assert!(faults.is_empty(), "{vms} entry VMs: {:#?}", &faults[..faults.len().min(3)]);
}

/// Only the row shows the departure, and the hub can read it.
#[test]
fn row_alone() {
    for vms in ALL_SIZES {
        let (mut world, mut checks) = (world(vms, 1), checks(vms));
        world.register(leaving(0));
        checks.store_accepted(&world, "g0");
        checks.advance(&mut world, bounds(vms).0 + millis(500));
        assert_no_faults(vms, &checks);
    }
}

/// The engine announces its departure in a response to the hub, half a second before its row shows it: the hub knows the departure already when
/// it reads the row, but the others do not.
#[test]
fn announced_to_hub_first() {
    for vms in ALL_SIZES {
        let (mut world, mut checks) = (world(vms, 2), checks(vms));
        let hub = hub(&world);
        checks.will_leave("g0");
        world.receive_announcement(hub, "g0");
        checks.advance(&mut world, millis(500));
        world.register(leaving(0));
        checks.store_accepted(&world, "g0");
        checks.advance(&mut world, bounds(vms).0 + millis(500));
        assert_no_faults(vms, &checks);
    }
}

/// The engine announces its departure to another entry VM, which reports it to the hub in a frame.
#[test]
fn announced_to_another_first() {
    for vms in ALL_SIZES {
        let (mut world, mut checks) = (world(vms, 3), checks(vms));
        let other = other(&world);
        checks.will_leave("g0");
        world.receive_announcement(other, "g0");
        checks.advance(&mut world, bounds(vms).1);
        world.register(leaving(0));
        checks.store_accepted(&world, "g0");
        checks.advance(&mut world, bounds(vms).0 + millis(500));
        assert_no_faults(vms, &checks);
    }
}

/// Only the engine announces its departure, and the store never gets it: all learn of it from the entry VM that received the announcement.
#[test]
fn announcement_alone() {
    for vms in ALL_SIZES {
        let (mut world, mut checks) = (world(vms, 4), checks(vms));
        let other = other(&world);
        checks.announce_to(&mut world, other, "g0");
        checks.advance(&mut world, bounds(vms).0 + millis(500));
        assert_no_faults(vms, &checks);
    }
}

/// The store rejects the hub: the readers report the departure to the hub, which notifies the others.
#[test]
fn hub_rejected() {
    for vms in ALL_SIZES {
        let (mut world, mut checks) = (world(vms, 5), checks(vms));
        let hub = hub(&world);
        world.set_store_access(hub, false);
        checks.advance(&mut world, millis(1_300));
        world.register(leaving(0));
        checks.store_accepted(&world, "g0");
        checks.advance(&mut world, millis(300));
        world.set_store_access(hub, true);
        checks.advance(&mut world, bounds(vms).0 + millis(200));
        assert_no_faults(vms, &checks);
    }
}

/// The store is restored from a copy in which the engine is not leaving yet, and an entry VM restarts and reads that copy before the engine
/// writes its entry again.
#[test]
fn restarted_with_restored_copy() {
    for vms in [9, 65] {
        let (mut world, mut checks) = (world(vms, 8), checks(vms));
        world.register(leaving(0));
        checks.store_accepted(&world, "g0");
        checks.advance(&mut world, Duration::from_secs(3));
        world.restore_store(Duration::from_secs(4));
        checks.store_restored(&world);
        let other = other(&world);
        world.restart(other);
        checks.advance(&mut world, bounds(vms).0 + bounds(vms).1 + millis(500));
        assert_no_faults(vms, &checks);
    }
}

/// Guards against using a removed engine, as found by a random scenario. An engine is removed just after a restore, so that all entry VMs wait
/// for it to register again, and a second restore brings its entry back. The hub, which was already waiting, did not tell the others that
/// the engine was removed once more, and they used its entry.
#[test]
fn removed_during_grace() {
    for seed in 0..12 {
        let (mut world, mut checks) = (world(9, seed), checks(9));
        world.restore_store(Duration::from_secs(3));
        checks.advance(&mut world, millis(1_100));
        world.deregister("g4");
        checks.store_accepted(&world, "g4");
        checks.advance(&mut world, millis(35));
        world.restore_store(millis(1_200));
        checks.store_restored(&world);
        checks.advance(&mut world, Duration::from_secs(10));
        assert_no_faults(9, &checks);
    }
}

/// The hub is lost or suspended just before or after the store's write of the row, in some cases after the store had rejected it so that readers
/// in each zone read the store instead.
#[test]
fn hub_lost_around_departure() {
    for vms in [9, 65, 300] {
        for (case, after_ms) in [0, 5, 15, 30, 100, 400].into_iter().enumerate() {
            for rejected in [false, true] {
                let (mut world, mut checks) = (world(vms, 6 + case as u64), checks(vms));
                let hub = hub(&world);
                if rejected {
                    world.set_store_access(hub, false);
                    checks.advance(&mut world, millis(1_300));
                }
                if case % 2 == 0 {
                    world.register(leaving(0));
                    checks.store_accepted(&world, "g0");
                }
                checks.advance(&mut world, millis(after_ms));
                if rejected {
                    world.suspend(hub, true);
                } else {
                    world.kill(hub);
                }
                checks.advance(&mut world, millis(after_ms));
                if case % 2 == 1 {
                    world.register(leaving(0));
                    checks.store_accepted(&world, "g0");
                }
                checks.advance(&mut world, bounds(vms).0 + millis(200));
                assert_no_faults(vms, &checks);
            }
        }
    }
}

/// Logs and metrics show from which source each entry VM learned of a departure first, and whom the hub notified.
#[test]
fn source_is_counted() {
    let (mut world, mut checks) = (world(9, 9), checks(9));
    let (hub, other) = (hub(&world), other(&world));
    world.register(leaving(0));
    checks.advance(&mut world, millis(500));
    world.receive_announcement(other, "g1");
    let known = |at: usize, source: Source| world.state(at).departures_learnt().get(&source).copied();
    assert_eq!((known(hub, Source::Table), known(hub, Source::Push)), (Some(1), None));
    assert_eq!((known(other, Source::Push), known(other, Source::Answer)), (Some(1), Some(1)));
    assert_eq!(world.state(hub).departures_reported().get(&Audience::All), Some(&1));
}

/// The hub is lost while it pushes to the others: some have received the push, among them some of the readers.
#[test]
fn hub_lost_during_pushes() {
    for vms in [9, 65, 300] {
        for seed in 0..2 {
            let (mut world, mut checks) = (world(vms, 20 + seed), checks(vms));
            let hub = hub(&world);
            world.pushes_lost = 0.7;
            world.register(leaving(0));
            checks.store_accepted(&world, "g0");
            checks.advance(&mut world, millis(12));
            world.kill(hub);
            world.pushes_lost = 0.0;
            checks.advance(&mut world, bounds(vms).0 + millis(200));
            assert_no_faults(vms, &checks);
        }
    }
}

fn disturb(world: &mut World, kind: u8, at: usize) {
    match kind {
        0..=8 => world.disturb(kind, at),
        9 => (0..world.len()).filter(|vm| vm % 3 == at % 3).for_each(|vm| world.set_store_access(vm, false)),
        10 => (0..world.len()).for_each(|vm| world.set_store_access(vm, false)),
        11 => world.reread(at),
        _ => (0..world.len()).for_each(|vm| world.reread(vm)),
    }
}

/// Lets an engine leave, by one of four ways to announce it.
fn depart(world: &mut World, checks: &mut Departures, kind: u8, vm: usize, number: usize) {
    let hub = world.leader().unwrap_or(vm);
    match kind {
        0 => checks.announce_to(world, vm, &id(number)),
        1 => checks.announce_to(world, hub, &id(number)),
        2 => {
            world.register(leaving(number));
            checks.store_accepted(world, &id(number));
        }
        _ => {
            world.deregister(&id(number));
            checks.store_accepted(world, &id(number));
        }
    }
}

/// Random time to the next step: none, short or long.
fn gap(u: &mut Unstructured<'_>) -> arbitrary::Result<Duration> {
    let most = *u.choose(&[0, 40, 40, 400, 400, 3_000])?;
    u.int_in_range(0..=most).map(Duration::from_millis)
}

/// Plays one random scenario. Returns the violations found and the steps played.
fn play(
    u: &mut Unstructured<'_>,
    sizes: &[usize],
    silenced: Option<Mute>,
) -> arbitrary::Result<(Vec<String>, Vec<String>)> {
    let vms = *u.choose(sizes)?;
    let (mut world, mut checks) = (world(vms, u.arbitrary()?), checks(vms));
    world.silenced_departures = silenced;
    let mut steps = vec![format!("{vms} entry VMs")];
    let mut gone = [false; ENGINES];
    for _ in 0..u.int_in_range(2..=9)? {
        let at = u.int_in_range(0..=vms - 1)?;
        let step = match u.int_in_range(0..=6)? {
            0 => {
                world.heal();
                "heal".to_owned()
            }
            1..=3 => {
                let number = u.int_in_range(0..=ENGINES - 1)?;
                let kind = u.int_in_range(0..=3)?;
                // A removed engine announces nothing more.
                if gone[number] {
                    continue;
                }
                gone[number] = kind == 3;
                depart(&mut world, &mut checks, kind, at, number);
                format!("g{number} leaves, kind {kind}, vm {at}, hub {:?}", world.leader())
            }
            4 => {
                let back = Duration::from_millis(u.int_in_range(0..=6_000)?);
                world.restore_store(back);
                checks.store_restored(&world);
                format!("the store is restored from {back:?} before")
            }
            _ => {
                let (kind, hub) = (u.int_in_range(0..=12)?, world.leader());
                disturb(&mut world, kind, at);
                format!("disturbance {kind}, vm {at}, hub {hub:?}")
            }
        };
        steps.push(format!("{:?}: {step}", world.now));
        checks.advance(&mut world, gap(u)?);
    }
    checks.advance(&mut world, bounds(vms).0 + millis(500));
    world.heal();
    checks.advance(&mut world, bounds(vms).1 * 2 + Duration::from_secs(2));
    Ok((checks.faults, steps))
}

fn check_scenario(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let (faults, steps) = play(u, &[9, 9, 9, 20, 65], None)?;
    assert!(faults.is_empty(), "{:#?} after {steps:#?}", &faults[..faults.len().min(5)]);
    Ok(())
}

/// All learn of departures from any source in any order, with lost hubs, partitions, suspensions, restarts and a store that rejects some of the
/// entry VMs.
#[test]
fn all_learn_of_departures() {
    arbtest(check_scenario).budget_ms(world::budget_ms(6_000));
}

/// Plays the scenario of a fixed seed.
fn scenario(seed: u64, sizes: &[usize], silenced: Option<Mute>) -> (Vec<String>, Vec<String>) {
    let mut bytes = vec![0; 4_096];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    play(&mut Unstructured::new(&bytes), sizes, silenced).expect("bytes enough")
}

/// The same with hundreds of entry VMs and with about a thousand.
#[test]
fn hundreds_learn_of_departures() {
    let scenarios = (0..6).map(|seed| (seed, 300)).chain([(0, 984)]);
    for (seed, vms) in scenarios {
        let (faults, steps) = scenario(seed, &[vms], None);
        assert!(faults.is_empty(), "{:#?} after {steps:#?}", &faults[..faults.len().min(5)]);
    }
}

/// Checks the test itself: it has to find violations if no frame reports departures to the hub, if the hub notifies nobody, or if its replies to
/// frames omit departures.
#[test]
fn detects_omitted_departures() {
    for silenced in [Mute::Frames, Mute::Hub, Mute::Replies] {
        let detected = (0..200).any(|seed| !scenario(seed, &[9, 20], Some(silenced)).0.is_empty());
        assert!(detected, "{silenced:?}");
    }
}

/// Checks that pushes are necessary: with a thousand entry VMs, replies to frames alone are too late.
#[test]
fn pushes_are_needed() {
    let vms = 984;
    let (mut world, mut checks) = (world(vms, 1), checks(vms));
    world.silenced_departures = Some(Mute::Pushes);
    world.register(leaving(0));
    checks.store_accepted(&world, "g0");
    checks.advance(&mut world, bounds(vms).0 + millis(200));
    assert!(!checks.faults.is_empty());
}

/// Guards against using a leaving engine again: after three restores of the store within 25 ms and an outage for all, a hub that had only
/// reached its lease again passed on its old view of the engines.
#[test]
fn restores_in_a_row() {
    arbtest(check_scenario).seed(0x246d_3ba8_0000_0078);
}
