//! Logs JSON lines to standard output: one for each decision about a request, and for each change of the process's
//! view of its environment. Their volume is limited, and a reader that stops reading loses lines but delays no request.

use std::cell::Cell;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

use super::busy;
use super::request_task::RequestContent;
use super::settings::Listen;
use super::transfer::Transfer;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Arrival, Id};
use rustc_hash::FxHashMap;
use serde::Serialize;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Maximum number of lines that wait to be written.
const LINES_BUFFERED: usize = 4_096;
/// Maximum number of lines per second. A small VM serves 500 requests per second, with four or more lines each.
const LINES_PER_SECOND_MAX: u32 = 2_000;

/// Writes log lines, and counts those that are dropped.
#[derive(Debug)]
pub(crate) struct Log {
    out: NonBlocking,
    lost: ErrorCounter,
    vm: Name,
    ids: FxHashMap<Id, Name>,
    second: Cell<Time>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

/// Ends the log's thread once all lines are written.
pub(crate) type Guard = WorkerGuard;

#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    at: Time,
    vm: &'a Name,
    /// The caller's attempt id.
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<&'a Name>,
    #[serde(flatten)]
    what: T,
}

#[derive(Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
enum ProcessRecord<'a> {
    Received {
        request: u64,
        host: &'a Name,
        path: &'a Name,
        model: Option<&'a Name>,
        adapter: Option<&'a Name>,
        /// Hashes of the parts of its prompt that other requests may share.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        parts: Vec<String>,
        /// The attempt that began the stream that the request resumes. `after_event` is the last event that the caller
        /// has.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<&'a Name>,
        #[serde(skip_serializing_if = "Option::is_none")]
        after_event: Option<u64>,
        patience_ms: Option<u64>,
    },
    CallerGone {
        request: u64,
    },
    Ready {
        ready: bool,
    },
    Started {
        version: &'static str,
        zone: &'a Name,
        callers: SocketAddr,
        watchers: SocketAddr,
        peers: SocketAddr,
    },
    Reloaded {
        outcome: &'a str,
    },
    LeftOut {
        lines: u64,
    },
    Transfer(Transfer),
    Busy(busy::Interval),
}

/// Starts the thread that writes to standard output.
pub(crate) fn start(vm: &Name) -> (Log, Guard) {
    let (out, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES_BUFFERED).finish(io::stdout());
    let log = Log {
        lost: out.error_counter(),
        out,
        vm: vm.clone(),
        ids: FxHashMap::default(),
        second: Cell::new(Time::default()),
        lines: Cell::new(0),
        skipped: Cell::new(0),
    };
    (log, guard)
}

impl Log {
    /// A writer for the `tracing` events of the process.
    pub(crate) fn writer(&self) -> NonBlocking {
        self.out.clone()
    }

    /// Logs a decision.
    pub(crate) fn record(&self, now: Time, record: &Record) {
        let request = match record {
            Record::Sent { request, .. }
            | Record::Waits { request, .. }
            | Record::Repeat { request, .. }
            | Record::Traced { request, .. }
            | Record::Began { request, .. }
            | Record::Ended { request, .. }
            | Record::Refused { request, .. } => Some(Id(*request)),
            Record::Crash { request, .. } => request.map(Id),
            _ => None,
        };
        self.log(now, request, record);
    }

    /// Logs that a request was read, and stores its attempt id for later lines.
    pub(crate) fn received(&mut self, now: Time, request: Id, arrival: &Arrival, content: &RequestContent) {
        if let Some(id) = &content.attempt_id {
            self.ids.insert(request, id.clone());
        }
        let record = ProcessRecord::Received {
            request: request.0,
            host: &arrival.host,
            path: &arrival.path,
            model: arrival.prompt.as_ref().map(|prompt| &prompt.model),
            adapter: arrival.prompt.as_ref().and_then(|prompt| prompt.adapter.as_ref()),
            parts: arrival.parts.iter().map(ToString::to_string).collect(),
            resumes: content.resumed_attempt.as_ref(),
            after_event: content.last_event_id,
            patience_ms: arrival.caller_timeout.map(|timeout| timeout.as_millis() as u64),
        };
        self.log(now, Some(request), record);
    }

    /// Logs that a request's caller has disconnected.
    pub(crate) fn caller_gone(&mut self, now: Time, request: Id) {
        self.log(now, Some(request), ProcessRecord::CallerGone { request: request.0 });
        self.forget(request);
    }

    /// Removes the attempt id of a request that has ended.
    pub(crate) fn forget(&mut self, request: Id) {
        self.ids.remove(&request);
    }

    /// Logs whether the balancer may send requests to this entry VM.
    pub(crate) fn readiness(&self, now: Time, ready: bool) {
        self.log(now, None, ProcessRecord::Ready { ready });
    }

    /// Logs the process's start.
    pub(crate) fn started(&self, now: Time, zone: &Name, listen: &Listen) {
        let Listen { callers, watchers, peers } = *listen;
        let version = env!("CARGO_PKG_VERSION");
        self.log(now, None, ProcessRecord::Started { version, zone, callers, watchers, peers });
    }

    /// Logs the outcome of reloading the settings.
    pub(crate) fn reloaded(&self, now: Time, outcome: &str) {
        self.log(now, None, ProcessRecord::Reloaded { outcome });
    }

    /// Logs a large or failed answer of the hub or the store.
    pub(crate) fn transfer(&self, now: Time, transfer: Transfer) {
        self.log(now, None, ProcessRecord::Transfer(transfer));
    }

    /// Logs an interval in which the node's event loop was busy for a large share of the time.
    pub(crate) fn busy(&self, now: Time, interval: busy::Interval) {
        self.log(now, None, ProcessRecord::Busy(interval));
    }

    /// Number of lines dropped because of the limit or a slow reader.
    pub(crate) fn dropped(&self) -> u64 {
        self.skipped.get() + self.lost.dropped_lines() as u64
    }

    fn log(&self, now: Time, request: Option<Id>, what: impl Serialize) {
        if now.since(self.second.get()) >= Duration::from_secs(1) {
            let excess = self.lines.get().saturating_sub(LINES_PER_SECOND_MAX);
            self.second.set(now);
            self.lines.set(0);
            if excess > 0 {
                self.write(now, None, ProcessRecord::LeftOut { lines: excess.into() });
            }
        }
        self.lines.set(self.lines.get() + 1);
        if self.lines.get() > LINES_PER_SECOND_MAX {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.write(now, request, what);
    }

    fn write(&self, now: Time, request: Option<Id>, what: impl Serialize) {
        let id = request.and_then(|request| self.ids.get(&request));
        let line = Line { at: now, vm: &self.vm, id, what };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            return;
        };
        text.push(b'\n');
        // The writer counts lines that find its buffer full.
        let _full = self.out.clone().write_all(&text);
    }
}
