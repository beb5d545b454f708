//! What engines say of themselves in their answers counts at once, and against older entries.

mod node;

use std::time::Duration;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::notice::{Departure, Notice};
use boragecove_fleet::request::{End, Step};
use node::{GATEWAY, Node, WRITER, brief, entry, hub_row, listing, millis, plain, removed, row};

fn departure(engine: &str, born: Option<u64>) -> Departure {
    Departure { engine: engine.into(), incarnation: Incarnation(born) }
}

fn leaves(node: &mut Node, engine: &str, born: Option<u64>) {
    node.feed(Event::Noticed { from: departure(engine, born), notice: Notice { leaving: true } });
}

fn born(id: &str, at: u64) -> Entry {
    Entry { incarnation: Incarnation(Some(at)), ..entry(id, GATEWAY, "zone-a", &[]) }
}

/// Engines that calls of the plain service are sent to, of 20.
fn reached(node: &mut Node, engine: &str) -> usize {
    let mut reached = 0;
    for _ in 0..20 {
        let (id, attempt) = node.sent(plain("/ack/1"));
        reached += usize::from(*attempt.engine == *engine);
        node.ended(id, attempt.number, End::Done);
    }
    reached
}

#[test]
fn nothing_more_goes_there() {
    let mut node = Node::ready("a");
    leaves(&mut node, "g1", None);
    assert_eq!(reached(&mut node, "g1"), 0);
}

/// The entry from before the word is read again, lapses around an outage, is forgotten and comes back.
#[test]
fn older_entries_change_nothing() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(10, born("g1", 1_000))], 10, false));
    leaves(&mut node, "g1", Some(1_000));
    node.feed(listing(vec![row(11, born("g1", 1_000))], 11, false));
    assert_eq!(reached(&mut node, "g1"), 0);
    node.feed(listing(vec![removed(12, "g1")], 12, false));
    node.pass(Duration::from_secs(5));
    node.feed(listing(vec![row(13, born("g1", 1_000))], 13, false));
    assert_eq!(reached(&mut node, "g1"), 0);
}

#[test]
fn later_start_serves() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(10, born("g1", 1_000))], 10, false));
    leaves(&mut node, "g1", Some(1_000));
    node.feed(listing(vec![row(11, born("g1", 9_000))], 11, false));
    assert!(reached(&mut node, "g1") > 0);
    leaves(&mut node, "g1", Some(1_000));
    assert!(reached(&mut node, "g1") > 0, "an answer of the earlier start comes late");
}

/// An engine that does not say when it started is a new one once its entry was gone.
#[test]
fn unknown_start_comes_back() {
    let mut node = Node::ready("a");
    leaves(&mut node, "g1", None);
    node.feed(listing(vec![row(10, entry("g1", GATEWAY, "zone-a", &[]))], 10, false));
    assert_eq!(reached(&mut node, "g1"), 0);
    node.feed(listing(vec![removed(11, "g1")], 11, false));
    node.feed(listing(vec![row(12, entry("g1", GATEWAY, "zone-a", &[]))], 12, false));
    assert!(reached(&mut node, "g1") > 0);
}

/// Requests that have a place in the engine's schedule, and have not gone out, go elsewhere.
#[test]
fn places_are_given_up() {
    let mut node = Node::ready("a");
    let mut waiting = Vec::new();
    for _ in 0..12 {
        let (id, attempt) = node.sent(brief("m0"));
        if *attempt.engine == *"w1" && attempt.at > node.now {
            waiting.push(id);
        }
    }
    assert!(!waiting.is_empty(), "some wait for their place");
    leaves(&mut node, "w1", None);
    for id in waiting {
        match node.step(id) {
            Some(Step::Send(attempt)) => assert_eq!(*attempt.engine, *"w2"),
            Some(Step::Refuse(refusal)) => assert_eq!(refusal.code.status(), 502),
            other => panic!("it still goes there: {other:?}"),
        }
    }
}

/// The giver of orders counts no copy that the others do not use any more.
#[test]
fn hub_is_told() {
    let mut node = Node::ready("a");
    node.pass(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let reply = Reply { leads: true, nodes: 2, listed: 4, ..Reply::default() };
    node.feed(Event::Replied(Some(Box::new(reply))));
    leaves(&mut node, "w1", None);
    let frame = node.pass(millis(400)).into_iter().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame),
        _ => None,
    });
    let frame: Box<Frame> = frame.expect("a frame");
    assert_eq!(frame.departures, [departure("w1", None)]);
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::Framed(frame));
    let leaving =
        |id: &str| hub.state.engines().any(|engine| *engine.entry.id == *id && engine.entry.leaving);
    assert!(leaving("w1") && !leaving("w2"), "engines of {WRITER}");
}
