//! How an accepted configuration comes into force everywhere, and never goes back.

mod cluster;

use std::time::Duration;

use boragecove_core::config::{Delta, Head};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::peer::{Frame, Item};
use boragecove_core::settings::Settings;
use cluster::{Cluster, GROUP, Mood, document};

const LIMIT: Duration = Duration::from_mins(2);
const ONE: Incarnation = Incarnation(999);
const ZONES: [&str; 9] =
    ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c", "hall-c"];

/// Nine entry VMs in three zones with a first configuration in force, none of them reading the table
/// again for a day.
fn nine() -> Cluster {
    let never = Duration::from_hours(24);
    let settings = Settings { config_every: never, config_first: never, ..Settings::default() };
    let mut cluster = started(&ZONES, settings);
    // The reads that each process makes more often before it has a configuration are over then.
    cluster.advance(Duration::from_secs(30));
    cluster
}

fn started(zones: &[&str], settings: Settings) -> Cluster {
    let mut cluster = Cluster::new(zones, settings);
    cluster.add_engines(GROUP, &["hall-a", "hall-b", "hall-c"]);
    cluster.advance(Duration::from_secs(2));
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(1));
    cluster.until(LIMIT, "ready", |cluster| cluster.nodes.iter().all(|node| node.ready));
    cluster
}

fn all_at(cluster: &mut Cluster, version: u64) -> bool {
    let up: Vec<usize> = (0..cluster.nodes.len()).filter(|at| cluster.nodes[*at].up).collect();
    up.into_iter().all(|at| cluster.in_force(at) == version)
}

#[test]
fn peers_push() {
    let mut cluster = nine();
    cluster.advance(Duration::from_secs(5));
    cluster.frames.clear();
    let ask = cluster.apply(4, document(&[2_000]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(2));
    assert!(all_at(&mut cluster, 2), "without any time going by");
    let whole =
        |frame: &boragecove_core::peer::Frame| frame.items.iter().any(|item| matches!(item, Item::Config(_)));
    assert!(!cluster.frames.iter().any(|(_, frame, _)| whole(frame)), "only what changed is sent");
}

#[test]
fn one_down() {
    for down in 0..9 {
        let mut cluster = nine();
        cluster.advance(Duration::from_secs(5));
        cluster.nodes[down].up = false;
        cluster.apply((down + 1) % 9, document(&[2_000]), None);
        cluster.until(LIMIT, "in force", |cluster| all_at(cluster, 2));
    }
}

#[test]
fn table_slow_after() {
    let mut cluster = nine();
    cluster.apply(0, document(&[2_000]), None);
    cluster.run();
    cluster.table.mood = Mood::Slow;
    cluster.until(LIMIT, "in force", |cluster| all_at(cluster, 2));
}

#[test]
fn zone_apart() {
    let mut cluster = nine();
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    cluster.apply(0, document(&[2_000]), None);
    cluster.advance(Duration::from_secs(30));
    assert_eq!((cluster.in_force(3), cluster.in_force(6)), (2, 1), "the cut zone has not heard");
    cluster.cuts.clear();
    cluster.until(LIMIT, "healed", |cluster| all_at(cluster, 2));
}

#[test]
fn zone_apart_reads() {
    let mut cluster = started(&ZONES, Settings::default());
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    cluster.apply(0, document(&[2_000]), None);
    let took = cluster.until(LIMIT, "read from the table", |cluster| all_at(cluster, 2));
    assert!(
        took < Duration::from_millis(1_300),
        "one of the zone reads often and tells the others: {took:?}"
    );
}

#[test]
fn far_behind() {
    let mut cluster = nine();
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    for change in 0..100 {
        cluster.apply(change % 6, document(&[2_000 + change as u64]), None);
        cluster.advance(Duration::from_millis(700));
    }
    cluster.cuts.clear();
    cluster.frames.clear();
    cluster.until(LIMIT, "healed", |cluster| all_at(cluster, 101));
    let whole = cluster.frames.iter().flat_map(|(_, frame, _)| &frame.items);
    assert!(whole.filter(|item| matches!(item, Item::Config(_))).count() > 0, "more steps than are kept");
}

#[test]
fn restart_never_back() {
    let mut cluster = nine();
    cluster.apply(0, document(&[2_000]), None);
    cluster.until(LIMIT, "in force", |cluster| all_at(cluster, 2));
    cluster.table.mood = Mood::Down;
    cluster.restart(5);
    cluster.until(LIMIT, "heard from peers", |cluster| cluster.nodes[5].ready);
    assert_eq!(cluster.in_force(5), 2);
}

#[test]
fn newcomer_unlisted() {
    let mut cluster = nine();
    cluster.table.mood = Mood::Down;
    let at = cluster.join("hall-b", false);
    cluster.until(LIMIT, "heard from peers", |cluster| cluster.nodes[at].ready);
    assert_eq!(cluster.in_force(at), 1);
}

#[test]
fn not_ready_behind() {
    let mut cluster = Cluster::new(&["hall-a"], Settings::default());
    cluster.table.mood = Mood::Down;
    cluster.advance(Duration::from_secs(1));
    let frame = |from: &str, config: u64, known: Option<u64>| {
        let head = |version| Head {
            version,
            op: id::Op { by: ONE, seq: version },
            document: document(&[version]).into(),
        };
        Event::FrameReceived(Box::new(Frame {
            from: from.into(),
            zone: "hall-a".into(),
            incarnation: ONE,
            seq: config + known.unwrap_or_default(),
            address: None,
            config,
            stopping: false,
            items: known.into_iter().map(|version| Item::Config(Box::new(head(version)))).collect(),
        }))
    };
    cluster.event(0, frame("entry-8", 2, None));
    cluster.event(0, frame("entry-9", 1, Some(1)));
    cluster.run();
    assert!(!cluster.nodes[0].ready, "it knows of a later one");
    cluster.event(0, frame("entry-8", 2, Some(2)));
    cluster.run();
    assert!(cluster.nodes[0].ready);
    cluster.event(0, frame("entry-9", 1, Some(1)));
    cluster.run();
    assert_eq!(cluster.in_force(0), 2, "and does not go back");
}

#[test]
fn deltas_are_exact() {
    let mut old = document(&[1_000, 2_000, 3_000]);
    let mut new = document(&[1_000, 2_500]);
    new.inventory.models.push(old.inventory.models[2].clone());
    new.inventory.models[2].name = "another".into();
    new.rules.weights.moves = 9.0;
    let delta = Delta::between(&old, &new).expect("changes in place");
    assert_eq!(delta.apply(&old), new);
    assert_eq!(delta.models.set.len(), 2);
    assert_eq!(delta.models.gone.len(), 1);
    old.inventory.models.swap(0, 1);
    assert_eq!(Delta::between(&old, &document(&[1_000, 2_000, 3_000])), None, "an order is sent whole");
}
