//! Orders to a stand-in engine: repeated ids, fencing numbers, memory, adapters, work under way.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::engine::{Action, Fence, Order, Receipt, Report, Stage};
use boragecove_core::id::{self, Incarnation};
use boragecove_standin::engine::{Engine, Settings, Weights};
use boragecove_standin::fault::{Fault, Kind, Scope};
use boragecove_standin::server::loopback;
use boragecove_wire::{header, path};
use serde_json::json;

fn base(model: &str) -> Artifact {
    Artifact { model: model.into(), adapter: None, version: "1".into() }
}

fn adapter(model: &str, adapter: &str) -> Artifact {
    Artifact { adapter: Some(adapter.into()), ..base(model) }
}

fn order(seq: u64, fence: u64, action: Action) -> Order {
    let id = id::Order { by: Incarnation(1), seq };
    Order { id, fence: Fence(fence), meant_for: Incarnation::default(), action }
}

fn load(seq: u64, fence: u64, artifact: Artifact, memory_mb: u64) -> Order {
    order(seq, fence, Action::Load { artifact, memory_mb })
}

/// Sends an order, meant for the engine as it is now.
async fn send(engine: &Engine, to: SocketAddr, order: &Order) -> Receipt {
    post(to, &Order { meant_for: engine.report().incarnation, ..order.clone() }).await
}

async fn post(to: SocketAddr, order: &Order) -> Receipt {
    let url = format!("http://{to}{}", path::ORDERS);
    let mut answer = awc::Client::default().post(url).send_json(order).await.expect("an answer");
    answer.json().await.expect("a receipt")
}

/// Reads reports until one satisfies the condition.
async fn until(engine: &Engine, what: impl Fn(&Report) -> bool) -> Report {
    loop {
        let report = engine.report();
        if what(&report) {
            return report;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn ready(report: &Report, artifact: &Artifact) -> bool {
    report.copies.iter().any(|copy| copy.artifact == *artifact && copy.stage == Stage::Ready)
}

#[actix_web::test]
async fn repeated_order() {
    let engine = Engine::new(Settings::default());
    let at = engine.start(loopback()).expect("a listener").address();
    let first = load(1, 1, base("a"), 9_000);
    assert_eq!(send(&engine, at, &first).await, Receipt::Taken);
    let report = until(&engine, |report| ready(report, &base("a"))).await;
    assert_eq!(report.ended.iter().filter(|ended| ended.order == first.id && ended.done).count(), 1);

    assert_eq!(send(&engine, at, &order(2, 1, Action::Unload { artifact: base("a") })).await, Receipt::Taken);
    until(&engine, |report| report.copies.is_empty()).await;
    assert_eq!(send(&engine, at, &first).await, Receipt::Taken, "the first receipt again");
    let report = engine.report();
    assert!(report.copies.is_empty(), "a late repetition has no effect: {report:?}");
    assert_eq!(report.ended.len(), 2);
}

#[actix_web::test]
async fn restarted_engine() {
    let engine = Engine::new(Settings::default());
    let at = engine.start(loopback()).expect("a listener").address();
    let before = engine.report().incarnation;
    engine.restart();
    let late = Order { meant_for: before, ..load(1, 1, base("a"), 9_000) };
    assert_eq!(post(at, &late).await, Receipt::Restarted);
    assert!(engine.report().copies.is_empty(), "an order for an earlier incarnation has no effect");
    assert_eq!(send(&engine, at, &load(2, 1, base("a"), 9_000)).await, Receipt::Taken);
}

#[actix_web::test]
async fn old_fence() {
    let engine = Engine::new(Settings::default());
    let at = engine.start(loopback()).expect("a listener").address();
    assert_eq!(send(&engine, at, &order(1, 7, Action::Raise)).await, Receipt::Taken);
    assert_eq!(send(&engine, at, &load(2, 6, base("a"), 1)).await, Receipt::Stale { seen: Fence(7) });
    engine.faults().add(Fault::next(Kind::IgnoreFences, Scope::Order, 1));
    assert_eq!(send(&engine, at, &load(3, 6, base("b"), 1)).await, Receipt::Taken);
    let report = engine.report();
    assert_eq!(report.fence, Fence(7));
    assert_eq!(report.copies.len(), 1);
}

#[actix_web::test]
async fn never_overcommitted() {
    let weights = Weights::Fixed(Duration::from_millis(5));
    let engine = Engine::new(Settings { memory_mb: 10_000, weights, ..Settings::default() });
    let at = engine.start(loopback()).expect("a listener").address();
    assert_eq!(send(&engine, at, &load(1, 1, base("a"), 6_000)).await, Receipt::Taken);
    assert_eq!(send(&engine, at, &load(2, 1, base("b"), 6_000)).await, Receipt::Full { free_mb: 4_000 });
    assert_eq!(send(&engine, at, &load(3, 1, base("c"), 4_000)).await, Receipt::Taken);
    until(&engine, |report| ready(report, &base("a")) && ready(report, &base("c"))).await;
    assert_eq!(send(&engine, at, &load(4, 1, base("d"), 1)).await, Receipt::Full { free_mb: 0 });
    assert_eq!(engine.peak_mb(), 10_000);
}

#[actix_web::test]
async fn adapter_base() {
    let engine = Engine::new(Settings::default());
    let at = engine.start(loopback()).expect("a listener").address();
    assert_eq!(send(&engine, at, &load(1, 1, adapter("a", "x"), 10)).await, Receipt::Invalid, "no model yet");
    assert!(engine.preload(&base("a"), 5_000));
    assert_eq!(send(&engine, at, &load(2, 1, adapter("a", "x"), 10)).await, Receipt::Taken);
    until(&engine, |report| ready(report, &adapter("a", "x"))).await;
    let unload = Action::Unload { artifact: base("a") };
    assert_eq!(send(&engine, at, &order(3, 1, unload.clone())).await, Receipt::Busy, "its adapter is held");
    assert_eq!(
        send(&engine, at, &order(4, 1, Action::Unload { artifact: adapter("a", "x") })).await,
        Receipt::Taken
    );
    assert_eq!(send(&engine, at, &order(5, 1, unload)).await, Receipt::Taken);
}

#[actix_web::test]
async fn unload_waits() {
    let engine = Engine::new(Settings { slots: 1, ..Settings::default() });
    let at = engine.start(loopback()).expect("a listener").address();
    assert!(engine.preload(&base("a"), 5_000));
    engine.faults().add(Fault::always(Kind::Stall(1), Scope::Completion));
    let stream = awc::Client::default()
        .post(format!("http://{at}{}", path::COMPLETIONS))
        .insert_header((header::ARTIFACT, base("a").to_string()))
        .insert_header((header::ATTEMPT, "1-1-1"))
        .send_json(&json!({ "model": "m", "prompt": "p", "stream": true }))
        .await
        .expect("a stream");
    assert!(stream.status().is_success());
    let unload = |seq| order(seq, 1, Action::Unload { artifact: base("a") });
    assert_eq!(send(&engine, at, &unload(1)).await, Receipt::Busy);
    let cancel = format!("http://{at}/engine/attempts/1-1-1");
    awc::Client::default().delete(cancel).send().await.expect("an answer");
    until(&engine, |report| report.running == 0).await;
    assert_eq!(send(&engine, at, &unload(2)).await, Receipt::Taken);
}
