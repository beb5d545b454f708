//! An engine of a plain service. It runs each request that reaches it and answers with as many bytes as its path asks for.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::store::Store;

/// Time between two writes of an engine's entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    /// Ids of the requests that it has run.
    runs: Arc<Mutex<Vec<String>>>,
}

/// The body of the answer to a request.
pub fn body(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

impl Engine {
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let engine = Self { id: id.to_owned(), runs: Arc::default() };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(Connection::new(stream), work));
            }
        });
        let (store, service, zone, id) = (store.clone(), service.to_owned(), zone.to_owned(), id.to_owned());
        let entry = move |sequence: u32| {
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":6,\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence}}}"
            )
        };
        store.put("servers", &id, &entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                store.put("servers", &id, &entry(sequence));
            }
        });
        engine
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("whole").clone()
    }

    fn serve(&self, mut connection: Connection, work: Duration) {
        while let Ok(Some(request)) = connection.message() {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let named = format!("Attempt-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
            if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
                if connection.answer("421 Misdirected Request", &format!("{named}Not-Executed: 1\r\n"), b"").is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().expect("whole").push(id.clone());
            thread::sleep(work);
            let bytes = request.path().rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(800);
            let headers = format!("{named}Response-Seal: seal.{id}\r\nInstance-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\n");
            if connection.answer("200 OK", &headers, &body(&id, bytes)).is_err() {
                return;
            }
        }
    }
}
