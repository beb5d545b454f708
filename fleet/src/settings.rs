//! Parameters of the reducer besides the configuration. They are set once, when a process starts.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;

use crate::bound::Bound;

/// Limits, intervals and weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed in a window over all entry VMs, as a fraction of requests (bound of the platform).
    pub repeat_ratio: f64,
    /// Retries allowed in a window in addition to that fraction, over all entry VMs (bound of the platform).
    pub repeat_slack: f64,
    /// The window over which retries are counted (bound of the platform).
    pub repeat_window: Duration,
    /// The window over which loads from the weight store are counted (bound of the platform).
    pub load_window: Duration,
    /// Loads allowed in a window in addition to the rate. The platform allows an excess of a tenth plus three. Two of
    /// these are left for orders that are carried out late.
    pub load_burst: f64,
    /// Minimum time between the orders of two entry VMs to one engine (bound of the platform).
    pub order_gap: Duration,
    /// Time after which an engine that has announced its departure may be sent nothing more (bound of the platform).
    pub departure_bound: Bound,
    /// Time after which an accepted configuration is in force everywhere (bound of the platform).
    pub config_bound: Bound,
    /// Validity of a lease without renewal.
    pub lease_length: Duration,
    /// How much longer other entry VMs wait before they take the lease, and before they give orders: the rates of
    /// clocks differ slightly, and orders take time to arrive.
    pub lease_margin: Duration,
    /// Interval between renewals of the lease.
    pub lease_renew: Duration,
    /// Interval at which a lease without a known holder is checked.
    pub lease_check: Duration,
    /// Interval between frames to the hub.
    pub frame_every: Duration,
    /// Number of entry VMs up to which that interval applies. Beyond it, the interval grows in proportion.
    pub frame_nodes: u32,
    /// Whether this machine becomes the hub only if no stronger one does.
    pub weak: bool,
    /// How much longer a weak machine waits before it takes an expired lease.
    pub weak_wait: Duration,
    /// Time without a reply to a frame after which the hub counts as lost.
    pub hub_silence: Duration,
    /// Time without an answer of the store to the hub after which the others follow the store themselves. The hub
    /// writes its lease more often than that, and a change in the store has to be in force within two seconds.
    pub hub_store_age: Duration,
    /// Interval between the hub's calls for the store's changes.
    pub hub_poll_interval: Duration,
    /// Number of engines up to which that interval applies. Beyond it, the interval grows in proportion, up to a
    /// maximum.
    pub hub_poll_engines: u32,
    /// How long a starting process waits for the hub before it reads all tables from the store: several frame
    /// intervals.
    pub hub_wait: Duration,
    /// Interval at which a starting process without data looks for the hub.
    pub start_lookup_interval: Duration,
    /// Interval between calls for the store's changes by other entry VMs without a hub. Each engine that registers
    /// changes the table, and at the start all of them do so.
    pub standalone_poll_interval: Duration,
    /// Interval between placement plans.
    pub plan_every: Duration,
    /// How late a new entry of an engine may be that lost its entry in an outage (the platform's two seconds, less a
    /// margin).
    pub entry_expiry_grace: Duration,
    /// Time after the restore of the store from an older copy within which the operator and the engines write again
    /// what was lost.
    pub restore_rewrite_time: Duration,
    /// Interval between an engine's heartbeats (bound of the platform). The store removes the entry of an engine that
    /// misses three.
    pub engine_heartbeat: Duration,
    /// First time without work for an engine that could not be reached.
    pub suspicion_min: Duration,
    /// Longest time without work for an engine that could not be reached.
    pub suspicion_max: Duration,
    /// Time without a response from an engine with requests under way after which it is suspected.
    pub engine_silence: Duration,
    /// Half-life of the remembered failures of an engine.
    pub fault_half_life: Duration,
    /// Cost of one remembered failure of an engine, in ms of waiting.
    pub fault_ms: f64,
    /// Cost of an engine in another availability zone, in ms of waiting. It reflects the price of traffic between
    /// zones, which is about 1.5% of the value of a streamed answer.
    pub zone_ms: f64,
    /// Cost of each request under way at an engine, in ms of waiting, because it slows down the others of its batch.
    pub open_request_ms: f64,
    /// How much longer a prompt may have to wait at the chosen engine than at the next best one before the next best
    /// one is asked for a reservation, since the query takes several ms.
    pub schedule_slack: Duration,
    /// How long a prompt waits at most for its reservation in a schedule. Its engine may start to leave meanwhile, and must
    /// get no new requests two seconds after that.
    pub schedule_wait: Duration,
    /// How long a request waits at most for a model or adapter to be loaded.
    pub load_wait: Duration,
    /// How long an engine's refusal of a model or adapter as absent takes precedence over the data of the holder of
    /// the lease.
    pub absence_ttl: Duration,
    /// Time after which an adapter that an engine was told to load counts as loaded. The platform's engines take 5 to
    /// 14 ms.
    pub adapter_ready: Duration,
    /// Time without a request after which an adapter may be replaced by another.
    pub adapter_idle: Duration,
    /// Time reserved for the answer after the last moment at which a request may be sent.
    pub answer_reserve: Duration,
    /// Time after which a revoked key may not be served anywhere (bound of the platform); none if entry VMs that
    /// receive nothing need not keep to it.
    pub revocation: Option<Duration>,
    /// The window over which the use of a workspace's limit is counted (bound of the platform); zero if unknown.
    pub quota_window: Duration,
    /// Fraction of a workspace's limit by which it may be exceeded in a window (bound of the platform).
    pub quota_overage: f64,
    /// Units by which a workspace's limit may be exceeded in a window, in addition to that fraction (bound of the
    /// platform).
    pub quota_slack: f64,
    /// Multiple of its initial rate that an engine that has just started bears in any second (bound of the platform).
    pub cold_overage: f64,
    /// Requests that it bears in any second in addition to that (bound of the platform).
    pub cold_slack: f64,
    /// The region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// Mechanisms that are switched off, for experiments only.
    pub disabled: Vec<Mechanism>,
    /// Time until the load balancer sends no more requests to an entry VM that is not ready. It checks readiness
    /// every second and needs two failures. It still sends requests if most of the entry VMs of the zone are not
    /// ready.
    pub balancer_grace: Duration,
    /// Time from the order to stop until requests that are still open are answered.
    pub stop_timeout: Duration,
}

