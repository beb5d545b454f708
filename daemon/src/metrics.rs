//! Metrics in the text format that collectors read.

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::count::{Counters, Reason};
use boragecove_core::operator::Answer;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::callers::Shared;

/// Upper bounds of the waits, in seconds.
const WAITS: [f64; 14] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];
/// Upper bounds of the gaps between tokens, in seconds.
const GAPS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.02, 0.041, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56];

/// What is measured beside the reducer's counters.
#[derive(Debug)]
pub(crate) struct Metrics {
    wait: Histogram,
    first: Histogram,
    gap: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self { wait: Histogram::new(WAITS), first: Histogram::new(WAITS), gap: Histogram::new(GAPS) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    code: &'static str,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Retried {
    reason: &'static str,
}

impl Metrics {
    /// A request waited this long for its first try.
    pub(crate) fn wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// A stream's first event came this long after its request.
    pub(crate) fn first(&self, wait: Duration) {
        self.first.observe(wait.as_secs_f64());
    }

    /// This long passed between two reads of a stream's events.
    pub(crate) fn gap(&self, gap: Duration) {
        self.gap.observe(gap.as_secs_f64());
    }

    /// All metrics in their text format.
    pub(crate) fn encode(
        &self,
        counters: &Counters,
        shared: &Shared,
        status: Option<&Answer>,
        engines: Option<&Answer>,
    ) -> String {
        let mut registry = Registry::with_prefix("boragecove");
        self.register(&mut registry);
        count(&mut registry, counters, shared);
        gauges(&mut registry, status, engines);
        let mut text = String::new();
        let _infallible = encode(&mut text, &registry);
        text
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("queue_wait_seconds", "From arrival to the first try", self.wait.clone());
        registry.register(
            "first_token_seconds",
            "From arrival to a stream's first event",
            self.first.clone(),
        );
        registry.register("token_gap_seconds", "Between two reads of a stream's events", self.gap.clone());
    }
}

fn count(registry: &mut Registry, counters: &Counters, shared: &Shared) {
    let ends = Family::<Ended, Counter>::default();
    for code in Code::ALL {
        let labels = Ended { code: code.label(), number: code.number().into() };
        ends.get_or_create(&labels).inc_by(counters.ended(*code) + shared.refused(*code));
    }
    registry.register("requests_ended", "Requests that ended, by result code", ends);
    let retries = Family::<Retried, Counter>::default();
    for reason in Reason::ALL {
        retries.get_or_create(&Retried { reason: reason.label() }).inc_by(counters.retried(reason));
    }
    registry.register("retries", "Tries that were followed by another, by reason", retries);
    let singles = [
        ("stale_events", "Events dropped since what they were for was over", counters.stale),
        ("foreign_answers", "Answers dropped since they carried another attempt's id", counters.foreign),
        (
            "repeated_events",
            "Streamed events dropped since they had been delivered",
            counters.duplicate_events,
        ),
        ("unwritten_claims", "Outcomes that could not be written to their claims", counters.claims_unwritten),
        ("orders", "Orders sent to engines", counters.orders),
        ("table_writes", "Calls of the platform's table that write", counters.table_writes),
        ("table_reads", "Calls of the platform's table that read", counters.table_reads),
    ];
    for (name, help, value) in singles {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
}

fn gauges(registry: &mut Registry, status: Option<&Answer>, engines: Option<&Answer>) {
    if let Some(Answer::Status(status)) = status {
        gauge(registry, "requests_open", "Requests open", status.open.into());
        gauge(registry, "requests_queued", "Requests that wait for a back end", status.queued.into());
        gauge(registry, "moves_under_way", "Orders under way in the zone", status.moves_under_way.into());
        gauge(registry, "config_version", "The configuration version in force", status.config.cast_signed());
        gauge(registry, "table_up", "Whether the platform's table answers", status.table_up.into());
        gauge(registry, "artifacts", "Declared artifacts", status.artifacts.into());
        gauge(
            registry,
            "artifacts_reachable",
            "Declared artifacts with a ready copy",
            status.reachable.into(),
        );
    }
    if let Some(Answer::Engines(engines)) = engines {
        let reserved: u64 = engines.iter().map(|engine| engine.reserved_mb).sum();
        let memory: u64 = engines.iter().map(|engine| engine.memory_mb).sum();
        gauge(
            registry,
            "memory_reserved_mb",
            "Accelerator memory that copies and orders take",
            reserved.cast_signed(),
        );
        gauge(registry, "memory_mb", "Accelerator memory in all", memory.cast_signed());
    }
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: i64) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}
