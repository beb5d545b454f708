//! Log records of decisions: which process decided what, by which inputs, and how old these were.

use std::time::Duration;

use boragecove_core::name::Name;
use serde::Serialize;

use crate::order::Order;

/// Cost of a request, and the workspace whose limit it counts against.
#[derive(Clone, Debug, Serialize)]
pub struct Charge {
    /// The workspace.
    pub workspace: Name,
    /// Cost of the request; 0 if there is no limit.
    pub cost: f64,
    /// The limit, in the same units per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_per_s: Option<f64>,
    /// Credit left to spend on this entry VM.
    pub credit: f64,
}

/// What a quarantine is based on.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Evidence {
    /// The crashes that counted; the newest, if they are many.
    pub counted: Vec<CountedCrash>,
    /// What only the evidence against a part of prompts has.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub part: Option<PartEvidence>,
}

/// A crash that counted, with times before the quarantine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CountedCrash {
    /// The engine, if it runs models.
    pub engine: Option<Name>,
    /// Time since the run was sent to it.
    pub sent_ms: u64,
    /// Time since the run broke.
    pub broken_ms: u64,
    /// The probability assumed for it to be due to chance; none for a request's own crashes, which are counted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chance: Option<f64>,
}

/// Further evidence about a part of prompts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PartEvidence {
    /// Negative natural logarithm of the probability that all crashes that counted are due to chance.
    pub sum: f64,
    /// Whether it is the combination of a part with a model.
    pub with_model: bool,
    /// Position of the part in the prompt.
    pub position: usize,
    /// Time since the newest known successful answer began.
    pub answered_ms: Option<u64>,
    /// Whether this entry VM saw that answer itself.
    pub answered_here: bool,
}

