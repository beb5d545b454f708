//! A request goes to the engine with the shortest expected wait among those that can run it.

mod node;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Port;
use boragecove_fleet::engine::{Held, Incarnation};
use boragecove_fleet::event::Event;
use boragecove_fleet::order::{Receipt, Report};
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Cause, End, Step};
use node::{
    GATEWAY, Node, WRITER, entry, listing, millis, orders, plain, row, short_stream, step_of, streamed,
};

#[test]
fn same_zone_is_preferred() {
    let mut node = Node::ready("a");
    let (_, attempt) = node.sent(short_stream("m0"));
    assert_eq!(*attempt.engine, *"w1", "both engines hold the model, and w1 is in the same zone");
}

#[test]
fn load_is_spread() {
    let mut node = Node::ready("a");
    let mut engines: Vec<String> = Vec::new();
    for _ in 0..8 {
        engines.push(node.sent(short_stream("m0")).1.engine.to_string());
    }
    assert!(engines.iter().any(|engine| engine == "w2"), "{engines:?}");
}

#[test]
fn only_engines_with_the_model() {
    let mut node = Node::ready("a");
    for _ in 0..4 {
        assert_eq!(*node.sent(short_stream("m2")).1.engine, *"w2");
    }
}

#[test]
fn leaving_engine_gets_nothing() {
    let mut node = Node::ready("a");
    let mut leaving = entry("w1", WRITER, "zone-a", &["m0", "m1"]);
    leaving.leaving = true;
    node.feed(listing(vec![row(9, leaving)], 9, false));
    for _ in 0..4 {
        assert_eq!(*node.sent(short_stream("m0")).1.engine, *"w2");
    }
}

#[test]
fn unreachable_engine_is_avoided() {
    let mut node = Node::ready("a");
    let (id, attempt) = node.sent(plain("/ack/1"));
    let first = attempt.engine.clone();
    let Some(Step::Send(second)) = node.ended(id, 1, End::Unsent) else { panic!("no further attempt") };
    assert_ne!(second.engine, first);
    for _ in 0..4 {
        assert_ne!(node.sent(plain("/ack/1")).1.engine, first, "connecting to it has just failed");
    }
    node.advance(millis(520));
    node.feed(Event::Probed { engine: first.clone(), reach: Port::Open });
    let mut back = false;
    for _ in 0..6 {
        back |= node.sent(plain("/ack/1")).1.engine == first;
    }
    assert!(back, "the engine answered a probe and gets requests again");
}

/// A suspicion is logged once, whatever its cause.
#[test]
fn suspicion_is_logged() {
    let suspected = |effects: &[Effect]| {
        let is =
            |effect: &&Effect| matches!(effect, Effect::Record(Record::Engine { state: "suspected", .. }));
        effects.iter().filter(is).count()
    };
    let mut silent = Node::ready("a");
    silent.sent(short_stream("m0"));
    assert_eq!(suspected(&silent.advance(millis(600))), 1, "a silent engine");
    let mut failed_probe = Node::ready("a");
    failed_probe.advance(millis(600));
    failed_probe.feed(Event::Probed { engine: "w1".into(), reach: Port::Silent });
    assert_eq!(suspected(&failed_probe.effects), 1, "a failed probe");
    let mut failed_connection = Node::ready("a");
    let (id, attempt) = failed_connection.sent(plain("/ack/1"));
    failed_connection.ended(id, attempt.number, End::Unsent);
    assert_eq!(suspected(&failed_connection.effects), 1);
}

#[test]
fn refusal_as_absent_is_remembered() {
    let mut node = Node::ready("a");
    let (id, attempt) = node.sent(streamed("/digest/1", "m0", None));
    assert_eq!(*attempt.engine, *"w1");
    let step = node.ended(id, 1, End::Refused(Cause::Absent));
    assert!(matches!(step, Some(Step::Send(attempt)) if *attempt.engine == *"w2"));
    assert_eq!(*node.sent(short_stream("m0")).1.engine, *"w2");
    node.advance(millis(200));
    let mut back = false;
    for _ in 0..8 {
        back |= *node.sent(short_stream("m0")).1.engine == *"w1";
    }
    assert!(back, "the refusal is disregarded after a while");
}

/// An engine that refused a request for lack of an adapter gets that request again once it has loaded the adapter.
#[test]
fn refusing_engine_can_serve_later() {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(std::sync::Arc::new(node::config(1))));
    let rows = vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-b", &["m2", "m3"])),
    ];
    node.feed(listing(rows, 2, true));
    node.lead();
    node.advance(millis(300));
    let first = node.arrive(streamed("/brief/1", "m1", Some("a7")));
    let engine = orders(&node.effects).remove(0).engine;
    node.feed(Event::Ordered {
        engine: engine.clone(),
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Accepted),
    });
    assert!(matches!(step_of(&node.advance(millis(60)), first), Some(Step::Send(_))));
    assert_eq!(node.ended(first, 1, End::Refused(Cause::Absent)), None, "the adapter was evicted meanwhile");
    let report = Report {
        incarnation: Incarnation::default(),
        sequence: 9,
        busy: false,
        held: vec![held("m0", &[]), held("m1", &[])],
        ..Report::default()
    };
    node.advance(millis(20));
    node.feed(Event::Reported { engine: engine.clone(), report: Some(report) });
    let again = orders(&node.advance(millis(300)));
    assert_eq!(again.len(), 1, "{again:?}");
    node.feed(Event::Ordered {
        engine: engine.clone(),
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Accepted),
    });
    let step = step_of(&node.advance(millis(60)), first);
    assert!(matches!(&step, Some(Step::Send(attempt)) if attempt.engine == engine), "{step:?}");
}

