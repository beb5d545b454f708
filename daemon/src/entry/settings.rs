//! The settings of an entry VM on the users' platform, in JSON with comments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time;
use boragecove_fleet::bound::Bound;
use boragecove_fleet::settings as fleet;
use boragecove_wire::jsonc::{self, Node, Problems};

use crate::settings::{Unreadable, from_file, loopback, set};

/// Upper limit of the ratio and slack of retries.
const REPEATS_MAX: f64 = 1_000_000.0;
/// Upper limit of the slack of workspaces' limits, in units of the limit.
const UNITS_MAX: f64 = 1e12;
/// Upper limit of the overage (a multiple of a cold engine's rate) and the slack (in requests) of cold engines.
const COLD_MAX: f64 = 1_000_000.0;
/// Upper limit of a machine's cores.
const CORES_MAX: f64 = 1_024.0;
/// Upper limit of a machine's link in Mbit/s.
const LINK_MAX: f64 = 1_000_000.0;
/// Upper limit of a machine's memory in MB.
const MEMORY_MB_MAX: f64 = 16_777_216.0;
/// Upper limit of a process's file descriptors.
const DESCRIPTORS_MAX: f64 = 16_777_216.0;
/// Number of a process's file descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// The part of the sockets that callers may have.
const CALLER_SOCKETS: f64 = 0.6;
/// Bytes in a megabyte.
const MB: f64 = 1_000_000.0;
/// Smallest number of cores of a hub, which replies to 200 frames per second with 90 entry VMs.
const HUB_CORES_MIN: f64 = 0.25;
/// Smallest speed of a hub's link in Mbit/s. Each of these replies has 3 KB.
const HUB_LINK_MBPS_MIN: f64 = 50.0;
/// The shortest bound on changes that can be met if an answer is lost.
const CHANGE_BOUND_MIN: Duration = Duration::from_secs(1);
/// The part of the platform's grace period that is left for the last answers and the exit. The period begins as the signal is
/// sent, and a process with little of a busy processor reads it late.
const GRACE_LEFT: f64 = 0.1;
/// The least that is left of it.
const GRACE_LEFT_MIN: Duration = Duration::from_millis(350);

/// All settings of a process. [`load`] reads them from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What the process may use of its machine.
    pub machine: Machine,
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for the hub's reply to a frame to begin, and for it to stall.
    pub frame: Duration,
    /// Time from the signal to stop by which the process has exited, whatever is still in flight.
    pub grace: Duration,
    /// Settings of the reducer.
    pub fleet: fleet::Settings,
}

/// What a process may use of its machine. A process that exceeds its memory is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Default for Machine {
    /// A small machine.
    fn default() -> Self {
        Self { memory_bytes: 256_000_000, descriptors: 4_096 }
    }
}

impl Machine {
    /// Number of connections that callers may have open. Each request in flight needs another one to an engine, and the
    /// store and other entry VMs need theirs.
    pub(crate) fn caller_connections(self) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        (sockets as f64 * CALLER_SOCKETS) as usize
    }
}

/// The addresses on which a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer and for collectors of metrics.
    pub watchers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: "entry-1".into(),
            zone: "zone-1".into(),
            listen: Listen { callers: loopback(), watchers: loopback(), peers: loopback() },
            store: loopback(),
            machine: Machine::default(),
            connect: Duration::from_millis(400),
            frame: Duration::from_millis(500),
            grace: Duration::from_secs(8),
            fleet: fleet::Settings::default(),
        }
    }
}

