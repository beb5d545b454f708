//! Rows of the engines' table that no engine wrote: entry VMs go on, use the other rows and follow their changes.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod raw_engine;
mod serving;

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use raw_engine::{Engine, Plan};
use serde_json::{Value, json};
use serving::{Entry, LIMIT, call, plain, streamed};
use standin::{Store, config};

/// An entry as an engine writes it, at an address where nothing listens.
fn sound(service: &str) -> Value {
    json!({"service": service, "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
        "cold_left_ms": 0, "sequence": 3, "models": [{"name": "m1", "version": 1, "adapters": []}]})
}

/// The text of an entry in which a member has another value, which need not be valid JSON.
fn with(service: &str, member: &str, value: &str) -> String {
    let mut entry = sound(service);
    entry[member] = json!("VALUE");
    entry.to_string().replace("\"VALUE\"", value)
}

fn nested(open: &str, close: &str, depth: usize) -> String {
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

/// Entries of a service that are odd in a single respect.
fn odd_entries(service: &str) -> Vec<Vec<u8>> {
    let members = ["version", "models", "slots", "state", "other"];
    let depths = [127, 128, 10_000];
    let mut texts = Vec::new();
    for value in depths.iter().flat_map(|&depth| [nested("[", "]", depth), nested("{\"a\":", "}", depth)]) {
        texts.extend(members.iter().map(|member| with(service, member, &value)));
        texts.push(value);
    }
    let numbers = [
        "-1",
        "0",
        "0.5",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "1e18",
        "1.8e22",
        "9e307",
        "1e400",
        "-1e400",
        "1E+999999999999999999999",
        &"9".repeat(40_000),
    ];
    for member in ["slots", "cold_left_ms", "remaining_ms", "sequence", "born", "version", "address"] {
        texts.extend(numbers.iter().map(|number| with(service, member, number)));
    }
    let leaving = with(service, "state", "\"draining\"");
    texts.extend(
        numbers.iter().map(|number| leaving.replacen('{', &format!("{{\"remaining_ms\":{number},"), 1)),
    );
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:4294967297",
        "127.0.0.1",
        ":80",
        "0.0.0.0:0",
        "255.255.255.255:9",
        "224.0.0.1:9",
        "[::]:0",
        "[::1%5]:9",
        "127.0.0.1:9:9",
        "",
    ];
    texts.extend(addresses.iter().map(|address| with(service, "address", &format!("\"{address}\""))));
    let names: Vec<String> = (0..5_000).map(|number| format!("a{number}")).collect();
    let many = json!([{"name": "m1", "adapters": names}]).to_string();
    texts.extend([
        with(service, "models", &many),
        with(service, "zone", &format!("\"{}\"", "z".repeat(60_000))),
    ]);
    texts.extend(["", "null", "[]", "7", "\"", "{}", "\u{0}"].map(str::to_owned));
    let mut entries: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    entries.push(vec![0xff, 0xfe, 0x00, 0x7b]);
    entries
}

/// A deployment of two entry VMs and an engine of each service. Another engine of the plain service is listed and removed, to
/// see that the table is followed.
struct Deployment {
    store: Store,
    entries: Vec<Entry>,
    kept: Engine,
    other: Engine,
    requests: usize,
}

impl Deployment {
    fn start(name: &str) -> Self {
        let store = Store::start();
        store.put("op", "config", &config(1));
        Engine::start(&store, "w-1", "writer", Plan::of("writer"));
        let [kept, other] =
            ["kept", "other"].map(|id| Engine::start(&store, id, "gateway", Plan::of("gateway")));
        store.remove("servers", "other");
        let entries = (0..2).map(|number| Entry::start(&format!("{name}-{number}"), &store)).collect();
        Self { store, entries, kept, other, requests: 0 }
    }

