//! Bytes that an engine writes behind an answer, which belong to no request, with an entry VM as a process of its own and
//! engines that write to their sockets directly: a request that may not be repeated runs once at most, none that is
//! refused runs at all, and each caller gets the answer that its own request has.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod serving;

mod raw_engine;

use std::time::{Duration, Instant};

use raw_engine::{Engine, Plan};
use serving::{Entry, call, plain, streamed};
use standin::{Store, config};

/// Requests in each play.
const REQUESTS: usize = 20;

/// A refusal, up to a place where it breaks off.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Part: ";

/// Heads that break off, whole answers that name no request or another one, and bytes that are no answer.
const LEFTOVERS: [&str; 24] = [
    "garbage garbage",
    "\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Part: ",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX-Part",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: ",
    "HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\nX-Part: ",
    "HTTP/1.1 421 Misdirected Request\r\nX-Part: ",
    "HTTP/1.1 421 ",
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: another\r\nX-Part: ",
    "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nRetry-After: 1\r\nX-Part: ",
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nX-Part: ",
    "HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nX-Part: ",
    "HTTP/1.1 200 OK\r\nX-Part: ",
    "HTTP/1.1 500 Internal Server Error\r\nX-Part: ",
    "HTTP/1.1 100 Continue\r\nX-Part: ",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nX-Part: ",
    "HTTP/1.1 204 No Content\r\nX-Part: ",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Part: ",
    "HTTP/1.1 200 OK\r\nResponse-Seal: seal.none\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 500 Internal Server Error\r\nResponse-Seal: seal.none\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Seal: seal.another\r\nContent-Length: 5000\r\n\r\nother",
    "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Seal: seal.another\r\nContent-Length: 5\r\n\r\nother",
];

/// What became of the requests of a play.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests that ran more than once.
    twice: usize,
    /// Requests that ran and were refused with a promise.
    refused: usize,
    /// Callers that got another status or body than the engine gave.
    mixed: usize,
    /// Callers that got the engine's own answer.
    answered: usize,
    /// Connections that were opened to engines.
    connections: usize,
    /// Longest time until a caller had its answer.
    longest: Duration,
}

impl Outcome {
    fn is_right(&self) -> bool {
        self.twice == 0 && self.refused == 0 && self.mixed == 0
    }
}

/// Whether an answer promises that its request has not run.
fn promises(answer: &str) -> bool {
    ["408", "421", "429", "503"].iter().any(|status| answer.starts_with(&format!("HTTP/1.1 {status}")))
}

/// Sends requests one after the other to an entry VM with `engines` engines that follow `plan`.
fn play(name: &str, service: &str, engines: usize, plan: &Plan) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &config(1));
    let started: Vec<Engine> =
        (0..engines).map(|at| Engine::start(&store, &format!("i-{at}"), service, plan.clone())).collect();
    let entry = Entry::start(name, &store);
    entry.wait_for(200);
    let before: usize = started.iter().map(Engine::connections).sum();
    let mut outcome = Outcome::default();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let request = if service == "writer" { streamed("/brief/1", &id) } else { plain("/ack/1", &id) };
        let asked = Instant::now();
        let answer = call(entry.callers, &request);
        outcome.longest = outcome.longest.max(asked.elapsed());
        let runs: usize = started.iter().map(|engine| engine.runs(&id)).sum();
        outcome.twice += usize::from(runs > 1);
        outcome.refused += usize::from(runs > 0 && promises(&answer));
        let is_own = answer.starts_with(&format!("HTTP/1.1 {}", plan.status))
            && answer.contains(&format!("seal.{id}"))
            && answer.contains(&plan.body);
        outcome.answered += usize::from(is_own);
        // A success, a sealed failure, or any answer of an engine must be the engine's own.
        let claims = answer.starts_with("HTTP/1.1 2") || answer.contains("response-seal");
        outcome.mixed += usize::from(claims && !is_own);
    }
    outcome.connections = started.iter().map(Engine::connections).sum::<usize>() - before;
    outcome
}

/// Plays each leftover with one and with two engines, in front of an answer that is a success or a failure.
fn play_all(name: &str, service: &str, apart: Duration) {
    let mut wrong = Vec::new();
    for (at, leftover) in LEFTOVERS.iter().enumerate() {
        for engines in [1, 2] {
            for status in [200, 500] {
                let plan = Plan { leftover: (*leftover).to_owned(), apart, status, ..Plan::of(service) };
                let outcome = play(&format!("{name}-{at}-{engines}-{status}"), service, engines, &plan);
                println!("{status} {engines} {leftover:?}: {outcome:?}");
                if !outcome.is_right() {
                    wrong.push(format!("{status} {engines} {leftover:?}: {outcome:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against leftover bytes that take the place of an answer's head: requests that ran were refused with a promise or
/// ran at another engine as well, and failures were handed on as successes.
#[test]
fn leftovers_before_streams() {
    play_all("stream", "writer", Duration::ZERO);
}

/// Guards against the same where the answer comes in a segment of its own.
#[test]
fn leftovers_before_late_streams() {
    play_all("late", "writer", Duration::from_millis(20));
}

/// Guards against the same for requests of plain services.
#[test]
fn leftovers_before_plain_answers() {
    play_all("plain", "gateway", Duration::ZERO);
}

/// Guards against a refusal whose head breaks off at any other place.
#[test]
fn refusal_cut_anywhere() {
    let mut wrong = Vec::new();
    for cut in 1..REFUSAL.len() {
        let plan = Plan { leftover: REFUSAL[..cut].to_owned(), ..Plan::of("writer") };
        let outcome = play(&format!("cut-{cut}"), "writer", 2, &plan);
        if !outcome.is_right() {
            wrong.push(format!("{:?}: {outcome:?}", &REFUSAL[..cut]));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Sound engines get no more connections than they need.
#[test]
fn sound_connections() {
    let outcome = play("sound", "writer", 2, &Plan::of("writer"));
    assert!(outcome.is_right() && outcome.answered == REQUESTS, "{outcome:?}");
    assert!(outcome.connections <= 2, "{outcome:?}");
}
