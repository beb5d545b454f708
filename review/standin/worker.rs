//! Model engines: they hold models and adapters, carry out orders, run streams, and can leave orders unanswered, carry them out late, crash
//! and start again under their id.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// What an engine may hold, and what its models take.
#[derive(Clone, Debug)]
pub struct Size {
    pub memory_mb: f64,
    pub model_mb: f64,
    pub adapter_mb: f64,
    pub adapter_slots: usize,
    pub load: Duration,
    /// The time from a request to its first event.
    pub first: Duration,
    /// The number of events of each stream, and the time between them.
    pub events: u64,
    pub gap: Duration,
    /// Bytes of an event beside its number.
    pub event_bytes: usize,
    pub slots: u32,
}

/// An order as it came.
#[derive(Clone, Debug)]
pub struct Order {
    operation: String,
    pub model: String,
    pub adapter: String,
    expected: Option<u64>,
    pub token: u64,
    holder: String,
}

/// An order that was left unanswered. It is carried out as soon as its condition holds within the time given.
#[derive(Clone, Debug)]
struct Late {
    order: Order,
    sent: Instant,
}

/// When a late order may be carried out, after it was sent.
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));

#[derive(Debug, Default)]
struct State {
    /// None while the engine is down.
    born: Option<u64>,
    starts: u64,
    sequence: u64,
    /// Each model's adapters.
    models: BTreeMap<String, Vec<String>>,
    /// The model that is being loaded, and until when.
    loading: Option<(String, Instant)>,
    late: Vec<Late>,
    /// The models whose next first load order is left unanswered.
    leave_unanswered: Vec<String>,
    /// Descriptions of orders beyond what the engine holds.
    overloads: Vec<String>,
    /// Loads accepted so far, in all its lives.
    pub loads: Vec<String>,
    /// Whether it is cut off from all machines.
    is_cut: bool,
    /// The attempts whose streams it has begun.
    begun: Vec<String>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    size: Size,
    record: Record,
    store: Store,
    state: Arc<Mutex<State>>,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The queue of a listener in normal operation.
const BACKLOG: i32 = 128;

/// The first start, in ms since the Unix epoch.
const BORN: u64 = 1_767_465_654_898;

impl Worker {
    /// Starts an engine that holds these models.
    pub fn start(
        record: &Record,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        size: Size,
        models: &[String],
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            size,
            record: record.clone(),
            store: store.clone(),
            state: Arc::default(),
        };
        worker.state.lock().unwrap().models = models.iter().map(|model| (model.clone(), Vec::new())).collect();
        worker.begin();
        let served = worker.clone();
        thread::spawn(move || served.accept(listener));
        let driven = worker.clone();
        thread::spawn(move || driven.drive());
        Ok(worker)
    }

    /// Leaves the next load order of this model unanswered, and carries it out late.
    pub fn leave_unanswered(&self, model: &str) {
        self.state.lock().unwrap().leave_unanswered.push(model.to_owned());
    }

