//! Requests inside a stand-in engine: order of service, restart, prefix cache, KV cache.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::engine::CacheUpdate;
use boragecove_core::request::{BLOCK_BYTES, prefix_hashes};
use boragecove_standin::engine::{Engine, Settings};
use boragecove_standin::fault::{Fault, Kind, Scope};
use boragecove_standin::server::loopback;
use boragecove_wire::{header, path};
use serde_json::json;

fn artifact() -> Artifact {
    Artifact { model: "gloss".into(), adapter: None, version: "1".into() }
}

fn engine(settings: Settings) -> (Engine, SocketAddr) {
    let engine = Engine::new(settings);
    assert!(engine.preload(&artifact(), 1_000));
    let address = engine.start(loopback()).expect("a listener").address();
    (engine, address)
}

/// Sends a completion and returns its status.
async fn complete(at: SocketAddr, attempt: &str, prompt: &str) -> Option<u16> {
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client
        .post(format!("http://{at}{}", path::COMPLETIONS))
        .insert_header((header::ARTIFACT, artifact().to_string()))
        .insert_header((header::ATTEMPT, attempt));
    request
        .send_json(&json!({ "model": "m", "prompt": prompt }))
        .await
        .ok()
        .map(|answer| answer.status().as_u16())
}

async fn cancel(at: SocketAddr, attempt: &str) {
    let url = format!("http://{at}/engine/attempts/{attempt}");
    let answer = awc::Client::default().delete(url).send().await.expect("an answer");
    assert_eq!(answer.status(), 204);
}

async fn until(what: impl Fn() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[actix_web::test]
async fn first_come_first_served() {
    let (engine, at) = engine(Settings { slots: 1, ..Settings::default() });
    engine.faults().add(Fault::next(Kind::Stall(0), Scope::Completion, 1));
    actix_rt::spawn(complete(at, "1-1-1", "p0"));
    until(|| engine.report().running == 1).await;
    for n in 1..=3 {
        actix_rt::spawn(async move { complete(at, &format!("1-{n}-2"), &format!("p{n}")).await });
        until(|| engine.report().waiting == n).await;
    }
    cancel(at, "1-2-2").await;
    until(|| engine.report().waiting == 2).await;
    cancel(at, "1-1-1").await;
    until(|| engine.idle()).await;
    let prompts: Vec<String> = engine.runs().into_iter().map(|run| run.prompt).collect();
    assert_eq!(prompts, ["p0", "p1", "p3"], "in order, without the one cancelled in the queue");
}

#[actix_web::test]
async fn late_in_queue() {
    let (engine, at) = engine(Settings { slots: 1, ..Settings::default() });
    engine.faults().add(Fault::next(Kind::Stall(0), Scope::Completion, 1));
    actix_rt::spawn(complete(at, "1-1-1", "p0"));
    until(|| engine.report().running == 1).await;
    let late = awc::Client::builder()
        .disable_timeout()
        .finish()
        .post(format!("http://{at}{}", path::COMPLETIONS))
        .insert_header((header::ARTIFACT, artifact().to_string()))
        .insert_header((header::DEADLINE_MS, "1"))
        .send_json(&json!({ "model": "m", "prompt": "p1" }))
        .await
        .expect("an answer");
    assert_eq!(
        (late.status().as_u16(), late.headers().get(header::REFUSAL).expect("a reason").as_bytes()),
        (408, b"late".as_slice())
    );
    assert_eq!(engine.runs_of("p1"), 0);
}

#[actix_web::test]
async fn restart_empties() {
    let (engine, at) = engine(Settings::default());
    engine.faults().add(Fault::next(Kind::Stall(0), Scope::Completion, 1));
    let running = actix_rt::spawn(complete(at, "1-1-1", "p0"));
    until(|| engine.report().running == 1).await;
    let before = engine.report();
    engine.restart();
    assert_eq!(running.await.expect("it ends"), None, "what ran broke off");
    let after = engine.report();
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!((after.copies.len(), after.running, after.seq), (0, 0, 1));
    assert_eq!(complete(at, "1-1-2", "p0").await, Some(404));
}

async fn cache(at: SocketAddr, from: u64) -> CacheUpdate {
    let url = format!("http://{at}{}?from={from}", path::CACHE);
    awc::Client::default().get(url).send().await.expect("an answer").json().await.expect("an update")
}

#[actix_web::test]
async fn cache_events() {
    let (engine, at) = engine(Settings { cache_blocks: 2, ..Settings::default() });
    let prompt = |letter: &str| letter.repeat(BLOCK_BYTES);
    let hash = |letter: &str| prefix_hashes(prompt(letter).as_bytes())[0];
    for letter in ["a", "b", "c"] {
        complete(at, "1-1-1", &prompt(letter)).await;
    }
    let update = cache(at, 0).await;
    assert_eq!((update.seq, update.cleared), (0, true));
    assert_eq!(update.stored, [hash("a"), hash("b"), hash("c")]);
    assert!(update.evicted.is_empty(), "an event that takes back another comes in the next update");
    assert_eq!(cache(at, 3).await.evicted, [hash("a")]);

    let imported = format!("http://{at}/engine/kv/1-2-1");
    awc::Client::default().put(imported).send_body(prompt("d")).await.expect("an answer");
    assert_eq!(cache(at, 4).await.stored, [hash("d")]);

    engine.faults().add(Fault::next(Kind::Forget, Scope::Cache, 1));
    assert_eq!(cache(at, 4).await.seq, 6, "a gap");
    engine.restart();
    assert!(cache(at, 6).await.cleared);
}

#[actix_web::test]
async fn kv_export() {
    let (_engine, at) = engine(Settings::default());
    complete(at, "1-1-1", "a prompt").await;
    let export = |attempt| awc::Client::default().get(format!("http://{at}/engine/kv/{attempt}")).send();
    let mut kv = export("1-1-1").await.expect("an answer");
    assert_eq!(kv.body().await.expect("bytes"), "a prompt");
    assert_eq!(export("1-9-1").await.expect("an answer").status(), 404);
}