/// A mechanism that can be switched off to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Spaces prompts at engines.
    Spacing,
    /// Shortens the spacing of prompts once they have waited for half of their target time.
    DeadlinePressure,
    /// Measures the reading speeds of engines.
    MeasuredSpeed,
    /// Chooses engines at random, weighted to allow for requests of other entry VMs that aren't known yet.
    WeightedDraw,
    /// Prefers engines of the own availability zone.
    ZoneCost,
    /// Counts requests under way as a cost of an engine.
    OpenRequestCost,
    /// Counts recent failures as a cost of an engine.
    RecentFailures,
    /// Probes engines that other entry VMs suspect.
    SharedSuspicion,
    /// Drops unused copies before their memory is needed.
    EarlyDrop,
    /// Drops copies in favour of models without waiting requests only once demand has been observed.
    ObservedDrops,
    /// Loads adapters on more engines when those that hold them are crowded.
    AdapterRelief,
    /// Limits concurrent loads to the number that the weight store serves at full speed.
    BoundedLoads,
    /// Relays requests through other entry VMs to engines that can't be reached directly.
    Relays,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 13] = [
        Self::Spacing,
        Self::DeadlinePressure,
        Self::MeasuredSpeed,
        Self::WeightedDraw,
        Self::ZoneCost,
        Self::OpenRequestCost,
        Self::RecentFailures,
        Self::SharedSuspicion,
        Self::EarlyDrop,
        Self::ObservedDrops,
        Self::AdapterRelief,
        Self::BoundedLoads,
        Self::Relays,
    ];

    /// The mechanism's name in settings files.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Spacing => "spacing",
            Self::DeadlinePressure => "pressing",
            Self::MeasuredSpeed => "learnt-speed",
            Self::WeightedDraw => "draw",
            Self::ZoneCost => "zone-cost",
            Self::OpenRequestCost => "crowd-cost",
            Self::RecentFailures => "faults",
            Self::SharedSuspicion => "shared-suspicion",
            Self::EarlyDrop => "early-drop",
            Self::ObservedDrops => "watched-drops",
            Self::AdapterRelief => "adapter-relief",
            Self::BoundedLoads => "bounded-loads",
            Self::Relays => "relays",
        }
    }
}

impl Settings {
    /// Whether a mechanism is in use.
    #[must_use]
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.2,
            repeat_slack: 50.0,
            repeat_window: Duration::from_secs(10),
            load_window: Duration::from_secs(5),
            load_burst: 1.5,
            order_gap: Duration::from_secs(3),
            departure_bound: Bound(Duration::from_secs(2)),
            config_bound: Bound(Duration::from_secs(2)),
            lease_length: Duration::from_millis(1_600),
            lease_margin: Duration::from_millis(200),
            lease_renew: Duration::from_millis(400),
            lease_check: Duration::from_millis(400),
            frame_every: Duration::from_millis(150),
            frame_nodes: 30,
            weak: false,
            weak_wait: Duration::from_millis(1_200),
            hub_silence: Duration::from_millis(700),
            hub_store_age: Duration::from_secs(1),
            hub_poll_interval: Duration::from_millis(30),
            hub_poll_engines: 30,
            hub_wait: Duration::from_millis(700),
            start_lookup_interval: Duration::from_millis(30),
            standalone_poll_interval: Duration::from_millis(250),
            plan_every: Duration::from_millis(250),
            entry_expiry_grace: Duration::from_millis(1_500),
            restore_rewrite_time: Duration::from_secs(2),
            engine_heartbeat: Duration::from_millis(1_200),
            suspicion_min: Duration::from_millis(500),
            suspicion_max: Duration::from_secs(4),
            engine_silence: Duration::from_millis(500),
            fault_half_life: Duration::from_secs(2),
            fault_ms: 40.0,
            zone_ms: 20.0,
            open_request_ms: 1.5,
            schedule_slack: Duration::from_millis(20),
            schedule_wait: Duration::from_secs(1),
            load_wait: Duration::from_secs(4),
            absence_ttl: Duration::from_millis(150),
            adapter_ready: Duration::from_millis(20),
            adapter_idle: Duration::from_millis(400),
            answer_reserve: Duration::from_millis(50),
            revocation: None,
            quota_window: Duration::ZERO,
            quota_overage: 0.0,
            quota_slack: 0.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
            regions: BTreeMap::new(),
            disabled: Vec::new(),
            balancer_grace: Duration::from_millis(2_500),
            stop_timeout: Duration::from_millis(7_200),
        }
    }
}
