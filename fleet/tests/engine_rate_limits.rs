//! How one entry VM treats reported rate limits: which report wins, how long it applies, and to which start
//! of the engine.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Position, Reply};
use boragecove_fleet::notice::{AnsweredRequest, Notice, Start};
use boragecove_fleet::rate_limit::{Rate, Report};
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Attempt, End, Id, Step};
use boragecove_fleet::schedule::Grant;
use node::{GATEWAY, Node, entry, listing, millis, plain, removed, row, short_stream};

fn start(engine: &str, incarnation: Option<u64>) -> Start {
    Start { engine: engine.into(), incarnation: Incarnation(incarnation) }
}

fn feed_notice(node: &mut Node, from: Start, rate: Rate, asked: Option<AnsweredRequest>) {
    let notice = Notice { rate_limit: rate, ..Notice::default() };
    node.feed(Event::NoticeReceived { from, notice, asked });
}

/// Feeds an engine's answer with this rate limit to a request that was sent just now.
fn report_limit(node: &mut Node, engine: &str, per_s: f64) {
    let asked = AnsweredRequest { request: Id(1), sent_at: node.now };
    feed_notice(node, start(engine, None), Rate::PerSecond(per_s), Some(asked));
}

/// An entry VM that is the only one, and is certain of that.
fn sole_entry_vm() -> Node {
    let mut node = Node::ready("a");
    node.lead();
    renew(&mut node, Duration::from_secs(5));
    node
}

/// Lets time pass while the lease is renewed.
fn renew(node: &mut Node, time: Duration) {
    let end = node.now + time;
    let mut version = 200 + node.now.0;
    while node.now < end {
        let step = end.since(node.now).min(millis(100));
        let effects = node.advance(step);
        let store_ms = node.now.since(Time::from_millis(node::START_MS)).as_millis() as u64;
        if effects.iter().any(|effect| matches!(effect, Effect::Lease(_))) {
            version += 1;
            node.lease(store_ms, boragecove_fleet::lease::Outcome::Written(version));
        }
    }
}

/// Leaves one engine of the plain service and one with each model.
fn keep_one_engine(node: &mut Node) {
    node.feed(listing(vec![removed(10, "g2"), removed(11, "w2")], 11, false));
}

/// Result of a call: the attempt, or the retry-after told to the caller.
fn call(node: &mut Node) -> Result<(Id, Attempt), Duration> {
    let id = node.arrive(plain("/ack/1"));
    match node.step(id) {
        Some(Step::Send(attempt)) => Ok((id, attempt)),
        Some(Step::Refuse(refusal)) => {
            assert_eq!(refusal.code.status(), 503, "the request has not run");
            Err(refusal.retry_after.expect("a retry-after"))
        }
        other => panic!("{other:?}"),
    }
}

/// Number of calls sent within a second.
fn sent_in_a_second(node: &mut Node) -> usize {
    let mut sent = 0;
    for _ in 0..50 {
        if let Ok((id, attempt)) = call(node) {
            sent += 1;
            node.ended(id, attempt.number, End::Done);
        }
        renew(node, millis(20));
    }
    sent
}

#[test]
fn retry_after_is_exact() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    report_limit(&mut node, "g1", 2.0);
    let mut waits = Vec::new();
    for _ in 0..5 {
        waits.push(call(&mut node).map(|(_, attempt)| attempt.at.since(node.now)));
    }
    assert_eq!(waits[0], Ok(millis(500)), "it has just received requests without spacing");
    assert!(waits[1..].iter().all(|wait| *wait == Err(millis(1_000))), "{waits:?}");
}

/// Scarce reservations go to urgent requests: less urgent ones find the schedule full sooner.
#[test]
fn urgent_first() {
    let mut node = sole_entry_vm();
    let mut config = node::config(2);
    let urgent = |route: &mut Arc<boragecove_fleet::config::Route>| {
        Arc::make_mut(route).priority = if *route.name == *"brief" { 0 } else { 3 };
    };
    config.routes.iter_mut().for_each(urgent);
    node.feed(Event::Configured(Arc::new(config)));
    report_limit(&mut node, "w1", 3.0);
    let mut sent = [0, 0];
    for number in 0..100 {
        let path = ["/brief/1", "/digest/1"][number % 2];
        let id = node.arrive(node::streamed(path, "m1", None));
        if let Some(Step::Send(attempt)) = node.step(id) {
            sent[number % 2] += 1;
            let wait = attempt.at.since(node.now);
            renew(&mut node, wait);
            node.ended(id, attempt.number, End::Done);
        }
        renew(&mut node, millis(50));
    }
    assert!(sent[0] > 2 * sent[1], "{sent:?}");
}

