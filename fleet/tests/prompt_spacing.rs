//! Prompts are spaced at engines by schedules that entry VMs own, so that no engine reads many prompts at once.

mod node;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;
use boragecove_fleet::config::Route;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Reply;
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::members::Member;
use boragecove_fleet::request::{Attempt, Id, Step};
use boragecove_fleet::schedule::{Cost, Grant, ReservationRequest, Schedule};
use node::{Node, WRITER, address, entry, hub_row, listing, millis, removed, row, short_stream};

/// A load of prompts at the engines of a popular model.
#[derive(Clone, Copy)]
struct Load {
    engines: usize,
    /// Prompts a second at one engine.
    rate: f64,
    /// Time to read a prompt.
    read: Duration,
    /// The longest pause that operators allow.
    window: Duration,
    /// Time to make an event.
    event: Duration,
}

impl Load {
    fn prompt_cost(self) -> Cost {
        let route = Route { pause: self.window, target: millis(500), ..Route::default() };
        Cost::new(self.read, self.event, &route)
    }
}

/// Engines that read 40 tokens per ms and spend two fifths of the time on reading; events of six tokens.
const FAST: Load = Load {
    engines: 5,
    rate: 22.0,
    read: Duration::from_millis(18),
    window: Duration::from_millis(150),
    event: Duration::from_millis(32),
};
/// Engines that read 22 tokens per ms and spend three fifths of the time on reading; events of three tokens.
const SLOW: Load = Load {
    engines: 4,
    rate: 12.0,
    read: Duration::from_millis(50),
    window: Duration::from_millis(300),
    event: Duration::from_millis(28),
};

/// Results of one simulated minute of a load.
struct Outcomes {
    /// Share of prompts in whose window the engine reads for longer than allowed.
    crowded: f64,
    /// Share of prompts in whose window the engine reads for over two thirds of it.
    busy: f64,
    /// Mean time that a prompt waits.
    wait: Duration,
}

fn simulate_minute(load: Load, spaced: bool) -> Outcomes {
    let mut rng = fastrand::Rng::with_seed(11);
    let start = Time::from_millis(1_000_000);
    let mut schedules = vec![Schedule::default(); load.engines];
    let mut at_engines = vec![Vec::new(); load.engines];
    let (mut now, mut waited, mut count) = (start, Duration::ZERO, 0);
    while now.since(start) < Duration::from_mins(1) {
        now = now + Duration::from_secs_f64(-rng.f64().max(1e-9).ln() / (load.rate * load.engines as f64));
        let engine = if spaced {
            (0..load.engines).min_by_key(|engine| schedules[*engine].wait(now)).expect("engines")
        } else {
            rng.usize(0..load.engines)
        };
        let wait = if spaced { schedules[engine].reserve(now, load.prompt_cost()) } else { Duration::ZERO };
        at_engines[engine].push(now + wait);
        waited += wait;
        count += 1;
    }
    let (mut crowded, mut busy) = (0, 0);
    for times in &at_engines {
        for at in times {
            let in_window =
                times.iter().filter(|other| **other >= *at && other.since(*at) < load.window).count();
            let reading = load.read * in_window as u32;
            crowded += usize::from(reading + load.event > load.window);
            busy += usize::from(reading * 3 > load.window * 2);
        }
    }
    let share = |prompts: usize| f64::from(prompts as u32) / f64::from(count);
    Outcomes { crowded: share(crowded), busy: share(busy), wait: waited / count }
}

/// The load of the heaviest days, with and without schedules. Also by a stricter measure, 100 ms of reading within 150 ms,
/// schedules leave less than a third of the crowded windows.
#[test]
fn spacing_reduces_crowding() {
    let (without, with) = (simulate_minute(FAST, false), simulate_minute(FAST, true));
    assert!(with.busy < without.busy / 3.0, "{:.3} of {:.3}", with.busy, without.busy);
    for load in [FAST, SLOW] {
        let (without, with) = (simulate_minute(load, false), simulate_minute(load, true));
        assert!(without.crowded > 0.10, "the load is too low to show the effect: {:.3}", without.crowded);
        assert!(with.crowded < without.crowded / 10.0, "{:.3} of {:.3}", with.crowded, without.crowded);
        assert!(with.wait < millis(40), "{:?} on average", with.wait);
    }
}

