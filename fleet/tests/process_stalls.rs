//! A process that stalls, because its machine is migrated or has used up its processor time, and must not continue
//! with outdated data.

mod node;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Entry;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Frame;
use boragecove_fleet::lease;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Attempt, End, Step};
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, Node, entry, exchange, hub_row, listed, millis, plain, row, short_stream, step_of};

/// The log records of stalls among the effects: duration of the stall, and age of the engine table.
fn stall_records(effects: &[Effect]) -> Vec<(u64, Option<u64>)> {
    let stall = |effect: &Effect| match effect {
        Effect::Record(Record::StoodStill { for_ms, listed_age_ms, .. }) => Some((*for_ms, *listed_age_ms)),
        _ => None,
    };
    effects.iter().filter_map(stall).collect()
}

/// A stall is logged and counted, with the age of the engine table. A process that runs normally logs none.
#[test]
fn stall_is_logged() {
    let mut node = Node::ready("vm-1");
    let asked = node.now;
    node.feed(listed(asked, Vec::new(), 4, false));
    let running = node.advance(millis(2_000));
    assert!(stall_records(&running).is_empty(), "{:?}", stall_records(&running));
    node.now = node.now + millis(1_500);
    let stall_records = stall_records(&node.advance(millis(10)));
    let [(stall_ms, listed_age_ms)] = stall_records[..] else {
        panic!("expected one record: {stall_records:?}");
    };
    assert!((1_250..=1_510).contains(&stall_ms), "the next timer was due within 250 ms: {stall_ms}");
    assert_eq!(listed_age_ms, Some(3_510));
    assert_eq!(node.state.stalls(), 1);
}

/// Duration of the stall: shorter than the lease, and longer than the engine table stays valid.
const STALL_MS: u64 = 1_500;

/// The row by which an engine announces its departure.
fn leaving(version: u64) -> Vec<boragecove_fleet::engine::Row> {
    vec![row(version, Entry { leaving: true, ..entry("g1", GATEWAY, "zone-a", &[]) })]
}

/// A hub that has read the table just before it stalls.
fn leader() -> Node {
    let mut node = Node::ready("vm-1");
    node.lead();
    node.feed(listed(node.now, Vec::new(), 4, false));
    node.now = node.now + millis(STALL_MS);
    node
}

/// A follower whose hub has answered its frames until the stall.
fn follower() -> (Node, Node) {
    let (mut hub, mut node) = (Node::ready("hub"), Node::ready("vm-1"));
    hub.lead();
    node.advance(millis(10));
    node.lease(0, lease::Outcome::Read(Some(hub_row())));
    hub.feed(listed(hub.now, Vec::new(), 4, false));
    exchange(&mut hub, &mut node);
    hub.now = node.now;
    node.now = node.now + millis(STALL_MS);
    hub.advance(millis(STALL_MS));
    (hub, node)
}

fn refreshes(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Refresh { .. })).count()
}

fn frames(effects: &[Effect]) -> Vec<Frame> {
    let frame = |effect: &Effect| match effect {
        Effect::Frame { frame, .. } => Some((**frame).clone()),
        _ => None,
    };
    effects.iter().filter_map(frame).collect()
}

/// The hub answers a frame, and the process applies the reply.
fn exchange_frame(hub: &mut Node, node: &mut Node, frame: &Frame) -> Vec<Effect> {
    hub.now = node.now;
    hub.feed(Event::FrameReceived(Box::new(frame.clone())));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, frame);
    node.feed(Event::Replied(Some(Box::new(reply)))).to_vec()
}

fn engine_of(step: Option<Step>) -> Option<String> {
    match step {
        Some(Step::Send(attempt)) => Some(attempt.engine.to_string()),
        _ => None,
    }
}

/// Guards against requests that a hub finds in its sockets after a stall and sends on the basis of outdated data.
#[test]
fn leader_asks_the_store() {
    let mut node = leader();
    let request = node.arrive(plain("/list/1"));
    assert_eq!(node.step(request), None, "should wait for the store");
    assert_eq!(refreshes(&node.effects), 1);
    node.now = node.now + millis(5);
    let late = listed(node.now - millis(500), Vec::new(), 4, false);
    node.feed(late);
    assert_eq!(node.step(request), None, "the call was made before the process resumed");
    node.feed(listed(node.now, leaving(5), 5, false));
    assert_eq!(engine_of(node.step(request)).as_deref(), Some("g2"));
}

/// If the store doesn't answer, callers wait for a part of the bound, and are then served with the known data.
#[test]
fn silent_store() {
    let mut node = leader();
    let request = node.arrive(plain("/list/1"));
    let bound = Settings::default().departure_bound;
    let before = node.advance(bound.poll_interval_max().saturating_sub(millis(20)));
    assert_eq!(step_of(&before, request), None);
    let after = node.advance(millis(30));
    assert!(matches!(step_of(&after, request), Some(Step::Send(_))), "should be served with the known data");
    // The next request doesn't wait, as in a zone that is cut off.
    node.sent(plain("/list/1"));
}

