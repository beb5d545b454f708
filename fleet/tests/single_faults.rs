//! An engine leaves while one message is lost on any channel, or one entry VM stalls and resumes. No entry VM may
//! send the engine a request later than the bound that operators set.

mod node;
mod world;

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_fleet::bound::Bound;
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, entry, millis, plain, row};
use world::losses::{Channel, Loss};
use world::{Backends, World, ZONES};

const ENGINES: usize = 9;
/// Time between two requests, over all callers.
const EVERY: Duration = Duration::from_millis(10);

/// The bound set by operators for a number of entry VMs.
fn bound(vms: usize) -> Bound {
    Bound(Duration::from_secs(match vms {
        ..30 => 2,
        30..150 => 3,
        150..600 => 4,
        _ => 5,
    }))
}

fn id(number: usize) -> String {
    format!("g{number}")
}

fn gateway(number: usize) -> Entry {
    entry(&id(number), GATEWAY, ZONES[number % ZONES.len()], &[])
}

/// A fleet in which all entry VMs know the engines and have sent their first frames.
fn world(vms: usize, seed: u64) -> World {
    let rows: Vec<Row> = (0..ENGINES).map(|number| row(number as u64 + 1, gateway(number))).collect();
    let settings = Settings { departure_bound: bound(vms), config_bound: bound(vms), ..Settings::default() };
    let mut world = World::new(vms, node::config(1), &rows, settings, seed);
    world.long_polls = true;
    world.backends = Some(Backends::new(&rows));
    world.advance(bound(vms).0 * 3);
    world
}

/// Advances the clock while callers send requests.
fn pass(world: &mut World, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        let vm = world.rng.usize(0..world.len());
        world.arrive(vm, &"".into(), 0.0, plain("/list/1"));
        world.advance(EVERY);
    }
}

/// The fault that occurs while an engine leaves.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Loss(Loss),
    /// An entry VM is stalled from `before` the departure until `after` it.
    Stall {
        vm: usize,
        before: Duration,
        after: Duration,
    },
}

/// Lets an engine leave with one fault. Returns the violations of the bound.
fn depart(world: &mut World, number: usize, fault: Fault, offset: Duration) -> Vec<String> {
    let bound = bound(world.len());
    let engine = id(number);
    if let Fault::Loss(loss) = fault {
        world.loss = Some(loss);
    }
    pass(world, offset);
    if let Fault::Stall { vm, before, .. } = fault {
        world.suspend(vm, true);
        pass(world, before);
    }
    world.register(Entry { leaving: true, ..gateway(number) });
    let departed_at = world.now;
    let mut stalled = None;
    if let Fault::Stall { vm, after, .. } = fault {
        pass(world, after);
        world.suspend(vm, false);
        stalled = Some(vm);
    }
    pass(world, (departed_at + bound.0).since(world.now));
    // For an entry VM that stalled only the requests that it sends count.
    let violates = |vm: &usize| Some(*vm) != stalled && world.would_send_to(*vm, &engine);
    let violations =
        (0..world.len()).filter(violates).map(|vm| format!("vm {vm} would still send to {engine}"));
    let mut faults: Vec<String> = violations.collect();
    pass(world, Duration::from_secs(2));
    let late = world.senders(&engine, departed_at + bound.0, world.now);
    faults.extend(
        late.iter().map(|(vm, at)| format!("vm {vm} sent to {engine} after {:?}", at.since(departed_at))),
    );
    world.loss = None;
    // The next departure starts without any fault.
    world.register(gateway(number));
    pass(world, bound.0 * 2);
    faults
}

fn fault(u: &mut Unstructured<'_>, world: &World) -> arbitrary::Result<Fault> {
    let any = u.int_in_range(0..=world.len() - 1)?;
    let vm = if u.arbitrary()? { world.leader().unwrap_or(any) } else { any };
    if u.ratio(2, 3)? {
        return Ok(Fault::Loss(Loss { channel: *u.choose(&Channel::ALL)?, vm }));
    }
    let before = Duration::from_millis(u.int_in_range(0..=400)?);
    let after = Duration::from_millis(u.int_in_range(0..=4_000)?);
    Ok(Fault::Stall { vm, before, after })
}

/// Faults injected into the code.
#[derive(Clone, Copy, Debug, Default)]
struct Injected {
    /// Additional time for which an overdue response is waited for.
    long_poll_patience: Duration,
    /// Old data is used after a stall.
    trusts_stale_state: bool,
}

