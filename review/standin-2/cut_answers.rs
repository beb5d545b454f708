//! A planned stop of an entry VM while it still writes answers to its callers over a link of 10 Mbit/s.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::entry::{Entry, Machine};
use crate::http::Connection;
use crate::link;
use crate::record::Record;
use crate::service::{self, Engine};
use crate::store::Store;

const CALLERS: usize = 2;
const ANSWER_BYTES: usize = 3_600_000;
/// 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// How long a caller waits, and the route's timeout.
const DEADLINE_MS: u64 = 12_000;

const CONFIG: &str = r#"{"version": 3,
  "routes": [{"name": "r-sheet", "host": "care.example", "prefix": "/sheet/", "service": "care-gateway",
    "route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 12000, "target_latency_ms": 6000, "priority": 1}],
  "services": [{"name": "care-gateway", "max_conns": 110, "health_path": "/health"}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}"#;

struct Outcome {
    id: String,
    status: u16,
    received: usize,
    is_whole: bool,
    after: Duration,
}

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let work = Duration::from_millis(60);
    let engines: Vec<Engine> = zones
        .iter()
        .map(|zone| Engine::start(&store, &format!("i-{zone}"), "care-gateway", zone, 6, work))
        .collect();
    let machine = Machine { link_mbps: 10.0, ..Machine::default() };
    let mut entries: Vec<Entry> = zones
        .iter()
        .map(|zone| Entry::start(scratch, &format!("front-{zone}-1"), zone, machine, &store))
        .collect();
    entries.iter().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    let way = link::start(entries[0].callers, LINK_BYTES_PER_S);
    let begun = Instant::now();
    let callers: Vec<_> = (0..CALLERS).map(|number| thread::spawn(move || call(way, &format!("9c41d07b{number:08x}")))).collect();
    record.line(&format!("{CALLERS} callers send a request each; their answers have {ANSWER_BYTES} bytes"));
    // The engines have run all requests by then, and the entry VM has their answers.
    thread::sleep(Duration::from_millis(700));
    let runs: Vec<String> = engines.iter().flat_map(Engine::runs).collect();
    record.line(&format!("engines have run: {}", runs.join(" ")));
    if trouble {
        entries[0].signal("TERM");
        record.line("SIGTERM to front-hall-a-1; the platform kills it 8 s later");
    }
    let stopped = Instant::now();
    let mut outcomes = Vec::new();
    let mut exit_logged = false;
    let mut waiting = callers;
    while !waiting.is_empty() {
        let (ended, open): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|caller| caller.is_finished());
        outcomes.extend(ended.into_iter().filter_map(|caller| caller.join().ok()));
        waiting = open;
        if trouble && !exit_logged && entries[0].has_ended() {
            exit_logged = true;
            record.line(&format!("its process has ended {} ms after SIGTERM", stopped.elapsed().as_millis()));
        }
        if trouble && stopped.elapsed() > Duration::from_secs(8) {
            entries[0].signal("KILL");
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mut cut = 0;
    for Outcome { id, status, received, is_whole, after } in &outcomes {
        let ran = runs.contains(id);
        let how = if *is_whole { "whole" } else { "cut" };
        record.line(&format!(
            "{id}: run {ran}, status {status}, {received} of {ANSWER_BYTES} bytes, {how}, {} ms after it was sent",
            after.as_millis()
        ));
        cut += usize::from(ran && !is_whole);
    }
    record.line(&format!("{cut} of {CALLERS} answers to requests that had been run were cut off"));
    if outcomes.len() < CALLERS || runs.len() < CALLERS || begun.elapsed() > Duration::from_secs(30) {
        return Verdict::NotRun;
    }
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends one request and reads its answer to the end.
fn call(to: SocketAddr, id: &str) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome { id: id.to_owned(), status: 0, received: 0, is_whole: false, after: Duration::ZERO };
    let Ok(stream) = TcpStream::connect(to) else {
        return outcome;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut connection = Connection::new(stream);
    let request = format!(
        "POST /sheet/{ANSWER_BYTES} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    let _ = connection.stream.write_all(request.as_bytes());
    if let Ok(Some(head)) = connection.head() {
        outcome.status = head.status();
        let mut body = Vec::new();
        while body.len() < ANSWER_BYTES {
            match connection.some(64 << 10) {
                Ok(part) if !part.is_empty() => body.extend(part),
                Ok(_) | Err(_) => break,
            }
        }
        outcome.received = body.len();
        outcome.is_whole = outcome.status == 200 && body == service::body(id, ANSWER_BYTES);
    }
    outcome.after = sent.elapsed();
    outcome
}
