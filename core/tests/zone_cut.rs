//! Zones that can't reach each other or the platform, and their behaviour when they can again.

mod cluster;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::operator::{Answer, Model, Query};
use boragecove_core::peer::{Extent, Item};
use boragecove_core::settings::Settings;
use boragecove_core::vm::Phase;
use cluster::{Cluster, GROUP, Mode, copy, document};

const LIMIT: Duration = Duration::from_mins(2);

/// Three entry VMs and two engines in each of two zones; the model is ready in the first zone.
fn new_cluster() -> Cluster {
    let zones = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b"];
    let mut cluster = Cluster::new(&zones, Settings::default());
    cluster.add_engines(GROUP, &["hall-a", "hall-a", "hall-b", "hall-b"]);
    let holder = cluster.vms[6].name.clone();
    cluster.reports.get_mut(&holder).expect("it reports").copies.push(copy("model-0"));
    cluster.advance(Duration::from_secs(2));
    cluster.apply(0, document(&[1_000]), None);
    cluster.advance(Duration::from_secs(10));
    cluster
}

fn models(cluster: &mut Cluster, node: usize) -> Vec<Model> {
    let ask = cluster.ask(node, Query::Models);
    cluster.run();
    match cluster.answer(ask) {
        Some(Answer::Models(models)) => models.clone(),
        other => panic!("no models: {other:?}"),
    }
}

/// Whether a node of the second zone knows that the first holds the model ready.
fn offered(cluster: &mut Cluster, node: usize) -> bool {
    models(cluster, node)[0].zones.iter().any(|zone| *zone == "hall-a")
}

fn all_offered(cluster: &mut Cluster) -> bool {
    (3..6).all(|node| offered(cluster, node))
}

#[test]
fn offers_spread() {
    let mut cluster = new_cluster();
    cluster.advance_until(LIMIT, "offered", all_offered);
    let holder = cluster.vms[6].name.clone();
    cluster.reports.get_mut(&holder).expect("it reports").copies.clear();
    cluster.advance_until(Duration::from_secs(3), "withdrawn", |cluster| {
        (3..6).all(|node| !offered(cluster, node))
    });
}

#[test]
fn offers_expire() {
    let mut cluster = new_cluster();
    cluster.advance_until(LIMIT, "offered", all_offered);
    cluster.cut("hall-a", "hall-b");
    cluster.advance_until(LIMIT, "expired", |cluster| (3..6).all(|node| !offered(cluster, node)));
    cluster.cuts.clear();
    cluster.advance_until(LIMIT, "offered again", all_offered);
}

/// A zone cut off from the platform keeps its configuration and receives changes from peers. During the cut
/// and after it, it makes at most twice as many table calls as usual.
#[test]
fn no_call_burst_after_cut() {
    const WINDOW: Duration = Duration::from_secs(10);
    let mut cluster = new_cluster();
    let calls = |cluster: &mut Cluster| {
        cluster.table.calls = 0;
        cluster.advance(WINDOW);
        cluster.table.calls
    };
    cluster.advance(Duration::from_mins(1));
    let before = calls(&mut cluster);
    cluster.isolated.extend([3, 4, 5]);
    cluster.advance(Duration::from_mins(10));
    let during = calls(&mut cluster);
    cluster.apply(0, document(&[1_100]), None);
    cluster.advance(Duration::from_secs(5));
    assert_eq!((cluster.in_force(0), cluster.in_force(5)), (2, 2), "received through the first zone");
    cluster.isolated.clear();
    let after = calls(&mut cluster);
    println!(
        "calls of the table in {WINDOW:?}: {before} before the cut, {during} during it, {after} after it"
    );
    assert!(after <= before * 2, "{after} after, {before} before");
    assert!(during <= before * 2, "{during} during, {before} before");
}

#[test]
fn platform_down() {
    let mut cluster = new_cluster();
    cluster.table.mode = Mode::Down;
    cluster.advance(Duration::from_mins(10));
    assert!((0..6).all(|node| cluster.in_force(node) == 1 && cluster.nodes[node].ready));
    let ask = cluster.apply(0, document(&[1_100]), None);
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::NotAccepted));
    cluster.table.mode = Mode::Up;
    let ask = cluster.apply(0, document(&[1_200]), None);
    cluster.advance_until(LIMIT, "in force", |cluster| (0..6).all(|node| cluster.in_force(node) == 2));
    assert_eq!(cluster.version(ask), Some(2));
}

/// A backend server that an operator took out of use stays out, although the VM list shows it as live and an
/// entry VM restarts.
#[test]
fn drain_persists() {
    let mut cluster = new_cluster();
    let name = cluster.vms[6].name.clone();
    let is_drained = |cluster: &mut Cluster, node: usize| {
        let ask = cluster.ask(node, Query::Engines);
        cluster.run();
        let Some(Answer::Engines(engines)) = cluster.answer(ask) else {
            panic!("no engines: {:?}", cluster.answer(ask));
        };
        engines.iter().any(|engine| engine.name == name && engine.phase == Phase::Leaving)
    };
    let ask = cluster.ask(1, Query::Drain { backend: name.clone(), out: true });
    cluster.run();
    assert_eq!(cluster.answer(ask), Some(&Answer::Done));
    assert!((0..3).all(|node| is_drained(&mut cluster, node)), "immediately");
    cluster.advance(Duration::from_mins(5));
    cluster.restart(1);
    cluster.advance_until(LIMIT, "received again after a restart", |cluster| is_drained(cluster, 1));
    cluster.ask(2, Query::Drain { backend: name.clone(), out: false });
    cluster.run();
    assert!((0..3).all(|node| !is_drained(&mut cluster, node)), "back in use");

    let other = cluster.vms[8].name.clone();
    let ask = cluster.ask(0, Query::Drain { backend: other, out: true });
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::UnknownVm), "of another zone");
}

/// A small change of load is not sent to other zones; a large one is sent within a few seconds.
#[test]
fn small_load_changes_not_sent() {
    let mut cluster = new_cluster();
    let holder = cluster.vms[6].name.clone();
    let loads = |cluster: &Cluster, wanted: fn(Extent) -> bool| -> Vec<u32> {
        let items = cluster.frames.iter().flat_map(|(_, frame, _)| &frame.items);
        let summaries = items.filter_map(|item| match item {
            Item::Summary(summary) if summary.zone == "hall-a" && wanted(summary.extent) => Some(summary),
            _ => None,
        });
        summaries.flat_map(|summary| &summary.offers).map(|offer| offer.load).collect()
    };
    cluster.frames.clear();
    cluster.reports.get_mut(&holder).expect("it reports").running = 1;
    cluster.advance(Duration::from_secs(30));
    assert_eq!(loads(&cluster, |extent| extent == Extent::Changes), [], "a change by one eighth is not sent");
    cluster.reports.get_mut(&holder).expect("it reports").running = 8;
    cluster.advance_until(Duration::from_secs(10), "sent", |cluster| loads(cluster, |_| true).contains(&8));
}
