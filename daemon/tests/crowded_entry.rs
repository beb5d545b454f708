//! Most new connections of all callers come to one entry VM, several times as many as before.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod serving;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serving::{Entry, call, plain, streamed};
use standin::{Engine, Store, config};

/// What is served of the requests that one entry VM reads must not fall below this part of what was served before.
const KEPT: f64 = 0.75;

/// Callers that each open a connection for each request, one after the other. Returns how many were sent and served.
fn press(entry: SocketAddr, callers: usize, lasts: Duration) -> (usize, usize) {
    let end = Instant::now() + lasts;
    let caller = move |caller: usize| {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < end {
            let id = format!("c{caller}-{sent}");
            let request = if sent % 2 == 0 { plain("/ack/1", &id) } else { streamed("/brief/1", &id) };
            sent += 1;
            served += usize::from(call(entry, &request).starts_with("HTTP/1.1 200"));
        }
        (sent, served)
    };
    let callers: Vec<_> = (0..callers).map(|at| thread::spawn(move || caller(at))).collect();
    let sums = callers.into_iter().map(|caller| caller.join().expect("ends"));
    sums.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

#[test]
fn new_connections_at_one() {
    let store = Store::start();
    store.put("op", "config", &config(1));
    let _writers = ["w-1", "w-2", "w-3", "w-4"].map(|id| Engine::start(&store, id, "writer", &["m1"]));
    let _gateways = ["g-1", "g-2", "g-3", "g-4"].map(|id| Engine::start(&store, id, "gateway", &[]));
    let entries = ["crowded-a", "crowded-b", "crowded-c"].map(|name| Entry::start(name, &store));
    let calm: Vec<(usize, usize)> = entries
        .iter()
        .map(|entry| entry.callers)
        .map(|entry| thread::spawn(move || press(entry, 2, Duration::from_secs(2))))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|calls| calls.join().expect("ends"))
        .collect();
    let (sent, served) = calm.into_iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let before = served as f64 / sent as f64;
    let (sent, served) = press(entries[0].callers, 24, Duration::from_secs(4));
    let share = served as f64 / sent as f64;
    assert!(sent > 200, "{sent} sent");
    assert!(share >= before * KEPT, "{served} of {sent} served, {before:.3} before");
}
