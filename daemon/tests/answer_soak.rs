//! Entry VMs as processes of their own beside engines that spoil their answers in many ways, while entry VMs are suspended
//! and killed. Engines count runs by the ids of requests.
//!
//! A few seeds in CI; more by hand: `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test -p boragecove-daemon --test answer_soak`.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod raw_engine;
mod serving;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fastrand::Rng;
use raw_engine::{header, read_request, register};
use serving::{Called, Caller, Entry, call, plain, streamed};
use standin::{Store, config};

/// Number of callers, half of them at each entry VM.
const CALLERS: usize = 8;
/// Requests of each caller.
const REQUESTS: usize = 60;
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for engines to begin what is still on its way to them.
const SETTLE: Duration = Duration::from_millis(500);

/// Bytes behind an answer, which break off at any place.
const LEFTOVERS: [&str; 6] = [
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Part: ",
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: another\r\nX-Part: ",
    "HTTP/1.1 200 OK\r\nResponse-Seal: seal.none\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Seal: seal.another\r\nContent-Length: 90\r\n\r\nother",
    "HTTP/1.1 100 Continue\r\nX-Part: ",
    "garbage garbage garbage",
];

type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// What an engine does with a request.
#[derive(Clone, Copy)]
enum Deed {
    /// Runs it and answers.
    Serve,
    /// Runs it and answers with a failure.
    Fail,
    /// Runs it and breaks the answer off.
    Cut,
    /// Runs it and answers twice.
    Repeat,
    /// Does not hold the model.
    Lack,
    /// Is full.
    Reject,
}

/// What an engine does, each with the same chance.
const DEEDS: [Deed; 12] = [
    Deed::Serve,
    Deed::Serve,
    Deed::Serve,
    Deed::Serve,
    Deed::Serve,
    Deed::Serve,
    Deed::Serve,
    Deed::Fail,
    Deed::Cut,
    Deed::Repeat,
    Deed::Lack,
    Deed::Reject,
];

/// What a caller got.
struct Outcome {
    id: String,
    status: Option<u16>,
    /// Whether the answer looks complete.
    is_complete: bool,
    body: String,
}

fn start_engine(store: &Store, id: &'static str, service: &'static str, runs: &Runs, seed: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    register(store, id, service, listener.local_addr().expect("bound"));
    let runs = Arc::clone(runs);
    thread::spawn(move || {
        let mut rng = Rng::with_seed(seed);
        for stream in listener.incoming().map_while(Result::ok) {
            let (runs, rng) = (Arc::clone(&runs), rng.fork());
            thread::spawn(move || serve(stream, id, service, &runs, rng));
        }
    });
}

