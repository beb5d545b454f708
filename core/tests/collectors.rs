//! One entry VM reads each engine's reports, and the rest of the zone hears of them.

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
fn started() -> Cluster {
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

/// Which nodes polled each engine since `polls` was cleared.
fn pollers(cluster: &Cluster) -> BTreeMap<Name, BTreeSet<usize>> {
    let mut pollers: BTreeMap<Name, BTreeSet<usize>> = BTreeMap::new();
    for (node, engine) in &cluster.polls {
        pollers.entry(engine.clone()).or_default().insert(*node);
    }
    pollers
}

fn fresh(cluster: &mut Cluster, node: usize) -> bool {
    let engines = engines(cluster, node);
    engines.len() == ENGINES && engines.iter().all(|engine| engine.memory_mb == 24_000)
}

#[test]
fn one_each() {
    let mut cluster = started();
    cluster.polls.clear();
    cluster.advance(Duration::from_secs(10));
    let pollers = pollers(&cluster);
    assert_eq!(pollers.len(), ENGINES + 1, "every engine is polled");
    assert!(pollers.values().all(|nodes| nodes.len() == 1), "by one entry VM: {pollers:?}");
    let shares: BTreeSet<usize> = pollers.values().flatten().copied().collect();
    assert!(shares.len() > 2, "the work is shared: {pollers:?}");
    for (engine, nodes) in &pollers {
        let zone = &cluster.vms.iter().find(|vm| vm.name == *engine).expect("it is listed").zone;
        assert!(nodes.iter().all(|node| cluster.nodes[*node].zone == *zone), "{engine} by its own zone");
    }
    for node in 0..4 {
        assert!(fresh(&mut cluster, node), "everyone in the zone knows of all");
        let engines = engines(&mut cluster, node);
        let oldest = engines.iter().filter_map(|engine| engine.report_age_ms).max();
        assert!(oldest.is_some_and(|ms| ms < 2_000), "and knows that it is still so: {oldest:?}");
    }
}

#[test]
fn loads_as_deltas() {
    let mut cluster = started();
    let name = cluster.vms[5].name.clone();
    cluster.frames.clear();
    let report = cluster.reports.get_mut(&name).expect("it reports");
    report.running = 7;
    let knows = |engine: &Engine| engine.name == name && engine.running == 7;
    cluster.until(LIMIT, "told", |cluster| (0..4).all(|node| engines(cluster, node).iter().any(knows)));
    let items = || cluster.frames.iter().flat_map(|(_, frame, _)| &frame.items);
    assert!(
        items().any(|item| matches!(item, Item::Loads(loads) if loads.iter().any(|load| load.running == 7)))
    );
    assert!(!items().any(|item| matches!(item, Item::Report(_))), "only what changed");
}

#[test]
fn copies_at_once() {
    let mut cluster = started();
    let name = cluster.vms[5].name.clone();
    cluster.reports.get_mut(&name).expect("it reports").copies.push(copy("model-0"));
    cluster.polls.clear();
    cluster.until(LIMIT, "polled", |cluster| cluster.polls.iter().any(|(_, engine)| *engine == name));
    cluster.run();
    for node in 0..4 {
        let engines = engines(&mut cluster, node);
        assert!(engines.iter().any(|engine| engine.name == name && engine.copies == 1), "seen by {node}");
    }
}

#[test]
fn taken_over() {
    for stop in [false, true] {
        let mut cluster = started();
        // Without the VM list, only the peers' frames tell.
        cluster.apart.extend(0..5);
        cluster.polls.clear();
        cluster.advance(Duration::from_secs(1));
        let gone = cluster.polls.iter().map(|(node, _)| *node).find(|node| *node < 4).expect("a collector");
        if stop {
            cluster.event(gone, Event::Stop);
        } else {
            cluster.nodes[gone].up = false;
        }
        cluster.until(LIMIT, "others poll all", |cluster| {
            cluster.polls.clear();
            cluster.advance(Duration::from_secs(1));
            let pollers = pollers(cluster);
            pollers.len() == ENGINES + 1 && pollers.values().all(|nodes| !nodes.contains(&gone))
        });
        let rest: Vec<usize> = (0..4).filter(|node| *node != gone).collect();
        cluster.until(LIMIT, "everyone hears", |cluster| {
            rest.iter()
                .all(|node| engines(cluster, *node).iter().all(|engine| engine.report_age_ms.is_some()))
        });
    }
}

#[test]
fn first_contact() {
    let mut cluster = started();
    cluster.restart(1);
    cluster.until(LIMIT, "told all", |cluster| fresh(cluster, 1));
    let at = cluster.join("hall-a", false);
    cluster.until(LIMIT, "told all", |cluster| fresh(cluster, at));
}

/// Frames that got lost without anyone noticing: the next load does not fit, and the whole is asked for.
#[test]
fn gap_filled() {
    let mut cluster = started();
    cluster.polls.clear();
    cluster.advance(Duration::from_secs(1));
    let (collector, name) = cluster.polls.iter().find(|(node, _)| *node < 4).expect("a collector").clone();
    let other = (0..4).find(|node| *node != collector).expect("another");
    cluster.deaf.insert(other);
    cluster.reports.get_mut(&name).expect("it reports").copies.push(copy("model-0"));
    cluster.advance(Duration::from_secs(1));
    cluster.deaf.clear();
    assert!(engines(&mut cluster, other).iter().all(|engine| engine.copies == 0), "it has missed it");
    let mut running = 0;
    cluster.until(LIMIT, "made good", |cluster| {
        running += 1;
        let report = cluster.reports.get_mut(&name).expect("it reports");
        report.running = running % 7;
        engines(cluster, other).iter().any(|engine| engine.name == name && engine.copies == 1)
    });
}
