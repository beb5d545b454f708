//! Zones that cannot reach each other or the platform, and what they make of it when they can again.

mod cluster;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::operator::{Answer, Model, Query};
use boragecove_core::peer::{Extent, Item};
use boragecove_core::settings::Settings;
use boragecove_core::vm::Phase;
use cluster::{Cluster, GROUP, Mood, copy, document};

const LIMIT: Duration = Duration::from_mins(2);

/// Three entry VMs and two engines in each of two zones; the model is ready in the first.
fn started() -> Cluster {
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
    let mut cluster = started();
    cluster.until(LIMIT, "offered", all_offered);
    let holder = cluster.vms[6].name.clone();
    cluster.reports.get_mut(&holder).expect("it reports").copies.clear();
    cluster.until(Duration::from_secs(3), "withdrawn", |cluster| (3..6).all(|node| !offered(cluster, node)));
}

#[test]
fn offers_expire() {
    let mut cluster = started();
    cluster.until(LIMIT, "offered", all_offered);
    cluster.cut("hall-a", "hall-b");
    cluster.until(LIMIT, "expired", |cluster| (3..6).all(|node| !offered(cluster, node)));
    cluster.cuts.clear();
    cluster.until(LIMIT, "offered again", all_offered);
}

/// A zone cut off from the platform keeps the configuration, hears of changes from its peers, and makes no
/// more calls when it is back than it makes at other times.
#[test]
fn no_storm() {
    const WINDOW: Duration = Duration::from_secs(10);
    let mut cluster = started();
    let calls = |cluster: &mut Cluster| {
        cluster.table.calls = 0;
        cluster.advance(WINDOW);
        cluster.table.calls
    };
    cluster.advance(Duration::from_mins(1));
    let usual = calls(&mut cluster);
    cluster.apart.extend([3, 4, 5]);
    cluster.advance(Duration::from_mins(10));
    let meanwhile = calls(&mut cluster);
    cluster.apply(0, document(&[1_100]), None);
    cluster.advance(Duration::from_secs(5));
    assert_eq!((cluster.in_force(0), cluster.in_force(5)), (2, 2), "heard by way of the first zone");
    cluster.apart.clear();
    let back = calls(&mut cluster);
    println!(
        "calls of the table in {WINDOW:?}: {usual} at other times, {meanwhile} cut off, {back} once back"
    );
    assert!(back <= usual * 2, "{back} against {usual}");
    assert!(meanwhile <= usual * 2, "{meanwhile} against {usual}");
}

#[test]
fn all_down() {
    let mut cluster = started();
    cluster.table.mood = Mood::Down;
    cluster.advance(Duration::from_mins(10));
    assert!((0..6).all(|node| cluster.in_force(node) == 1 && cluster.nodes[node].ready));
    let ask = cluster.apply(0, document(&[1_100]), None);
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::NotAccepted));
    cluster.table.mood = Mood::Up;
    let ask = cluster.apply(0, document(&[1_200]), None);
    cluster.until(LIMIT, "in force", |cluster| (0..6).all(|node| cluster.in_force(node) == 2));
    assert_eq!(cluster.version(ask), Some(2));
}

/// A back end that an operator took out of use stays out, whatever the list says and whoever starts anew.
#[test]
fn drained_stays() {
    let mut cluster = started();
    let name = cluster.vms[6].name.clone();
    let out = |cluster: &mut Cluster, node: usize| {
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
    assert!((0..3).all(|node| out(&mut cluster, node)), "at once");
    cluster.advance(Duration::from_mins(5));
    cluster.restart(1);
    cluster.until(LIMIT, "told anew", |cluster| out(cluster, 1));
    cluster.ask(2, Query::Drain { backend: name.clone(), out: false });
    cluster.run();
    assert!((0..3).all(|node| !out(&mut cluster, node)), "back in use");

    let other = cluster.vms[8].name.clone();
    let ask = cluster.ask(0, Query::Drain { backend: other, out: true });
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::UnknownVm), "of another zone");
}

/// Load that hardly changes is not told; load that does is, before long.
#[test]
fn load_seldom() {
    let mut cluster = started();
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
    assert_eq!(loads(&cluster, |extent| extent == Extent::Changes), [], "an eighth is no news");
    cluster.reports.get_mut(&holder).expect("it reports").running = 8;
    cluster.until(Duration::from_secs(10), "told", |cluster| loads(cluster, |_| true).contains(&8));
}
