//! Engines that write to their sockets directly, and count their runs and connections.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::standin::Store;

/// What an engine does with requests.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it writes in front of each answer but the first on a connection.
    pub leftover: String,
    /// Time between that and the answer.
    pub apart: Duration,
    /// Status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: String,
}

impl Plan {
    /// A sound engine of a service.
    pub fn of(service: &str) -> Self {
        let body = if service == "writer" { "id: 1\ndata: word\n\n" } else { "all of it" };
        Self { leftover: String::new(), apart: Duration::ZERO, status: 200, body: body.to_owned() }
    }
}

/// What engines of a test have seen.
#[derive(Debug, Default)]
struct Seen {
    runs: BTreeMap<String, usize>,
    expected: BTreeSet<String>,
}

/// An engine.
pub struct Engine {
    seen: Arc<Mutex<Seen>>,
    connections: Arc<AtomicUsize>,
    pub address: SocketAddr,
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().expect("no test thread panics with it")
}

impl Engine {
    /// Starts an engine and registers it with the store.
    pub fn start(store: &Store, id: &str, service: &str, plan: Plan) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let engine = Self { seen: Arc::default(), connections: Arc::default(), address };
        let (seen, connections) = (Arc::clone(&engine.seen), Arc::clone(&engine.connections));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::Relaxed);
                let (seen, plan) = (Arc::clone(&seen), plan.clone());
                thread::spawn(move || serve(stream, &plan, &seen));
            }
        });
        register(store, id, service, address);
        engine
    }

    /// Number of times that a request ran.
    pub fn runs(&self, id: &str) -> usize {
        lock(&self.seen).runs.get(id).copied().unwrap_or_default()
    }

    /// The ids of the engines that its requests, reports and orders were meant for; empty for one that names none.
    pub fn expected(&self) -> BTreeSet<String> {
        lock(&self.seen).expected.clone()
    }

    /// Number of connections that were opened to it.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Registers an engine with the store.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr) {
    let models =
        if service == "writer" { json!([{"name": "m1", "version": 1, "adapters": []}]) } else { json!([]) };
    let entry = json!({"born": 1_767_465_654_898_u64, "service": service, "address": address.to_string(),
        "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 3,
        "models": models});
    store.put("servers", id, &entry);
}

fn serve(mut stream: TcpStream, plan: &Plan, seen: &Mutex<Seen>) {
    let mut answered = 0;
    while let Some(request) = read_request(&mut stream) {
        let (leftover, answer) = answer(&request, plan, seen);
        if answered > 0 && !leftover.is_empty() {
            if stream.write_all(leftover.as_bytes()).is_err() {
                return;
            }
            thread::sleep(plan.apart);
        }
        answered += 1;
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// What is written in front of the answer to a request, and the answer.
fn answer<'a>(request: &str, plan: &'a Plan, seen: &Mutex<Seen>) -> (&'a str, String) {
    let framed = |head: &str, body: &str| {
        format!("HTTP/1.1 {head}\r\nKeep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    lock(seen).expected.insert(header(request, "expect-instance"));
    if request.starts_with("GET /api/report") {
        let body = json!({"born": 1_767_465_654_898_u64, "models": [{"name": "m1", "version": 1, "adapters": []}],
            "busy": false, "sequence": 0, "state": "ready"});
        return ("", framed("200 OK", &body.to_string()));
    }
    if request.starts_with("POST /api/order") {
        return ("", framed("409 Conflict", ""));
    }
    let id = header(request, "attempt-id");
    *lock(seen).runs.entry(id.clone()).or_default() += 1;
    let head = format!(
        "{} Own\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nContent-Type: text/event-stream",
        plan.status
    );
    (&plan.leftover, framed(&head, &plan.body))
}

/// The value of a header of a request; empty if it has none.
pub fn header(request: &str, name: &str) -> String {
    let value = |line: &str| {
        let (of, value) = line.split_once(':')?;
        of.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    };
    request.lines().find_map(value).unwrap_or_default()
}

/// Reads a request with its body; none once the connection has ended.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length: usize = header(head, "content-length").parse().unwrap_or_default();
            if body.len() >= length {
                return Some(text);
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}
