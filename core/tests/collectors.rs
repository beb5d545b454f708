//! Each engine is polled by one entry VM, which sends the reports to the rest of its zone.

mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use boragecove_core::event::Event;
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Engine, Query};
use boragecove_core::peer::Item;
use boragecove_core::settings::Settings;
use cluster::{Cluster, GROUP, copy, document};

const LIMIT: Duration = Duration::from_mins(2);
const ENGINES: usize = 8;

/// Four entry VMs and eight engines in one zone, one of each in another.
fn new_cluster() -> Cluster {
    let mut cluster = Cluster::new(&["hall-a", "hall-a", "hall-a", "hall-a", "hall-b"], Settings::default());
    cluster.add_engines(GROUP, &["hall-a"; ENGINES]);
    cluster.add_engines(GROUP, &["hall-b"]);
    cluster.advance(Duration::from_secs(2));
    cluster.apply(0, document(&[1_000]), None);
    cluster.advance(Duration::from_secs(10));
    cluster
}

fn engines(cluster: &mut Cluster, node: usize) -> Vec<Engine> {
    let ask = cluster.ask(node, Query::Engines);
    cluster.run();
    match cluster.answer(ask) {
        Some(Answer::Engines(engines)) => engines.clone(),
        other => panic!("no engines: {other:?}"),
    }
}

/// The nodes that polled each engine since `polls` was cleared.
fn pollers(cluster: &Cluster) -> BTreeMap<Name, BTreeSet<usize>> {
    let mut pollers: BTreeMap<Name, BTreeSet<usize>> = BTreeMap::new();
    for (node, engine) in &cluster.polls {
        pollers.entry(engine.clone()).or_default().insert(*node);
    }
    pollers
}

fn knows_all_engines(cluster: &mut Cluster, node: usize) -> bool {
    let engines = engines(cluster, node);
    engines.len() == ENGINES && engines.iter().all(|engine| engine.memory_mb == 24_000)
}

#[test]
fn one_collector_per_engine() {
    let mut cluster = new_cluster();
    cluster.polls.clear();
    cluster.advance(Duration::from_secs(10));
    let pollers = pollers(&cluster);
    assert_eq!(pollers.len(), ENGINES + 1, "every engine is polled");
    assert!(pollers.values().all(|nodes| nodes.len() == 1), "each by one entry VM: {pollers:?}");
    let shares: BTreeSet<usize> = pollers.values().flatten().copied().collect();
    assert!(shares.len() > 2, "polling is distributed: {pollers:?}");
    for (engine, nodes) in &pollers {
        let zone = &cluster.vms.iter().find(|vm| vm.name == *engine).expect("the engine is listed").zone;
        assert!(nodes.iter().all(|node| cluster.nodes[*node].zone == *zone), "{engine} by its own zone");
    }
    for node in 0..4 {
        assert!(knows_all_engines(&mut cluster, node), "all entry VMs of the zone know all engines");
        let engines = engines(&mut cluster, node);
        let oldest = engines.iter().filter_map(|engine| engine.report_age_ms).max();
        assert!(oldest.is_some_and(|ms| ms < 2_000), "reports are recent: {oldest:?}");
    }
}

#[test]
fn load_sent_without_report() {
    let mut cluster = new_cluster();
    let name = cluster.vms[5].name.clone();
    cluster.frames.clear();
    let report = cluster.reports.get_mut(&name).expect("it reports");
    report.running = 7;
    let has_load = |engine: &Engine| engine.name == name && engine.running == 7;
    cluster.advance_until(LIMIT, "load received", |cluster| {
        (0..4).all(|node| engines(cluster, node).iter().any(has_load))
    });
    let items = || cluster.frames.iter().flat_map(|(_, frame, _)| &frame.items);
    assert!(
        items().any(|item| matches!(item, Item::Loads(loads) if loads.iter().any(|load| load.running == 7)))
    );
    assert!(!items().any(|item| matches!(item, Item::Report(_))), "no full report is sent");
}

#[test]
fn changed_copies_sent_immediately() {
    let mut cluster = new_cluster();
    let name = cluster.vms[5].name.clone();
    cluster.reports.get_mut(&name).expect("it reports").copies.push(copy("model-0"));
    cluster.polls.clear();
    cluster.advance_until(LIMIT, "polled", |cluster| cluster.polls.iter().any(|(_, engine)| *engine == name));
    cluster.run();
    for node in 0..4 {
        let engines = engines(&mut cluster, node);
        assert!(engines.iter().any(|engine| engine.name == name && engine.copies == 1), "seen by {node}");
    }
}

#[test]
fn collector_replaced() {
    for stop in [false, true] {
        let mut cluster = new_cluster();
        // Without the VM list, nodes learn of the stop or failure only from frames.
        cluster.isolated.extend(0..5);
        cluster.polls.clear();
        cluster.advance(Duration::from_secs(1));
        let collector =
            cluster.polls.iter().map(|(node, _)| *node).find(|node| *node < 4).expect("a collector");
        if stop {
            cluster.event(collector, Event::Stop);
        } else {
            cluster.nodes[collector].up = false;
        }
        cluster.advance_until(LIMIT, "other entry VMs poll all engines", |cluster| {
            cluster.polls.clear();
            cluster.advance(Duration::from_secs(1));
            let pollers = pollers(cluster);
            pollers.len() == ENGINES + 1 && pollers.values().all(|nodes| !nodes.contains(&collector))
        });
        let others: Vec<usize> = (0..4).filter(|node| *node != collector).collect();
        cluster.advance_until(LIMIT, "reports received", |cluster| {
            others
                .iter()
                .all(|node| engines(cluster, *node).iter().all(|engine| engine.report_age_ms.is_some()))
        });
    }
}

#[test]
fn new_process_gets_all_reports() {
    let mut cluster = new_cluster();
    cluster.restart(1);
    cluster.advance_until(LIMIT, "all reports received", |cluster| knows_all_engines(cluster, 1));
    let node = cluster.join("hall-a", false);
    cluster.advance_until(LIMIT, "all reports received", |cluster| knows_all_engines(cluster, node));
}

/// A frame with a full report is lost without an error. The next load then does not match the known report,
/// so the receiver must ask for the full report.
#[test]
fn lost_report_requested() {
    let mut cluster = new_cluster();
    cluster.polls.clear();
    cluster.advance(Duration::from_secs(1));
    let (collector, name) = cluster.polls.iter().find(|(node, _)| *node < 4).expect("a collector").clone();
    let other = (0..4).find(|node| *node != collector).expect("another");
    cluster.not_receiving.insert(other);
    cluster.reports.get_mut(&name).expect("it reports").copies.push(copy("model-0"));
    cluster.advance(Duration::from_secs(1));
    cluster.not_receiving.clear();
    assert!(
        engines(&mut cluster, other).iter().all(|engine| engine.copies == 0),
        "the report with the copy was lost"
    );
    let mut running = 0;
    cluster.advance_until(LIMIT, "copy known", |cluster| {
        running += 1;
        let report = cluster.reports.get_mut(&name).expect("it reports");
        report.running = running % 7;
        engines(cluster, other).iter().any(|engine| engine.name == name && engine.copies == 1)
    });
}
