//! Engines and a store that send bytes without end, in each part of an answer, to crowds of callers at once: the process stays
//! within the memory of the smallest machine, no caller gets a complete answer, and others are served. The servers of these
//! tests write to their sockets directly.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod crowd;
mod links;
mod raw_engine;
mod serving;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crowd::{After, Crowd, Shape, alone, assert_serves, assert_within, head, machine, watch};
use links::{Cut, Links};
use raw_engine::{header, read_request, register};
use serde_json::json;
use serving::Entry;
use standin::{Store, config};

/// Number of callers in a crowd.
const CALLERS: usize = 100;
/// Size in bytes of a large event; events may be a little longer.
const EVENT_BYTES: usize = 1_000_000;
/// Size in bytes of one write.
const BLOCK: usize = 16 << 10;

/// What an answer begins with, and what is sent behind it without end. `ID` is the request's id.
const ENDLESS: [(&str, &str); 12] = [
    ("", "x"),
    ("HTTP/1.1 200 OK\r\nX-Part: ", "x"),
    ("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n", "X-Part: 1\r\n"),
    ("", "HTTP/1.1 200 OK\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 4\r\n\r\nbody"),
    ("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n\r\n", "x"),
    ("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
    (
        "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n",
    ),
    ("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "x"),
    (
        "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        "X-Part: 1\r\n",
    ),
    ("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n\r\nid: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"),
];
/// The one whose stream is sound as far as it comes.
const ENDLESS_STREAM: usize = 11;

/// Writes without end, until the connection does.
fn write_endless(stream: &mut TcpStream, number: usize, id: &str) {
    let (begin, again) = ENDLESS[number];
    let block = again.repeat(BLOCK / again.len());
    if stream.write_all(begin.replace("ID", id).as_bytes()).is_ok() {
        while stream.write_all(block.as_bytes()).is_ok() {}
    }
}

/// What follows a large event: nothing, not even its end; or its end and the start of another event.
const BEHIND: [&str; 2] = ["", "\n\nid: 2\ndata: "];

/// Writes a large event and what follows it, and waits until the connection ends.
fn write_unfinished(stream: &mut TcpStream, behind: &str, id: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\n\r\n");
    let event = format!("{head}id: 1\ndata: {}{behind}", "x".repeat(EVENT_BYTES));
    if stream.write_all(event.as_bytes()).is_ok() {
        while read_request(stream).is_some() {}
    }
}

/// An engine that answers each request soundly that names no endless or unfinished answer. `reports` sets whether its reports have no end.
fn engine(store: &Store, id: &str, service: &str, reports: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let reports = Arc::clone(reports);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let reports = Arc::clone(&reports);
            thread::spawn(move || serve(stream, &reports));
        }
    });
    register(store, id, service, address);
    address
}