/// Under overload, prompts follow each other as fast as they are read.
#[test]
fn overload_removes_spacing() {
    let now = Time::from_millis(1_000_000);
    let mut schedule = Schedule::default();
    for _ in 0..40 {
        schedule.reserve(now, SLOW.prompt_cost());
    }
    let before = schedule.wait(now);
    schedule.reserve(now, SLOW.prompt_cost());
    assert_eq!(schedule.wait(now).saturating_sub(before), SLOW.read);
}

/// An entry VM as a member of the deployment.
fn member(vm: &str, zone: &str, port: u16) -> Member {
    Member { vm: vm.into(), zone: zone.into(), address: address(port), weak: false }
}

/// A process that has got these members from the hub.
fn node_with_members(members: Vec<Member>) -> Node {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let reply = Reply {
        leads: true,
        nodes: 3,
        engines_revision: 4.into(),
        members: Some(members),
        ..Reply::default()
    };
    node.feed(Event::Replied(Some(Box::new(reply))));
    node
}

fn reservation_request(node: &Node) -> Option<(u16, Id, ReservationRequest)> {
    node.effects.iter().find_map(|effect| match effect {
        Effect::Reserve { address, request, ask } => Some((address.port(), *request, ask.clone())),
        _ => None,
    })
}

fn attempt_of(node: &Node, id: Id) -> Attempt {
    match node.step(id) {
        Some(Step::Send(attempt)) => attempt,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn schedule_owner_is_asked() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002), member("c", "zone-b", 7_003)]);
    let id = node.arrive(short_stream("m1"));
    assert_eq!(node.step(id), None, "it has no reservation yet");
    let (port, request, ask) = reservation_request(&node).expect("w1 is in zone-a, where b is the only one");
    assert_eq!((port, request, &*ask.engine), (7_002, id, "w1"));
    node.feed(Event::Granted { request: id, grant: Some(Grant::After(millis(40))) });
    let attempt = attempt_of(&node, id);
    assert_eq!((&*attempt.engine, attempt.at), ("w1", node.now + millis(40)));
}

#[test]
fn silent_owner_blocks_nothing() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002)]);
    let id = node.arrive(short_stream("m1"));
    node.feed(Event::Granted { request: id, grant: None });
    assert_eq!(attempt_of(&node, id).at, node.now, "the local schedule is empty");
    let next = node.arrive(short_stream("m1"));
    assert!(attempt_of(&node, next).at > node.now, "the local schedule is used");
    node.advance(millis(450));
    node.feed(Event::EngineActive("w1".into()));
    node.advance(millis(450));
    node.feed(Event::EngineActive("w1".into()));
    node.advance(millis(200));
    node.arrive(short_stream("m1"));
    assert!(reservation_request(&node).is_some(), "after a while the owner is asked again");
}

/// If the schedule of an engine is full, the request goes to the next best engine.
#[test]
fn full_schedule_is_skipped() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002), member("c", "zone-b", 7_003)]);
    let id = node.arrive(short_stream("m0"));
    assert_eq!(reservation_request(&node).expect("asks").0, 7_002);
    node.feed(Event::Granted { request: id, grant: Some(Grant::Busy(millis(400))) });
    let (port, _, ask) = reservation_request(&node).expect("asks for the next engine");
    assert_eq!((port, &*ask.engine), (7_003, "w2"));
    node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
    assert_eq!(*attempt_of(&node, id).engine, *"w2");
}

/// A request that no schedule can take in time is refused at once as not run, with the time that it would have waited.
#[test]
fn no_reservation_in_time() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002)]);
    let id = node.arrive(short_stream("m1"));
    node.feed(Event::Granted { request: id, grant: Some(Grant::Busy(Duration::from_secs(5))) });
    node.feed(Event::Granted { request: id, grant: Some(Grant::Busy(Duration::from_secs(5))) });
    let Some(Step::Refuse(refusal)) = node.step(id) else { panic!("not refused: {:?}", node.effects) };
    assert_eq!(refusal.code, Code::DeadlineUnreachable);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(5)));
}

