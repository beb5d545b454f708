//! What operators declare: routes, the services behind them, and limits on what callers may send.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::homes::Homes;
use crate::key::Digest;
use crate::request::Arrival;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; a higher one replaces a lower one, never the other way round.
    pub version: u64,
    /// Where requests may go.
    pub routes: Vec<Arc<Route>>,
    /// What runs them.
    pub services: Vec<Arc<Service>>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may call; none where requests need no key.
    pub access: Option<Access>,
}

/// The workspaces that callers belong to, and the keys that tell which.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Access {
    /// The workspaces.
    pub workspaces: Vec<Arc<Workspace>>,
    /// The keys of all of them; each stands there once.
    pub keys: Vec<Arc<Key>>,
}

/// Callers that share keys, a priority and a limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// The rank of its requests, in place of the route's; 0 goes first.
    pub priority: Option<u8>,
    /// What it may ask for over all entry VMs; none if there is no limit.
    pub limit: Option<Limit>,
    /// Where its requests may be served.
    pub homes: Homes,
}

/// A key, and the workspace whose callers have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The key's digest.
    pub digest: Digest,
    /// The workspace's name.
    pub workspace: Name,
}

/// What a workspace may ask for, over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub per_s: f64,
    /// Units that may be asked for at once beyond that.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens that are read and generated.
    Tokens {
        /// What a request counts that says nothing of its tokens.
        unsaid: f64,
    },
}

impl Limit {
    /// What a request counts.
    #[must_use]
    pub fn cost(&self, arrival: &Arrival) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { unsaid } => arrival.tokens.map_or(unsaid, |tokens| tokens as f64),
        }
    }
}

/// A path prefix of a host, and the services that its requests go to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that requests name.
    pub host: Name,
    /// What their paths begin with; begins and ends with a slash.
    pub prefix: Name,
    /// What may be done with a request more than once.
    pub kind: Kind,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time to an answer, or to the first event of a stream, that the operator aims at.
    pub target: Duration,
    /// The pause between two events of a stream that the operator allows.
    pub pause: Duration,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Engines to which one request may be sent.
    pub attempts: u32,
    /// The services, with their weights.
    pub split: Vec<Share>,
    /// Whether its requests need no key.
    pub public: bool,
    /// Where its requests may be served.
    pub homes: Homes,
}

/// Callers leave a stream that pauses, or does not begin, for the longest of this,
const ABANDON_MIN: Duration = Duration::from_secs(2);
/// this many times the route's target,
const ABANDON_TARGETS: u32 = 4;
/// and this many times the pause that it allows.
const ABANDON_PAUSES: u32 = 8;

impl Route {
    /// How long callers wait for an answer to begin.
    #[must_use]
    pub fn patience(&self) -> Duration {
        if !self.kind.streams() {
            return self.timeout;
        }
        let longest = ABANDON_MIN.max(self.target * ABANDON_TARGETS).max(self.pause * ABANDON_PAUSES);
        longest.min(self.timeout)
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service's name.
    pub service: Name,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    #[default]
    Once,
    /// It is answered by a stream of numbered events.
    Stream {
        /// Whether another engine may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Kind {
    /// Whether another engine may be given a request that may have run.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether its streams may be taken up after an event.
    #[must_use]
    pub const fn resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Engines that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one engine accepts from all callers together.
    pub connections_max: u32,
    /// What its engines hold, if they run models.
    pub pool: Option<Pool>,
    /// What its engines bear after a start; none if that is no less than later.
    pub start: Option<Start>,
}

/// What an engine bears for some time after a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// For how long.
    pub lasts: Duration,
    /// Requests a second from all entry VMs together.
    pub per_s: f64,
}

/// The size of each engine of a service, and the models to be spread over them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory of one engine for prompts and what was generated, in tokens.
    pub cache_tokens: u64,
    /// Memory of one engine for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters that one engine holds.
    pub adapters_max: u32,
    /// Loads from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<Model>,
}

/// A model that engines may be told to load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// Its adapters.
    pub adapters: Vec<Name>,
    /// Memory that its weights take, in MB.
    pub memory_mb: f64,
    /// Memory that one of its adapters takes, in MB.
    pub adapter_mb: f64,
    /// Time to load it from the weight store.
    pub cold: Duration,
    /// Time to load it from the engine's own disk.
    pub disk: Duration,
    /// Time to load it from the engine's own memory.
    pub warm: Duration,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send the headers.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name).map(AsRef::as_ref)
    }

    /// What the engines of a service hold, if they run models.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.service(service)?.pool.as_ref()
    }
}

impl Pool {
    /// The model of that name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// The routes of one version by host, and its workspaces by the keys of their callers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: FxHashMap<Name, Host>,
    keys: FxHashMap<Digest, Arc<Workspace>>,
    workspaces: FxHashMap<Name, Arc<Workspace>>,
}

/// The routes of one host. Prefixes end with a slash, so that those that begin a path end at one of its slashes: the time to
/// find a route does not grow with the number of routes (18.6 µs with 7,800 when each was tried, bench `route`).
#[derive(Clone, Debug, Default)]
struct Host {
    by_prefix: FxHashMap<Name, Arc<Route>>,
    /// Slashes in the prefix that has most.
    slashes_max: usize,
}

impl Table {
    /// Sorts the routes of `config`. Of two with the same host and prefix the first one holds.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut hosts: FxHashMap<Name, Host> = FxHashMap::default();
        for route in &config.routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.slashes_max = host.slashes_max.max(slashes(&route.prefix).count());
            host.by_prefix.entry(route.prefix.clone()).or_insert_with(|| Arc::clone(route));
        }
        let access = config.access.as_ref();
        let workspaces = access.into_iter().flat_map(|access| &access.workspaces);
        let workspaces: FxHashMap<Name, Arc<Workspace>> =
            workspaces.map(|workspace| (workspace.name.clone(), Arc::clone(workspace))).collect();
        let keys = access.into_iter().flat_map(|access| &access.keys);
        let keys =
            keys.filter_map(|key| Some((key.digest, Arc::clone(workspaces.get(&key.workspace)?)))).collect();
        Self { hosts, keys, workspaces }
    }

    /// The workspace whose callers have this key.
    #[must_use]
    pub fn workspace_of(&self, key: Digest) -> Option<&Arc<Workspace>> {
        self.keys.get(&key)
    }

    /// The workspace of that name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// The workspaces that have limits.
    pub fn limited(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values().filter(|workspace| workspace.limit.is_some())
    }

    /// The route of `host` with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = self.hosts.get(host)?;
        let ends = slashes(path).take(host.slashes_max);
        ends.filter_map(|end| host.by_prefix.get(&path[..=end])).last()
    }
}

/// Where a path has slashes.
fn slashes(path: &str) -> impl Iterator<Item = usize> {
    path.match_indices('/').map(|(at, _)| at)
}
