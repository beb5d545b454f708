//! What the reducer goes by besides the configuration. Set once, at a process's start.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;

use crate::bound::Bound;

/// Limits, intervals and weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Repeats allowed in a window over all entry VMs, as a share of requests (the platform's bound).
    pub repeat_ratio: f64,
    /// Repeats allowed in a window beyond that share, over all entry VMs (the platform's bound).
    pub repeat_slack: f64,
    /// The window in which repeats are counted (the platform's bound).
    pub repeat_window: Duration,
    /// Loads from the weight store are counted over this window (the platform's bound).
    pub load_window: Duration,
    /// Loads allowed in a window beyond the rate. The platform bears a tenth more and three; two are left for
    /// orders that are carried out late.
    pub load_extra: f64,
    /// Time between two machines' orders to one engine (the platform's bound).
    pub order_gap: Duration,
    /// Time after which an engine that has said that it leaves may be sent nothing more (the platform's bound).
    pub departure: Bound,
    /// Time after which a configuration that was accepted is in force everywhere (the platform's bound).
    pub config: Bound,
    /// How long a lease lasts without renewal.
    pub lease_length: Duration,
    /// How much longer others wait before they take it, and before they give orders: clocks run at rates
    /// that differ a little, and orders take time to arrive.
    pub lease_margin: Duration,
    /// Time between renewals.
    pub lease_renew: Duration,
    /// Time between looks at a lease that nobody seems to hold.
    pub lease_look: Duration,
    /// Time between frames to the hub.
    pub frame_every: Duration,
    /// Entry VMs up to which frames are sent that often; with more of them, less often in proportion.
    pub frame_nodes: u32,
    /// Whether this machine is to be the hub only if no stronger one takes that on.
    pub weak: bool,
    /// How much longer a weak machine waits before it takes a lease that is over.
    pub weak_wait: Duration,
    /// Time without an answer to a frame after which the hub is taken as gone.
    pub hub_silence: Duration,
    /// Time without an answer of the store to the hub after which the others follow the store themselves; the
    /// hub writes its lease more often, and what the store says is to be in force within two seconds.
    pub hub_store_age: Duration,
    /// Time between calls of the hub for the store's changes.
    pub follow_as_hub: Duration,
    /// Engines up to which it calls that often; with more of them, less often in proportion, within a bound.
    pub follow_engines: u32,
    /// How long a process that starts waits for the hub's word before it asks the store for everything: some frames.
    pub hub_wait: Duration,
    /// Time between looks for the hub of a process that starts and knows nothing yet.
    pub start_look: Duration,
    /// Time between calls of others that have no hub: each engine that registers changes the table, and all of
    /// them do so at the start.
    pub follow_alone: Duration,
    /// Time between placement plans.
    pub plan_every: Duration,
    /// Time for which a new entry of an outage's victims may be late (the platform's two seconds, less a margin).
    pub lapse_grace: Duration,
    /// Time in which the operator and the engines have written again what the store lost by coming back from an older copy, counted from
    /// its return.
    pub rewritten_within: Duration,
    /// Time between an engine's heartbeats (the platform's bound); the store removes the entry of one that misses three.
    pub engine_heartbeat: Duration,
    /// First time without work for an engine that could not be reached.
    pub suspicion_min: Duration,
    /// Longest time without work for an engine that could not be reached.
    pub suspicion_max: Duration,
    /// Silence of an engine with requests under way after which it is suspected.
    pub silence: Duration,
    /// Time in which remembered failures of an engine halve.
    pub fault_half_life: Duration,
    /// What one remembered failure weighs against an engine, in ms of waiting.
    pub fault_ms: f64,
    /// What another availability zone weighs against an engine, in ms of waiting. From the price of bytes
    /// between zones: about 1.5% of a streamed answer's worth.
    pub zone_ms: f64,
    /// What each request under way weighs against an engine, in ms of waiting: the others of its batch are
    /// slowed by it.
    pub crowd_ms: f64,
    /// How much longer than at the next best engine a prompt may have to wait at the one that was chosen, before the
    /// next best is asked: a question takes some ms.
    pub schedule_slack: Duration,
    /// How long a prompt waits for its place in a schedule at most. Its engine may begin to leave meanwhile, and may get
    /// nothing new two seconds after that.
    pub schedule_wait: Duration,
    /// How long a request waits for a model or adapter to be loaded, at most.
    pub load_wait: Duration,
    /// How long a refusal as absent is believed over the word of whoever orders the engine.
    pub absence: Duration,
    /// Time after which an adapter that an engine was told to load counts as loaded; the users' take 5 to 14 ms.
    pub adapter_ready: Duration,
    /// Time without a request after which an adapter may make way for another.
    pub adapter_idle: Duration,
    /// Time to leave for an answer after the last moment to send a request.
    pub reserve: Duration,
    /// Time after which a key that was taken away may not be served anywhere, if that holds for entry VMs that hear
    /// nobody as well (the platform's bound).
    pub revocation: Option<Duration>,
    /// The window in which what is spent of a workspace's limit is counted (the platform's bound); none if that is not known.
    pub quota_window: Duration,
    /// Part of a workspace's limit that may be spent over it in a window (the platform's bound).
    pub quota_overage: f64,
    /// Units of a workspace's limit that may be spent over it in a window, beyond a part of it (the platform's bound).
    pub quota_slack: f64,
    /// Part of the rate of an engine that has just started which it bears in any second (the platform's bound).
    pub cold_overage: f64,
    /// Requests beyond that part which it bears in any second (the platform's bound).
    pub cold_slack: f64,
    /// The regions of availability zones, by the zones' names.
    pub regions: BTreeMap<Name, Name>,
    /// Mechanisms that are switched off, in experiments only.
    pub without: Vec<Mechanism>,
    /// The balancer looks at readiness every second and needs two misses: after this it sends nobody, unless most of the
    /// entry VMs of the zone are not ready.
    pub balancer_grace: Duration,
    /// Time from the word to stop until whatever is still under way is cut off.
    pub stop_within: Duration,
}

