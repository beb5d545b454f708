//! A stream of which the caller has events continues only at engines of the build that wrote them, whatever ended the attempt before. A stream
//! without events may go to any engine.

mod node;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_fleet::config::{Destination, Route};
use boragecove_fleet::engine::{Entry, Incarnation, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::lease;
use boragecove_fleet::pin::{Announcement, Origin, Report, Seen};
use boragecove_fleet::request::{Arrival, Attempt, Cause, End, Id, Refusal, Resumption, Step, Stream};
use node::{
    BUILD, GATEWAY, Node, WRITER, began, config, entry, hub_row, lease_calls, listed, listing, millis,
    removed, row, step_of, streamed,
};
use std::sync::Arc;

const NEXT: &str = "v1.1";

/// An engine that holds `m0`.
fn writer(id: &str, build: Option<&str>) -> Entry {
    Entry { build: build.map(Name::from), ..entry(id, WRITER, "zone-a", &["m0"]) }
}

/// A process whose table lists these engines.
fn node_with(engines: &[Entry]) -> Node {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(Arc::new(config(1))));
    let rows = (1..).zip(engines).map(|(version, entry)| row(version, entry.clone())).collect();
    node.feed(listing(rows, engines.len() as u64, true));
    node
}

/// A stream that was begun by the only engine of the first build, while engines of the next build are listed.
fn begun_stream() -> (Node, Id, Attempt) {
    let mut node = node_with(&[writer("w1", Some(BUILD))]);
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(began(id));
    let next = ["w2", "w3"].map(|engine| row(5, writer(engine, Some(NEXT))));
    node.feed(listing(next.to_vec(), 5, false));
    (node, id, first)
}

fn expect_refusal(step: Option<Step>) -> Refusal {
    match step {
        Some(Step::Refuse(refusal)) => refusal,
        step => panic!("not refused: {step:?}"),
    }
}

fn engine_of(step: Option<Step>) -> Name {
    match step {
        Some(Step::Send(attempt)) => attempt.engine,
        step => panic!("not sent: {step:?}"),
    }
}

/// However an attempt ends, its stream is not continued at an engine of another build. Without an engine of its own build, the request is
/// refused at once.
#[test]
fn other_build_is_refused() {
    let ends = [End::Lost, End::Broken, End::Unsent, End::Withheld, End::Refused(Cause::Busy)];
    for end in ends {
        let (mut node, id, first) = begun_stream();
        node.feed(listing(vec![removed(6, "w1")], 6, false));
        let refusal = expect_refusal(node.ended(id, first.number, end));
        assert_eq!(refusal.code, Code::Interrupted, "{end:?}");
    }
}

/// A pinned stream waits for an engine of its build that lacks the model, and continues there once the engine holds it.
#[test]
fn own_build_is_awaited() {
    let (mut node, id, first) = begun_stream();
    let cold = Entry { held: Vec::new(), ..writer("w4", Some(BUILD)) };
    node.feed(listing(vec![row(6, cold)], 6, false));
    assert_eq!(
        node.ended(id, first.number, End::Lost),
        None,
        "the only engine of its build does not hold the model"
    );
    node.advance(millis(100));
    let effects = node.feed(listing(vec![row(7, writer("w4", Some(BUILD)))], 7, false)).to_vec();
    assert_eq!(engine_of(step_of(&effects, id)), Name::from("w4"));
}

/// Before its first event was forwarded to the caller, a stream may go to any build.
#[test]
fn stream_without_events_goes_anywhere() {
    let mut node = node_with(&[writer("w1", Some(BUILD))]);
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(listing(vec![row(5, writer("w2", Some(NEXT)))], 5, false));
    assert_eq!(engine_of(node.ended(id, first.number, End::Lost)), Name::from("w2"));
}

/// Two engines whose rows name no build are not taken for engines of the same build.
#[test]
fn unnamed_build_is_refused() {
    let mut node = node_with(&[writer("w1", None), writer("w2", None)]);
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(Event::Began { request: id, build: None });
    assert_eq!(expect_refusal(node.ended(id, first.number, End::Lost)).code, Code::Interrupted);
}

/// An engine that was restarted with another build before the first event arrives: it is unknown which of the two builds wrote it.
#[test]
fn build_changes_before_first_event() {
    let mut node = node_with(&[writer("w1", Some(BUILD)), writer("w2", Some(BUILD))]);
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    let restarted = Entry { incarnation: Incarnation(Some(9)), ..writer(&first.engine, Some(NEXT)) };
    node.feed(listing(vec![row(7, restarted)], 7, false));
    node.feed(began(id));
    assert_eq!(expect_refusal(node.ended(id, first.number, End::Lost)).code, Code::Interrupted);
}

/// The only other engine of a stream's build has been updated to another build when the stream loses its engine.
#[test]
fn build_changes_before_retry() {
    let mut node = node_with(&[writer("w1", Some(BUILD)), writer("w2", Some(BUILD))]);
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(began(id));
    let other = if *first.engine == *"w1" { "w2" } else { "w1" };
    node.feed(listing(vec![row(5, writer(other, Some(NEXT)))], 5, false));
    assert_eq!(expect_refusal(node.ended(id, first.number, End::Lost)).code, Code::Interrupted);
}

fn store_origins(node: &mut Node, streams: impl Iterator<Item = u64>, build: &str) {
    let streams = streams.map(|number| Stream::of(&number.to_string())).collect();
    let origin = Origin { service: WRITER.into(), build: Some(build.into()) };
    boragecove_fleet::store_origins(&mut node.state, node.now, vec![Announcement { origin, streams }]);
}

fn build_of(node: &Node, stream: u64) -> Option<Name> {
    boragecove_fleet::stream_origin(&node.state, Stream::of(&stream.to_string()))?.build
}

