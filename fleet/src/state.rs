//! The complete state of one process.

mod rows;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_core::timer::Timers;
use rustc_hash::FxHashMap;

use crate::budget::Budget;
use crate::config::{Config, Pool, Table};
use crate::crash::Register;
use crate::demand::{Aggregate, Counters};
use crate::departure::{Audience, Departures, Source};
use crate::engine::{Engine, Row};
use crate::era::Era;
use crate::evacuation::Evacuations;
use crate::flow::Flow;
use crate::frame::{Count, Hub, Position, Reason};
use crate::freshness::Freshness;
use crate::lease::Lease;
use crate::ledger::Ledger;
use crate::members::Members;
use crate::path::{self, Paths};
use crate::pin::{History, Pins};
use crate::proof::Proof;
use crate::quota::Quota;
use crate::rate_limit;
use crate::request::{Id, Prompt};
use crate::revision::Revision;
use crate::rollout::Rollout;
use crate::settings::Settings;
use crate::speed::Speed;
use crate::suspicion;
use crate::timer::Timer;
use crate::update::Updates;
pub(crate) use rows::{Gap, Tombstone};

/// Weight of a new sample in the mean run time of a service.
const RUN_GAIN: f64 = 0.05;
/// Mean run time before the first sample, in ms.
const RUN_INITIAL_MS: f64 = 200.0;

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM's name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for frames.
    pub address: SocketAddr,
}

/// The state of one process.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent flags, not the states of one machine")]
pub struct State {
    pub(crate) me: Identity,
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// When the process started.
    pub(crate) started: Time,
    pub(crate) timers: Timers<Timer>,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) routes: Table,
    pub(crate) engines: BTreeMap<Name, Engine>,
    /// Digest of the ids of all known engines.
    pub(crate) engines_digest: u64,
    /// Engines that were removed.
    pub(crate) tombstones: BTreeMap<Name, Tombstone>,
    /// Entries in a restored copy of the store, of engines that had been removed before. These engines may no longer
    /// exist.
    pub(crate) resurrected: BTreeMap<Name, Row>,
    /// Departures of engines known from other sources than their rows, and who still has to be notified of them.
    pub(crate) departures: Departures,
    /// Rate limits that engines have announced.
    pub(crate) rate_limits: rate_limit::Table,
    /// The revision up to which the engine table is known.
    pub(crate) engines_revision: Revision,
    /// Age of the engine table, and stalls of this process.
    pub(crate) freshness: Freshness,
    /// The revision of the newest known row. It may have been pushed, and be beyond the revision of the table.
    pub(crate) newest_row: Revision,
    /// The revision from which on `tombstones` is complete. Removals before the first complete reading of the table
    /// aren't known.
    pub(crate) tombstones_since: Revision,
    /// The revisions skipped by the last complete reading of a table that had been known before. Engines that came
    /// and went between them may have been missed.
    pub(crate) gap: Option<Gap>,
    /// The revision up to which the configuration in force is known to be the newest; 0 if unknown.
    pub(crate) config_revision: Revision,
    /// Availability zones whose engines are excluded from work.
    pub(crate) evacuations: Evacuations,
    /// When the configuration in force was last known to be the newest.
    pub(crate) proof: Proof,
    /// Rate limits of workspaces.
    pub(crate) quota: Quota,
    /// The copy of its data that the store answers from.
    pub(crate) era: Era,
    /// Responses of the store that belonged to an earlier era and arrived when the new one was known.
    pub(crate) outdated_answers: u64,
    pub(crate) store_up: bool,
    /// When the store last answered any call.
    pub(crate) store_answered_at: Time,
    /// When the store last answered a call for changes from this process.
    pub(crate) table_read_at: Option<Time>,
    /// The pause between calls for changes, if this process follows the store's tables itself.
    pub(crate) follow_interval: Option<Duration>,
    pub(crate) store_failing_since: Option<Time>,
    pub(crate) flows: FxHashMap<Id, Flow>,
    pub(crate) waiting: BTreeSet<Id>,
    /// Whether waiting requests are to be checked again.
    pub(crate) rescan_requested: bool,
    pub(crate) budget: Budget,
    pub(crate) demand: Counters,
    pub(crate) fleet_demand: Aggregate,
    pub(crate) hub: Hub,
    pub(crate) lease: Lease,
    pub(crate) ledger: Ledger,
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    /// When requests under way are cut off, once the process is stopping.
    pub(crate) stops_at: Option<Time>,
    pub(crate) members: Members,
    pub(crate) speed: Speed,
    /// Whether the load balancer has had time to see that this entry VM is stopping.
    pub(crate) balancer_grace_over: bool,
    pub(crate) refusals: BTreeMap<Code, u64>,
    pub(crate) retries: BTreeMap<&'static str, u64>,
    pub(crate) updates: Updates,
    pub(crate) rollout: Rollout,
    pub(crate) crashes: Register,
    pub(crate) suspicions: suspicion::Limiter,
    /// Stream origins stored here.
    pub(crate) pins: Pins,
    /// The builds that have served requests.
    pub(crate) history: History,
    /// The paths to engines, and the requests relayed for other entry VMs.
    pub(crate) paths: Paths,
    /// How often an engine for an adapter was searched for.
    pub(crate) placement_searches: u64,
    /// Rows of the engine table that were skipped because newer ones were known.
    pub(crate) stale_rows_skipped: u64,
    mean_runs_ms: FxHashMap<Name, f64>,
}

