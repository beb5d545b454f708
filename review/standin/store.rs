//! The platform's store: rows in tables, conditional writes and a feed of changes, as the protocol page describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

#[derive(Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<(String, String), (u64, Option<String>)>,
    written: Vec<(u64, (String, String), Option<String>)>,
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let key = (table.to_owned(), key.to_owned());
        self.written.push((self.version, key.clone(), value.clone()));
        self.by_key.insert(key, (self.version, value));
    }
}

fn row((table, key): &(String, String), version: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#),
        None => format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"tombstone":true}}"#),
    }
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared =
            Arc::new(Shared { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() });
        let store = Self { address, shared };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.shared.rows.lock().unwrap().put(table, key, Some(base64(content.as_bytes())));
        self.shared.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.rows.lock().unwrap().put(table, key, None);
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _slow = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer, None, &|| {}) {
            let (status, body) = match request.path() {
                "/api/rows-get" => self.get(&request),
                "/api/rows-feed" => self.feed(&request),
                "/api/rows-tx" => self.transact(&request),
                _ => ("404 Not Found", String::new()),
            };
            let first = format!("HTTP/1.1 {status}");
            if http::write(&mut stream, &first, &[("Content-Type", "application/json")], body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64
    }

    fn get(&self, request: &http::Message) -> (&'static str, String) {
        let rows = self.shared.rows.lock().unwrap();
        let table = request.query("table").unwrap_or_default();
        let from = decode(request.query("from").unwrap_or_default());
        let to = request.query("to").map(decode);
        let named = rows.by_key.iter().filter(|((of, key), (_, value))| {
            of == table && value.is_some() && *key >= from && to.as_ref().is_none_or(|to| key < to)
        });
        let found: Vec<String> = named.map(|(key, (version, value))| row(key, *version, value.as_ref())).collect();
        let (version, now) = (rows.version, self.now_ms());
        ("200 OK", format!(r#"{{"rows":[{}],"has_more":false,"ver":{version},"now_ms":{now}}}"#, found.join(",")))
    }

    fn feed(&self, request: &http::Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.shared.rows.lock().unwrap();
        loop {
            let new = rows.written.iter().filter(|(version, (of, _), _)| of == table && *version > after);
            let found: Vec<String> = new.map(|(version, key, value)| row(key, *version, value.as_ref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let (version, now) = (rows.version, self.now_ms());
                return ("200 OK", format!(r#"{{"rows":[{}],"ver":{version},"now_ms":{now}}}"#, found.join(",")));
            }
            rows = self.shared.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Carries out a transaction of one condition and one row, the only ones that entry VMs send.
    fn transact(&self, request: &http::Message) -> (&'static str, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some((expected, put)) = text.split_once("\"put\"") else {
            return ("400 Bad Request", String::new());
        };
        let member = |of: &str, name: &str| {
            let rest = of.split_once(&format!("\"{name}\":\"")).map(|(_, rest)| rest.to_owned());
            rest.and_then(|rest| rest.split('"').next().map(str::to_owned)).unwrap_or_default()
        };
        let wanted: u64 = expected
            .split_once("\"ver\":")
            .map(|(_, rest)| rest.chars().take_while(char::is_ascii_digit).collect::<String>())
            .and_then(|digits| digits.parse().ok())
            .unwrap_or_default();
        let (table, key) = (member(expected, "table"), member(expected, "key"));
        if matches!(table.as_str(), "op" | "servers") {
            return ("403 Forbidden", String::new());
        }
        let mut rows = self.shared.rows.lock().unwrap();
        let known = rows.by_key.get(&(table.clone(), key.clone())).filter(|(_, value)| value.is_some()).cloned();
        let now = self.now_ms();
        if known.as_ref().map_or(0, |(version, _)| *version) != wanted {
            let current = known.map(|(version, value)| row(&(table, key), version, value.as_ref()));
            let version = rows.version;
            let current = current.unwrap_or_default();
            return ("412 Precondition Failed", format!(r#"{{"rows":[{current}],"ver":{version},"now_ms":{now}}}"#));
        }
        rows.put(&member(put, "table"), &member(put, "key"), Some(member(put, "value")));
        let version = rows.version;
        drop(rows);
        self.shared.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{version},"now_ms":{now}}}"#))
    }
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digits: Option<(u8, u8)> = if byte == b'%' { rest.next().zip(rest.next()) } else { None };
        match digits {
            Some((high, low)) => {
                let hex = [high, low];
                let hex = std::str::from_utf8(&hex).unwrap_or("00");
                bytes.push(u8::from_str_radix(hex, 16).unwrap_or_default());
            }
            None => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = (u32::from(three[0]) << 16)
            | (u32::from(*three.get(1).unwrap_or(&0)) << 8)
            | u32::from(*three.get(2).unwrap_or(&0));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= three.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
