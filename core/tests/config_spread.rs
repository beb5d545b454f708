//! An accepted configuration comes into force at all entry VMs and is never replaced by an older one.

mod cluster;

use std::time::Duration;

use boragecove_core::config::{Delta, Head};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::peer::{Frame, Item};
use boragecove_core::settings::Settings;
use cluster::{Cluster, GROUP, Mode, document};

const LIMIT: Duration = Duration::from_mins(2);
const SENDER: Incarnation = Incarnation(999);
const ZONES: [&str; 9] =
    ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c", "hall-c"];

/// Nine entry VMs in three zones with a first configuration in force. None of them reads the table again
/// within a day.
fn nine_nodes() -> Cluster {
    let never = Duration::from_hours(24);
    let settings = Settings { config_every: never, config_first: never, ..Settings::default() };
    let mut cluster = new_cluster(&ZONES, settings);
    // Waits until the frequent reads of processes without a configuration have ended.
    cluster.advance(Duration::from_secs(30));
    cluster
}

fn new_cluster(zones: &[&str], settings: Settings) -> Cluster {
    let mut cluster = Cluster::new(zones, settings);
    cluster.add_engines(GROUP, &["hall-a", "hall-b", "hall-c"]);
    cluster.advance(Duration::from_secs(2));
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(1));
    cluster.advance_until(LIMIT, "ready", |cluster| cluster.nodes.iter().all(|node| node.ready));
    cluster
}

fn all_at(cluster: &mut Cluster, version: u64) -> bool {
    let up: Vec<usize> = (0..cluster.nodes.len()).filter(|node| cluster.nodes[*node].up).collect();
    up.into_iter().all(|node| cluster.in_force(node) == version)
}

#[test]
fn pushed_to_peers() {
    let mut cluster = nine_nodes();
    cluster.advance(Duration::from_secs(5));
    cluster.frames.clear();
    let ask = cluster.apply(4, document(&[2_000]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(2));
    assert!(all_at(&mut cluster, 2), "before any time passes");
    let is_full =
        |frame: &boragecove_core::peer::Frame| frame.items.iter().any(|item| matches!(item, Item::Config(_)));
    assert!(!cluster.frames.iter().any(|(_, frame, _)| is_full(frame)), "only what changed is sent");
}

#[test]
fn one_node_down() {
    for down in 0..9 {
        let mut cluster = nine_nodes();
        cluster.advance(Duration::from_secs(5));
        cluster.nodes[down].up = false;
        cluster.apply((down + 1) % 9, document(&[2_000]), None);
        cluster.advance_until(LIMIT, "in force", |cluster| all_at(cluster, 2));
    }
}

#[test]
fn table_delayed_after_accept() {
    let mut cluster = nine_nodes();
    cluster.apply(0, document(&[2_000]), None);
    cluster.run();
    cluster.table.mode = Mode::Delayed;
    cluster.advance_until(LIMIT, "in force", |cluster| all_at(cluster, 2));
}

#[test]
fn zone_cut_off() {
    let mut cluster = nine_nodes();
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    cluster.apply(0, document(&[2_000]), None);
    cluster.advance(Duration::from_secs(30));
    assert_eq!((cluster.in_force(3), cluster.in_force(6)), (2, 1), "the cut off zone has the old version");
    cluster.cuts.clear();
    cluster.advance_until(LIMIT, "in force after the cut", |cluster| all_at(cluster, 2));
}

#[test]
fn zone_cut_off_reads_table() {
    let mut cluster = new_cluster(&ZONES, Settings::default());
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    cluster.apply(0, document(&[2_000]), None);
    let took = cluster.advance_until(LIMIT, "read from the table", |cluster| all_at(cluster, 2));
    assert!(
        took < Duration::from_millis(1_300),
        "one entry VM of the zone reads often and informs the others: {took:?}"
    );
}

#[test]
fn far_behind() {
    let mut cluster = nine_nodes();
    cluster.cut("hall-a", "hall-c");
    cluster.cut("hall-b", "hall-c");
    for change in 0..100 {
        cluster.apply(change % 6, document(&[2_000 + change as u64]), None);
        cluster.advance(Duration::from_millis(700));
    }
    cluster.cuts.clear();
    cluster.frames.clear();
    cluster.advance_until(LIMIT, "in force after the cut", |cluster| all_at(cluster, 101));
    let items = cluster.frames.iter().flat_map(|(_, frame, _)| &frame.items);
    assert!(
        items.filter(|item| matches!(item, Item::Config(_))).count() > 0,
        "the full document is sent, since the steps are no longer kept"
    );
}

#[test]
fn restart_keeps_version() {
    let mut cluster = nine_nodes();
    cluster.apply(0, document(&[2_000]), None);
    cluster.advance_until(LIMIT, "in force", |cluster| all_at(cluster, 2));
    cluster.table.mode = Mode::Down;
    cluster.restart(5);
    cluster.advance_until(LIMIT, "received from peers", |cluster| cluster.nodes[5].ready);
    assert_eq!(cluster.in_force(5), 2);
}

#[test]
fn unlisted_node_gets_version() {
    let mut cluster = nine_nodes();
    cluster.table.mode = Mode::Down;
    let node = cluster.join("hall-b", false);
    cluster.advance_until(LIMIT, "received from peers", |cluster| cluster.nodes[node].ready);
    assert_eq!(cluster.in_force(node), 1);
}

#[test]
fn not_ready_while_outdated() {
    let mut cluster = Cluster::new(&["hall-a"], Settings::default());
    cluster.table.mode = Mode::Down;
    cluster.advance(Duration::from_secs(1));
    let frame = |from: &str, config: u64, known: Option<u64>| {
        let head = |version| Head {
            version,
            op: id::Op { by: SENDER, seq: version },
            document: document(&[version]).into(),
        };
        Event::FrameReceived(Box::new(Frame {
            from: from.into(),
            zone: "hall-a".into(),
            incarnation: SENDER,
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
    assert!(!cluster.nodes[0].ready, "a later version is known");
    cluster.event(0, frame("entry-8", 2, Some(2)));
    cluster.run();
    assert!(cluster.nodes[0].ready);
    cluster.event(0, frame("entry-9", 1, Some(1)));
    cluster.run();
    assert_eq!(cluster.in_force(0), 2, "the older version is ignored");
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
    assert_eq!(
        Delta::between(&old, &document(&[1_000, 2_000, 3_000])),
        None,
        "a changed order needs the full document"
    );
}
