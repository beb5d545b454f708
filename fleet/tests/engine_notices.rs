//! Notices in engines' answers take effect at once and take precedence over older rows of the engines'
//! table.

mod node;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::members::Member;
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::push::Push;
use boragecove_fleet::request::{Cause, End, Step};
use node::{
    GATEWAY, Node, WRITER, address, entry, hub_row, listing, millis, orders, plain, removed, row,
    short_stream,
};

fn start(engine: &str, incarnation: Option<u64>) -> Start {
    Start { engine: engine.into(), incarnation: Incarnation(incarnation) }
}

fn announce_leaving(node: &mut Node, engine: &str, incarnation: Option<u64>) {
    node.feed(Event::NoticeReceived {
        from: start(engine, incarnation),
        notice: Notice { leaving: true, ..Notice::default() },
        asked: None,
    });
}

fn with_incarnation(id: &str, at: u64) -> Entry {
    Entry { incarnation: Incarnation(Some(at)), ..entry(id, GATEWAY, "zone-a", &[]) }
}

/// How many of 20 calls to the plain service are sent to this engine.
fn sent_to(node: &mut Node, engine: &str) -> usize {
    let mut count = 0;
    for _ in 0..20 {
        let (id, attempt) = node.sent(plain("/ack/1"));
        count += usize::from(*attempt.engine == *engine);
        node.ended(id, attempt.number, End::Done);
    }
    count
}

#[test]
fn leaving_engine_gets_nothing() {
    let mut node = Node::ready("a");
    announce_leaving(&mut node, "g1", None);
    assert_eq!(sent_to(&mut node, "g1"), 0);
}

/// The row from before the notice is read again, lapses around an outage, is forgotten and comes back.
#[test]
fn older_rows_are_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(10, with_incarnation("g1", 1_000))], 10, false));
    announce_leaving(&mut node, "g1", Some(1_000));
    node.feed(listing(vec![row(11, with_incarnation("g1", 1_000))], 11, false));
    assert_eq!(sent_to(&mut node, "g1"), 0);
    node.feed(listing(vec![removed(12, "g1")], 12, false));
    node.advance(Duration::from_secs(5));
    node.feed(listing(vec![row(13, with_incarnation("g1", 1_000))], 13, false));
    assert_eq!(sent_to(&mut node, "g1"), 0);
}

/// The notice arrives while the engine is not listed, as around an outage of the store.
#[test]
fn notice_of_unlisted_engine() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(10, with_incarnation("g1", 1_000))], 10, false));
    node.feed(listing(vec![removed(11, "g1")], 11, false));
    announce_leaving(&mut node, "g1", Some(1_000));
    node.feed(listing(vec![row(12, with_incarnation("g1", 1_000))], 12, false));
    assert_eq!(sent_to(&mut node, "g1"), 0);
}

#[test]
fn later_incarnation_serves() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(10, with_incarnation("g1", 1_000))], 10, false));
    announce_leaving(&mut node, "g1", Some(1_000));
    node.feed(listing(vec![row(11, with_incarnation("g1", 9_000))], 11, false));
    assert!(sent_to(&mut node, "g1") > 0);
    announce_leaving(&mut node, "g1", Some(1_000));
    assert!(sent_to(&mut node, "g1") > 0, "a late answer of the earlier start is ignored");
}

/// An engine without an incarnation counts as a new one once its row was removed.
#[test]
fn engine_without_incarnation_returns() {
    let mut node = Node::ready("a");
    announce_leaving(&mut node, "g1", None);
    node.feed(listing(vec![row(10, entry("g1", GATEWAY, "zone-a", &[]))], 10, false));
    assert_eq!(sent_to(&mut node, "g1"), 0);
    node.feed(listing(vec![removed(11, "g1")], 11, false));
    node.feed(listing(vec![row(12, entry("g1", GATEWAY, "zone-a", &[]))], 12, false));
    assert!(sent_to(&mut node, "g1") > 0);
}