impl State {
    /// The state of a process that has no data yet.
    #[must_use]
    pub fn new(me: Identity, settings: Settings, seed: u64, now: Time) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let quota = Quota::new(rng.u64(..));
        let mut timers = Timers::default();
        timers.set(now, Timer::Lease);
        timers.set(now + settings.frame_every, Timer::Frame);
        timers.set(now + settings.plan_every, Timer::Plan);
        timers.set(now, Timer::StreamReports);
        Self {
            me,
            settings,
            rng,
            started: now,
            timers,
            config: None,
            routes: Table::default(),
            engines: BTreeMap::new(),
            engines_digest: 0,
            tombstones: BTreeMap::new(),
            resurrected: BTreeMap::new(),
            departures: Departures::default(),
            rate_limits: rate_limit::Table::default(),
            engines_revision: Revision::default(),
            freshness: Freshness::default(),
            newest_row: Revision::default(),
            tombstones_since: Revision::default(),
            gap: None,
            config_revision: Revision::default(),
            evacuations: Evacuations::default(),
            proof: Proof::default(),
            quota,
            era: Era::default(),
            outdated_answers: 0,
            store_up: true,
            store_answered_at: now,
            table_read_at: None,
            follow_interval: None,
            store_failing_since: None,
            flows: FxHashMap::default(),
            waiting: BTreeSet::new(),
            rescan_requested: false,
            budget: Budget::default(),
            demand: Counters::default(),
            fleet_demand: Aggregate::default(),
            hub: Hub::new(),
            lease: Lease::default(),
            ledger: Ledger::default(),
            ready: false,
            stopping: false,
            stops_at: None,
            members: Members::default(),
            speed: Speed::default(),
            balancer_grace_over: false,
            refusals: BTreeMap::new(),
            retries: BTreeMap::new(),
            updates: Updates::default(),
            rollout: Rollout::default(),
            crashes: Register::default(),
            suspicions: suspicion::Limiter::default(),
            pins: Pins::default(),
            history: History::default(),
            paths: Paths::default(),
            placement_searches: 0,
            stale_rows_skipped: 0,
            mean_runs_ms: FxHashMap::default(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Whether requests need API keys.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.config.as_ref().is_some_and(|config| config.access.is_some())
    }

    /// When the configuration in force was last known to be the newest.
    #[must_use]
    pub const fn proof(&self) -> &Proof {
        &self.proof
    }

    /// Queries for credit of workspaces' limits, by result.
    #[must_use]
    pub const fn quota_draws(&self) -> &BTreeMap<&'static str, u64> {
        self.quota.draws()
    }

