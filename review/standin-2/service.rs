//! An engine of a plain service. It runs so many requests at a time, in the order in which they came, and answers each with as
//! many bytes as its path asks for.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::store::Store;

/// Time between two writes of an engine's entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    /// Ids of the requests that it has run or runs, and when it began to run each.
    runs: Arc<Mutex<Vec<(String, Instant)>>>,
    queue: Arc<Queue>,
}

/// Lets requests run in the order in which they came.
struct Queue {
    slots: u64,
    /// Number of the next request to come, and how many have ended.
    turns: Mutex<(u64, u64)>,
    ended: Condvar,
}

impl Queue {
    /// Waits for a free slot.
    fn enter(&self) {
        let mut turns = self.turns.lock().expect("whole");
        let own = turns.0;
        turns.0 += 1;
        while own >= turns.1 + self.slots {
            turns = self.ended.wait(turns).expect("whole");
        }
    }

    fn leave(&self) {
        self.turns.lock().expect("whole").1 += 1;
        self.ended.notify_all();
    }
}

/// The body of the answer to a request.
pub fn body(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

impl Engine {
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, slots: u32, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let queue = Queue { slots: slots.into(), turns: Mutex::default(), ended: Condvar::new() };
        let engine = Self { id: id.to_owned(), runs: Arc::default(), queue: Arc::new(queue) };
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
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":{slots},\
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

    /// Ids of the requests that it has run or runs.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("whole").iter().map(|(id, _)| id.clone()).collect()
    }

    /// When it began to run a request; none if it did not.
    pub fn began(&self, id: &str) -> Option<Instant> {
        self.runs.lock().expect("whole").iter().find(|(run, _)| run == id).map(|(_, at)| *at)
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
            self.queue.enter();
            if is_closed(&connection.stream) {
                // It drops a request whose connection was closed.
                self.queue.leave();
                return;
            }
            self.runs.lock().expect("whole").push((id.clone(), Instant::now()));
            thread::sleep(work);
            self.queue.leave();
            let bytes = request.path().rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(800);
            let headers = format!("{named}Response-Seal: seal.{id}\r\nInstance-Load: 1,0,{}\r\nKeep-Alive: timeout=5\r\n", self.queue.slots);
            if connection.answer("200 OK", &headers, &body(&id, bytes)).is_err() {
                return;
            }
        }
    }
}

/// Whether the other side has closed a connection on which it waits for an answer.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
