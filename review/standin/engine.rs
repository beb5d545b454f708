//! Engines: each listens on an address of its own, runs requests, and can be cut off from all machines.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::vm;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The queue of a listener in normal operation.
const BACKLOG: i32 = 128;

/// A request that an engine has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub attempt: String,
    /// The process that sent it.
    pub from: Option<u32>,
    pub request: http::Message,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    record: Record,
    is_cut: AtomicBool,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    pids: Arc<Mutex<Vec<u32>>>,
}

impl State {
    /// Waits until the engine is not cut off.
    fn pass(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// What all engines share.
#[derive(Clone)]
pub struct Shared {
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The processes of the entry VMs.
    pub pids: Arc<Mutex<Vec<u32>>>,
}

impl Engine {
    /// Starts an engine of a plain service, and registers it.
    pub fn start(shared: &Shared, store: &Store, id: &str, service: &str, zone: &str, work: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            record: shared.record.clone(),
            is_cut: AtomicBool::new(false),
            work,
            runs: Arc::clone(&shared.runs),
            pids: Arc::clone(&shared.pids),
        });
        let engine = Self { id: id.to_owned(), service: service.to_owned(), zone: zone.to_owned(), address, state };
        engine.register(store, "ready");
        let served = engine.clone();
        listener.set_nonblocking(true)?;
        thread::spawn(move || served.accept(&listener));
        Ok(engine)
    }

    /// Writes the engine's entry.
    pub fn register(&self, store: &Store, state: &str) {
        let Self { id, service, zone, address, .. } = self;
        store.put(
            "servers",
            id,
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","cold_left_ms":0,"sequence":1,"born":1767465654898}}"#
            ),
        );
    }

    /// Cuts the engine off from all machines, or joins it again. Nothing passes meanwhile, and no connection is opened.
    pub fn cut(&self, cut: bool) {
        self.state.is_cut.store(cut, Ordering::SeqCst);
    }

    fn accept(&self, listener: &TcpListener) {
        let fd = listener.as_raw_fd();
        loop {
            if self.state.is_cut.load(Ordering::SeqCst) {
                // A full queue takes no connection: the opening packets are dropped.
                // SAFETY: the descriptor is an open listener.
                unsafe { listen(fd, 0) };
                let fill = || TcpStream::connect_timeout(&self.address, Duration::from_millis(30));
                let filling: Vec<TcpStream> = (0..4).map_while(|_| fill().ok()).collect();
                self.state.pass();
                // SAFETY: as above.
                unsafe { listen(fd, BACKLOG) };
                drop(filling);
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let engine = self.clone();
                    thread::spawn(move || {
                        let _ended = engine.serve(stream);
                    });
                }
                Err(_none_yet) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let port = stream.peer_addr()?.port();
        let mut from = None;
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut buffer, None, &|| self.state.pass())? {
            if from.is_none() {
                from = vm::owner_of_port(port, &self.state.pids.lock().unwrap());
            }
            self.answer(&mut stream, request, from)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, request: http::Message, from: Option<u32>) -> io::Result<()> {
        let attempt = request.header("attempt-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        if request.path() == "/health" {
            return http::write(stream, "HTTP/1.1 200 OK", &[("Instance-Id", &self.id)], b"");
        }
        let at_ms = self.state.record.now_ms();
        self.state.record.line(&format!("engine {} runs {attempt}, sent by process {from:?}", self.id));
        let engine = self.id.clone();
        self.state.runs.lock().unwrap().push(Run { at_ms, engine, attempt: attempt.clone(), from, request });
        thread::sleep(self.state.work);
        self.state.pass();
        let seal = format!("seal.{attempt}");
        let body = format!("answer to {attempt}");
        let headers = [("Attempt-Id", attempt.as_str()), ("Response-Seal", &seal), ("Instance-Load", "1,0,6")];
        http::write(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())
    }
}
