//! Entry VMs as separate processes, and calls of them.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::standin::Store;

/// Time limit of every wait in these tests.
pub const LIMIT: Duration = Duration::from_secs(20);

pub struct Entry {
    pub child: Child,
    pub callers: SocketAddr,
    pub watchers: SocketAddr,
    pub settings: PathBuf,
    /// Its log, which is read only if a test does.
    pub log: Option<BufReader<ChildStdout>>,
}

impl Entry {
    pub fn start(name: &str, store: &Store) -> Self {
        Self::start_with(name, store, "")
    }

    /// Starts an entry VM with further members in its settings, each preceded by a comma.
    pub fn start_with(name: &str, store: &Store, more: &str) -> Self {
        let entry = Self::start_in("zone-a", name, store, more);
        entry.wait_for(200);
        entry
    }

    /// Starts an entry VM in an availability zone, without waiting until it is ready.
    pub fn start_in(zone: &str, name: &str, store: &Store, more: &str) -> Self {
        Self::start_among(zone, name, store, more, [])
    }

    /// As [`Entry::start_in`], with these environment variables.
    pub fn start_among(
        zone: &str,
        name: &str,
        store: &Store,
        more: &str,
        environment: impl IntoIterator<Item = (&'static str, PathBuf)>,
    ) -> Self {
        let grace = if more.contains("\"grace\"") { "" } else { r#", "grace": "6s""# };
        let text = format!(
            r#"{{"vm": "{name}", "zone": "{zone}", "store": "{}"{grace},
                "listen": {{"callers": "127.0.0.1:0", "watchers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}{more}}}"#,
            store.address
        );
        let settings = std::env::temp_dir().join(format!("boragecove-{name}-{}.jsonc", std::process::id()));
        fs::write(&settings, text).expect("writes the settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_boragecoved"))
            .args(["serve", "--settings"])
            .arg(&settings)
            .envs(environment)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut log = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a first line");
        let started: serde_json::Value =
            serde_json::from_str(&line).expect("the first line states the addresses");
        let address =
            |name: &str| started[name].as_str().and_then(|text| text.parse().ok()).expect("an address");
        let (callers, watchers) = (address("callers"), address("watchers"));
        Self { child, callers, watchers, settings, log: Some(log) }
    }

    /// Waits until the readiness check returns this status.
    pub fn wait_for(&self, status: u16) {
        let end = Instant::now() + LIMIT;
        let told = || call(self.watchers, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        while !told().starts_with(&format!("HTTP/1.1 {status}")) {
            assert!(Instant::now() < end, "not {status} in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Its metrics in text format.
    pub fn metrics(&self) -> String {
        call(self.watchers, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    }

    /// Whether it is the hub.
    pub fn leads(&self) -> bool {
        self.metrics().contains("boragecove_lease_held 1")
    }

    /// Waits until it is the hub.
    pub fn wait_for_lease(&self) {
        let end = Instant::now() + LIMIT;
        while !self.leads() {
            assert!(Instant::now() < end, "it does not become the hub in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Its peak memory usage in KB.
    pub fn memory_peak_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// Its memory in bytes.
    pub fn resident_bytes(&self) -> usize {
        self.memory_kb("VmRSS:") as usize * 1_024
    }

    /// A line of the system's account of its memory, in KB.
    fn memory_kb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("reads");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("has one");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    pub fn exit(&mut self) -> bool {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("waits") {
                return status.success();
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _left_behind = fs::remove_file(&self.settings);
    }
}

/// The result of a request on a kept-alive connection.
#[derive(Debug)]
pub enum Called {
    /// No connection could be opened.
    Unsent,
    /// The request may have been sent, but has no answer.
    Unanswered,
    /// Status and body of the answer.
    Answered(u16, String),
}

/// A caller that reuses each connection until a request on it gets no answer.
#[derive(Debug, Default)]
pub struct Caller {
    kept: BTreeMap<SocketAddr, TcpStream>,
}

impl Caller {
    /// Sends a request to an entry VM, and waits up to `limit` for the answer.
    pub fn call(&mut self, address: SocketAddr, request: &str, limit: Duration) -> Called {
        let stream = self.kept.remove(&address).or_else(|| TcpStream::connect(address).ok());
        let Some(mut stream) = stream else {
            return Called::Unsent;
        };
        stream.set_read_timeout(Some(limit)).expect("sets");
        if stream.write_all(request.as_bytes()).is_err() {
            return Called::Unanswered;
        }
        let Some((status, body)) = read_answer(&mut stream) else {
            return Called::Unanswered;
        };
        self.kept.insert(address, stream);
        Called::Answered(status, body)
    }
}

/// Sends a request on a new connection and reads until the connection is closed.
pub fn call(address: SocketAddr, request: &str) -> String {
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(LIMIT)).expect("sets");
        let _closed = stream.write_all(request.as_bytes());
        let _reset = stream.read_to_string(&mut text);
    }
    text
}

/// Reads one answer with a `content-length` from a connection.
pub fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
            if body.len() >= length.parse::<usize>().ok()? {
                return Some((head.get(9..12)?.parse().ok()?, body.to_owned()));
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// A request for a stream, with this body.
pub fn streamed_with(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nModel: m1\r\nToken-Usage: 100,50\r\n\
         Deadline-Ms: 4000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// A request for a stream whose prompt has these parts.
pub fn streamed_of(path: &str, id: &str, parts: &str) -> String {
    streamed_with(path, id, id).replace("Deadline-Ms", &format!("Prompt-Prefix: {parts}\r\nDeadline-Ms"))
}

/// A request for a stream.
pub fn streamed(path: &str, id: &str) -> String {
    streamed_with(path, id, "hi")
}

/// A request to a plain service.
pub fn plain(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    )
}
