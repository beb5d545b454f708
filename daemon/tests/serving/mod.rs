//! Entry VMs as processes of their own, and calls of them.

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

/// Time within which everything here has to happen.
pub const LIMIT: Duration = Duration::from_secs(20);

pub struct Entry {
    pub child: Child,
    pub callers: SocketAddr,
    pub watchers: SocketAddr,
    pub settings: PathBuf,
    /// Its log; nobody reads on unless a test does.
    pub log: Option<BufReader<ChildStdout>>,
}

impl Entry {
    pub fn start(name: &str, store: &Store) -> Self {
        Self::start_with(name, store, "")
    }

    /// With further members of its settings, each with a comma before it.
    pub fn start_with(name: &str, store: &Store, more: &str) -> Self {
        let entry = Self::start_in("zone-a", name, store, more);
        entry.wait_for(200);
        entry
    }

    /// In an availability zone, without waiting until it is ready.
    pub fn start_in(zone: &str, name: &str, store: &Store, more: &str) -> Self {
        Self::start_among(zone, name, store, more, [])
    }

    /// The same with these variables in its environment.
    pub fn start_among(
        zone: &str,
        name: &str,
        store: &Store,
        more: &str,
        environment: impl IntoIterator<Item = (&'static str, PathBuf)>,
    ) -> Self {
        let text = format!(
            r#"{{"vm": "{name}", "zone": "{zone}", "store": "{}", "grace": "6s",
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
        let started: serde_json::Value = serde_json::from_str(&line).expect("it says where it listens");
        let address =
            |name: &str| started[name].as_str().and_then(|text| text.parse().ok()).expect("an address");
        let (callers, watchers) = (address("callers"), address("watchers"));
        Self { child, callers, watchers, settings, log: Some(log) }
    }

    /// Waits until the balancer would be told this.
    pub fn wait_for(&self, status: u16) {
        let end = Instant::now() + LIMIT;
        let told = || call(self.watchers, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        while !told().starts_with(&format!("HTTP/1.1 {status}")) {
            assert!(Instant::now() < end, "not {status} in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Its metrics, as text.
    pub fn metrics(&self) -> String {
        call(self.watchers, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    }

    /// Whether it gives orders.
    pub fn leads(&self) -> bool {
        self.metrics().contains("boragecove_lease_held 1")
    }

    /// Waits until it does.
    pub fn wait_for_lease(&self) {
        let end = Instant::now() + LIMIT;
        while !self.leads() {
            assert!(Instant::now() < end, "it does not lead in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// The most memory that it has had so far, in KB.
    pub fn memory_peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("reads");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("has one");
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

/// What came of a request on a kept connection.
#[derive(Debug)]
pub enum Called {
    /// No connection could be opened.
    Unsent,
    /// It may have been sent, and has no answer.
    Unanswered,
    /// Its status and its body.
    Answered(u16, String),
}

/// A caller that keeps each connection for as long as it is answered there.
#[derive(Debug, Default)]
pub struct Caller {
    kept: BTreeMap<SocketAddr, TcpStream>,
}

impl Caller {
    /// Sends a request to an entry VM, and waits so long for the answer.
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

/// Sends bytes on a connection of its own and reads until it is closed.
pub fn call(address: SocketAddr, request: &str) -> String {
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(LIMIT)).expect("sets");
        let _closed = stream.write_all(request.as_bytes());
        let _reset = stream.read_to_string(&mut text);
    }
    text
}

/// Reads one answer with a length from a connection.
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

/// A stream's request, with this body.
pub fn streamed_with(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nModel: m1\r\nToken-Usage: 100,50\r\n\
         Deadline-Ms: 4000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// A stream's request whose prompt has these parts.
pub fn streamed_of(path: &str, id: &str, parts: &str) -> String {
    streamed_with(path, id, id).replace("Deadline-Ms", &format!("Prompt-Prefix: {parts}\r\nDeadline-Ms"))
}

/// A stream's request.
pub fn streamed(path: &str, id: &str) -> String {
    streamed_with(path, id, "hi")
}

/// A plain service's request.
pub fn plain(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    )
}
