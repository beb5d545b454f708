//! The platform's store: rows in tables, conditional writes, a feed of changes, and a steady clock.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value by table and key; no value if the row was removed.
    by_key: BTreeMap<(String, String), (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<Mutex<Rows>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let rows: Arc<Mutex<Rows>> = Arc::default();
        let started = Instant::now();
        let shared = Arc::clone(&rows);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let rows = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.message() {
                        let (status, body) = handle(&rows, started, &request);
                        let type_line = "Content-Type: application/json\r\n";
                        if connection.answer(status, type_line, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, rows }
    }

    /// Writes a row, as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.rows.lock().expect("whole").put(table, key, Some(json::base64(content.as_bytes())));
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        self.by_key.insert((table.to_owned(), key.to_owned()), (self.version, value));
    }
}

fn row(table: &str, key: &str, version: u64, value: Option<&String>) -> String {
    let rest = value.map_or("\"tombstone\":true".to_owned(), |value| format!("\"value\":\"{value}\""));
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
}

fn handle(rows: &Mutex<Rows>, started: Instant, request: &Message) -> (&'static str, String) {
    // A call takes some milliseconds.
    thread::sleep(Duration::from_millis(3));
    let now = || started.elapsed().as_millis();
    let path = request.path().split('?').next().unwrap_or_default();
    let table = request.query("table").unwrap_or_default();
    match path {
        "/api/rows-get" => {
            let rows = rows.lock().expect("whole");
            let from = request.query("from").unwrap_or_default();
            let to = request.query("to");
            let found: Vec<String> = rows
                .by_key
                .iter()
                .filter(|((of, key), (_, value))| {
                    *of == table && *key >= from && to.as_ref().is_none_or(|to| key < to) && value.is_some()
                })
                .map(|((of, key), (version, value))| row(of, key, *version, value.as_ref()))
                .collect();
            let version = rows.version;
            let found = found.join(",");
            ("200 OK", format!("{{\"rows\":[{found}],\"has_more\":false,\"ver\":{version},\"now_ms\":{}}}", now()))
        }
        "/api/rows-feed" => {
            let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
            let (after, wait) = (number("after"), number("wait_ms"));
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                {
                    let rows = rows.lock().expect("whole");
                    let mut found: Vec<_> = rows
                        .by_key
                        .iter()
                        .filter(|((of, _), (version, _))| *of == table && *version > after)
                        .collect();
                    found.sort_by_key(|(_, (version, _))| *version);
                    if !found.is_empty() || Instant::now() >= until {
                        let found: Vec<String> = found
                            .iter()
                            .map(|((of, key), (version, value))| row(of, key, *version, value.as_ref()))
                            .collect();
                        let (version, found) = (rows.version, found.join(","));
                        return ("200 OK", format!("{{\"rows\":[{found}],\"ver\":{version},\"now_ms\":{}}}", now()));
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        "/api/rows-tx" => {
            let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
                return ("400 Bad Request", "{}".to_owned());
            };
            let mut rows = rows.lock().expect("whole");
            let (expected, put) = (body.get("expected_rev").at(0), body.get("put").at(0));
            let key = |row: &json::Value| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
            let (of, name) = key(expected);
            let known = rows.by_key.get(&(of.clone(), name.clone())).filter(|(_, value)| value.is_some()).cloned();
            let version = known.as_ref().map_or(0, |(version, _)| *version);
            if version != expected.get("ver").number().unwrap_or(0) {
                let current = known.map_or(String::new(), |(version, value)| row(&of, &name, version, value.as_ref()));
                let newest = rows.version;
                return (
                    "412 Precondition Failed",
                    format!("{{\"rows\":[{current}],\"ver\":{newest},\"now_ms\":{}}}", now()),
                );
            }
            let (table, name) = key(put);
            rows.put(&table, &name, Some(put.get("value").text().to_owned()));
            ("200 OK", format!("{{\"ver\":{},\"now_ms\":{}}}", rows.version, now()))
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}
