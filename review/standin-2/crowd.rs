//! Many callers that keep their connections and send one more request each in a burst. The platform kills a process that
//! exceeds its memory.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::entry::{Entry, Machine};
use crate::record::Record;
use crate::service::Engine;
use crate::store::Store;

/// Callers of each entry VM.
const CALLERS: usize = 2_300;
const REQUEST_BYTES: usize = 16_000;
const ANSWER_BYTES: usize = 100_000;
/// How many callers wait for an answer at most, outside the burst.
const AT_A_TIME: usize = 100;
/// How many times faster the callers send in the burst than before.
const BURST: f64 = 2.5;
/// How long the memory is watched after the beginning of the burst.
const WATCHED: Duration = Duration::from_millis(3_000);
/// Bursts, and how many processes of a machine have to exceed their memory.
const ROUNDS: usize = 4;
const KILLS: usize = 3;
const DEADLINE_MS: u64 = 15_000;
const SLOTS: u32 = 48;
const WORK: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version": 3,
  "routes": [{"name": "r-export", "host": "care.example", "prefix": "/export/", "service": "care-gateway",
    "route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 15000, "target_latency_ms": 12000, "priority": 1}],
  "services": [{"name": "care-gateway", "max_conns": 110, "health_path": "/health"}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 60000}}"#;

/// A caller that keeps its connection.
struct Caller {
    stream: TcpStream,
    id: String,
    request: Vec<u8>,
    sent: usize,
    answer: Vec<u8>,
    status: Option<u16>,
    closed: bool,
}

impl Caller {
    fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(3)).ok()?;
        let _ = (stream.set_nodelay(true), stream.set_nonblocking(true));
        Some(Self {
            stream,
            id: String::new(),
            request: Vec::new(),
            sent: 0,
            answer: Vec::new(),
            status: None,
            closed: false,
        })
    }

    fn ask(&mut self, id: String) {
        let mut request = format!(
            "POST /export/{ANSWER_BYTES} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             Content-Length: {REQUEST_BYTES}\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + REQUEST_BYTES, b'r');
        (self.id, self.request, self.sent) = (id, request, 0);
        (self.answer, self.status) = (Vec::new(), None);
    }

    fn is_waiting(&self) -> bool {
        !self.request.is_empty() && self.status.is_none() && !self.closed
    }

    /// Writes and reads what is possible without waiting.
    fn step(&mut self) {
        while self.sent < self.request.len() {
            match self.stream.write(&self.request[self.sent..]) {
                Ok(count @ 1..) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {
                    // An answer may have come all the same.
                    self.sent = self.request.len();
                }
            }
        }
        let mut part = [0; 16 << 10];
        loop {
            match self.stream.read(&mut part) {
                Ok(count @ 1..) => self.answer.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {
                    self.closed = true;
                    break;
                }
            }
        }
        let Some(end) = self.answer.windows(4).position(|four| four == b"\r\n\r\n") else {
            return;
        };
        let head = String::from_utf8_lossy(&self.answer[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok()).unwrap_or(0);
        if self.answer.len() >= end + 4 + length {
            self.status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
            self.closed |= head.contains("connection: close");
            self.answer = Vec::new();
            self.request = Vec::new();
            self.sent = 0;
        }
    }
}

/// Resident memory of a process in bytes. What was received on its connections and not read yet counts as well, and is left out
/// here.
fn memory(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().trim_end_matches(" kB").parse().ok());
    resident.unwrap_or(0_usize) * 1_024
}