/// A mechanism that can be switched off, to measure what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Prompts are spaced at engines.
    Spacing,
    /// Prompts move closer once they have waited for half of their target.
    Pressing,
    /// Reading speeds are observed.
    LearntSpeed,
    /// Engines are drawn by what others send before it is known.
    Draw,
    /// Engines of the own availability zone are preferred.
    ZoneCost,
    /// Requests under way speak against an engine.
    CrowdCost,
    /// Failures of late speak against an engine.
    Faults,
    /// Other entry VMs' suspicions are looked into.
    SharedSuspicion,
    /// Copies that nobody uses are dropped ahead of need.
    EarlyDrop,
    /// Copies make way for models that nobody waits for only once demand has been watched.
    WatchedDrops,
    /// Adapters are brought to more engines where they are crowded.
    AdapterRelief,
    /// No more loads run at once than the weight store serves at full speed.
    BoundedLoads,
    /// Other entry VMs pass requests on to engines that cannot be reached from here.
    Relays,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 13] = [
        Self::Spacing,
        Self::Pressing,
        Self::LearntSpeed,
        Self::Draw,
        Self::ZoneCost,
        Self::CrowdCost,
        Self::Faults,
        Self::SharedSuspicion,
        Self::EarlyDrop,
        Self::WatchedDrops,
        Self::AdapterRelief,
        Self::BoundedLoads,
        Self::Relays,
    ];

    /// Its name in settings files.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Spacing => "spacing",
            Self::Pressing => "pressing",
            Self::LearntSpeed => "learnt-speed",
            Self::Draw => "draw",
            Self::ZoneCost => "zone-cost",
            Self::CrowdCost => "crowd-cost",
            Self::Faults => "faults",
            Self::SharedSuspicion => "shared-suspicion",
            Self::EarlyDrop => "early-drop",
            Self::WatchedDrops => "watched-drops",
            Self::AdapterRelief => "adapter-relief",
            Self::BoundedLoads => "bounded-loads",
            Self::Relays => "relays",
        }
    }
}

impl Settings {
    /// Whether a mechanism is in use.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.2,
            repeat_slack: 50.0,
            repeat_window: Duration::from_secs(10),
            load_window: Duration::from_secs(5),
            load_extra: 1.5,
            order_gap: Duration::from_secs(3),
            departure: Bound(Duration::from_secs(2)),
            config: Bound(Duration::from_secs(2)),
            lease_length: Duration::from_millis(1_600),
            lease_margin: Duration::from_millis(200),
            lease_renew: Duration::from_millis(400),
            lease_look: Duration::from_millis(400),
            frame_every: Duration::from_millis(150),
            frame_nodes: 30,
            weak: false,
            weak_wait: Duration::from_millis(1_200),
            hub_silence: Duration::from_millis(700),
            hub_store_age: Duration::from_secs(1),
            follow_as_hub: Duration::from_millis(30),
            follow_engines: 30,
            hub_wait: Duration::from_millis(700),
            start_look: Duration::from_millis(30),
            follow_alone: Duration::from_millis(250),
            plan_every: Duration::from_millis(250),
            lapse_grace: Duration::from_millis(1_500),
            rewritten_within: Duration::from_secs(2),
            engine_heartbeat: Duration::from_millis(1_200),
            suspicion_min: Duration::from_millis(500),
            suspicion_max: Duration::from_secs(4),
            silence: Duration::from_millis(500),
            fault_half_life: Duration::from_secs(2),
            fault_ms: 40.0,
            zone_ms: 20.0,
            crowd_ms: 1.5,
            schedule_slack: Duration::from_millis(20),
            schedule_wait: Duration::from_secs(1),
            load_wait: Duration::from_secs(4),
            absence: Duration::from_millis(150),
            adapter_ready: Duration::from_millis(20),
            adapter_idle: Duration::from_millis(400),
            reserve: Duration::from_millis(50),
            revocation: None,
            quota_window: Duration::ZERO,
            quota_overage: 0.0,
            quota_slack: 0.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
            regions: BTreeMap::new(),
            without: Vec::new(),
            balancer_grace: Duration::from_millis(2_500),
            stop_within: Duration::from_millis(7_650),
        }
    }
}
