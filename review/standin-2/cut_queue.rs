//! A planned stop of an entry VM while a request that it has passed on still waits in its engine's queue.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::entry::{Entry, Machine};
use crate::http::Connection;
use crate::record::Record;
use crate::service::Engine;
use crate::store::Store;

const CALLERS: usize = 5;
const DEADLINE_MS: u64 = 15_000;
/// How long an engine works on a request. It runs one at a time.
const WORK: Duration = Duration::from_millis(2_500);
const GRACE: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version": 3,
  "routes": [{"name": "r-export", "host": "care.example", "prefix": "/export/", "service": "care-gateway",
    "route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 15000, "target_latency_ms": 12000, "priority": 1}],
  "services": [{"name": "care-gateway", "max_conns": 110, "health_path": "/health"}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;

struct Outcome {
    id: String,
    /// The status of the answer; 0 if the connection ended without one.
    status: u16,
    ended: Instant,
}

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let engine = Engine::start(&store, "i-hall-a", "care-gateway", "hall-a", 1, WORK);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut entries: Vec<Entry> = zones
        .iter()
        .map(|zone| Entry::start(scratch, &format!("front-{zone}-1"), zone, Machine::default(), &store))
        .collect();
    entries.iter().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    let to = entries[0].callers;
    let waiting: Vec<_> = (0..CALLERS)
        .map(|number| {
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || call(to, &format!("9c41d07b{number:08x}")))
        })
        .collect();
    record.line(&format!("{CALLERS} callers have sent a request each; the engine runs one at a time, for {} ms", WORK.as_millis()));
    thread::sleep(Duration::from_millis(200));
    let stop = Instant::now();
    record.line("times below count from here");
    if trouble {
        entries[0].signal("TERM");
        record.line("SIGTERM to front-hall-a-1; the platform kills it 8 s later");
        while !entries[0].has_ended() && stop.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        record.line(&format!("its process has ended, or is killed, {} ms later", stop.elapsed().as_millis()));
        if !entries[0].has_ended() {
            entries[0].signal("KILL");
        }
    }
    let outcomes: Vec<Outcome> = waiting.into_iter().filter_map(|caller| caller.join().ok()).collect();
    thread::sleep(WORK);
    let mut lost = 0;
    for Outcome { id, status, ended } in &outcomes {
        let at = ended.saturating_duration_since(stop).as_millis();
        let how = if *status == 0 { "connection ended without an answer".to_owned() } else { format!("status {status}") };
        // The rule excuses a request on which the engine is still at work in the last sixth of the grace period.
        let began = engine.began(id).filter(|began| began < ended);
        let work = began.map_or("not begun by then".to_owned(), |began| {
            format!("begun {} ms later", began.saturating_duration_since(stop).as_millis())
        });
        record.line(&format!("{id}: {how} {at} ms later; {work}"));
        lost += usize::from(*status == 0 && began.is_none());
    }
    record.line(&format!("{lost} of {CALLERS} requests got no answer although no engine was at work on them"));
    if outcomes.len() < CALLERS {
        return Verdict::NotRun;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn call(to: SocketAddr, id: &str) -> Outcome {
    let mut outcome = Outcome { id: id.to_owned(), status: 0, ended: Instant::now() };
    if let Ok(stream) = TcpStream::connect(to) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)));
        let mut connection = Connection::new(stream);
        let request = format!(
            "POST /export/800 HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        let sent = connection.stream.write_all(request.as_bytes());
        if sent.is_ok()
            && let Ok(Some(answer)) = connection.message()
        {
            outcome.status = answer.status();
        }
    }
    outcome.ended = Instant::now();
    outcome
}