/// If the store refuses the call, no request waits.
#[test]
fn refusing_store() {
    let mut node = leader();
    let request = node.arrive(plain("/list/1"));
    node.feed(Event::RefreshFailed);
    assert!(matches!(node.step(request), Some(Step::Send(_))));
}

/// The same for a follower: its frame is answered, and the store isn't called.
#[test]
fn follower_asks_the_leader() {
    let (mut hub, mut node) = follower();
    hub.feed(listed(hub.now, leaving(5), 5, false));
    let request = node.arrive(plain("/list/1"));
    assert_eq!((node.step(request), refreshes(&node.effects)), (None, 0));
    let frame = frames(&node.effects).pop().expect("a frame at once");
    node.now = node.now + millis(5);
    exchange_frame(&mut hub, &mut node, &frame);
    assert_eq!(engine_of(node.step(request)).as_deref(), Some("g2"));
}

/// A hub that has stalled too has no newer data, so the store is asked after a short time.
#[test]
fn leader_stalled_too() {
    let (mut hub, mut node) = follower();
    let request = node.arrive(plain("/list/1"));
    let frame = frames(&node.effects).pop().expect("a frame at once");
    node.now = node.now + millis(5);
    exchange_frame(&mut hub, &mut node, &frame);
    assert_eq!(node.step(request), None, "its data is as old");
    assert_eq!(refreshes(&node.advance(millis(100))), 1);
    node.feed(listed(node.now, leaving(5), 5, false));
    assert_eq!(engine_of(node.step(request)).as_deref(), Some("g2"));
}

/// A reply to a frame from before the stall doesn't confirm the time since.
#[test]
fn reply_from_before_the_stall() {
    let (mut hub, mut node) = follower();
    node.now = node.now - millis(STALL_MS);
    let frame = frames(&node.advance(millis(200))).pop().expect("a frame");
    hub.now = node.now;
    hub.feed(Event::FrameReceived(Box::new(frame.clone())));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame);
    node.now = node.now + millis(STALL_MS);
    hub.advance(millis(STALL_MS));
    hub.feed(listed(hub.now, leaving(5), 5, false));
    let request = node.arrive(plain("/list/1"));
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(node.step(request), None, "the reply predates the departure");
    let frame = frames(&node.effects).pop().expect("another frame at once");
    exchange_frame(&mut hub, &mut node, &frame);
    assert_eq!(engine_of(node.step(request)).as_deref(), Some("g2"));
}

/// A future slot in a schedule is given up, since the engine may have left meanwhile.
#[test]
fn reservation_from_before_the_stall() {
    let mut node = Node::ready("vm-1");
    node.lead();
    node.feed(listed(node.now - millis(700), Vec::new(), 4, false));
    let stall = millis(800);
    let later = |node: &Node, attempt: &Attempt| attempt.at > node.now + stall + millis(10);
    let mut reserved = Vec::new();
    for _ in 0..60 {
        let mut long = short_stream("m1");
        long.prompt.as_mut().expect("a prompt").tokens = 4_000;
        let id = node.arrive(long);
        if let Some(Step::Send(attempt)) = node.step(id)
            && later(&node, &attempt)
        {
            reserved.push(id);
        }
    }
    assert!(!reserved.is_empty(), "prompts should be spaced");
    node.now = node.now + stall;
    let effects = node.advance(millis(10));
    for id in &reserved {
        assert_eq!(step_of(&effects, *id), Some(Step::Hold), "{id}");
    }
}

/// A process that wakes slightly late because it is busy doesn't delay requests.
#[test]
fn busy_process() {
    let mut node = Node::ready("vm-1");
    node.lead();
    for _ in 0..20 {
        node.feed(listed(node.now, Vec::new(), 4, false));
        node.now = node.now + Settings::default().departure_bound.stall_threshold();
        let (request, _) = node.sent(plain("/list/1"));
        node.ended(request, 1, End::Done);
    }
}

/// Guards against answers that wait in the sockets of a process that stalled: their engines weren't silent, and the
/// requests must not be sent again.
#[test]
fn own_stall_is_no_engine_silence() {
    let mut node = Node::ready("vm-1");
    node.lead();
    node.feed(listed(node.now, Vec::new(), 4, false));
    let (request, attempt) = node.sent(plain("/list/1"));
    node.advance(millis(100));
    node.now = node.now + millis(STALL_MS);
    let woken = node.feed(Event::Wake).to_vec();
    assert_eq!(step_of(&woken, request), None, "should not be sent again");
    assert!(
        !woken.iter().any(|effect| matches!(effect, Effect::Probe { .. })),
        "its engine should not be suspected"
    );
    let answered = node.ended(request, attempt.number, End::Done);
    assert_eq!(answered, Some(Step::Forward), "its answer should go to the caller");
    node.feed(listed(node.now, Vec::new(), 4, false));
    let (request, _) = node.sent(plain("/list/2"));
    let awake = node.advance(millis(1_500));
    assert!(step_of(&awake, request).is_some(), "an engine that doesn't answer a running process is silent");
}