/// Requests with a reservation from before the limit was reported lose it.
#[test]
fn earlier_reservations_are_cancelled() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    let ids: Vec<Id> = (0..12).map(|_| node.arrive(short_stream("m0"))).collect();
    report_limit(&mut node, "w1", 2.0);
    let later = ids.iter().filter_map(|id| match node.step(*id) {
        Some(Step::Send(attempt)) => Some(attempt.at.since(node.now)),
        _ => None,
    });
    let later: Vec<Duration> = later.collect();
    assert!(later.len() <= 2 && later.iter().all(|wait| *wait >= millis(500)), "{later:?}");
}

/// A reservation expires shortly after its time, as when the machine was suspended.
#[test]
fn late_reservation_expires() {
    let mut node = sole_entry_vm();
    report_limit(&mut node, "w1", 2.0);
    let (id, attempt) = node.sent(short_stream("m1"));
    assert_eq!(attempt.send_by, Some(attempt.at + millis(300)));
    let late = attempt.at.since(node.now) + millis(350);
    renew(&mut node, late);
    let step = node.ended(id, attempt.number, End::Withheld);
    let Some(Step::Send(again)) = step else { panic!("no second reservation: {step:?}") };
    assert!(again.at >= node.now);
    let (_, free) = node.sent(short_stream("m2"));
    assert_eq!(free.send_by, None, "the other engine has no limit");
}

#[test]
fn later_answer_lifts_limit() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    let before = AnsweredRequest { request: Id(1), sent_at: node.now };
    node.advance(millis(10));
    report_limit(&mut node, "g1", 1.0);
    feed_notice(&mut node, start("g1", None), Rate::Unlimited, Some(before));
    feed_notice(&mut node, start("g1", None), Rate::Unlimited, None);
    let later = AnsweredRequest { sent_at: node.now + millis(5), ..before };
    feed_notice(&mut node, start("g1", None), Rate::Invalid, Some(later));
    assert!(sent_in_a_second(&mut node) <= 2, "no later answer has lifted the limit");
    let asked = AnsweredRequest { request: Id(2), sent_at: node.now };
    node.advance(millis(10));
    feed_notice(&mut node, start("g1", None), Rate::Unlimited, Some(asked));
    assert!(sent_in_a_second(&mut node) > 40);
}

#[test]
fn invalid_value_is_logged_once() {
    let mut node = sole_entry_vm();
    let mut records = 0;
    for _ in 0..5 {
        feed_notice(&mut node, start("g1", None), Rate::Invalid, None);
        let line = |effect: &&Effect| matches!(effect, Effect::Record(Record::Unusable { .. }));
        records += node.effects.iter().filter(line).count();
    }
    assert_eq!(records, 1);
    assert!(sent_in_a_second(&mut node) > 40);
}

fn with_incarnation(id: &str, at: u64) -> Entry {
    Entry { incarnation: Incarnation(Some(at)), ..entry(id, GATEWAY, "zone-a", &[]) }
}

#[test]
fn limit_of_one_incarnation() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    node.feed(listing(vec![row(12, with_incarnation("g1", 1_000))], 12, false));
    feed_notice(&mut node, start("g1", Some(500)), Rate::PerSecond(1.0), None);
    assert!(sent_in_a_second(&mut node) > 40, "reported by an earlier start");
    feed_notice(&mut node, start("g1", Some(1_000)), Rate::PerSecond(1.0), None);
    assert!(sent_in_a_second(&mut node) <= 2);
    node.feed(listing(vec![removed(13, "g1")], 13, false));
    node.feed(listing(vec![row(14, with_incarnation("g1", 1_000))], 14, false));
    assert!(sent_in_a_second(&mut node) <= 2, "the same start was removed and listed again");
    node.feed(listing(vec![row(15, with_incarnation("g1", 2_000))], 15, false));
    assert!(sent_in_a_second(&mut node) > 40, "a later start has not reported a limit");
}

/// An answer that also reports that the engine leaves or pauses: both take precedence over the rate limit.
#[test]
fn notice_with_pause_or_departure() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    let pause = Some(Duration::from_secs(2));
    let notice = Notice { pause, rate_limit: Rate::PerSecond(5.0), ..Notice::default() };
    node.feed(Event::NoticeReceived { from: start("g1", None), notice, asked: None });
    assert_eq!(call(&mut node).map(|_| ()), Err(Duration::from_secs(2)));
    renew(&mut node, Duration::from_secs(2));
    // Five in that second, and those with a reservation in the half second after it.
    let sent = sent_in_a_second(&mut node);
    assert!((1..=8).contains(&sent), "{sent}");
    let notice = Notice { leaving: true, rate_limit: Rate::PerSecond(5.0), ..Notice::default() };
    node.feed(Event::NoticeReceived { from: start("w1", None), notice, asked: None });
    let id = node.arrive(short_stream("m1"));
    let sent = matches!(node.step(id), Some(Step::Send(_)));
    assert!(!sent, "the only engine with its model is leaving");
}