    /// Number of workspaces of whose limits this process holds shares.
    #[must_use]
    pub fn quota_workspaces(&self, now: Time) -> usize {
        self.quota.held_count(now)
    }

    /// Shares of a workspace's limit held here, out of [`crate::quota::WHOLE`].
    #[must_use]
    pub fn quota_shares(&self, now: Time, workspace: &str) -> u32 {
        self.quota.parts(now, workspace)
    }

    /// The entry VMs of the fleet.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// The availability zones whose engines are excluded from work.
    pub fn evacuated(&self) -> impl Iterator<Item = &Name> {
        self.evacuations.zones()
    }

    /// The known engines.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Digest of the ids of the known engines, independent of their order.
    #[must_use]
    pub const fn engines_digest(&self) -> u64 {
        self.engines_digest
    }

    /// The address of an engine, if it is known.
    #[must_use]
    pub fn address_of(&self, engine: &Name) -> Option<SocketAddr> {
        self.engines.get(engine).map(|engine| engine.entry.address)
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn open(&self) -> usize {
        self.flows.len()
    }

    /// Number of requests that wait for an engine.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the store answers.
    #[must_use]
    pub const fn store_up(&self) -> bool {
        self.store_up
    }

    /// The lease whose holder gives orders to engines.
    #[must_use]
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Refused requests, by result code.
    #[must_use]
    pub const fn refusals(&self) -> &BTreeMap<Code, u64> {
        &self.refusals
    }

    /// Facts on requests that crash engines.
    #[must_use]
    pub const fn crashes(&self) -> &Register {
        &self.crashes
    }

    /// Attempts that were followed by another, by how they ended.
    #[must_use]
    pub const fn retries(&self) -> &BTreeMap<&'static str, u64> {
        &self.retries
    }

