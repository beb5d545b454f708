//! Metrics of an entry VM, encoded in the Prometheus text format.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::State;
use boragecove_fleet::record::Record;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::node::CallerLoad;
use super::transfer::{self, Transfer};

/// Upper bounds of the histogram buckets of request times, in seconds. The operators' targets are 0.1 to 3 s.
const SECONDS_BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Upper bounds of the histogram buckets of step times, in seconds.
const STEP_SECONDS_BUCKETS: [f64; 6] = [0.000_1, 0.001, 0.005, 0.02, 0.1, 0.5];

/// Metrics in addition to the reducer's counters.
#[derive(Debug)]
pub(crate) struct Metrics {
    first_event: Histogram,
    longest_pause: Histogram,
    attempts: Family<AttemptLabels, Histogram>,
    orders: Family<OrderLabels, Counter>,
    answers: Family<transfer::Labels, Counter>,
    answer_bytes: Family<transfer::Labels, Counter>,
    steps: Family<StepLabels, Histogram>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: &'static str,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    road: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AudienceLabels {
    to: &'static str,
}

/// Counters of other parts of the process.
#[derive(Clone, Debug)]
pub(crate) struct Counts {
    /// Number of connections opened.
    pub(crate) connections: u64,
    /// Number of answers that may belong to no request.
    pub(crate) suspect_answers: u64,
    /// Number of log lines dropped.
    pub(crate) lines_dropped: u64,
    /// What callers make the process hold.
    pub(crate) load: CallerLoad,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            first_event: Histogram::new(SECONDS_BUCKETS),
            longest_pause: Histogram::new(SECONDS_BUCKETS),
            attempts: Family::new_with_constructor(|| Histogram::new(SECONDS_BUCKETS)),
            orders: Family::default(),
            answers: Family::default(),
            answer_bytes: Family::default(),
            steps: Family::new_with_constructor(|| Histogram::new(STEP_SECONDS_BUCKETS)),
        }
    }
}

impl Metrics {
    /// Updates metrics from the record of a decision.
    pub(crate) fn record(&self, record: &Record) {
        match record {
            Record::Began { after_ms, .. } => self.first_event.observe(seconds(*after_ms)),
            Record::Ended { end, after_ms, pause_ms, .. } => {
                self.attempts.get_or_create(&AttemptLabels { end }).observe(seconds(*after_ms));
                if *pause_ms > 0 {
                    self.longest_pause.observe(seconds(*pause_ms));
                }
            }
            Record::Order { state, .. } => {
                self.orders.get_or_create(&OrderLabels { state }).inc();
            }
            _ => {}
        }
    }

    /// Counts an answer of the hub or the store.
    pub(crate) fn record_transfer(&self, transfer: &Transfer) {
        let labels = transfer.labels();
        self.answers.get_or_create(&labels).inc();
        self.answer_bytes.get_or_create(&labels).inc_by(transfer.bytes);
    }