/// Answers the requests on a connection until it ends or an answer breaks off.
fn serve(mut stream: TcpStream, engine: &str, service: &str, runs: &Runs, mut rng: Rng) {
    let mut answered = 0;
    while let Some(request) = read_request(&mut stream) {
        let id = header(&request, "attempt-id");
        if id.is_empty() {
            if stream.write_all(control_answer(&request).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let deed = DEEDS[rng.usize(..DEEDS.len())];
        if !matches!(deed, Deed::Lack | Deed::Reject) {
            *runs.lock().expect("no thread panics with it").entry(id.clone()).or_default() += 1;
        }
        if answered > 0 && rng.u8(..3) == 0 {
            let leftover = LEFTOVERS[rng.usize(..LEFTOVERS.len())];
            if stream.write_all(&leftover.as_bytes()[..rng.usize(1..=leftover.len())]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(rng.u64(..4) * 5));
        }
        answered += 1;
        let mut bytes = answer(deed, &id, engine, service);
        match deed {
            Deed::Cut => bytes.truncate(rng.usize(..bytes.len())),
            Deed::Repeat => bytes = bytes.repeat(2),
            Deed::Serve | Deed::Fail | Deed::Lack | Deed::Reject => {}
        }
        if stream.write_all(bytes.as_bytes()).is_err() || matches!(deed, Deed::Cut) {
            return;
        }
    }
}

/// The answer to an order or a request for a report.
fn control_answer(request: &str) -> String {
    if request.starts_with("POST /api/order") {
        return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    let body = r#"{"born":1767465654898,"models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"state":"ready"}"#;
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn answer(deed: Deed, id: &str, engine: &str, service: &str) -> String {
    let seal = format!("Response-Seal: seal.{id}\r\n");
    let (status, more, body) = match deed {
        Deed::Lack => ("421 Misdirected Request", format!("Instance-Id: {engine}\r\n"), String::new()),
        Deed::Reject => ("503 Service Unavailable", "Not-Executed: 1\r\n".to_owned(), String::new()),
        Deed::Fail => ("500 Failed", seal, format!("failure of {id};")),
        Deed::Serve | Deed::Cut | Deed::Repeat if service == "writer" => {
            ("200 OK", seal, format!("id: 1\ndata: answer to {id};\n\n"))
        }
        Deed::Serve | Deed::Cut | Deed::Repeat => ("200 OK", seal, format!("answer to {id};")),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{more}Keep-Alive: timeout=20\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends requests one after the other, streams on new connections and the others on kept ones.
fn start_caller(entry: SocketAddr, name: String, seed: u64) -> JoinHandle<Vec<Outcome>> {
    thread::spawn(move || {
        let mut rng = Rng::with_seed(seed);
        let mut caller = Caller::default();
        let mut exchange = |number: usize| {
            thread::sleep(Duration::from_millis(rng.u64(..20)));
            let id = format!("{name}-{number}");
            if rng.bool() {
                let body = call(entry, &streamed("/brief/1", &id));
                let status = body.get(9..12).and_then(|status| status.parse().ok());
                let is_chunked = body.contains("transfer-encoding: chunked");
                let is_complete = !is_chunked || body.ends_with("\r\n0\r\n\r\n");
                return Outcome { id, status, is_complete, body };
            }
            let request = plain("/ack/1", &id).replace("Connection: close\r\n", "");
            match caller.call(entry, &request, PATIENCE) {
                Called::Answered(status, body) => {
                    Outcome { id, status: Some(status), is_complete: true, body }
                }
                Called::Unsent | Called::Unanswered => {
                    Outcome { id, status: None, is_complete: false, body: String::new() }
                }
            }
        };
        (0..REQUESTS).map(&mut exchange).collect()
    })
}

/// Suspends one entry VM twice, and kills the other.
fn disturb(entries: &[Entry; 2], rng: &mut Rng) {
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(rng.u64(200..500)));
        entries[0].signal("-STOP");
        thread::sleep(Duration::from_millis(rng.u64(50..400)));
        entries[0].signal("-CONT");
    }
    entries[1].signal("-KILL");
}

/// What is wrong with a caller's outcome, given the number of times that its request ran.
fn fault(Outcome { id, status, is_complete, body }: &Outcome, runs: usize) -> Option<String> {
    let promised = matches!(status, Some(408 | 421 | 429 | 503));
    let succeeded = *status == Some(200) && *is_complete;
    if runs > 1 {
        return Some(format!("{id} ran {runs} times"));
    }
    if runs > 0 && promised {
        return Some(format!("{id} ran and was refused: {body}"));
    }
    let is_own = body.contains(&format!("answer to {id};"));
    (succeeded && !is_own).then(|| format!("{id} got a success that is not its own: {body}"))
}

/// Plays a seed. Returns the faults, and the number of requests that were served.
fn play(seed: u64) -> (Vec<String>, usize) {
    let mut rng = Rng::with_seed(seed);
    let store = Store::start();
    store.put("op", "config", &config(1));
    let runs = Runs::default();
    for (service, ids) in [("writer", ["w-1", "w-2", "w-3"]), ("gateway", ["g-1", "g-2", "g-3"])] {
        for id in ids {
            start_engine(&store, id, service, &runs, rng.u64(..));
        }
    }
    let entries = ["a", "b"].map(|name| Entry::start(&format!("soak-{seed}-{name}"), &store));
    let start = |at: usize, seed| start_caller(entries[at % 2].callers, format!("s{seed:x}c{at}"), seed);
    let callers: Vec<_> = (0..CALLERS).map(|at| start(at, rng.u64(..))).collect();
    disturb(&entries, &mut rng);
    let outcomes: Vec<Outcome> =
        callers.into_iter().flat_map(|caller| caller.join().expect("ends")).collect();
    thread::sleep(SETTLE);
    let runs = runs.lock().expect("no thread panics with it");
    let runs_of = |outcome: &Outcome| runs.get(&outcome.id).copied().unwrap_or_default();
    let faults = outcomes.iter().filter_map(|outcome| fault(outcome, runs_of(outcome))).collect();
    let is_served = |outcome: &&Outcome| outcome.status == Some(200) && outcome.is_complete;
    (faults, outcomes.iter().filter(is_served).count())
}

fn number_of(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against requests that ran and were refused with a promise, that ran twice, or whose callers got another
/// answer, where engines spoil their answers while entry VMs are suspended and killed.
#[test]
fn runs_are_counted() {
    let first = number_of("SOAK_FIRST", 1);
    let mut faults = Vec::new();
    for seed in first..first + number_of("SOAK_SEEDS", 3) {
        let (found, served) = play(seed);
        println!("seed {seed}: {served} of {} served, {} faults", CALLERS * REQUESTS, found.len());
        assert!(served > 0, "seed {seed}: nothing was served");
        faults.extend(found.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