fn serve(mut stream: TcpStream, reports: &AtomicBool) {
    while let Some(request) = read_request(&mut stream) {
        let id = header(&request, "attempt-id");
        if let Ok(number) = header(&request, "x-endless").parse() {
            return write_endless(&mut stream, number, &id);
        }
        if let Ok(number) = header(&request, "x-unfinished").parse::<usize>() {
            return write_unfinished(&mut stream, BEHIND[number], &id);
        }
        if id.is_empty() && reports.load(Ordering::Relaxed) {
            return write_endless(&mut stream, 6, "");
        }
        let answer = if id.is_empty() {
            let body = json!({"models": [{"name": "m1", "version": 1, "adapters": []}], "busy": false, "sequence": 0})
                .to_string();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        } else {
            let body = "id: 1\ndata: a\n\n";
            let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\n");
            format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// An entry VM of the smallest machine with engines of each service, and one that relays for it if it is to reach them
/// only so.
struct Deployment {
    _store: Store,
    _links: Links,
    reports: Arc<AtomicBool>,
    entries: Vec<Entry>,
}

impl Deployment {
    /// A deployment with two engines of each service.
    fn start(name: &str, relayed: bool) -> Self {
        Self::with_writers(name, relayed, 2)
    }

    fn with_writers(name: &str, relayed: bool, writers: usize) -> Self {
        let store = Store::start();
        store.put("op", "config", &config(1));
        let (mut links, reports) = (Links::new(name), Arc::default());
        for number in 1..=writers {
            links.add(engine(&store, &format!("w-{number}"), "writer", &reports));
        }
        for id in ["g-1", "g-2"] {
            links.add(engine(&store, id, "gateway", &reports));
        }
        if !relayed {
            let entries = vec![Entry::start_with(name, &store, &machine())];
            return Self { _store: store, _links: links, reports, entries };
        }
        let relay = Entry::start_with(&format!("{name}-relay"), &store, &machine());
        let cut = Entry::start_among("zone-b", name, &store, &machine(), links.environment());
        cut.wait_for(200);
        links.cut(Some(Cut::Reset));
        Self { _store: store, _links: links, reports, entries: vec![cut, relay] }
    }

    /// Lets a crowd come whose answers have no end. Nobody gets a complete answer.
    fn withstands(&mut self, path: &str, number: usize, after: After) {
        let head = head(path, &format!("X-Endless: {number}\r\nContent-Length: 0"));
        let shape = Shape { head, ..Shape::sized(path, 0, 0) }.then(after);
        self.withstands_shape(&shape, CALLERS, &format!("{path}, {:?}, {after:?}", ENDLESS[number]));
    }

    fn withstands_shape(&mut self, shape: &Shape, callers: usize, what: &str) {
        assert_serves(&self.entries[0], "before the crowd");
        let crowd = Crowd::start(self.entries[0].callers, callers, shape);
        let peaks = watch(&self.entries, &crowd);
        assert_serves(&self.entries[0], "while the crowd stays");
        let received = crowd.end();
        let told = format!("{what}: {peaks:?}");
        eprintln!("{told}");
        for answer in received {
            let is_success = answer.starts_with("HTTP/1.1 200");
            let is_complete = answer.ends_with("0\r\n\r\n") || answer.contains("content-length");
            assert!(!is_success || !is_complete, "{told}: {:?}", answer.get(..200));
        }
        for (entry, peak) in self.entries.iter_mut().zip(peaks) {
            assert_within(entry, peak);
        }
    }
}

#[test]
fn direct_crowds() {
    let _alone = alone();
    let mut deployment = Deployment::start("endless-direct", false);
    for number in 0..ENDLESS.len() {
        let path = if number % 2 == 0 { "/ack/1" } else { "/brief/1" };
        deployment.withstands(path, number, After::Read);
    }
    deployment.withstands("/ack/1", 7, After::Read);
    deployment.withstands("/brief/1", 8, After::Read);
}

#[test]
fn relayed_crowds() {
    let _alone = alone();
    let mut deployment = Deployment::start("endless-relayed", true);
    for (path, number) in
        [("/ack/1", 2), ("/ack/1", 6), ("/ack/1", 8), ("/brief/1", 10), ("/brief/1", ENDLESS_STREAM)]
    {
        deployment.withstands(path, number, After::Read);
    }
}

/// Guards against streams that hold more than the account of memory knows, of an event that is incomplete.
#[test]
fn unfinished_events() {
    let _alone = alone();
    withstand_events("unfinished", &[0]);
}

/// Guards against streams that hold more than the account of memory knows, of a large event that was complete.
#[test]
fn large_events() {
    let _alone = alone();
    withstand_events("large-events", &[1]);
}

/// Guards against the same of both kinds, one after the other.
#[test]
fn both_events() {
    let _alone = alone();
    withstand_events("both-events", &[0, 1]);
}

/// Lets a crowd come after the other, whose streams begin with a large event and what these of [`BEHIND`] say.
fn withstand_events(name: &str, numbers: &[usize]) {
    for (name, relayed) in [(name.to_owned(), false), (format!("{name}-relayed"), true)] {
        let mut deployment = Deployment::with_writers(&name, relayed, 24);
        for number in numbers {
            let head = head("/brief/1", &format!("X-Unfinished: {number}\r\nContent-Length: 0"));
            let shape = Shape { head, ..Shape::sized("/brief/1", 0, 0) };
            deployment.withstands_shape(&shape, 2 * CALLERS, &format!("{name}, {:?}", BEHIND[*number]));
        }
    }
}

/// Callers that read nothing of a stream without end.
#[test]
fn slow_callers() {
    let _alone = alone();
    for relayed in [false, true] {
        let mut deployment =
            Deployment::start(if relayed { "endless-slow-relayed" } else { "endless-slow" }, relayed);
        deployment.withstands("/brief/1", ENDLESS_STREAM, After::Stay);
    }
}

#[test]
fn endless_reports() {
    let _alone = alone();
    let mut deployment = Deployment::start("endless-reports", false);
    assert_serves(&deployment.entries[0], "before");
    deployment.reports.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    assert_serves(&deployment.entries[0], "meanwhile");
    assert_within(&mut deployment.entries[0], crowd::Peak::default());
}

/// A store whose answers have no end, in each part: the process lives on without its tables, and says so to its callers.
#[test]
fn endless_store() {
    let _alone = alone();
    for (number, parts) in ENDLESS.iter().enumerate().take(ENDLESS_STREAM) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || {
                    if read_request(&mut stream).is_some() {
                        write_endless(&mut stream, number, "");
                    }
                });
            }
        });
        let mut store = Store::start();
        store.address = address;
        let mut entry = Entry::start_in("zone-a", &format!("endless-store-{number}"), &store, &machine());
        thread::sleep(Duration::from_millis(1_500));
        let answer = serving::call(entry.callers, &serving::plain("/ack/1", "r1"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{parts:?}: {answer}");
        assert_within(&mut entry, crowd::Peak::default());
    }
}