/// Reservations are at most one second away, however long the caller waits: an engine that leaves must get nothing new after two
/// seconds.
#[test]
fn reservations_are_near() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002), member("c", "zone-b", 7_003)]);
    let id = node.arrive(short_stream("m0"));
    assert!(reservation_request(&node).expect("asks").2.wait_max <= Duration::from_secs(1));
    node.feed(Event::Granted { request: id, grant: Some(Grant::Busy(Duration::from_secs(3))) });
    assert!(
        reservation_request(&node).expect("asks for the next engine").2.wait_max <= Duration::from_secs(1)
    );
}

/// An engine that is removed while a reservation is requested gets nothing.
#[test]
fn reservation_at_a_removed_engine() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002), member("c", "zone-b", 7_003)]);
    let id = node.arrive(short_stream("m0"));
    assert_eq!(&*reservation_request(&node).expect("asks").2.engine, "w1");
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
    assert_eq!(&*reservation_request(&node).expect("asks for another engine").2.engine, "w2");
}

/// A caller that disconnects while a reservation is requested leaves no state behind.
#[test]
fn caller_disconnects_while_reserving() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002)]);
    let id = node.arrive(short_stream("m1"));
    node.feed(Event::CallerGone(id));
    node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
    assert_eq!(node.step(id), None);
    assert_eq!(node.state.open(), 0);
    assert!(node.state.engines().all(|engine| engine.load().open == 0));
}

#[test]
fn reservations_are_granted() {
    let mut owner = Node::ready("a");
    let prompt_cost = Cost { prefill: millis(35), spacing: millis(50), target: millis(500) };
    let ask = ReservationRequest {
        engine: "w1".into(),
        cost: prompt_cost,
        wait_max: millis(60),
        ..ReservationRequest::default()
    };
    let mut grant = || boragecove_fleet::grant(&mut owner.state, owner.now, &ask);
    assert_eq!(grant(), Grant::After(Duration::ZERO));
    assert_eq!(grant(), Grant::After(millis(50)));
    assert_eq!(grant(), Grant::Busy(millis(100)), "the wait would be too long");
    assert_eq!(grant(), Grant::Busy(millis(100)), "the denied request has reserved nothing");
    let unknown = ReservationRequest { engine: "new".into(), ..ask.clone() };
    assert_eq!(boragecove_fleet::grant(&mut owner.state, owner.now, &unknown), Grant::After(Duration::ZERO));
}

/// All entry VMs find the same owners, and removing one only changes the owners of what it owned.
#[test]
fn members_agree_on_owners() {
    use boragecove_fleet::members::Members;
    let list: Vec<Member> = (0..9).map(|number| member(&format!("vm-{number}"), "zone-a", 7_000)).collect();
    let (mut all, mut without_first) = (Members::default(), Members::default());
    all.replace(Time::default(), list.clone());
    without_first.replace(Time::default(), list[1..].to_vec());
    assert_ne!(all.version(), without_first.version());
    let mut shares = [0_u32; 9];
    for number in 0..900 {
        let engine = format!("i-{number:04}").as_str().into();
        let zone = "zone-a".into();
        let owner = all.owner(&engine, &zone, Time::default()).expect("there are some").vm.clone();
        let number: usize = owner[3..].parse().expect("a number");
        shares[number] += 1;
        if number > 0 {
            assert_eq!(
                without_first.owner(&engine, &zone, Time::default()).expect("there are some").vm,
                owner
            );
        }
    }
    assert!(shares.iter().all(|count| (60..140).contains(count)), "{shares:?}");
}

/// An engine that has just been registered is used at once, even if the owner of its schedule does not know it yet.
#[test]
fn new_engine_is_used() {
    let mut node = node_with_members(vec![member("b", "zone-a", 7_002)]);
    node.feed(listing(vec![row(9, entry("w9", WRITER, "zone-a", &["m3"]))], 9, false));
    let id = node.arrive(short_stream("m3"));
    node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
    assert_eq!(*attempt_of(&node, id).engine, *"w9");
}