/// A decision, or a change of the process's view of the fleet.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Record {
    /// The engines of an availability zone are excluded from work, or admitted again.
    Evacuation {
        /// The zone.
        zone: Name,
        /// Whether they are excluded.
        evacuated: bool,
        /// The store's revision of the operators' setting.
        version: u64,
    },
    /// A request was sent to an engine.
    Sent {
        /// The request's number.
        request: u64,
        /// The attempt's number within it.
        attempt: u32,
        /// The engine's id.
        engine: Name,
        /// The version of the engine's software, if it reports one.
        #[serde(skip_serializing_if = "Option::is_none")]
        build: Option<Name>,
        /// The route that the request matched.
        route: Name,
        /// The configuration's version.
        config: u64,
        /// Expected cost of the engine, in ms of waiting.
        cost_ms: f64,
        /// The entry VM that relays the request.
        #[serde(skip_serializing_if = "Option::is_none")]
        relay: Option<Name>,
        /// Number of engines that could have served it.
        candidates: usize,
        /// Requests under way at the engine.
        open: u32,
        /// Age of the loads that the hub reported for other entry VMs.
        hub_age_ms: u64,
        /// Age of the engine table; none if it isn't known yet.
        listed_age_ms: Option<u64>,
        /// Time until its reservation in the engine's schedule.
        wait_ms: u64,
        /// The operator's target time to an answer, or to its first event.
        target_ms: u64,
        /// The longest pause between two events that the operator allows; none for plain answers.
        pause_max_ms: Option<u64>,
        /// Time left for the answer.
        left_ms: u64,
        /// The engine's limit in requests per second; none if it announced none.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// Age of the announcement of that limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_age_ms: Option<u64>,
        /// Cost to the caller's workspace; none if no key was needed.
        #[serde(skip_serializing_if = "Option::is_none")]
        charge: Option<Charge>,
    },
    /// A request is waiting for a model or an adapter.
    Waits {
        /// The request's number.
        request: u64,
        /// The model.
        model: Name,
        /// The adapter.
        adapter: Option<Name>,
        /// Maximum waiting time.
        at_most_ms: u64,
    },
    /// A request was allowed or denied a retry.
    Repeat {
        /// The request's number.
        request: u64,
        /// The service.
        service: Name,
        /// Whether it was allowed.
        allowed: bool,
        /// Who allowed it, or why it was denied.
        by: &'static str,
        /// Retries that this process has earned and not used.
        earned: usize,
        /// Time since the hub last replied.
        hub_age_ms: u64,
        /// Time since this process started.
        alive_ms: u64,
    },
    /// A caller resumed a stream, and the build that may continue it was determined.
    Traced {
        /// The request's number.
        request: u64,
        /// How: from a report stored here, from another entry VM, or because there has been one build only.
        by: &'static str,
        /// The build; none if unknown.
        build: Option<Name>,
        /// Number of streams whose origin is stored here.
        kept: usize,
    },
    /// The first event of an answer arrived.
    Began {
        /// The request's number.
        request: u64,
        /// The engine's id.
        engine: Name,
        /// Time since the request arrived.
        after_ms: u64,
        /// Time since the attempt was sent.
        sent_ms: u64,
    },
    /// The owner of an engine's schedule did not answer.
    OwnerSilent {
        /// The entry VM.
        owner: Name,
        /// How long it is sent no queries.
        for_ms: u64,
    },
    /// An attempt ended.
    Ended {
        /// The request's number.
        request: u64,
        /// The attempt's number within it.
        attempt: u32,
        /// The engine's id.
        engine: Name,
        /// Result of the attempt.
        end: &'static str,
        /// Whether the result proves that nothing ran.
        not_run: bool,
        /// Time since the attempt was sent.
        after_ms: u64,
        /// The longest pause between two of its events.
        pause_ms: u64,
    },
    /// A request was answered without an engine, or its answer was cut off.
    Refused {
        /// The request's number.
        request: u64,
        /// The route that the request matched; none if unknown.
        route: Option<Name>,
        /// The result code's number.
        code: u16,
        /// The result code's name.
        label: &'static str,
        /// Whether the request may have run.
        outcome: &'static str,
        /// When the caller may retry.
        retry_after_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
        /// Cost to the caller's workspace; none if no key was needed, or the workspace isn't known.
        #[serde(skip_serializing_if = "Option::is_none")]
        charge: Option<Charge>,
        /// Age of the proof that the configuration in force is the newest; none if none is needed, or there was none
        /// yet.
        #[serde(skip_serializing_if = "Option::is_none")]
        proof_age_ms: Option<u64>,
    },
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: u64,
        /// The previous version.
        before: u64,
        /// Number of routes.
        routes: usize,
        /// Where it came from.
        source: &'static str,
    },
    /// An update of the configuration was pushed to the entry VMs of an availability zone that lack it.
    Pushed {
        /// The version after the update.
        version: u64,
        /// The version before the update; 0 for none.
        base: u64,
        /// Size of the packed update in bytes.
        bytes: usize,
        /// Number of entry VMs.
        vms: usize,
    },
    /// Requests with keys are rejected from now on, since there is no proof that the configuration in force is the
    /// newest, or are served again.
    Proof {
        /// Whether there is a proof.
        state: &'static str,
        /// The configuration's version in force.
        version: u64,
        /// Age of the last proof; none if there was none.
        age_ms: Option<u64>,
    },
    /// A message that was received, or was to be sent, can't be decoded or encoded.
    Unusable {
        /// Kind of the message.
        what: &'static str,
        /// The error.
        error: String,
    },
    /// The store was restored from an older copy of its data: later writes are lost, and their revisions will be used
    /// again.
    Era {
        /// The store's era now.
        era: u64,
        /// The era known to this process before.
        before: u64,
        /// The revision in that era up to which the engine table was known.
        listed: u64,
        /// The revision in that era up to which the configuration was known.
        declared: u64,
        /// Number of engines known.
        engines: usize,
        /// Engines known to leave. They remain so, whatever the copy contains.
        leaving: usize,
        /// Engines known as removed. The copy doesn't bring them back at once.
        removed: usize,
        /// Whether this process held the lease.
        led: bool,
    },
    /// The whole engine table was read for the first time since the store was restored.
    Reread {
        /// The store's era.
        era: u64,
        /// The revision up to which the table is known.
        version: u64,
        /// Time since this process learned of the era.
        after_ms: u64,
        /// Engines whose entry the copy lacks: the process waits for them to be written again.
        lacking: usize,
        /// Engines in the copy that had been removed before: their entries aren't used yet.
        returned: usize,
    },
    /// A response of the store from an earlier era arrived late and was ignored.
    Outdated {
        /// Kind of the call.
        what: &'static str,
        /// Era of the response.
        era: u64,
        /// The store's era.
        now: u64,
    },
    /// Changes of the engine table were read. The holder of the lease also logs each engine with its revision.
    Listed {
        /// The store's era.
        era: u64,
        /// The revision up to which the table is known now.
        version: u64,
        /// Whether the whole table was read.
        whole: bool,
        /// Engines that appeared, changed their state or disappeared.
        changed: usize,
        /// Engines known now.
        engines: usize,
        /// Engines that accept no more work.
        leaving: usize,
    },
    /// Rows of the engine table were skipped, since newer ones are known.
    PassedOver {
        /// Number of rows.
        rows: usize,
        /// The engine of the first one.
        engine: Name,
        /// The revision of that row.
        version: u64,
        /// The revision known for this engine.
        known: u64,
        /// The store's era.
        era: u64,
        /// The revision up to which the table was read.
        read: u64,
        /// Whether the whole table was read.
        whole: bool,
    },
    /// This process learned that an engine is leaving or gone.
    Departure {
        /// Its id.
        engine: Name,
        /// The source from which it learned so first.
        road: &'static str,
        /// The revision of the row that says so, or of the last row that doesn't yet.
        version: u64,
    },
    /// Other processes were, or were not, notified that engines are leaving or gone.
    DeparturesTold {
        /// The first of these engines.
        engine: Name,
        /// Number of engines.
        engines: usize,
        /// Who was notified.
        to: &'static str,
    },
    /// An engine appeared, changed its state or disappeared.
    Engine {
        /// Its id.
        engine: Name,
        /// Its service.
        service: Name,
        /// Its state now.
        state: &'static str,
        /// The revision of its row.
        version: u64,
    },
    /// An engine announced another limit in requests per second, or removed it.
    Intake {
        /// The request whose response contained it; none if it was a call by this process itself.
        request: Option<u64>,
        /// The engine's id.
        engine: Name,
        /// The limit; none if it was removed.
        limit_per_s: Option<f64>,
        /// The previous limit.
        before_per_s: Option<f64>,
    },
    /// An engine was found to fail under many rejections, rejected a request while in that state, or recovered.
    Brittle {
        /// The engine's id.
        engine: Name,
        /// Which of these happened.
        state: &'static str,
        /// Rejections per second that the engine can bear.
        #[serde(skip_serializing_if = "Option::is_none")]
        rejections_per_s: Option<f64>,
    },
    /// The process woke up much later than it had asked for: it stalled, or was busy for that long.
    StoodStill {
        /// How much later it woke up.
        for_ms: u64,
        /// Age of the engine table; none if it isn't known yet.
        listed_age_ms: Option<u64>,
        /// Whether it held the lease, as far as it knows.
        led: bool,
    },
    /// The engine table is in use again after a stall.
    Refreshed {
        /// Where the fresh data came from; `nobody` if none arrived.
        source: &'static str,
        /// Time since the process resumed.
        after_ms: u64,
        /// Age of the engine table; none if it isn't known yet.
        listed_age_ms: Option<u64>,
        /// Requests that waited for fresh data.
        held: usize,
    },
    /// Requests to an engine take another path from now on.
    Path {
        /// The engine's id.
        engine: Name,
        /// Whether it is reached through a relay, or directly again.
        state: &'static str,
        /// The entry VM that relays requests.
        #[serde(skip_serializing_if = "Option::is_none")]
        relay: Option<Name>,
    },
    /// Most engines that this process uses are reachable only through other entry VMs, or are reachable directly
    /// again.
    Reach {
        /// Whether this process is cut off.
        state: &'static str,
        /// Engines reached through relays.
        relayed: usize,
        /// Engines that responded to this process recently.
        direct: usize,
    },
    /// Log lines omitted in the last second because there were too many.
    LeftOut {
        /// Kind of the lines.
        what: &'static str,
        /// Number of lines.
        lines: u32,
    },
    /// The lease changed hands, as far as this process knows.
    Lease {
        /// What happened.
        state: &'static str,
        /// Who holds it.
        holder: Name,
        /// The store's era.
        era: u64,
        /// Its fencing number.
        term: u64,
        /// Time until orders may be given.
        orders_in_ms: u64,
    },
    /// The hub was lost or found.
    Hub {
        /// Whether it replies.
        state: &'static str,
        /// Number of entry VMs that it counts.
        nodes: u32,
    },
    /// An order was sent or answered.
    Order {
        /// The engine's id.
        engine: Name,
        /// The order.
        order: Order,
        /// State of the order.
        state: &'static str,
        /// Number of orders that the engine had accepted before.
        sequence: u64,
    },
    /// An adapter that an engine was told to load is treated as loaded from now on, and queries are answered
    /// accordingly.
    AdapterReady {
        /// The engine's id.
        engine: Name,
        /// The model.
        model: Name,
        /// The adapter.
        adapter: Name,
        /// Delay after the expected time.
        late_ms: u64,
    },
    /// Placement of the models that are requested most.
    Placement {
        /// The service.
        service: Name,
        /// The models.
        models: Vec<Placement>,
        /// Number of loads from the weight store that may start now.
        cold_left: usize,
        /// Engines that can be given orders.
        idle: usize,
        /// Engines that can serve requests.
        usable: usize,
    },
    /// New information on a request under which engines crash.
    Crash {
        /// The number of a similar request on this entry VM; none if another entry VM reported it.
        request: Option<u64>,
        /// Hash of the request's content.
        fingerprint: String,
        /// Its state now.
        state: &'static str,
        /// The engine that crashed; none if another entry VM reported it.
        engine: Option<Name>,
        /// Number of crashes counted against it.
        crashes: u32,
        /// What the quarantine is based on; only where this process decided it.
        #[serde(skip_serializing_if = "Option::is_none")]
        evidence: Option<Box<Evidence>>,
    },
    /// The store was lost or found.
    Store {
        /// Whether it answers.
        state: &'static str,
    },
    /// The process is stopping, or has stopped.
    Stopping {
        /// Requests still under way.
        open: usize,
    },
}

/// Copies of one model.
#[derive(Clone, Debug, Serialize)]
pub struct Placement {
    /// The model.
    pub model: Name,
    /// Smoothed number of requests under way or waiting.
    pub busy: f64,
    /// Copies that can serve.
    pub ready: usize,
    /// Copies that are being loaded.
    pub loading: usize,
    /// Copies that are being dropped.
    pub closing: usize,
}

/// A duration in whole milliseconds, as logged.
pub(crate) fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}