/// Requests with a reservation in the engine's schedule that have not been sent yet go elsewhere.
#[test]
fn reservations_are_cancelled() {
    let mut node = Node::ready("a");
    let mut waiting = Vec::new();
    for _ in 0..12 {
        let (id, attempt) = node.sent(short_stream("m0"));
        if *attempt.engine == *"w1" && attempt.at > node.now {
            waiting.push(id);
        }
    }
    assert!(!waiting.is_empty(), "no request waits for its reservation");
    announce_leaving(&mut node, "w1", None);
    for id in waiting {
        match node.step(id) {
            Some(Step::Send(attempt)) => assert_eq!(*attempt.engine, *"w2"),
            Some(Step::Refuse(refusal)) => assert_eq!(refusal.code.status(), 502),
            other => panic!("still sent there: {other:?}"),
        }
    }
}

/// The hub, which orders model loads, does not count copies that the other entry VMs no longer use.
#[test]
fn hub_is_notified() {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let reply = Reply { leads: true, nodes: 2, engines_revision: 4.into(), ..Reply::default() };
    node.feed(Event::Replied(Some(Box::new(reply))));
    announce_leaving(&mut node, "w1", None);
    let frame = node.effects.iter().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame.clone()),
        _ => None,
    });
    let frame: Box<Frame> = frame.expect("an immediate frame");
    assert_eq!(frame.departures, [start("w1", None)]);
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::FrameReceived(frame));
    let leaving = |id: &str| hub.state.engines().any(|engine| *engine.entry.id == *id && engine.is_leaving());
    assert!(leaving("w1") && !leaving("w2"), "engines of {WRITER}");
}

/// Another engine answered at the engine's address. Only this process acts on that; it does not report the
/// engine as leaving to others until the table does.
#[test]
fn replaced_at_same_address() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let (id, attempt) = hub.sent(plain("/ack/1"));
    let gone = attempt.engine;
    hub.ended(id, attempt.number, End::Refused(Cause::Replaced));
    assert_eq!(sent_to(&mut hub, &gone), 0);
    let asker = Frame { vm: "b".into(), zone: "zone-a".into(), ..Frame::default() };
    hub.feed(Event::FrameReceived(Box::new(asker.clone())));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
    let row = reply.rows.iter().find(|row| row.id == gone).expect("a row for the asker");
    assert!(row.entry.as_ref().is_some_and(|entry| !entry.leaving), "the row must not be marked as leaving");
    hub.feed(listing(vec![row_of(10, &gone)], 10, false));
    assert!(sent_to(&mut hub, &gone) > 0, "it has registered again");
}

fn row_of(version: u64, id: &str) -> Row {
    row(version, entry(id, GATEWAY, "zone-a", &[]))
}

/// Every answer of a leaving engine says so. The hub is told once, and not at all if the engine's row
/// already says so.
#[test]
fn notified_once() {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let reply =
        |number| Reply { number, leads: true, nodes: 2, engines_revision: 4.into(), ..Reply::default() };
    let frame = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Frame { frame, .. } => Some(frame.number),
            _ => None,
        })
    };
    node.feed(Event::Replied(Some(Box::new(reply(1)))));
    announce_leaving(&mut node, "w1", None);
    let number = frame(&node.effects).expect("an immediate frame");
    node.feed(Event::Replied(Some(Box::new(reply(number)))));
    announce_leaving(&mut node, "w1", None);
    assert_eq!(frame(&node.effects), None, "the hub knows already");
    node.feed(listing(
        vec![row(10, Entry { leaving: true, ..entry("g1", GATEWAY, "zone-a", &[]) })],
        10,
        false,
    ));
    announce_leaving(&mut node, "g1", None);
    assert_eq!(frame(&node.effects), None, "its row says so already");
}

