//! By whatever roads and in whatever order the word comes that an engine leaves, all entry VMs know it in time: from the engine itself in an
//! answer, by its row, by a push, in a frame or in an answer to one, or by a reading of the whole table; also while leaders are
//! lost, zones are cut off, and the store turns some away.

mod node;
mod world;

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_fleet::departure::{Audience, Road};
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, entry, millis, row};
use world::departures::{Departures, Mute};
use world::{World, ZONES};

const ENGINES: usize = 9;
const ALL_SIZES: [usize; 4] = [9, 65, 300, 984];

/// What operators allow at a size: how long after the store took its word an engine that leaves may still be sent to, and how long nothing
/// must have been done to an entry VM for that to hold.
fn bounds(vms: usize) -> (Duration, Duration) {
    let drain = match vms {
        ..30 => 2,
        30..150 => 3,
        150..600 => 4,
        _ => 5,
    };
    (Duration::from_secs(drain), Duration::from_secs(drain + 1))
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

/// Entry VMs that all know the engines, and have sent their first frames.
fn world(vms: usize, seed: u64) -> World {
    let rows: Vec<Row> = (0..ENGINES).map(|number| row(number as u64 + 1, gateway(number))).collect();
    let mut world = World::new(vms, node::config(1), &rows, Settings::default(), seed);
    world.paced = true;
    let (_, contact) = bounds(vms);
    world.pass(contact * 3);
    assert_eq!(world.believers("g0"), vms);
    world
}

fn watch(vms: usize) -> Departures {
    let (drain, contact) = bounds(vms);
    Departures::new((0..ENGINES).map(id), drain, contact)
}

fn leader(world: &World) -> usize {
    world.leader().expect("there is one")
}

/// An entry VM that is neither the leader nor one that reads the store.
fn other(world: &World) -> usize {
    let leader = leader(world);
    let reads = |at: usize| world.state(leader).members().is_reader(&format!("vm-{at}").as_str().into());
    let others = (0..world.len()).filter(|at| *at != leader);
    others.clone().find(|at| !reads(*at)).or_else(|| others.clone().next()).expect("there are others")
}

fn assert_kept(vms: usize, watch: &Departures) {
    let faults = &watch.faults;
    assert!(faults.is_empty(), "{vms} entry VMs: {:#?}", &faults[..faults.len().min(3)]);
}

/// The row alone, the leader in touch.
#[test]
fn row_alone() {
    for vms in ALL_SIZES {
        let (mut world, mut watch) = (world(vms, 1), watch(vms));
        world.register(leaving(0));
        watch.take(&world, "g0");
        watch.pass(&mut world, bounds(vms).0 + millis(500));
        assert_kept(vms, &watch);
    }
}

/// The engine says it in an answer to the leader, half a second before its row does: the row has no news for the leader, and all for the others.
#[test]
fn leader_heard_first() {
    for vms in ALL_SIZES {
        let (mut world, mut watch) = (world(vms, 2), watch(vms));
        let leader = leader(&world);
        watch.leaves("g0");
        world.hear_leaving(leader, "g0");
        watch.pass(&mut world, millis(500));
        world.register(leaving(0));
        watch.take(&world, "g0");
        watch.pass(&mut world, bounds(vms).0 + millis(500));
        assert_kept(vms, &watch);
    }
}

/// The same in an answer to another entry VM, of which the leader hears by its frame.
#[test]
fn another_heard_first() {
    for vms in ALL_SIZES {
        let (mut world, mut watch) = (world(vms, 3), watch(vms));
        let other = other(&world);
        watch.leaves("g0");
        world.hear_leaving(other, "g0");
        watch.pass(&mut world, bounds(vms).1);
        world.register(leaving(0));
        watch.take(&world, "g0");
        watch.pass(&mut world, bounds(vms).0 + millis(500));
        assert_kept(vms, &watch);
    }
}

/// Its word alone, which never comes to the store: all hear of it from the one that heard it.
#[test]
fn word_alone() {
    for vms in ALL_SIZES {
        let (mut world, mut watch) = (world(vms, 4), watch(vms));
        let other = other(&world);
        watch.hear(&mut world, other, "g0");
        watch.pass(&mut world, bounds(vms).0 + millis(500));
        assert_kept(vms, &watch);
    }
}

/// The store turns the leader away: those that read it for all tell the leader, which tells the others.
#[test]
fn leader_turned_away() {
    for vms in ALL_SIZES {
        let (mut world, mut watch) = (world(vms, 5), watch(vms));
        let leader = leader(&world);
        world.serve(leader, false);
        watch.pass(&mut world, millis(1_300));
        world.register(leaving(0));
        watch.take(&world, "g0");
        watch.pass(&mut world, millis(300));
        world.serve(leader, true);
        watch.pass(&mut world, bounds(vms).0 + millis(200));
        assert_kept(vms, &watch);
    }
}

/// The store comes back from a copy in which the engine does not leave yet, and an entry VM starts anew by that copy before the engine says it
/// once more.
#[test]
fn started_by_the_copy() {
    for vms in [9, 65] {
        let (mut world, mut watch) = (world(vms, 8), watch(vms));
        world.register(leaving(0));
        watch.take(&world, "g0");
        watch.pass(&mut world, Duration::from_secs(3));
        world.drill(Duration::from_secs(4));
        watch.drilled(&world);
        let other = other(&world);
        world.restart(other);
        watch.pass(&mut world, bounds(vms).0 + bounds(vms).1 + millis(500));
        assert_kept(vms, &watch);
    }
}

/// An engine is removed in the moments after a drill, so that all wait for it to come back, and a second drill brings its entry back. Seen on a
/// random day: the leader, which waited for it, told nobody that it was removed again, and the others came to believe in its entry.
#[test]
fn removed_while_waited_for() {
    for seed in 0..12 {
        let (mut world, mut watch) = (world(9, seed), watch(9));
        world.drill(Duration::from_secs(3));
        watch.pass(&mut world, millis(1_100));
        world.deregister("g4");
        watch.take(&world, "g4");
        watch.pass(&mut world, millis(35));
        world.drill(millis(1_200));
        watch.drilled(&world);
        watch.pass(&mut world, Duration::from_secs(10));
        assert_kept(9, &watch);
    }
}

/// The leader is lost, or stands still, some moments before or after the store takes the row, while entry VMs of each zone read the store for
/// a leader that it turned away until then.
#[test]
fn leader_lost_beside_it() {
    for vms in [9, 65, 300] {
        for (case, after_ms) in [0, 5, 15, 30, 100, 400].into_iter().enumerate() {
            for turned_away in [false, true] {
                let (mut world, mut watch) = (world(vms, 6 + case as u64), watch(vms));
                let leader = leader(&world);
                if turned_away {
                    world.serve(leader, false);
                    watch.pass(&mut world, millis(1_300));
                }
                if case % 2 == 0 {
                    world.register(leaving(0));
                    watch.take(&world, "g0");
                }
                watch.pass(&mut world, millis(after_ms));
                if turned_away {
                    world.suspend(leader, true);
                } else {
                    world.kill(leader);
                }
                watch.pass(&mut world, millis(after_ms));
                if case % 2 == 1 {
                    world.register(leaving(0));
                    watch.take(&world, "g0");
                }
                watch.pass(&mut world, bounds(vms).0 + millis(200));
                assert_kept(vms, &watch);
            }
        }
    }
}

/// Logs and metrics tell by which road each entry VM knew first, and whom the leader told.
#[test]
fn road_is_counted() {
    let (mut world, mut watch) = (world(9, 9), watch(9));
    let (leader, other) = (leader(&world), other(&world));
    world.register(leaving(0));
    watch.pass(&mut world, millis(500));
    world.hear_leaving(other, "g1");
    let known = |at: usize, road: Road| world.state(at).departures_known().get(&road).copied();
    assert_eq!((known(leader, Road::Table), known(leader, Road::Push)), (Some(1), None));
    assert_eq!((known(other, Road::Push), known(other, Road::Answer)), (Some(1), Some(1)));
    assert_eq!(world.state(leader).departures_told().get(&Audience::All), Some(&1));
}

/// The leader is lost as it tells the others: some have heard of it, also of those that read the store for their zone.
#[test]
fn leader_lost_amid_pushes() {
    for vms in [9, 65, 300] {
        for seed in 0..2 {
            let (mut world, mut watch) = (world(vms, 20 + seed), watch(vms));
            let leader = leader(&world);
            world.pushes_lost = 0.7;
            world.register(leaving(0));
            watch.take(&world, "g0");
            watch.pass(&mut world, millis(12));
            world.kill(leader);
            world.pushes_lost = 0.0;
            watch.pass(&mut world, bounds(vms).0 + millis(200));
            assert_kept(vms, &watch);
        }
    }
}

fn disturb(world: &mut World, kind: u8, at: usize) {
    match kind {
        0..=8 => world.disturb(kind, at),
        9 => (0..world.len()).filter(|vm| vm % 3 == at % 3).for_each(|vm| world.serve(vm, false)),
        10 => (0..world.len()).for_each(|vm| world.serve(vm, false)),
        11 => world.reread(at),
        _ => (0..world.len()).for_each(|vm| world.reread(vm)),
    }
}

/// A word of an engine that leaves, by one road.
fn say(world: &mut World, watch: &mut Departures, kind: u8, vm: usize, number: usize) {
    let leader = world.leader().unwrap_or(vm);
    match kind {
        0 => watch.hear(world, vm, &id(number)),
        1 => watch.hear(world, leader, &id(number)),
        2 => {
            world.register(leaving(number));
            watch.take(world, &id(number));
        }
        _ => {
            world.deregister(&id(number));
            watch.take(world, &id(number));
        }
    }
}

/// Time to the next step: together with the one before, soon after it, or later.
fn gap(u: &mut Unstructured<'_>) -> arbitrary::Result<Duration> {
    let most = *u.choose(&[0, 40, 40, 400, 400, 3_000])?;
    u.int_in_range(0..=most).map(Duration::from_millis)
}

/// Plays one day. Returns what was wrong, with what had been done until then.
fn play(
    u: &mut Unstructured<'_>,
    sizes: &[usize],
    mute: Option<Mute>,
) -> arbitrary::Result<(Vec<String>, Vec<String>)> {
    let vms = *u.choose(sizes)?;
    let (mut world, mut watch) = (world(vms, u.arbitrary()?), watch(vms));
    world.mute = mute;
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
                // Whoever is gone says nothing more.
                if gone[number] {
                    continue;
                }
                gone[number] = kind == 3;
                say(&mut world, &mut watch, kind, at, number);
                format!("word of g{number} by road {kind}, vm {at}, leader {:?}", world.leader())
            }
            4 => {
                let back = Duration::from_millis(u.int_in_range(0..=6_000)?);
                world.drill(back);
                watch.drilled(&world);
                format!("the store comes back from {back:?} before")
            }
            _ => {
                let (kind, leader) = (u.int_in_range(0..=12)?, world.leader());
                disturb(&mut world, kind, at);
                format!("disturbance {kind}, vm {at}, leader {leader:?}")
            }
        };
        steps.push(format!("{:?}: {step}", world.now));
        watch.pass(&mut world, gap(u)?);
    }
    watch.pass(&mut world, bounds(vms).0 + millis(500));
    world.heal();
    watch.pass(&mut world, bounds(vms).1 * 2 + Duration::from_secs(2));
    Ok((watch.faults, steps))
}

