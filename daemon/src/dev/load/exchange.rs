//! One request of a load and what its caller saw.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_wire::{header, path};
use futures_util::StreamExt;
use tokio::time::Instant;

use super::Demand;

/// Who calls whom.
pub(super) struct Caller {
    pub(super) client: awc::Client,
    pub(super) to: SocketAddr,
    pub(super) token: String,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Answered whole.
    Answered,
    /// Refused: not run.
    NotRun,
    /// An error after which it may have run, or no end at all.
    Unknown,
}

/// What a caller saw.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) end: End,
    /// The result code in the answer, if there was one.
    pub(super) code: Option<u16>,
    /// Time to the first event, or to a whole answer.
    pub(super) first: Option<Duration>,
    /// Times between events.
    pub(super) gaps: Vec<Duration>,
    /// Events, or for a whole answer the tokens asked for.
    pub(super) tokens: u64,
}

/// Sends a request and reads its answer.
pub(super) async fn run(caller: &Caller, demand: &Demand) -> Exchange {
    let begun = Instant::now();
    let mut exchange = Exchange { end: End::Unknown, code: None, first: None, gaps: Vec::new(), tokens: 0 };
    let request = caller
        .client
        .post(format!("http://{}{}", caller.to, path::COMPLETIONS))
        .bearer_auth(&caller.token)
        .content_type("application/json");
    let Ok(mut answer) = request.send_body(demand.body(fastrand::u64(..))).await else { return exchange };
    let text = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    exchange.code = text(header::CODE).and_then(|code| code.parse().ok());
    let not_run = text(header::OUTCOME) == Some("not-run");
    if !answer.status().is_success() {
        exchange.end = if not_run { End::NotRun } else { End::Unknown };
        return exchange;
    }
    let mut events = Events::default();
    let mut last = begun;
    while let Some(Ok(bytes)) = answer.next().await {
        let found = events.count(&bytes);
        let now = Instant::now();
        for n in 0..found {
            // Events that came together have no time between them.
            let gap = if n == 0 { now - last } else { Duration::ZERO };
            match exchange.first {
                None => exchange.first = Some(gap),
                Some(_) => exchange.gaps.push(gap),
            }
            last = now;
        }
        exchange.tokens += found;
    }
    exchange.finish(demand, &events, begun);
    exchange
}

impl Exchange {
    fn finish(&mut self, demand: &Demand, events: &Events, begun: Instant) {
        let whole = if demand.stream { events.done } else { self.code == Some(0) };
        if !whole {
            return;
        }
        self.end = End::Answered;
        if !demand.stream {
            self.first = Some(begun.elapsed());
            self.tokens = u64::from(demand.max_tokens);
        }
    }
}

/// Counts the events of a stream as its bytes come.
#[derive(Debug, Default)]
struct Events {
    /// The start of a line that has not ended yet.
    line: Vec<u8>,
    /// Whether the end mark came.
    done: bool,
    /// Whether an error came in its place.
    failed: bool,
}

impl Events {
    /// The events that end in these bytes.
    fn count(&mut self, bytes: &[u8]) -> u64 {
        let mut found = 0;
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if !part.ends_with(b"\n") {
                break;
            }
            if self.line.starts_with(b"data: [DONE]") {
                self.done = true;
            } else if self.line.starts_with(b"event: error") {
                self.failed = true;
            } else if self.line.starts_with(b"data: ") && !self.failed {
                found += 1;
            }
            self.line.clear();
        }
        found
    }
}
