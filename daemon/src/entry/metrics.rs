//! Metrics of an entry VM in the text format that collectors read.

use boragecove_core::time::Time;
use boragecove_fleet::State;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What is measured beside the reducer's counts.
#[derive(Debug, Default)]
pub(crate) struct Metrics {}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refused {
    code: &'static str,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Retried {
    reason: &'static str,
}

impl Metrics {
    /// All metrics.
    pub(crate) fn encode(&self, state: &State, now: Time, connections: u64, lines_dropped: u64) -> String {
        let mut registry = Registry::with_prefix("boragecove");
        counts(&mut registry, state);
        counter(&mut registry, "connections_opened", "Connections opened", connections);
        counter(&mut registry, "log_lines_dropped", "Log lines left out", lines_dropped);
        gauges(&mut registry, state, now);
        let mut text = String::new();
        let _infallible = encode(&mut text, &registry);
        text
    }
}

fn counts(registry: &mut Registry, state: &State) {
    let refused = Family::<Refused, Counter>::default();
    for (code, count) in state.refusals() {
        let labels = Refused { code: code.label(), number: code.number().into() };
        refused.get_or_create(&labels).inc_by(*count);
    }
    registry.register("requests_refused", "Requests answered without an engine, by result code", refused);
    let retried = Family::<Retried, Counter>::default();
    for (reason, count) in state.retries() {
        retried.get_or_create(&Retried { reason }).inc_by(*count);
    }
    registry.register("retries", "Attempts that were followed by another, by how they ended", retried);
}

fn gauges(registry: &mut Registry, state: &State, now: Time) {
    let version = state.config().map_or(0, |config| config.version);
    let engines = state.engines().count() as i64;
    let leaving = state.engines().filter(|engine| engine.entry.leaving).count() as i64;
    gauge(registry, "requests_open", "Requests under way", state.open() as i64);
    gauge(registry, "requests_waiting", "Requests that wait for an engine", state.waiting() as i64);
    gauge(registry, "config_version", "The configuration in force", version.cast_signed());
    gauge(registry, "engines", "Engines known", engines);
    gauge(registry, "engines_leaving", "Engines that take no more work", leaving);
    gauge(registry, "store_up", "Whether the platform's store answers", state.store_up().into());
    gauge(
        registry,
        "lease_held",
        "Whether this process gives orders",
        state.lease().holds(now).is_some().into(),
    );
}

fn counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: i64) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}