/// Two attempts with the same id began at two builds: it is unknown which of them a caller means.
#[test]
fn id_used_twice_is_unknown() {
    let mut node = node_with(&[writer("w1", Some(BUILD))]);
    store_origins(&mut node, 0..2, BUILD);
    store_origins(&mut node, 1..2, NEXT);
    store_origins(&mut node, 1..2, BUILD);
    assert_eq!((build_of(&node, 0), build_of(&node, 1)), (Some(BUILD.into()), None));
}

/// The number of stored origins is bounded. Those received longest ago are dropped first, and those received again stay.
#[test]
fn oldest_origins_are_dropped() {
    let mut node = node_with(&[writer("w1", Some(BUILD))]);
    for streams in [0..30_000, 30_000..60_000, 60_000..90_000, 90_000..120_000] {
        store_origins(&mut node, 0..1, BUILD);
        store_origins(&mut node, streams, BUILD);
    }
    assert!(node.state.streams_stored() <= 65_536, "{} are stored", node.state.streams_stored());
    assert_eq!(build_of(&node, 0), Some(BUILD.into()));
    assert_eq!(build_of(&node, 1), None);
    assert_eq!(build_of(&node, 119_999), Some(BUILD.into()));
}

/// A process that knows no replica of a stream refuses to resume it at once, with a code that guarantees that nothing ran.
#[test]
fn no_replica_to_ask() {
    let mut node = node_with(&[writer("w1", Some(BUILD)), writer("w2", Some(NEXT))]);
    for stream in [None, Some(Stream::of("gone"))] {
        let resumes = Some(Resumption { stream });
        let refusal = node.refused(Arrival { resumption: resumes, ..streamed("/digest/1", "m0", None) });
        assert_eq!((refusal.code, refusal.code.status()), (Code::OriginUnknown, 503));
        assert!(refusal.retry_after.is_some());
    }
}

/// A stream is resumed at the service that began it, whichever of its route's services is drawn for new requests. If the route no longer
/// includes that service, the request is refused.
#[test]
fn service_is_kept() {
    let split = |services: &[&str]| {
        let mut config = config(2 + services.len() as u64);
        let share = |service: &&str| Destination { service: (*service).into(), weight: 1 };
        let digest = Route { split: services.iter().map(share).collect(), ..(*config.routes[1]).clone() };
        config.routes[1] = Arc::new(digest);
        Event::Configured(Arc::new(config))
    };
    let mut node = node_with(&[writer("w1", Some(BUILD)), entry("g1", GATEWAY, "zone-a", &["m0"])]);
    node.feed(split(&[GATEWAY, WRITER]));
    store_origins(&mut node, 0..1, BUILD);
    let resumes = Some(Resumption { stream: Some(Stream::of("0")) });
    let arrival = Arrival { resumption: resumes, ..streamed("/digest/1", "m0", None) };
    for _ in 0..6 {
        assert_eq!(*node.sent(arrival.clone()).1.engine, *"w1");
    }
    node.feed(split(&[GATEWAY, GATEWAY, GATEWAY]));
    assert_eq!(node.refused(arrival).code, Code::BuildGone);
}

/// A hub that takes the lease before it has read the engines' table copies the build history from the old lease row to the new one. If it did not,
/// the history would be lost when that hub is killed.
#[test]
fn history_is_copied_to_new_row() {
    let report = Report {
        known_ms: None,
        age_ms: 100,
        builds: vec![Seen {
            service: WRITER.into(),
            build: Some(BUILD.into()),
            first_ms: 60_000,
            last_ms: 0,
        }],
    };
    let mut before = hub_row();
    before.row.builds = Some(Box::new(report));
    let mut node = Node::bare("a");
    node.feed(Event::Configured(Arc::new(config(1))));
    node.advance(millis(10));
    let store_ms = before.row.until_ms + 500;
    node.lease(store_ms, lease::Outcome::Read(Some(before)));
    let row = lease_calls(&node.effects).into_iter().find_map(|call| match call {
        lease::Call::Write { row, .. } => Some(row),
        lease::Call::Read => None,
    });
    let builds = row.expect("a write of the lease").builds.expect("the build history");
    assert_eq!(builds.known_ms, None);
    assert_eq!(
        builds.age_ms, 2_200,
        "100 ms, 500 ms since the lease ended, and its length of 1.6 s, since the row may have been written at its beginning"
    );
    let rows = vec![row_of(1, "w1"), row_of(2, "w2")];
    let asked = node.now;
    node.feed(listed(asked, rows, 2, true));
    let resumes = Some(Resumption { stream: None });
    node.sent(Arrival { resumption: resumes, ..streamed("/digest/1", "m0", None) });
}

fn row_of(version: u64, id: &str) -> Row {
    row(version, writer(id, Some(BUILD)))
}

/// A build history that is too old is not used, because a build may have come and gone since.
#[test]
fn old_history_is_not_used() {
    let report = Report { known_ms: None, age_ms: 20_000, builds: Vec::new() };
    let mut before = hub_row();
    before.row.builds = Some(Box::new(report));
    let mut node = node_with(&[]);
    let asked = node.now;
    node.feed(listed(asked, vec![row_of(1, "w1"), row_of(2, "w2")], 2, true));
    node.advance(millis(10));
    let store_ms = before.row.until_ms + 500;
    node.lease(store_ms, lease::Outcome::Read(Some(before)));
    let resumes = Some(Resumption { stream: None });
    let refusal = node.refused(Arrival { resumption: resumes, ..streamed("/digest/1", "m0", None) });
    assert_eq!(refusal.code, Code::OriginUnknown);
}