    /// The models that it holds.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().unwrap().models.keys().cloned().collect()
    }

    /// Orders beyond what it holds.
    pub fn overloads(&self) -> Vec<String> {
        self.state.lock().unwrap().overloads.clone()
    }

    /// Orders that were left unanswered and may still be carried out.
    pub fn late_orders(&self) -> usize {
        self.state.lock().unwrap().late.len()
    }

    /// Cuts the engine off from all machines, or joins it again. Nothing passes meanwhile, and no connection is opened.
    pub fn cut(&self, cut: bool) {
        self.record.line(&format!("engine {} is {}", self.id, if cut { "cut off" } else { "joined again" }));
        self.state.lock().unwrap().is_cut = cut;
    }

    /// Waits until the engine is not cut off.
    fn pass(&self) {
        while self.state.lock().unwrap().is_cut {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Whether it has begun the stream of this attempt.
    pub fn has_begun(&self, attempt: &str) -> bool {
        self.state.lock().unwrap().begun.iter().any(|begun| begun == attempt)
    }

    /// Ends the engine for this time; it then starts again under its id, empty.
    pub fn crash(&self, down: Duration) {
        self.record.line(&format!("engine {} crashes", self.id));
        self.end();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            worker.begin();
        });
    }

    fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.born = None;
        state.models.clear();
        state.loading = None;
        state.sequence = 0;
    }

    fn begin(&self) {
        {
            let mut state = self.state.lock().unwrap();
            state.starts += 1;
            state.born = Some(BORN + state.starts * 5_000);
        }
        self.record.line(&format!("engine {} starts with models {:?}", self.id, self.models()));
        self.register();
    }

    /// Writes the engine's entry.
    fn register(&self) {
        let Self { id, service, zone, address, size, .. } = self;
        let state = self.state.lock().unwrap();
        let Some(born) = state.born else {
            return;
        };
        let models = list(&state.models);
        self.store.put(
            "servers",
            id,
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{},"state":"ready","cold_left_ms":0,"stage":"hybrid","models":[{models}],"sequence":1,"born":{born}}}"#,
                size.slots
            ),
        );
    }

    /// Ends loads that are done, and carries out late orders whose condition holds.
    fn drive(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().unwrap();
            if state.born.is_none() {
                continue;
            }
            if let Some((model, _)) = state.loading.take_if(|(_, until)| Instant::now() >= *until) {
                self.record.line(&format!("engine {} has loaded {model}", self.id));
                state.models.insert(model, Vec::new());
                drop(state);
                self.register();
                continue;
            }
            state.late.retain(|late| late.sent.elapsed() < LATE.1);
            let sequence = state.sequence;
            let busy = state.loading.is_some();
            let due = |late: &Late| late.sent.elapsed() >= LATE.0 && late.order.expected == Some(sequence) && !busy;
            if let Some(at) = state.late.iter().position(due) {
                let late = state.late.remove(at);
                drop(state);
                let answer = self.carry_out(&late.order, "late");
                self.record.line(&format!(
                    "engine {}: the order to load {} that was sent {} ms ago arrives now: {answer}",
                    self.id,
                    late.order.model,
                    late.sent.elapsed().as_millis()
                ));
            }
        }
    }

    /// Carries out an order; returns the status of its answer.
    fn carry_out(&self, order: &Order, how: &str) -> &'static str {
        let mut state = self.state.lock().unwrap();
        let Order { operation, model, adapter, expected, token, holder } = order;
        let text = format!("{operation} {model}/{adapter} expecting {expected:?} by {holder} with token {token}, {how}");
        if state.born.is_none() {
            return "down";
        }
        let holds = state.models.get(model).is_some_and(|held| adapter.is_empty() || held.contains(adapter));
        if (operation == "load") == holds {
            return "200 OK";
        }
        if state.loading.is_some() || expected.is_some_and(|number| number != state.sequence) {
            self.record.line(&format!("engine {} at {}: {text}: 409", self.id, state.sequence));
            return "409 Conflict";
        }
        self.record.line(&format!("engine {} at {}: {text}: accepted", self.id, state.sequence));
        state.sequence += 1;
        match (operation.as_str(), adapter.is_empty()) {
            ("load", true) => {
                state.loads.push(model.clone());
                let adapters: usize = state.models.values().map(Vec::len).sum();
                let held_mb = state.models.len() as f64 * self.size.model_mb + adapters as f64 * self.size.adapter_mb;
                if held_mb + self.size.model_mb > self.size.memory_mb {
                    let held: Vec<String> = state.models.keys().cloned().collect();
                    let overload = format!(
                        "engine {} holds {held:?} and was ordered to load {model} too: {} MB of {} MB ({how})",
                        self.id,
                        held_mb + self.size.model_mb,
                        self.size.memory_mb
                    );
                    self.record.line(&format!("LIMIT broken: {overload}; the engine crashes"));
                    state.overloads.push(overload);
                    drop(state);
                    self.end();
                    return "crash";
                }
                state.loading = Some((model.clone(), Instant::now() + self.size.load));
                return "202 Accepted";
            }
            ("load", false) => {
                let adapters: usize = state.models.values().map(Vec::len).sum();
                if adapters + 1 > self.size.adapter_slots {
                    let overload = format!("engine {} has {adapters} adapters and was ordered to load {model}/{adapter}", self.id);
                    self.record.line(&format!("LIMIT broken: {overload}; the engine crashes"));
                    state.overloads.push(overload);
                    drop(state);
                    self.end();
                    return "crash";
                }
                if let Some(held) = state.models.get_mut(model) {
                    held.push(adapter.clone());
                }
            }
            (_, true) => {
                state.models.remove(model);
            }
            (_, false) => {
                if let Some(held) = state.models.get_mut(model) {
                    held.retain(|name| name != adapter);
                }
                return "200 OK";
            }
        }
        drop(state);
        if adapter.is_empty() {
            self.register();
        }
        "202 Accepted"
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.state.lock().unwrap().born.is_none() {
                // The port is closed while the engine is down.
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(open) = &listener
                && self.state.lock().unwrap().is_cut
            {
                // A full queue takes no connection: the opening packets are dropped.
                // SAFETY: the descriptor is an open listener.
                unsafe { listen(open.as_raw_fd(), 0) };
                let fill = || TcpStream::connect_timeout(&self.address, Duration::from_millis(30));
                let filling: Vec<TcpStream> = (0..4).map_while(|_| fill().ok()).collect();
                self.pass();
                // SAFETY: as above.
                unsafe { listen(open.as_raw_fd(), BACKLOG) };
                drop(filling);
            }
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _waits = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let worker = self.clone();
                    thread::spawn(move || {
                        let _ended = worker.serve(stream);
                    });
                }
                Err(_none_yet) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let born = self.state.lock().unwrap().born;
        let mut buffer = Vec::new();
        loop {
            let alive = || self.state.lock().unwrap().born == born;
            let until = Instant::now() + Duration::from_millis(50);
            match http::read(&mut stream, &mut buffer, Some(until), &|| {}) {
                Ok(Some(request)) if alive() => {
                    self.pass();
                    self.answer(&mut stream, &request)?;
                }
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::TimedOut && alive() => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &http::Message) -> io::Result<()> {
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        let json = ("Content-Type", "application/json");
        match request.path() {
            "/health" => http::write(stream, "HTTP/1.1 200 OK", &[("Instance-Id", &self.id)], b""),
            "/api/report" => {
                let body = self.report();
                http::write(stream, "HTTP/1.1 200 OK", &[json], body.as_bytes())
            }
            "/api/order" => {
                let order = read_order(&request.body);
                if order.operation.is_empty() || order.holder.is_empty() {
                    return http::write(stream, "HTTP/1.1 400 Bad Request", &[], b"");
                }
                if self.is_left_unanswered(&order) {
                    // The connection delivers nothing further.
                    thread::sleep(Duration::from_secs(1));
                    return Err(io::ErrorKind::TimedOut.into());
                }
                let status = self.carry_out(&order, "at once");
                if matches!(status, "crash" | "down") {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                http::write(stream, &format!("HTTP/1.1 {status}"), &[], b"")
            }
            _ => self.run(stream, request),
        }
    }

    fn is_left_unanswered(&self, order: &Order) -> bool {
        let mut state = self.state.lock().unwrap();
        if order.operation != "load" || !order.adapter.is_empty() {
            return false;
        }
        let Some(at) = state.leave_unanswered.iter().position(|model| *model == order.model) else {
            return false;
        };
        state.leave_unanswered.remove(at);
        self.record.line(&format!(
            "engine {}: the order to load {} expecting {:?} is left unanswered",
            self.id, order.model, order.expected
        ));
        state.late.push(Late { order: order.clone(), sent: Instant::now() });
        true
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let busy = state.loading.is_some();
        format!(
            r#"{{"stage":"hybrid","models":[{}],"busy":{busy},"sequence":{},"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":90000,"handles":0,"pending":[],"born":{}}}"#,
            list(&state.models),
            state.sequence,
            state.born.unwrap_or_default()
        )
    }

    fn run(&self, stream: &mut TcpStream, request: &http::Message) -> io::Result<()> {
        let attempt = request.header("attempt-id").to_owned();
        let (model, adapter) = request.header("model").split_once('/').unwrap_or((request.header("model"), ""));
        let holds = {
            let state = self.state.lock().unwrap();
            state.models.get(model).is_some_and(|held| adapter.is_empty() || held.iter().any(|name| name == adapter))
        };
        if !holds {
            let headers = [("Instance-Id", self.id.as_str()), ("Not-Executed", "1"), ("Attempt-Id", &attempt)];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let seal = format!("seal.{attempt}");
        let after: u64 = request.header("last-event-id").parse().unwrap_or_default();
        if after > 0 {
            self.record.line(&format!("engine {} goes on with {attempt} after {after}", self.id));
        }
        self.stream(stream, &attempt, &seal, after)
    }

    /// Writes the events of a stream after one, as long as the engine lives.
    fn stream(&self, stream: &mut TcpStream, attempt: &str, seal: &str, after: u64) -> io::Result<()> {
        let born = self.state.lock().unwrap().born;
        self.state.lock().unwrap().begun.push(attempt.to_owned());
        thread::sleep(self.size.first);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.size.events {
            if self.state.lock().unwrap().born != born {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.pass();
            let words = "x".repeat(self.size.event_bytes);
            let event = format!("id: {number}\ndata: word{number}{words}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(self.size.gap);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Models with their adapters, as in entries and reports.
fn list(models: &BTreeMap<String, Vec<String>>) -> String {
    let one = |(name, adapters): (&String, &Vec<String>)| {
        let adapters: Vec<String> = adapters.iter().map(|name| format!("\"{name}\"")).collect();
        format!(r#"{{"name":"{name}","version":1,"adapters":[{}]}}"#, adapters.join(","))
    };
    models.iter().map(one).collect::<Vec<_>>().join(",")
}

fn read_order(body: &[u8]) -> Order {
    let text = String::from_utf8_lossy(body).into_owned();
    let member = |name: &str| {
        let rest = text.split_once(&format!("\"{name}\":\"")).map(|(_, rest)| rest.to_owned());
        rest.and_then(|rest| rest.split('"').next().map(str::to_owned)).unwrap_or_default()
    };
    let number = |name: &str| {
        let rest = text.split_once(&format!("\"{name}\":")).map(|(_, rest)| rest.to_owned())?;
        rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
    };
    Order {
        operation: member("operation"),
        model: member("model"),
        adapter: member("adapter"),
        expected: number("expected_rev"),
        token: number("fencing_token").unwrap_or_default(),
        holder: member("holder"),
    }
}
