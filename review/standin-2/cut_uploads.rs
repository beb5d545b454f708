//! A planned stop of an entry VM while its callers send bodies over slow uplinks.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::entry::{Entry, Machine};
use crate::http::Connection;
use crate::record::Record;
use crate::service::Engine;
use crate::store::Store;

const CALLERS: usize = 4;
const BODY_BYTES: usize = 250_000;
/// How long a body takes at 1 Mbit/s.
const UPLOAD: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 3_000;
/// How long an engine works on a request.
const WORK: Duration = Duration::from_millis(400);
/// When the first body is complete, after SIGTERM, and how long after that each further one is.
const FIRST_COMPLETE: Duration = Duration::from_millis(2_580);
const STEP: Duration = Duration::from_millis(40);

const CONFIG: &str = r#"{"version": 3,
  "routes": [{"name": "r-ack", "host": "care.example", "prefix": "/ack/", "service": "care-gateway",
    "route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1}],
  "services": [{"name": "care-gateway", "max_conns": 110, "health_path": "/health"}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;

struct Outcome {
    id: String,
    /// The status of the answer; 0 if the connection ended without one.
    status: u16,
    /// From the last byte of the request to the end of the answer or of the connection.
    after: Duration,
}

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let engines: Vec<Engine> = zones
        .iter()
        .map(|zone| Engine::start(&store, &format!("i-{zone}"), "care-gateway", zone, 6, WORK))
        .collect();
    let mut entries: Vec<Entry> = zones
        .iter()
        .map(|zone| Entry::start(scratch, &format!("front-{zone}-1"), zone, Machine::default(), &store))
        .collect();
    entries.iter().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    let callers = entries[0].callers;
    let mut kept: Vec<Connection> = Vec::new();
    for number in 0..CALLERS {
        let Ok(stream) = TcpStream::connect(callers) else {
            return Verdict::NotRun;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
        let mut connection = Connection::new(stream);
        let sent = connection.stream.write_all(&request(&format!("3d07aa11{number:08x}"), 2, b"hi"));
        let answered = sent.is_ok().then(|| connection.message().ok().flatten()).flatten();
        if answered.is_none_or(|answer| answer.status() != 200) {
            return Verdict::NotRun;
        }
        kept.push(connection);
    }
    record.line(&format!("{CALLERS} callers have had an answer each, and keep their connections to front-hall-a-1"));
    let stop = Instant::now();
    if trouble {
        entries[0].signal("TERM");
        record.line("SIGTERM to front-hall-a-1; the platform kills it 8 s later");
    }
    let started = |number: usize| stop + FIRST_COMPLETE + STEP * number as u32 - UPLOAD;
    let waiting: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, connection)| {
            let at = started(number);
            thread::spawn(move || call(connection, &format!("9c41d07b{number:08x}"), at))
        })
        .collect();
    let outcomes: Vec<Outcome> = waiting.into_iter().filter_map(|caller| caller.join().ok()).collect();
    // An engine ends what it has begun.
    thread::sleep(WORK);
    if trouble {
        let end = stop + Duration::from_secs(8);
        while !entries[0].has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("its process has ended {} ms after SIGTERM at the latest", stop.elapsed().as_millis()));
    }
    let runs: Vec<String> = engines.iter().flat_map(Engine::runs).collect();
    let mut lost = 0;
    for Outcome { id, status, after } in &outcomes {
        let ran = runs.contains(id);
        let how = if *status == 0 { "connection ended without an answer".to_owned() } else { format!("status {status}") };
        record.line(&format!("{id}: run {ran}, {how} {} ms after its last byte was sent", after.as_millis()));
        lost += usize::from(*status == 0 && ran);
    }
    record.line(&format!("{lost} of {CALLERS} requests were run by an engine and got no answer"));
    if outcomes.len() < CALLERS {
        return Verdict::NotRun;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn request(id: &str, length: usize, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "POST /ack/800 HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// Sends one request over a slow uplink, from `at` on, and reads its answer.
fn call(mut connection: Connection, id: &str, at: Instant) -> Outcome {
    const PARTS: usize = 100;
    let mut outcome = Outcome { id: id.to_owned(), status: 0, after: Duration::ZERO };
    let body = vec![b'x'; BODY_BYTES];
    let head = request(id, BODY_BYTES, b"");
    thread::sleep(at.saturating_duration_since(Instant::now()));
    let mut sent = connection.stream.write_all(&head);
    for (number, part) in body.chunks(BODY_BYTES / PARTS).enumerate() {
        let due = at + UPLOAD * (number as u32 + 1) / PARTS as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        sent = sent.and_then(|()| connection.stream.write_all(part));
    }
    let last = Instant::now();
    if sent.is_ok()
        && let Ok(Some(answer)) = connection.message()
    {
        outcome.status = answer.status();
    }
    outcome.after = last.elapsed();
    outcome
}