/// The VM that answers frames is no longer the hub, as after its restart. Without a hub to spread it, this
/// process notifies the other entry VMs itself.
#[test]
fn notified_without_hub() {
    for heard_before in [false, true] {
        let mut node = Node::ready("a");
        node.advance(millis(10));
        node.lease(0, Outcome::Read(Some(hub_row())));
        let member = |vm: &str, port| Member {
            vm: vm.into(),
            zone: "zone-a".into(),
            address: address(port),
            weak: false,
        };
        let members = Some(vec![member("a", 7_000), member("b", 7_002)]);
        let reply = Reply { leads: true, nodes: 2, engines_revision: 4.into(), members, ..Reply::default() };
        node.feed(Event::Replied(Some(Box::new(reply))));
        if heard_before {
            announce_leaving(&mut node, "w1", None);
        }
        let mut effects = node.feed(Event::Replied(Some(Box::default()))).to_vec();
        if !heard_before {
            announce_leaving(&mut node, "w1", None);
            effects.extend(node.effects.clone());
        }
        let notified = effects.iter().any(|effect| {
            matches!(effect, Effect::Push(Push { message, .. }) if message.departing == [start("w1", None)])
        });
        assert!(notified, "heard before: {heard_before}");
    }
}

fn announce_pause(node: &mut Node, engine: &str, pause: Duration) {
    let notice = Notice { pause: Some(pause), ..Notice::default() };
    node.feed(Event::NoticeReceived { from: start(engine, None), notice, asked: None });
}

#[test]
fn pausing_engine_gets_nothing() {
    let mut node = Node::ready("a");
    announce_pause(&mut node, "g1", Duration::from_secs(2));
    announce_pause(&mut node, "g1", millis(100));
    assert_eq!(sent_to(&mut node, "g1"), 0);
    node.advance(millis(1_900));
    assert_eq!(sent_to(&mut node, "g1"), 0, "the longer of two pauses counts");
    node.advance(millis(200));
    assert!(sent_to(&mut node, "g1") > 0);
}

/// All engines that could run the request pause: the caller is told at once the correct time to retry.
#[test]
fn retry_after_is_the_pause() {
    let mut node = Node::ready("a");
    announce_pause(&mut node, "g1", Duration::from_secs(3));
    announce_pause(&mut node, "g2", Duration::from_secs(2));
    node.advance(millis(500));
    let refusal = node.refused(plain("/ack/1"));
    assert_eq!((refusal.code, refusal.retry_after), (Code::BackendRefused, Some(millis(1_500))));
    let refusal = node.refused(plain("/list/1"));
    assert_eq!(refusal.code.status(), 503);
    announce_pause(&mut node, "w1", Duration::from_secs(3));
    assert!(node.refused(short_stream("m1")).retry_after.is_some(), "the only engine with its model pauses");
}

/// The only engine rejects the request: its caller is not made to wait for another engine.
#[test]
fn refused_by_the_only_engine() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![removed(10, "g2")], 10, false));
    let (id, attempt) = node.sent(plain("/ack/1"));
    announce_pause(&mut node, "g1", Duration::from_secs(2));
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Refused(Cause::Busy)) else {
        panic!("not refused at once");
    };
    assert_eq!((refusal.code.status(), refusal.retry_after), (503, Some(Duration::from_secs(2))));
}

/// A pause ends when the engine restarts, and an excessively long one after an hour.
#[test]
fn pause_has_an_end() {
    let mut node = Node::ready("a");
    announce_pause(&mut node, "g1", Duration::MAX);
    node.feed(listing(vec![row(10, with_incarnation("g1", 1_000))], 10, false));
    assert!(sent_to(&mut node, "g1") > 0);
    announce_pause(&mut node, "g2", Duration::MAX);
    node.feed(listing(vec![removed(11, "g1")], 11, false));
    node.refused(plain("/ack/1"));
    node.advance(Duration::from_mins(61));
    node.sent(plain("/ack/1"));
}

/// The hub sends no orders to a pausing engine, and continues after the pause.
#[test]
fn orders_wait() {
    let mut node = Node::ready("hub");
    node.lead();
    announce_pause(&mut node, "w1", millis(800));
    announce_pause(&mut node, "w2", millis(800));
    let id = node.arrive(short_stream("m3"));
    let effects = node.advance(millis(700));
    assert!(orders(&effects).is_empty(), "{effects:?}");
    assert_eq!(node.step(id), None, "it waits for its model");
    assert!(!orders(&node.advance(millis(500))).is_empty());
}
