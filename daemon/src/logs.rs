//! Logs as JSON lines: one event for each request and each decision of control. No text of a
//! request, an answer or a token goes into any of them.

use std::fmt::Write as _;
use std::time::Duration;

use boragecove_core::audit::Record;
use boragecove_core::end::End;
use boragecove_core::id;
use tracing_subscriber::filter::LevelFilter;

use crate::settings::Level;

/// How long the parts of a request took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spans {
    /// Until its first try, or its end without one.
    pub queued: Duration,
    /// Until the first of its answer.
    pub first: Option<Duration>,
    /// In all.
    pub total: Duration,
}

/// Starts logging to the standard error stream, for the whole process.
pub fn start(level: Level) {
    let filter = match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    };
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(filter)
        .with_writer(std::io::stderr)
        .finish();
    let _logging_already = tracing::subscriber::set_global_default(subscriber);
}

/// Logs the end of a request.
pub(crate) fn request(id: id::Request, tries: &[id::Attempt], spans: &Spans, end: &End) {
    if !tracing::enabled!(tracing::Level::INFO) {
        return;
    }
    let mut attempts = String::new();
    for attempt in tries {
        let separator = if attempts.is_empty() { "" } else { " " };
        let _infallible = write!(attempts, "{separator}{attempt}");
    }
    tracing::info!(
        request = %id,
        attempts,
        code = end.code().number(),
        outcome = end.outcome().as_str(),
        queued_us = spans.queued.as_micros() as u64,
        first_us = spans.first.map(|first| first.as_micros() as u64),
        total_us = spans.total.as_micros() as u64,
        "request"
    );
}

/// Logs a decision of control.
pub(crate) fn record(record: &Record) {
    let act = serde_json::to_string(&record.act).unwrap_or_default();
    let cause = serde_json::to_string(&record.cause).unwrap_or_default();
    tracing::info!(at = %record.at, zone = %record.zone, config = record.config, act, cause = cause.trim_matches('"'), "decision");
}