fn check_day(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let (faults, steps) = play(u, &[9, 9, 9, 20, 65], None)?;
    assert!(faults.is_empty(), "{:#?} after {steps:#?}", &faults[..faults.len().min(5)]);
    Ok(())
}

/// Whatever the order and the road of the words, with lost leaders, cuts, suspensions, restarts and a store that turns some away.
#[test]
fn all_hear() {
    arbtest(check_day).budget_ms(world::budget_ms(6_000));
}

/// Days of the same kind, always the same ones.
fn day(seed: u64, sizes: &[usize], mute: Option<Mute>) -> (Vec<String>, Vec<String>) {
    let mut bytes = vec![0; 4_096];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    play(&mut Unstructured::new(&bytes), sizes, mute).expect("bytes enough")
}

/// The same for hundreds of entry VMs, and for a thousand.
#[test]
fn hundreds_hear() {
    let days = (0..6).map(|seed| (seed, 300)).chain([(0, 984)]);
    for (seed, vms) in days {
        let (faults, steps) = day(seed, &[vms], None);
        assert!(faults.is_empty(), "{:#?} after {steps:#?}", &faults[..faults.len().min(5)]);
    }
}

/// Broken copies in which nobody tells the leader, the leader tells nobody, or its answers to frames leave it out: the check has to find each.
#[test]
fn check_bites() {
    for mute in [Mute::Frames, Mute::Hub, Mute::Replies] {
        let bites = (0..200).any(|seed| !day(seed, &[9, 20], Some(mute)).0.is_empty());
        assert!(bites, "{mute:?}");
    }
}

/// A broken copy that leaves it out of pushes: answers to frames alone come too late for a thousand entry VMs.
#[test]
fn pushes_are_needed() {
    let vms = 984;
    let (mut world, mut watch) = (world(vms, 1), watch(vms));
    world.mute = Some(Mute::Pushes);
    world.register(leaving(0));
    watch.take(&world, "g0");
    watch.pass(&mut world, bounds(vms).0 + millis(200));
    assert!(!watch.faults.is_empty());
}

/// Guards against an engine that left being believed in again: three returns of the store in 25 ms, then an outage for all, after which a leader that
/// had only its lease answered told what it knew from before.
#[test]
fn copies_in_a_row() {
    arbtest(check_day).seed(0x246d_3ba8_0000_0078);
}