/// Without a hub, an entry VM does not know the owner of a schedule, and sends nothing to a rate-limited
/// engine.
#[test]
fn no_hub_no_owner() {
    let mut node = Node::ready("a");
    report_limit(&mut node, "w1", 5.0);
    let refusal = node.refused(short_stream("m1"));
    assert_eq!(refusal.code, Code::BackendRefused);
    assert!(refusal.retry_after.is_some());
    node.sent(short_stream("m2"));
}

/// The hub accepts reports from frames, and sends each change once to every other entry VM.
#[test]
fn reported_by_frames() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let report = Report { start: start("g1", None), per_s: Some(1.0), age: millis(30), ..Report::default() };
    let frame = Frame { vm: "b".into(), zone: "zone-a".into(), limits: vec![report], ..Frame::default() };
    hub.feed(Event::FrameReceived(Box::new(frame)));
    assert_eq!(hub.state.engines_limited(), 1);
    let asker = Frame { vm: "c".into(), zone: "zone-b".into(), ..Frame::default() };
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
    assert_eq!(reply.limits.len(), 1);
    let known = Position { term: reply.residency_version.term, version: reply.limits_version };
    let again =
        boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &Frame { limits_version: known, ..asker });
    assert!(again.limits.is_empty());
}

/// Each change is logged once, with the request whose answer reported it.
#[test]
fn changes_are_logged_once() {
    let mut node = sole_entry_vm();
    let mut records = Vec::new();
    for per_s in [2.0, 2.0, 3.0] {
        report_limit(&mut node, "g1", per_s);
        records.extend(node.effects.iter().filter_map(|effect| match effect {
            Effect::Record(Record::Intake { request, limit_per_s, .. }) => Some((*request, *limit_per_s)),
            _ => None,
        }));
    }
    assert_eq!(records, [(Some(1), Some(2.0)), (Some(1), Some(3.0))]);
}

/// A reservation requested before the limit was reported is not used, even if an earlier limit had ended
/// before.
#[test]
fn earlier_reservation_request() {
    for earlier in [false, true] {
        let mut node = Node::ready("a");
        node.advance(millis(10));
        let lease = boragecove_fleet::lease::Outcome::Read(Some(node::hub_row()));
        node.lease(0, lease);
        let number = node
            .advance(millis(400))
            .iter()
            .find_map(|effect| match effect {
                Effect::Frame { frame, .. } => Some(frame.number),
                _ => None,
            })
            .expect("a frame");
        let other = |vm: &str, port| boragecove_fleet::members::Member {
            vm: vm.into(),
            zone: "zone-a".into(),
            address: node::address(port),
            weak: false,
        };
        let members = Some(vec![other("hub", 7_001)]);
        let reply = Reply { number, leads: true, members, ..Reply::default() };
        node.feed(Event::Replied(Some(Box::new(reply))));
        if earlier {
            report_limit(&mut node, "w1", 1.0);
            node.advance(millis(10));
            let asked = Some(AnsweredRequest { request: Id(1), sent_at: node.now });
            node.advance(millis(10));
            feed_notice(&mut node, start("w1", None), Rate::Unlimited, asked);
        }
        let id = node.arrive(short_stream("m1"));
        assert!(
            node.effects.iter().any(|effect| matches!(effect, Effect::Reserve { .. })),
            "no reservation was requested"
        );
        report_limit(&mut node, "w1", 1.0);
        node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
        assert!(!matches!(node.step(id), Some(Step::Send(_))), "earlier limit: {earlier}");
    }
}

/// A report without an incarnation from an engine that is not listed is ignored: the next engine with this
/// id may be another one.
#[test]
fn unlisted_without_incarnation() {
    let mut node = sole_entry_vm();
    keep_one_engine(&mut node);
    node.feed(listing(vec![removed(12, "g1")], 12, false));
    feed_notice(&mut node, start("g1", None), Rate::PerSecond(1.0), None);
    node.feed(listing(vec![row(13, entry("g1", GATEWAY, "zone-a", &[]))], 13, false));
    assert!(sent_in_a_second(&mut node) > 40);
}