    /// Records how long the node's event loop was busy with an event.
    pub(crate) fn record_step(&self, event: &'static str, took: Duration) {
        self.steps.get_or_create(&StepLabels { event }).observe(took.as_secs_f64());
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode(&self, state: &State, now: Time, counts: &Counts) -> String {
        let mut registry = Registry::with_prefix("boragecove");
        let help = "From a request to the first event of its stream";
        registry.register("first_event_seconds", help, self.first_event.clone());
        let help = "The longest pause between two events of a stream";
        registry.register("longest_pause_seconds", help, self.longest_pause.clone());
        let help = "From an attempt's sending to its end, by how it ended";
        registry.register("attempt_seconds", help, self.attempts.clone());
        registry.register("orders", "Orders to engines, by how far they came", self.orders.clone());
        let help = "Answers of the hub and the store, by what was asked for and how they ended";
        registry.register("answers", help, self.answers.clone());
        registry.register("answer_bytes", "Bytes of those answers", self.answer_bytes.clone());
        let help = "Time for which the loop that decides was busy, by what with";
        registry.register("step_seconds", help, self.steps.clone());
        register_refusals_and_retries(&mut registry, state);
        register_decisions(&mut registry, state);
        register_departures(&mut registry, state);
        counter(&mut registry, "connections_opened", "Connections opened", counts.connections);
        let help = "Answers behind bytes that belong to no answer, or that do not name their request";
        counter(&mut registry, "suspect_answers", help, counts.suspect_answers);
        let help = "Looks for an engine that an adapter is to be brought to";
        counter(&mut registry, "adapter_places_sought", help, state.placement_searches());
        let help = "Answers of the store from before it came back from an older copy, which came after that was known";
        counter(&mut registry, "store_answers_outdated", help, state.outdated_answers());
        let help = "Rows of the engines' table that were passed over as older than what was known";
        counter(&mut registry, "rows_passed_over", help, state.stale_rows_skipped());
        let help = "Requests sent to engines that had named a limit";
        counter(&mut registry, "sent_to_limited", help, state.sent_to_limited());
        register_relays(&mut registry, state);
        register_snapshots(&mut registry, state);
        let help = "Times that the process was awake long after it had asked for";
        counter(&mut registry, "standstills", help, state.stalls());
        counter(&mut registry, "log_lines_dropped", "Log lines left out", counts.lines_dropped);
        register_caller_load(&mut registry, &counts.load);
        register_gauges(&mut registry, state, now);
        let mut text = String::new();
        let _infallible = encode(&mut text, &registry);
        text
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn register_refusals_and_retries(registry: &mut Registry, state: &State) {
    let refused = Family::<RefusalLabels, Counter>::default();
    for (code, count) in state.refusals() {
        let labels = RefusalLabels { code: code.label(), number: code.number().into() };
        refused.get_or_create(&labels).inc_by(*count);
    }
    registry.register("requests_refused", "Requests answered without an engine, by result code", refused);
    let retried = Family::<ReasonLabels, Counter>::default();
    for (reason, count) in state.retries() {
        retried.get_or_create(&ReasonLabels { reason }).inc_by(*count);
    }
    registry.register("retries", "Attempts that were followed by another, by how they ended", retried);
}

/// Decisions on resources that entry VMs share (credit, reservations at rate-limited engines, permits for retries), and on
/// resumed streams.
fn register_decisions(registry: &mut Registry, state: &State) {
    let draws = Family::<AnswerLabels, Counter>::default();
    for (answer, count) in state.quota_draws() {
        draws.get_or_create(&AnswerLabels { answer }).inc_by(*count);
    }
    let help = "Questions for credit of workspaces' limits, by how they were answered";
    registry.register("quota_draws", help, draws);
    let places = Family::<AnswerLabels, Counter>::default();
    for (answer, count) in state.limited_reservation_answers() {
        places.get_or_create(&AnswerLabels { answer }).inc_by(*count);
    }
    let help = "Questions for places at engines that had named a limit, by how they were answered";
    registry.register("limit_places", help, places);
    let repeats = Family::<AnswerLabels, Counter>::default();
    for (answer, count) in state.repeats() {
        repeats.get_or_create(&AnswerLabels { answer }).inc_by(*count);
    }
    let help = "Repeats that were wanted, by whose word they were made, or why they were not";
    registry.register("repeats", help, repeats);
    let resumptions = Family::<AnswerLabels, Counter>::default();
    for (answer, count) in state.resumptions() {
        resumptions.get_or_create(&AnswerLabels { answer }).inc_by(*count);
    }
    let help = "Streams that clients took up, by how it was decided which build may go on with them";
    registry.register("resumptions", help, resumptions);
}

/// Full snapshots sent as the hub.
fn register_snapshots(registry: &mut Registry, state: &State) {
    let (answers, bytes) =
        (Family::<ReasonLabels, Counter>::default(), Family::<ReasonLabels, Counter>::default());
    for (reason, sent) in state.full_snapshots() {
        let labels = ReasonLabels { reason: reason.label() };
        answers.get_or_create(&labels).inc_by(sent.answers);
        bytes.get_or_create(&labels).inc_by(sent.bytes);
    }
    let help = "Answers of the hub that told all engines' rows, or all that engines hold, by why";
    registry.register("whole_answers", help, answers);
    registry.register("whole_answer_bytes", "Bytes of what those told, packed", bytes);
}

/// Requests that are relayed.
fn register_relays(registry: &mut Registry, state: &State) {
    let help = "Requests sent by another entry VM";
    counter(registry, "sent_by_relays", help, state.sent_by_relays());
    let help = "Requests of other entry VMs passed on";
    counter(registry, "passed_on", help, state.relayed());
    let denied = Family::<ReasonLabels, Counter>::default();
    for (reason, count) in state.relays_denied() {
        denied.get_or_create(&ReasonLabels { reason }).inc_by(*count);
    }
    registry.register("relays_denied", "Requests of other entry VMs not passed on, by why", denied);
}

/// What callers make the process hold, and what was refused or closed for it.
fn register_caller_load(registry: &mut Registry, load: &CallerLoad) {
    let help = "Bytes that callers make the process hold: bodies, relayed requests and answers";
    gauge(registry, "caller_bytes_held", help, load.account.held());
    let help = "Incomplete requests that were refused to make room for others";
    counter(registry, "requests_evicted", help, load.account.evictions());
    let help = "Times that there was no memory for more of a request or an answer";
    counter(registry, "memory_refusals", help, load.account.refusals());
    let refused = Family::<RefusalLabels, Counter>::default();
    for (code, count) in load.refusals.counts() {
        let labels = RefusalLabels { code: code.label(), number: code.number().into() };
        refused.get_or_create(&labels).inc_by(count);
    }
    let help = "Requests refused before they were read completely, by result code";
    registry.register("requests_refused_unread", help, refused);
    let closed = Family::<ReasonLabels, Counter>::default();
    for (reason, count) in load.closed.counts() {
        closed.get_or_create(&ReasonLabels { reason }).inc_by(count);
    }
    registry.register("caller_connections_closed", "Callers' connections closed, by why", closed);
}

/// Engines found to be leaving or gone.
fn register_departures(registry: &mut Registry, state: &State) {
    let known = Family::<SourceLabels, Counter>::default();
    for (source, count) in state.departures_learnt() {
        known.get_or_create(&SourceLabels { road: source.label() }).inc_by(*count);
    }
    let help = "Engines that were found to leave or to be gone, by the road on which that came first";
    registry.register("departures_known", help, known);
    let told = Family::<AudienceLabels, Counter>::default();
    for (audience, count) in state.departures_reported() {
        told.get_or_create(&AudienceLabels { to: audience.label() }).inc_by(*count);
    }
    let help = "Engines that others were told to leave or to be gone, by who was told";
    registry.register("departures_told", help, told);
}

fn register_gauges(registry: &mut Registry, state: &State, now: Time) {
    let version = state.config().map_or(0, |config| config.version);
    let leaving = state.engines().filter(|engine| engine.is_leaving()).count();
    let suspected = state.engines().filter(|engine| engine.health.is_suspected(now)).count();
    gauge(registry, "requests_open", "Requests under way", state.open());
    gauge(registry, "requests_waiting", "Requests that wait for an engine", state.waiting());
    gauge(registry, "config_version", "The configuration in force", version as usize);
    gauge(registry, "engines", "Engines known", state.engines().count());
    gauge(registry, "engines_leaving", "Engines that take no more work", leaving);
    gauge(registry, "engines_suspected", "Engines that could not be reached or are silent", suspected);
    let relayed = state.engines().filter(|engine| engine.path.is_relayed()).count();
    gauge(registry, "engines_relayed", "Engines that another entry VM passes requests on to", relayed);
    gauge(registry, "passing_on", "Requests of other entry VMs under way", state.relaying() as usize);
    let help = "Whether most engines in use are reached by other entry VMs alone";
    gauge(registry, "cut_off", help, state.is_cut_off().into());
    let help = "Engines in need that have named a limit of requests a second";
    gauge(registry, "engines_limited", help, state.engines_limited());
    let help = "Engines that fall over if they turn away too much";
    gauge(registry, "engines_brittle", help, state.engines_brittle());
    let help =
        "Which copy of its data the store answers from; rises each time that it comes back from an older one";
    gauge(registry, "store_era", help, state.era().number() as usize);
    gauge(registry, "store_up", "Whether the platform's store answers", state.store_up().into());
    let quarantined = state.crashes().quarantined_count(now);
    gauge(
        registry,
        "requests_quarantined",
        "Requests that crash engines, and are not sent to any",
        quarantined,
    );
    let age_ms = state.proof().age(now).map_or(-1, |age| age.as_millis() as i64);
    let help =
        "Time since the configuration in force was certainly the newest, in ms; -1 before the first proof";
    let proof = Gauge::<i64>::default();
    proof.set(age_ms);
    registry.register("proof_age_ms", help, proof);
    let listed_age_ms = state.engines_age(now).map_or(-1, |age| age.as_millis() as i64);
    let help =
        "Time since all was known that the store had taken of the engines' table, in ms; -1 before that";
    let listed = Gauge::<i64>::default();
    listed.set(listed_age_ms);
    registry.register("listed_age_ms", help, listed);
    let help = "Workspaces of whose limits a share is held here";
    gauge(registry, "quota_shares_held", help, state.quota_workspaces(now));
    let leads = state.lease().held_term(now).is_some();
    gauge(registry, "lease_held", "Whether this process gives orders", leads.into());
}

fn counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: usize) {
    let gauge = Gauge::<i64>::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}