/// Starts an entry VM, lets the callers come, and returns whether the platform had to kill its process.
fn round(record: &Record, scratch: &Path, name: &str, zone: &str, number: usize, store: &Store, together: &Barrier, trouble: bool) -> Option<bool> {
    let machine = Machine::default();
    let limit = machine.memory_mb as usize * (1 << 20);
    let entry = Entry::start(scratch, name, zone, machine, store);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    let mut callers = Vec::with_capacity(CALLERS);
    let ask = |caller: &mut Caller, at: usize, part: u32| caller.ask(format!("{}{number}{part}{at:010x}", &zone[5..]));
    let came = Instant::now();
    let served = few_at_a_time(&mut callers, Some(entry.callers), |caller, at| ask(caller, at, 0));
    let calm = came.elapsed().as_secs_f64();
    let rate = CALLERS as f64 / calm;
    let mut peak = memory(entry.process());
    record.line(&format!("{name}, round {number}: {served} of {CALLERS} callers served, few at a time, {rate:.0} a second; {} MB", peak >> 20));
    // The burst is one for all machines.
    together.wait();
    if served < CALLERS * 9 / 10 {
        return None;
    }
    if !trouble {
        let served = few_at_a_time(&mut callers, None, |caller, at| ask(caller, at, 1));
        peak = peak.max(memory(entry.process()));
        record.line(&format!("{name}, round {number}: {served} served once more, few at a time; {} MB", peak >> 20));
        return Some(peak > limit);
    }
    let started = Instant::now();
    let (burst, rate) = (calm / BURST, rate * BURST);
    let (mut asked, mut watched) = (0, Instant::now());
    while started.elapsed() < WATCHED {
        let due = (started.elapsed().as_secs_f64() / burst * callers.len() as f64) as usize;
        while asked < due.min(callers.len()) {
            if !callers[asked].closed {
                ask(&mut callers[asked], asked, 1);
            }
            asked += 1;
        }
        callers.iter_mut().filter(|caller| caller.is_waiting()).for_each(Caller::step);
        if watched.elapsed() > Duration::from_millis(20) {
            watched = Instant::now();
            peak = peak.max(memory(entry.process()));
            if peak > limit {
                entry.signal("KILL");
                break;
            }
        }
    }
    let answered = |code| callers.iter().filter(|caller| caller.status == Some(code) && caller.id.as_bytes()[2] == b'1').count();
    record.line(&format!(
        "{name}, round {number}: {asked} more sent, {rate:.0} a second; {} answered with 200, {} with 503; {} MB of {} MB{}",
        answered(200),
        answered(503),
        peak >> 20,
        limit >> 20,
        if peak > limit { ", killed" } else { "" }
    ));
    Some(peak > limit)
}

/// Lets each caller connect if they have not yet, and send a request, and waits for the answers, with a few requests at a time. Returns how many were served.
fn few_at_a_time(callers: &mut Vec<Caller>, connect: Option<SocketAddr>, ask: impl Fn(&mut Caller, usize)) -> usize {
    let (mut next, mut waiting) = (0, Vec::new());
    let until = Instant::now() + Duration::from_secs(15);
    let all = if connect.is_some() { CALLERS } else { callers.len() };
    while (next < all || !waiting.is_empty()) && Instant::now() < until {
        while next < all && waiting.len() < AT_A_TIME {
            if let Some(to) = connect {
                callers.extend(Caller::connect(to));
                if next >= callers.len() {
                    return 0;
                }
            }
            ask(&mut callers[next], next);
            waiting.push(next);
            next += 1;
        }
        waiting.retain(|at| {
            callers[*at].step();
            callers[*at].is_waiting()
        });
        thread::sleep(Duration::from_micros(200));
    }
    callers.iter().filter(|caller| caller.status == Some(200)).count()
}

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let _engines: Vec<Engine> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .map(|zone| Engine::start(&store, &format!("i-{zone}"), "care-gateway", zone, SLOTS, WORK))
        .collect();
    let together = Barrier::new(3);
    let kills: Vec<Option<usize>> = thread::scope(|scope| {
        let machines = [("front-hall-a-1", "hall-a"), ("front-hall-b-1", "hall-b"), ("front-hall-c-1", "hall-c")];
        let plays: Vec<_> = machines
            .into_iter()
            .map(|(name, zone)| {
                let (store, together) = (&store, &together);
                scope.spawn(move || {
                    let rounds = 1..=ROUNDS;
                    let killed: Vec<Option<bool>> =
                        rounds.map(|number| round(record, scratch, name, zone, number, store, together, trouble)).collect();
                    killed.into_iter().map(|killed| killed.map(usize::from)).sum()
                })
            })
            .collect();
        plays.into_iter().map(|play| play.join().ok().flatten()).collect()
    });
    record.line(&format!("processes that exceeded their memory, by machine: {kills:?}; {KILLS} on each of two break the rule"));
    if kills.iter().any(Option::is_none) {
        return Verdict::NotRun;
    }
    if kills.iter().filter(|kills| **kills >= Some(KILLS)).count() >= 2 { Verdict::Broken } else { Verdict::Held }
}