    /// Lists the other engine until all entry VMs use it, and removes it until they use the first one alone. They have then
    /// read all earlier rows.
    fn assert_follows(&mut self, after: &str) {
        raw_engine::register(&self.store, "other", "gateway", self.other.address);
        self.wait_for("use an engine that joined", after, |deployment, id| deployment.other.runs(id) == 1);
        self.store.remove("servers", "other");
        let mut in_a_row = 0;
        self.wait_for("use the engine that is left", after, |deployment, id| {
            in_a_row = if deployment.kept.runs(id) == 1 { in_a_row + 1 } else { 0 };
            in_a_row % 3 == 0 && in_a_row > 0
        });
        for entry in &mut self.entries {
            assert!(entry.child.try_wait().expect("waits").is_none(), "a process has ended after {after}");
        }
    }

    /// Sends requests to each entry VM until one was answered as `is_met` says of its id.
    fn wait_for(&mut self, what: &str, after: &str, mut is_met: impl FnMut(&Self, &str) -> bool) {
        for number in 0..self.entries.len() {
            let end = Instant::now() + LIMIT;
            loop {
                self.requests += 1;
                let id = format!("request-{}", self.requests);
                let answer = call(self.entries[number].callers, &plain("/ack/1", &id));
                if answer.starts_with("HTTP/1.1 200") && is_met(self, &id) {
                    break;
                }
                assert!(Instant::now() < end, "entry VM {number} does not {what} after {after}: {answer}");
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

fn shown(entry: &[u8]) -> String {
    String::from_utf8_lossy(entry).chars().take(300).collect()
}

/// Guards against processes that end, or follow the table no more, by one row that no engine wrote.
#[test]
fn processes_go_on() {
    let mut deployment = Deployment::start("odd-entries");
    deployment.assert_follows("the start");
    for odd in odd_entries("writer") {
        deployment.store.put_bytes("servers", "odd", &odd);
        deployment.assert_follows(&shown(&odd));
    }
    for (number, odd) in odd_entries("gateway").iter().enumerate() {
        deployment.store.put_bytes("servers", &format!("odd-{number}"), odd);
    }
    deployment.assert_follows("all odd entries together");
    let answer = call(deployment.entries[1].callers, &streamed("/draft/1", "stream"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against an engine whose entries are ignored for good because its row had an odd one before.
#[test]
fn engines_come_back() {
    let mut deployment = Deployment::start("odd-rows");
    for odd in odd_entries("gateway") {
        deployment.store.put_bytes("servers", "kept", &odd);
        raw_engine::register(&deployment.store, "kept", "gateway", deployment.kept.address);
        deployment.assert_follows(&shown(&odd));
    }
}

/// Guards against a lease that nobody can hold any more because its row holds the long names of odd entries.
#[test]
fn lease_is_kept() {
    let mut deployment = Deployment::start("odd-names");
    deployment.assert_follows("the start");
    for letter in ["x", "y"] {
        for member in ["version", "service"] {
            let odd = with("writer", member, &format!("\"{}\"", letter.repeat(50_000)));
            deployment.store.put_bytes("servers", "odd", odd.as_bytes());
            deployment.assert_follows(&format!("a long {member}"));
        }
    }
    // Longer than the lease lasts without being renewed.
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        assert!(deployment.entries.iter().any(Entry::leads), "nobody holds the lease");
    }
}

/// Guards against requests that an engine runs although they are not known to be meant for it: sent for a row whose key no
/// header can carry as it is.
#[test]
fn ids_without_header() {
    let mut deployment = Deployment::start("odd-ids");
    deployment.assert_follows("the start");
    for id in ["", " ", "\t", "odd\n", "odd\r\n", "odd\u{0}", "odd\u{7f}"] {
        raw_engine::register(&deployment.store, id, "gateway", deployment.kept.address);
        deployment.assert_follows(&format!("the id {id:?}"));
        assert_eq!(deployment.kept.expected(), BTreeSet::from(["kept".to_owned()]), "{id:?}");
    }
}
