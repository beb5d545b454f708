//! Size of a frame and its reply at the scale of the largest deployments.

mod node;

use std::time::Duration;

use boragecove_fleet::engine::{Entry, Incarnation, Load};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{EngineLoad, Frame, Position, Reply};
use boragecove_fleet::notice::Start;
use boragecove_fleet::rate_limit::Report;
use node::{Node, WRITER, entry, listing, row};

/// Engines of the largest deployment.
const ENGINES: usize = 112;
/// Entry VMs of the largest deployment.
const NODES: usize = 90;
/// Frames per second that the hub answers at that size: one for each entry VM every 0.45 s.
const FRAMES_PER_S: usize = 200;
/// Bytes per second of the smallest link that a hub may have.
const LINK: usize = 50_000_000 / 8;

fn id(number: usize) -> String {
    format!("i-{number:010x}")
}

#[test]
fn hub_fits_its_link() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let rows =
        (0..ENGINES).map(|number| row(100 + number as u64, entry(&id(number), WRITER, "zone-a", &["m0"])));
    hub.feed(listing(rows.collect(), 500, false));
    for number in 0..NODES {
        let load = Load { open: 3, reading_us: 18_000 };
        let loads = (0..ENGINES).map(|engine| EngineLoad { engine: id(engine).as_str().into(), load });
        let vm = format!("front-hall-a-{number}");
        let frame = Frame {
            vm: vm.as_str().into(),
            engines_revision: 500.into(),
            config: 1,
            loads: loads.collect(),
            ..Frame::default()
        };
        hub.feed(Event::FrameReceived(Box::new(frame)));
    }
    let asker =
        Frame { vm: "front-hall-a-1".into(), engines_revision: 500.into(), config: 1, ..Frame::default() };
    let mut known = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
    known.residencies.clear();
    let bytes = rmp_serde::to_vec(&known).expect("encodes").len();
    println!("reply of {bytes} bytes");
    assert!(bytes < 4_000, "{bytes} bytes");
    assert!(
        bytes * FRAMES_PER_S < LINK / 4,
        "more than a quarter of the link: {bytes} bytes, {FRAMES_PER_S} per second"
    );
}

/// All engines are overloaded at once, and each announces another limit in each response. Each change must be sent
/// once to each entry VM, and nothing while nothing changes.
#[test]
fn limits_are_sent_once() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let rows =
        (0..ENGINES).map(|number| row(100 + number as u64, entry(&id(number), WRITER, "zone-a", &["m0"])));
    hub.feed(listing(rows.collect(), 500, false));
    let bytes_of = |hub: &mut Node, asker: &Frame| {
        let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, asker);
        let known = Position { term: reply.residency_version.term, version: reply.limits_version };
        (rmp_serde::to_vec(&reply).expect("encodes").len(), known)
    };
    let asker =
        Frame { vm: "front-hall-a-1".into(), engines_revision: 500.into(), config: 1, ..Frame::default() };
    let (without, _) = bytes_of(&mut hub, &asker);
    let report = |number: usize| Report {
        start: Start {
            engine: id(number).as_str().into(),
            incarnation: Incarnation(Some(1_767_465_654_898)),
        },
        per_s: Some(2.9 + number as f64 / 100.0),
        age: Duration::from_millis(120),
        ..Report::default()
    };
    let rows = (0..ENGINES).map(|number| {
        let incarnation = Incarnation(Some(1_767_465_654_898));
        row(600 + number as u64, Entry { incarnation, ..entry(&id(number), WRITER, "zone-a", &["m0"]) })
    });
    hub.feed(listing(rows.collect(), 800, false));
    let asker = Frame { engines_revision: 800.into(), ..asker };
    let limits = (0..ENGINES).map(report).collect();
    let reported = Frame { vm: "front-hall-a-2".into(), limits, ..Frame::default() };
    hub.feed(Event::FrameReceived(Box::new(reported)));
    let (with, known) = bytes_of(&mut hub, &asker);
    let each = (with - without) / ENGINES;
    let (after, _) = bytes_of(&mut hub, &Frame { limits_version: known, ..asker });
    println!("{each} bytes for each change, {} in addition", after.abs_diff(without));
    assert!(each < 60, "{each} bytes for each change");
    assert!(after < without + 80, "{after} bytes without a change, {without} without any limit");
}

/// The parts of the hub's reply by size, with 300 entry VMs and 3,000 engines. Each entry VM gets a reply every 1.5
/// s, and most replies cross availability zones.
#[test]
fn answers_by_kind() {
    const VMS: usize = 300;
    const MANY: usize = 3_000;
    let mut hub = Node::ready("hub");
    hub.lead();
    let rows =
        (0..MANY).map(|number| row(100 + number as u64, entry(&id(number), WRITER, "zone-a", &["m0"])));
    hub.feed(listing(rows.collect(), 5_000, false));
    for number in 0..VMS {
        let load = Load { open: 3, reading_us: 18_000 };
        let engines = (0..20).map(|at| (number * 37 + at * 151) % MANY);
        let loads = engines.map(|engine| EngineLoad { engine: id(engine).as_str().into(), load }).collect();
        let vm = format!("front-hall-a-{number}").as_str().into();
        hub.feed(Event::FrameReceived(Box::new(Frame {
            vm,
            engines_revision: 5_000.into(),
            config: 1,
            loads,
            ..Frame::default()
        })));
    }
    let size = |reply: &Reply| rmp_serde::to_vec(reply).expect("encodes").len();
    let hub_ids = hub.state.engines_digest();
    let mut loads_of = |label: &str, listed: u64, engines: u64| {
        let vm = "front-hall-a-1".into();
        let asker = Frame {
            vm,
            engines_revision: listed.into(),
            config: 1,
            engines_digest: engines,
            ..Frame::default()
        };
        let mut reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
        let all = size(&reply);
        let reported = reply.loads_by_name.len() + reply.loads_by_position.len() / 3;
        (reply.loads_by_name, reply.loads_by_position) = (Vec::new(), Vec::new());
        let loads = all - size(&reply);
        reply.rows.clear();
        let rows = all - loads - size(&reply);
        println!("{label}: {all} bytes: {loads} for loads of {reported} engines, {rows} for rows");
        loads
    };
    let by_name = loads_of("asker with other engines", 5_000, 0);
    loads_of("starting asker", 0, 0);
    let by_position = loads_of("asker with the same engines", 5_000, hub_ids);
    assert!(by_position * 4 < by_name, "{by_position} bytes by position, {by_name} by name");
}
