//! Requests that one entry VM relays to engines for another: reasons for refusal, evidence that counts, and
//! the return to the direct path.

mod node;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation, Port};
use boragecove_fleet::event::Event;
use boragecove_fleet::members::Member;
use boragecove_fleet::path::{Denial, Relay};
use boragecove_fleet::request::{Attempt, End, Id, Step};
use node::{BUILD, GATEWAY, Node, address, entry, listing, millis, plain, row};

/// Largest number of requests relayed at the same time.
const RELAYING_MAX: usize = 512;

fn g1() -> Name {
    "g1".into()
}

fn relay_request(node: &mut Node) -> Result<(), Denial> {
    boragecove_fleet::relay_request(
        &mut node.state,
        node.now,
        &g1(),
        Incarnation::default(),
        Some(&BUILD.into()),
    )
    .map(|_address| ())
}

fn other() -> Relay {
    Relay { vm: "b".into(), address: address(7_002) }
}

/// An entry VM that knows another one, and only one engine of the plain service.
fn with_second_entry_vm() -> Node {
    let mut node = Node::ready("a");
    node.feed(listing(vec![node::removed(10, "g2")], 10, false));
    let member =
        |vm: &str, port| Member { vm: vm.into(), zone: "zone-a".into(), address: address(port), weak: false };
    node.advance(millis(10));
    node.lease(5, boragecove_fleet::lease::Outcome::Read(Some(node::hub_row())));
    let members = Some(vec![member("a", 7_000), member("b", 7_002)]);
    let reply = boragecove_fleet::frame::Reply { leads: true, members, ..Default::default() };
    node.feed(Event::Replied(Some(Box::new(reply))));
    node
}

/// The entry VM loses the path to the engine while a request arrives, and the other entry VM reaches the
/// engine. Returns the relayed attempt.
fn lose_path(node: &mut Node) -> (Id, Attempt) {
    let (id, attempt) = node.sent(plain("/ack/1"));
    assert_eq!(attempt.relay, None);
    node.ended(id, attempt.number, End::Unsent);
    let asked = |effect: &Effect| matches!(effect, Effect::AskPath { vm, engine, .. } if *vm == other().vm && *engine == g1());
    assert!(node.effects.iter().any(asked), "{:?}", node.effects);
    node.feed(Event::PathSeen { engine: g1(), by: other(), reach: Some(Port::Open) });
    match node.step(id) {
        Some(Step::Send(attempt)) => (id, attempt),
        step => panic!("not relayed: {step:?}"),
    }
}

fn probed(node: &mut Node, reach: Port) {
    node.feed(Event::Probed { engine: g1(), reach });
}

#[test]
fn unknown_or_leaving_engine() {
    let mut node = Node::ready("a");
    assert_eq!(relay_request(&mut node), Ok(()));
    let other_start = Incarnation(Some(7));
    let denied =
        boragecove_fleet::relay_request(&mut node.state, node.now, &g1(), other_start, Some(&BUILD.into()));
    assert_eq!(denied, Err(Denial::Unknown));
    let denied = boragecove_fleet::relay_request(
        &mut node.state,
        node.now,
        &"g9".into(),
        Incarnation::default(),
        Some(&BUILD.into()),
    );
    assert_eq!(denied, Err(Denial::Unknown));
    for build in [None, Some(Name::from("v1.1"))] {
        let denied = boragecove_fleet::relay_request(
            &mut node.state,
            node.now,
            &g1(),
            Incarnation::default(),
            build.as_ref(),
        );
        assert_eq!(denied, Err(Denial::Unknown), "a build other than the one known here: {build:?}");
    }
    let leaving = Entry { leaving: true, ..entry("g1", GATEWAY, "zone-a", &[]) };
    node.feed(listing(vec![row(9, leaving)], 9, false));
    assert_eq!(relay_request(&mut node), Err(Denial::Unknown));
}

#[test]
fn unreachable_from_relay() {
    let mut node = Node::ready("a");
    probed(&mut node, Port::Silent);
    assert_eq!(relay_request(&mut node), Err(Denial::Unreached));
    probed(&mut node, Port::Open);
    assert_eq!(relay_request(&mut node), Ok(()));
}