fn held(model: &str, adapters: &[&str]) -> Held {
    Held { model: model.into(), adapters: adapters.iter().map(|name| (*name).into()).collect() }
}

#[test]
fn full_engines_refuse_at_once() {
    let mut node = Node::ready("a");
    let mut refused = None;
    for _ in 0..60 {
        let id = node.arrive(short_stream("m1"));
        if let Some(Step::Refuse(refusal)) = node.step(id) {
            refused = Some(refusal);
            break;
        }
    }
    let refusal = refused.expect("a refusal: 8 slots cannot hold 60 requests");
    assert_eq!(refusal.code, Code::DeadlineUnreachable);
    assert!(refusal.retry_after.is_some_and(|after| after > Duration::ZERO));
}

#[test]
fn failing_engine_gets_less() {
    let mut node = Node::ready("a");
    let mut counts = [0_u32; 2];
    for _ in 0..200 {
        let (id, attempt) = node.sent(plain("/ack/1"));
        let failing = *attempt.engine == *"g1";
        counts[usize::from(failing)] += 1;
        let end = if failing { End::Broken } else { End::Done };
        node.ended(id, attempt.number, end);
        node.advance(millis(10));
    }
    assert!(counts[1] * 3 < counts[0], "{counts:?} requests to the working and the failing engine");
}

#[test]
fn other_services_are_not_used() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, entry("x1", "elsewhere", "zone-a", &["m0"]))], 9, false));
    for _ in 0..20 {
        assert!(node.sent(plain("/ack/1")).1.engine.starts_with('g'), "{GATEWAY} only");
    }
}

/// Calls of a plain service may queue as long as their answers still meet the operator's target. Here two engines run 16 calls
/// at once in 200 ms each, and the target is 500 ms.
#[test]
fn plain_calls_queue_within_target() {
    let mut node = Node::ready("a");
    let accepted = (0..100).take_while(|_| {
        let id = node.arrive(plain("/list/1"));
        matches!(node.step(id), Some(Step::Send(_)))
    });
    let accepted = accepted.count();
    assert!(accepted > 32, "{accepted} calls: twice the number of slots is answered within 400 ms");
    assert!(accepted < 48, "{accepted} calls: the last of them would wait for over 400 ms");
}

/// Long calls at engines with free slots are not taken for a queue, so no call is held back.
#[test]
fn long_calls_are_not_a_queue() {
    let mut node = Node::ready("a");
    for number in 0..60 {
        let id = node.arrive(plain("/list/1"));
        let Some(Step::Send(attempt)) = node.step(id) else { panic!("call {number} is refused") };
        node.advance(millis(if number % 2 == 0 { 10 } else { 480 }));
        node.ended(id, attempt.number, End::Done);
    }
}

/// Guards against log floods: without a limit, an engine that goes silent repeatedly is logged each time by each entry VM, with the
/// end of the suspicion 3 ms later.
#[test]
fn repeated_suspicion_is_logged_once() {
    let mut node = Node::ready("a");
    let mut lines = 0;
    for _ in 0..6 {
        for reach in [Port::Silent, Port::Open] {
            node.feed(Event::Probed { engine: "w1".into(), reach });
            lines += engine_lines(&node.effects);
            node.advance(millis(100));
        }
    }
    assert_eq!(lines, 2, "one line for the suspicion and one for its end");
    node.advance(Duration::from_secs(11));
    node.feed(Event::Probed { engine: "w1".into(), reach: Port::Silent });
    assert_eq!(engine_lines(&node.effects), 1, "a later suspicion is logged again");
}

/// Guards against log floods: without a limit, each of many engines that crash at once is logged by each entry VM.
#[test]
fn many_suspicions_are_counted() {
    let mut node = Node::ready("a");
    let rows = (0..50).map(|number| row(10 + number, entry(&format!("x{number}"), WRITER, "zone-a", &[])));
    node.feed(listing(rows.collect(), 60, false));
    let mut lines = 0;
    for number in 0..50 {
        node.feed(Event::Probed { engine: format!("x{number}").into(), reach: Port::Silent });
        lines += engine_lines(&node.effects);
    }
    assert!(lines <= 8, "{lines} lines");
    node.advance(Duration::from_secs(1));
    node.feed(Event::Probed { engine: "w1".into(), reach: Port::Silent });
    let counted = node.effects.iter().find_map(|effect| match effect {
        Effect::Record(Record::LeftOut { lines, .. }) => Some(*lines as usize),
        _ => None,
    });
    assert_eq!(counted, Some(50 - lines), "the lines left out are counted");
}

fn engine_lines(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Record(Record::Engine { .. }))).count()
}