    /// Retries that were wanted, by who allowed them or why they were denied.
    #[must_use]
    pub const fn repeats(&self) -> &BTreeMap<&'static str, u64> {
        &self.budget.decisions
    }

    /// As the hub: number and size of full snapshots sent, by reason.
    #[must_use]
    pub const fn full_snapshots(&self) -> &BTreeMap<Reason, Count> {
        self.hub.full_snapshots()
    }

    /// Streams that callers resumed, by how the build that may continue them was determined.
    #[must_use]
    pub const fn resumptions(&self) -> &BTreeMap<&'static str, u64> {
        &self.pins.decided
    }

    /// Messages on stream origins sent to other entry VMs, and the number of streams in them, counted each time.
    #[must_use]
    pub const fn stream_reports(&self) -> (u64, u64) {
        (self.pins.messages, self.pins.streams_announced)
    }

    /// Number of streams whose origin is stored here.
    #[must_use]
    pub fn streams_stored(&self) -> usize {
        self.pins.origins.len()
    }

    /// Number of engines that have announced a limit in requests per second.
    #[must_use]
    pub fn engines_limited(&self) -> usize {
        self.rate_limits.limited_count()
    }

    /// Number of engines that fail if they reject too many requests.
    #[must_use]
    pub fn engines_brittle(&self) -> usize {
        self.engines.values().filter(|engine| self.rate_limits.is_brittle(engine)).count()
    }

    /// Reservation requests for engines that have announced a limit, by result.
    #[must_use]
    pub const fn limited_reservation_answers(&self) -> &BTreeMap<&'static str, u64> {
        self.rate_limits.answers()
    }

    /// Number of requests sent to engines that have announced a limit.
    #[must_use]
    pub const fn sent_to_limited(&self) -> u64 {
        self.rate_limits.sent_count()
    }

    /// Whether this process is cut off from most engines that it uses while other entry VMs are not.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        path::is_cut_off(self)
    }

    /// Number of this process's requests sent through a relay.
    #[must_use]
    pub const fn sent_by_relays(&self) -> u64 {
        self.paths.sent_by_relay
    }

    /// Number of other entry VMs' requests that are being relayed.
    #[must_use]
    pub const fn relaying(&self) -> u32 {
        self.paths.relaying
    }

    /// Number of other entry VMs' requests that were relayed.
    #[must_use]
    pub const fn relayed(&self) -> u64 {
        self.paths.relayed
    }

    /// Other entry VMs' requests that were not relayed, by reason.
    #[must_use]
    pub const fn relays_denied(&self) -> &BTreeMap<&'static str, u64> {
        &self.paths.denied
    }

    /// How often an engine for an adapter was searched for. The work of the holder of the lease grows with it.
    #[must_use]
    pub const fn placement_searches(&self) -> u64 {
        self.placement_searches
    }

    /// Rows of the engine table that were skipped because newer ones were known.
    #[must_use]
    pub const fn stale_rows_skipped(&self) -> u64 {
        self.stale_rows_skipped
    }

    /// Departures of engines, by the source from which this process learned of them first.
    #[must_use]
    pub const fn departures_learnt(&self) -> &BTreeMap<Source, u64> {
        &self.departures.learned
    }

    /// Departures of engines of which this process notified others, or left it to others, by audience.
    #[must_use]
    pub const fn departures_reported(&self) -> &BTreeMap<Audience, u64> {
        &self.departures.notified
    }

    /// Time since the engine table contained all that the store had taken; none if it isn't known yet.
    #[must_use]
    pub fn engines_age(&self, now: Time) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// How often this process stalled.
    #[must_use]
    pub const fn stalls(&self) -> u64 {
        self.freshness.stalls()
    }

    /// The copy of its data that the store answers from.
    #[must_use]
    pub const fn era(&self) -> &Era {
        &self.era
    }

    /// Responses of the store that belonged to an earlier era and arrived when the new one was known.
    #[must_use]
    pub const fn outdated_answers(&self) -> u64 {
        self.outdated_answers
    }

    /// The engines of a service.
    pub(crate) fn engines_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Engine> {
        self.engines.values().filter(move |engine| engine.entry.service == *service)
    }

    /// The models and adapters that the engines of a service may hold, if they run models.
    pub(crate) fn pool(&self, service: &Name) -> Option<&Pool> {
        self.config.as_ref()?.pool(service)
    }

    /// Whether the engines of a service run no models.
    pub(crate) fn is_plain(&self, service: &Name) -> bool {
        let service = self.config.as_ref().and_then(|config| config.service(service));
        service.is_some_and(|service| service.pool.is_none())
    }

    /// Whether the configuration contains the model and the adapter, so that a copy can be expected.
    pub(crate) fn is_declared(&self, service: &Name, prompt: &Prompt) -> bool {
        let model = self.pool(service).and_then(|pool| pool.model(&prompt.model));
        model.is_some_and(|model| prompt.adapter.as_ref().is_none_or(|name| model.adapters.contains(name)))
    }

    /// Version of the residencies known here.
    pub(crate) fn residency_version(&self) -> Position {
        Position { term: self.lease.taken_term(), version: self.ledger.version() }
    }

    /// Mean run time of a service, in ms.
    pub(crate) fn mean_run_ms(&self, service: &Name) -> f64 {
        self.mean_runs_ms.get(service).copied().unwrap_or(RUN_INITIAL_MS)
    }

    /// Adds a run time of a service to its mean.
    pub(crate) fn record_run(&mut self, service: &Name, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        let mean = self.mean_runs_ms.entry(service.clone()).or_insert(ms);
        *mean += RUN_GAIN * (ms - *mean);
    }
}