/// An entry VM that uses a relay for an engine does not relay to it: there is only one hop.
#[test]
fn one_hop() {
    let mut node = with_second_entry_vm();
    lose_path(&mut node);
    assert_eq!(relay_request(&mut node), Err(Denial::Unreached));
}

#[test]
fn too_many() {
    let mut node = Node::ready("a");
    for _ in 0..RELAYING_MAX {
        assert_eq!(relay_request(&mut node), Ok(()));
    }
    assert_eq!(relay_request(&mut node), Err(Denial::Full));
    node.feed(Event::RelayEnded);
    assert_eq!(relay_request(&mut node), Ok(()));
}

/// A stopping process accepts no more requests to relay, and exits when the last one has ended.
#[test]
fn stop_waits_for_relayed() {
    let mut node = Node::ready("a");
    assert_eq!(relay_request(&mut node), Ok(()));
    node.feed(Event::Stop);
    assert_eq!(relay_request(&mut node), Err(Denial::Unready));
    let exits = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Exit));
    assert!(!exits(&node.advance(Duration::from_secs(3))), "one request is still being relayed");
    assert!(exits(node.feed(Event::RelayEnded)));
}

/// After a suspension nothing is relayed until the state has been refreshed.
#[test]
fn after_suspension() {
    let mut node = with_second_entry_vm();
    node.feed(node::listed(node.now, Vec::new(), 10, false));
    assert_eq!(relay_request(&mut node), Ok(()));
    node.now = node.now + Duration::from_secs(3);
    assert_eq!(relay_request(&mut node), Err(Denial::Unready), "a message may be read before the wake-up");
    node.feed(Event::Wake);
    assert_eq!(relay_request(&mut node), Err(Denial::Unready), "the state has not been refreshed");
}

/// Data that arrives through a relay does not show that the engine can be reached directly; accepting
/// connections for a second does.
#[test]
fn return_to_direct_path() {
    let mut node = with_second_entry_vm();
    let (id, attempt) = lose_path(&mut node);
    assert_eq!(attempt.relay, Some(other()));
    node.ended(id, attempt.number, End::Done);
    assert_eq!(node.sent(plain("/ack/1")).1.relay, Some(other()));
    probed(&mut node, Port::Open);
    assert_eq!(node.sent(plain("/ack/1")).1.relay, Some(other()), "the path may fail again");
    node.advance(Duration::from_secs(1));
    probed(&mut node, Port::Open);
    assert_eq!(node.sent(plain("/ack/1")).1.relay, None);
}

/// A relay that fails to pass on a request is dropped, and the request waits for another path.
#[test]
fn relay_is_lost() {
    let mut node = with_second_entry_vm();
    let (id, attempt) = lose_path(&mut node);
    let step = node.ended(id, attempt.number, End::Unsent);
    assert!(!matches!(step, Some(Step::Send(_) | Step::Refuse(_))), "{step:?}");
    probed(&mut node, Port::Open);
    let sent_directly = |attempt: Attempt| attempt.relay.is_none();
    assert!(sent_directly(node.sent(plain("/ack/1")).1));
}

/// A relayed engine is not reported to other entry VMs as suspected.
#[test]
fn not_reported_as_suspected() {
    let mut node = with_second_entry_vm();
    lose_path(&mut node);
    let effects = node.advance(Duration::from_secs(1));
    let frames: Vec<_> = effects
        .iter()
        .filter_map(
            |effect| if let Effect::Frame { frame, .. } = effect { Some(&frame.suspects) } else { None },
        )
        .collect();
    assert!(!frames.is_empty() && frames.iter().all(|suspects| suspects.is_empty()), "{frames:?}");
}

/// An entry VM that is asked about an engine's port also probes another engine as a control, and makes no
/// statement about an engine that is relayed.
#[test]
fn no_statement_about_relayed_engine() {
    let mut node = with_second_entry_vm();
    let check = boragecove_fleet::reachability_check(&node.state, node.now, &g1()).expect("a known engine");
    assert!(check.control.is_some_and(|control| control != check.address));
    lose_path(&mut node);
    assert_eq!(boragecove_fleet::reachability_check(&node.state, node.now, &g1()), None);
}
