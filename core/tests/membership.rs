//! Failure detection of entry VMs, also when the fault is on the detecting entry VM itself.

mod cluster;

use std::time::Duration;

use boragecove_core::event::Event;
use boragecove_core::id::Incarnation;
use boragecove_core::operator::{Answer, Member, Query};
use boragecove_core::peer::Frame;
use boragecove_core::settings::Settings;
use boragecove_core::vm::Phase;
use cluster::{Cluster, GROUP, document};

const LIMIT: Duration = Duration::from_mins(2);

fn zones(sizes: &[(&'static str, usize)]) -> Vec<&'static str> {
    sizes.iter().flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count)).collect()
}

fn new_cluster(sizes: &[(&'static str, usize)]) -> Cluster {
    let mut cluster = Cluster::new(&zones(sizes), Settings::default());
    cluster.add_engines(GROUP, &["hall-a", "hall-b"]);
    cluster.advance(Duration::from_secs(2));
    cluster.apply(0, document(&[1_000]), None);
    cluster.advance(Duration::from_secs(10));
    cluster
}

fn members(cluster: &mut Cluster, node: usize) -> Vec<Member> {
    let ask = cluster.ask(node, Query::Members);
    cluster.run();
    match cluster.answer(ask) {
        Some(Answer::Members(members)) => members.clone(),
        other => panic!("no members: {other:?}"),
    }
}

fn alive(cluster: &mut Cluster, node: usize) -> Vec<String> {
    let members = members(cluster, node);
    members.iter().filter(|member| member.alive).map(|member| member.name.to_string()).collect()
}

#[test]
fn failed_peer_suspected() {
    let mut cluster = new_cluster(&[("hall-a", 3), ("hall-b", 3)]);
    for node in 0..6 {
        assert_eq!(alive(&mut cluster, node).len(), 6, "seen by {node}");
    }
    cluster.nodes[1].up = false;
    cluster.advance_until(LIMIT, "suspected everywhere", |cluster| {
        [0, 2, 3, 4, 5].iter().all(|node| !alive(cluster, *node).contains(&"entry-1".to_owned()))
    });
    assert_eq!(alive(&mut cluster, 0).len(), 5, "no other node is suspected");
    cluster.restart(1);
    cluster.advance_until(LIMIT, "alive again", |cluster| (0..6).all(|node| alive(cluster, node).len() == 6));
}

#[test]
fn stalled_node_suspects_nobody() {
    let mut cluster = new_cluster(&[("hall-a", 2)]);
    cluster.nodes[0].paused = true;
    cluster.advance(Duration::from_mins(1));
    assert_eq!(alive(&mut cluster, 1).len(), 1, "the other node suspects it");
    let before = cluster.now;
    cluster.nodes[0].paused = false;
    // The list comes before the frames that waited while it was paused.
    let list = cluster.vms.clone();
    cluster.event(0, Event::VmsListed(list));
    assert_eq!(alive(&mut cluster, 0).len(), 2, "it suspects nobody");
    assert_eq!(cluster.now, before);
    cluster.resume(0);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(alive(&mut cluster, 0).len(), 2);
}

#[test]
fn node_without_input_suspects_nobody() {
    let mut cluster = new_cluster(&[("hall-a", 5)]);
    cluster.not_receiving.insert(0);
    cluster.advance(Duration::from_mins(1));
    assert_eq!(alive(&mut cluster, 0).len(), 5, "its own frames are delivered, so it suspects nobody");
    cluster.not_receiving.clear();
    cluster.nodes[1].up = false;
    cluster.nodes[2].up = false;
    cluster.nodes[3].up = false;
    cluster.advance_until(LIMIT, "the failed nodes are suspected", |cluster| alive(cluster, 0).len() == 2);
}

#[test]
fn leaving_reported() {
    let mut cluster = new_cluster(&[("hall-a", 3), ("hall-b", 2)]);
    cluster.event(1, Event::Stop);
    cluster.advance_until(LIMIT, "reported by frames", |cluster| {
        let leaving = |member: &Member| member.name == "entry-1" && member.leaving;
        [0, 2].iter().all(|node| members(cluster, *node).iter().any(leaving))
    });
    cluster.vms[3].phase = Phase::Leaving;
    cluster.advance_until(LIMIT, "listed", |cluster| {
        members(cluster, 4).iter().any(|member| member.name == "entry-3" && member.leaving)
    });
}

#[test]
fn late_frame_dropped() {
    let mut cluster = new_cluster(&[("hall-a", 2)]);
    let late_frame =
        cluster.frames.iter().rev().find(|(from, ..)| *from == 1).map(|(_, frame, _)| frame.clone());
    let late_frame = late_frame.expect("a frame of the first incarnation");
    cluster.restart(1);
    cluster.advance(Duration::from_secs(2));
    let stale = cluster.nodes[0].state.counters().stale;
    let altered_frame = Frame { seq: late_frame.seq + 50, stopping: true, ..late_frame };
    cluster.event(0, Event::FrameReceived(Box::new(altered_frame)));
    cluster.run();
    assert_eq!(cluster.nodes[0].state.counters().stale, stale + 1, "a frame of an earlier incarnation");
    assert!(!members(&mut cluster, 0).iter().any(|member| member.leaving));
}

#[test]
fn address_taken_over() {
    let mut cluster = new_cluster(&[("hall-a", 3)]);
    cluster.nodes[1].up = false;
    let address = cluster.vms[1].address;
    let frame = Frame {
        from: "entry-new".into(),
        zone: "hall-a".into(),
        incarnation: Incarnation(77),
        seq: 1,
        address: Some(address),
        config: 1,
        stopping: false,
        items: Vec::new(),
    };
    cluster.event(0, Event::FrameReceived(Box::new(frame)));
    cluster.run();
    let alive = alive(&mut cluster, 0);
    assert!(alive.contains(&"entry-new".to_owned()) && !alive.contains(&"entry-1".to_owned()), "{alive:?}");
}

/// The number of entry VMs that exchange frames between two zones does not grow with the zones.
#[test]
fn few_links() {
    let mut cluster = new_cluster(&[("hall-a", 12), ("hall-b", 12), ("hall-c", 12)]);
    cluster.frames.clear();
    cluster.advance(Duration::from_secs(30));
    let zone_of = |cluster: &Cluster, node: usize| cluster.nodes[node].zone.clone();
    let targets: std::collections::BTreeSet<(usize, String)> = cluster
        .frames
        .iter()
        .filter(|(from, _, to)| {
            cluster.nodes.iter().any(|node| node.name == *to && node.zone != zone_of(&cluster, *from))
        })
        .map(|(from, _, to)| (*from, to.to_string()))
        .collect();
    assert!(targets.len() <= 12, "three pairs of zones, two links each, both ways: {targets:?}");
    assert!(targets.len() >= 6, "{targets:?}");
}

/// When the entry VM at the other end of a link fails, another replaces it, so that summaries of that zone
/// are still received.
#[test]
fn link_replaced() {
    let mut cluster = new_cluster(&[("hall-a", 4), ("hall-b", 4)]);
    for down in [4, 5, 6] {
        cluster.nodes[down].up = false;
        cluster.advance(Duration::from_mins(1));
        let latest = members(&mut cluster, 0);
        let heard = latest.iter().find(|member| member.name == "entry-7").and_then(|member| member.heard_ms);
        assert!(heard.is_some_and(|ms| ms < 10_000), "{down} down: {latest:#?}");
    }
}