impl Settings {
    /// Time from when the signal to stop is read until requests that are still open are answered.
    #[must_use]
    pub fn stop_within(&self) -> Duration {
        let left = self.grace.mul_f64(GRACE_LEFT).max(GRACE_LEFT_MIN);
        self.grace.saturating_sub(left)
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// If the file can't be read, or all problems found in it.
pub fn load(path: &Path) -> Result<Settings, Unreadable> {
    from_file(path, read)
}

/// Reads settings from a text; errors name it `file`.
///
/// # Errors
///
/// All problems found in the text.
pub fn read(file: &str, text: &str) -> Result<Settings, Problems> {
    jsonc::read(file, text, |root| settings(&root))
}

fn settings(root: &Node<'_>) -> Settings {
    let mut settings = Settings::default();
    let mut object = root.object();
    set(&mut settings.vm, object.required("vm").and_then(|node| node.name()));
    set(&mut settings.zone, object.required("zone").and_then(|node| node.name()));
    if let Some(node) = object.required("listen") {
        listen(&node, &mut settings.listen);
    }
    set(&mut settings.store, object.required("store").and_then(|node| node.address()));
    set(&mut settings.connect, object.optional("connect").and_then(|node| limit(&node)));
    set(&mut settings.frame, object.optional("frame").and_then(|node| limit(&node)));
    set(&mut settings.grace, object.optional("grace").and_then(|node| limit(&node)));
    settings.fleet.stop_timeout = settings.stop_within();
    if let Some(node) = object.optional("machine") {
        machine(&node, &mut settings);
    }
    if let Some(node) = object.optional("repeats") {
        repeats(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("changes") {
        changes(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("orders") {
        orders(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("keys") {
        keys(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("limits") {
        limits(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("cold") {
        cold(&node, &mut settings.fleet);
    }
    if let Some(node) = object.optional("regions") {
        settings.fleet.regions = regions(&node);
    }
    if let Some(node) = object.optional("without") {
        settings.fleet.disabled = disabled_mechanisms(&node);
    }
    settings
}

/// Reads a time by which something must be done. It is rounded down to the resolution of the reducer's clock.
fn limit(node: &Node<'_>) -> Option<Duration> {
    node.duration().map(time::floor)
}

/// Reads a time over which something is counted, or that must pass before something is done. It is rounded up to the
/// resolution of the reducer's clock.
fn window(node: &Node<'_>) -> Option<Duration> {
    node.duration().map(time::ceil)
}

/// Reads the bounds on the time until changes are in force everywhere.
fn changes(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    let bound = |node: Node<'_>| {
        let bound = limit(&node)?;
        if bound < CHANGE_BOUND_MIN {
            node.report_error("is too short: a lost call of the store and its retry take a second");
            return None;
        }
        Some(Bound(bound))
    };
    set(&mut fleet.departure_bound, object.optional("departures-within").and_then(bound));
    set(&mut fleet.config_bound, object.optional("config-within").and_then(bound));
}

/// Reads the settings of callers' keys.
fn keys(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    fleet.revocation = object.required("revoked-within").and_then(|node| limit(&node));
}

/// Reads the settings of workspaces' limits.
fn limits(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    set(&mut fleet.quota_window, object.required("window").and_then(|node| window(&node)));
    set(&mut fleet.quota_overage, object.required("overage").and_then(|node| node.number(0.0, 1.0)));
    set(&mut fleet.quota_slack, object.required("slack").and_then(|node| node.number(0.0, UNITS_MAX)));
}

/// Reads the limits of engines that have just started.
fn cold(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    set(&mut fleet.cold_overage, object.required("overage").and_then(|node| node.number(0.0, COLD_MAX)));
    set(&mut fleet.cold_slack, object.required("slack").and_then(|node| node.number(0.0, COLD_MAX)));
}

/// Reads the regions of availability zones.
fn regions(node: &Node<'_>) -> BTreeMap<Name, Name> {
    let region = |node: &Node<'_>| {
        let mut object = node.object();
        Some((object.required("zone")?.name()?, object.required("region")?.name()?))
    };
    node.list().iter().filter_map(region).collect()
}

/// Reads the mechanisms to disable, which is done in experiments only.
fn disabled_mechanisms(node: &Node<'_>) -> Vec<fleet::Mechanism> {
    let choices = fleet::Mechanism::ALL.map(|mechanism| (mechanism.label(), mechanism));
    node.list().iter().filter_map(|node| node.choice(&choices)).collect()
}

fn listen(node: &Node<'_>, listen: &mut Listen) {
    let mut object = node.object();
    set(&mut listen.callers, object.required("callers").and_then(|node| node.address()));
    set(&mut listen.watchers, object.required("watchers").and_then(|node| node.address()));
    set(&mut listen.peers, object.required("peers").and_then(|node| node.address()));
}

/// Reads the size of the machine, which decides whether it is too weak to serve as the hub besides its callers, and how
/// much callers may make the process hold.
fn machine(node: &Node<'_>, settings: &mut Settings) {
    let mut object = node.object();
    let cores = object.required("cores").and_then(|node| node.number(0.0, CORES_MAX));
    let link_mbps = object.required("link-mbps").and_then(|node| node.number(0.0, LINK_MAX));
    let is_below = |value: Option<f64>, min: f64| value.is_some_and(|value| value < min);
    settings.fleet.weak = is_below(cores, HUB_CORES_MIN) || is_below(link_mbps, HUB_LINK_MBPS_MIN);
    let memory_mb = object.optional("memory-mb").and_then(|node| node.number(1.0, MEMORY_MB_MAX));
    set(&mut settings.machine.memory_bytes, memory_mb.map(|mb| (mb * MB) as usize));
    let descriptors = object.optional("descriptors").and_then(|node| node.number(1.0, DESCRIPTORS_MAX));
    set(&mut settings.machine.descriptors, descriptors.map(|count| count as usize));
}

fn repeats(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    let mut number = |key| object.optional(key).and_then(|node: Node<'_>| node.number(0.0, REPEATS_MAX));
    set(&mut fleet.repeat_ratio, number("ratio"));
    set(&mut fleet.repeat_slack, number("slack"));
    set(&mut fleet.repeat_window, object.optional("window").and_then(|node| window(&node)));
}

fn orders(node: &Node<'_>, fleet: &mut fleet::Settings) {
    let mut object = node.object();
    set(&mut fleet.order_gap, object.optional("gap").and_then(|node| window(&node)));
    set(&mut fleet.load_window, object.optional("load-window").and_then(|node| window(&node)));
}