/// Runs some departures with one fault each. Returns the violations.
fn run(u: &mut Unstructured<'_>, sizes: &[usize], injected: Injected) -> arbitrary::Result<Vec<String>> {
    let vms = *u.choose(sizes)?;
    let mut world = world(vms, u.arbitrary()?);
    world.long_poll_patience = injected.long_poll_patience;
    world.trusts_stale_state = injected.trusts_stale_state;
    let mut faults = Vec::new();
    for _ in 0..u.int_in_range(1..=4)? {
        let (number, fault) = (u.int_in_range(0..=ENGINES - 1)?, fault(u, &world)?);
        let offset = Duration::from_millis(u.int_in_range(0..=600)?);
        let leader = world.leader();
        let late = depart(&mut world, number, fault, offset);
        let reported = late.iter().take(3);
        faults
            .extend(reported.map(|late| format!("{late}; leader {leader:?}, {fault:?}, offset {offset:?}")));
    }
    Ok(faults)
}

fn run_seed(seed: u64, sizes: &[usize], injected: Injected) -> Vec<String> {
    let mut bytes = vec![0; 1_024];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    run(&mut Unstructured::new(&bytes), sizes, injected).expect("enough bytes")
}

/// Guards against a wait on the path of a departure that exceeds the operators' bound when its message is lost.
#[test]
fn any_single_fault() {
    arbtest(|u| {
        let faults = run(u, &[6, 6, 9, 20], Injected::default())?;
        assert!(faults.is_empty(), "{faults:#?}");
        Ok(())
    })
    .budget_ms(world::budget_ms(10_000));
}

/// The same with hundreds of entry VMs, and with a thousand.
#[test]
fn any_single_fault_in_large_fleets() {
    let runs = [(0, 65), (1, 65), (2, 65), (3, 300), (4, 300), (5, 984)];
    for (seed, vms) in runs {
        let faults = run_seed(seed, &[vms], Injected::default());
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

/// Guards against a departure whose push is lost to an entry VM that has just sent a frame. With a thousand entry
/// VMs, its next frame, whose reply would replace the push, comes after the bound.
#[test]
fn lost_push() {
    for vms in [9, 65, 300, 984] {
        let mut world = world(vms, 7);
        for number in 0..6 {
            let fault = Fault::Loss(Loss { channel: Channel::Push, vm: world.last_frame_from });
            let late = depart(&mut world, number, fault, Duration::ZERO);
            assert!(late.is_empty(), "{vms} entry VMs, {fault:?}: {late:#?}");
        }
        assert_eq!(world.lost, 6, "{vms} entry VMs");
    }
}

/// Checks that the test detects two injected faults: an overdue response that is waited for as long as formerly, and
/// old data that is used after a stall.
#[test]
fn injected_faults_are_detected() {
    let long_poll_patience = Injected { long_poll_patience: millis(2_200), ..Injected::default() };
    let trusts_stale_state = Injected { trusts_stale_state: true, ..Injected::default() };
    for injected in [long_poll_patience, trusts_stale_state] {
        assert!((0..60).any(|seed| !run_seed(seed, &[6, 9], injected).is_empty()), "{injected:?}");
    }
}

/// Measures the calls to the store that the short waits cost. Without faults only the hub calls the store, as
/// often as the bound requires, whatever the number of entry VMs. If the store rejects the hub, a limited number
/// of entry VMs calls it.
#[test]
fn store_call_rate() {
    for vms in [6, 300, 984] {
        let mut world = world(vms, 5);
        let seconds = 10;
        let count = |world: &mut World| {
            let before = world.calls;
            world.advance(Duration::from_secs(seconds));
            (world.calls - before) as f64 / seconds as f64
        };
        let calm = count(&mut world);
        let leader = world.leader().expect("a leader");
        world.set_store_access(leader, false);
        world.advance(Duration::from_secs(3));
        let rejected = count(&mut world);
        println!(
            "{vms} entry VMs: {calm:.1} calls per second, {rejected:.1} if the store rejects the leader"
        );
        assert!(calm <= 2.0 / bound(vms).long_poll_timeout().as_secs_f64(), "{vms} entry VMs: {calm}");
        // Nine entry VMs read each of two tables for all, and the hub retries.
        assert!(rejected <= 9.0 * 2.0 / 0.5 + 20.0, "{vms} entry VMs: {rejected}");
    }
}
