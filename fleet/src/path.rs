//! Paths from this entry VM to engines: direct, or relayed by another entry VM that reaches the engine.
//!
//! An engine that accepts no connection from here is not necessarily down. Another entry VM is asked
//! whether it reaches the engine (an indirect probe), and if so it relays requests (one hop). All decisions
//! on a request are made and counted here: its engine, reservation, permits, deadline and retries. The
//! relay opens the connection, and knows whether the engine is leaving.
//!
//! Each engine has its own path, since a partition may cut off any subset of engines. While more engines in
//! use are relayed than are reached directly, this process counts as cut off. It then gives up or avoids
//! the role of the hub, and uses relays also for engines that it has not tried directly. About a relayed
//! engine it makes no statements to other entry VMs, because what it sees may be its own loss of
//! connectivity.

mod relay;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::crash;
use crate::effect::Effect;
use crate::engine::{Engine, Port};
use crate::flow;
use crate::record::Record;
use crate::settings::Mechanism;
use crate::state::State;
use crate::suspicion;
use crate::timer::Timer;
pub use relay::{Denial, Probe};
pub(crate) use relay::{accept, is_relaying, probe, relayed_request_ended};

/// Number of other entry VMs asked in turn whether they reach an engine, until the engine is tried from
/// here again.
const PROBERS_MAX: usize = 4;
/// Number of relays remembered.
const RELAYS_MAX: usize = 8;
/// Probe requests per second of all entry VMs together, each of which costs another entry VM two
/// connections. With very many entry VMs the sum is higher, because each may send at least the minimum in
/// `OWN_PROBES_PER_S`.
const PROBES_PER_S: u32 = 8_000;
/// Least and greatest number of probe requests per second of one entry VM.
const OWN_PROBES_PER_S: (u32, u32) = (8, 64);
/// How long an entry VM that did not reach an engine is asked about other engines only after those without
/// such a failure.
const FAILED_PROBER_KEPT: Duration = Duration::from_secs(2);
/// How long an engine must accept connections from here before it is used directly again. A path that comes
/// and goes costs requests each time.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// How long an engine counts as reached directly after the last direct contact.
const CONTACT_RECENT: Duration = Duration::from_secs(2);

/// Path to one engine.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Since when no connection could be opened from here; `None` if connections can be opened.
    pub(crate) lost_since: Option<Time>,
    /// The entry VM that relays requests in the meantime.
    relay: Option<Relay>,
    /// Since when the port accepts connections from here again.
    open_since: Option<Time>,
    /// Entry VMs asked since the engine was last tried from here.
    probers: Vec<Name>,
    /// Whether an answer from one of them is pending.
    probing: bool,
    /// When anything last arrived from the engine without a relay.
    pub(crate) heard_at: Option<Time>,
}

/// An entry VM that relays requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Its name.
    pub vm: Name,
    /// Its address for other entry VMs.
    pub address: SocketAddr,
}

/// State that is common to all paths of this process.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    /// Entry VMs that did not reach an engine, with the expiry of that finding.
    failed_probers: Vec<(Name, Time)>,
    /// Start of the current second of probe requests, and their number.
    probe_count: (Time, u32),
    /// Since when this process is cut off; `None` if it is not.
    cut_off_since: Option<Time>,
    /// Entry VMs that recently reached engines which are not reachable from here, latest last.
    relays: Vec<Relay>,
    /// Requests currently relayed for other entry VMs.
    pub(crate) relaying: u32,
    /// Requests sent through a relay.
    pub(crate) sent_by_relay: u64,
    /// Requests relayed for other entry VMs.
    pub(crate) relayed: u64,
    /// Requests of other entry VMs that were not relayed, by reason.
    pub(crate) denied: BTreeMap<&'static str, u64>,
}

impl Path {
    /// The relay for the engine; `None` if the engine is reached directly or not at all.
    #[must_use]
    pub const fn relay(&self) -> Option<&Relay> {
        self.relay.as_ref()
    }

    /// Whether another entry VM relays requests for the engine.
    #[must_use]
    pub const fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }

    /// Whether this entry VM relays requests for the engine.
    pub(crate) fn is_relayed_by(&self, vm: &Name) -> bool {
        self.relay.as_ref().is_some_and(|relay| relay.vm == *vm)
    }

    /// Whether another entry VM is being asked whether it reaches the engine.
    pub(crate) const fn is_asking(&self) -> bool {
        self.probing
    }

    /// Whether no connection can be opened from here.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }
}

/// The relay to use for an engine; `None` if requests are sent directly.
pub(crate) fn relay_of<'a>(state: &'a State, engine: &'a Engine) -> Option<&'a Relay> {
    let path = &engine.path;
    if path.relay.is_some() {
        return path.relay.as_ref();
    }
    let since = state.paths.cut_off_since?;
    let denied = path.lost_since.is_some() && !path.probers.is_empty();
    if denied || path.heard_at.is_some_and(|at| at >= since) || state.paths.relays.is_empty() {
        return None;
    }
    // This process is cut off, and no entry VM has reported that it does not reach the engine.
    let index = xxh3_64(engine.entry.id.as_bytes()) as usize % state.paths.relays.len();
    state.paths.relays.get(index)
}

/// Whether a request can reach the engine now, directly or through a relay. `connect_failed`: connecting
/// directly has already failed for this request.
pub(crate) fn is_reachable(state: &State, now: Time, engine: &Engine, connect_failed: bool) -> bool {
    !(connect_failed || engine.health.is_suspected(now)) || relay_of(state, engine).is_some()
}

/// Handles a failure to connect to an engine: other entry VMs are asked whether they reach it.
pub(crate) fn connect_failed(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let path = &mut known.path;
    path.open_since = None;
    path.lost_since.get_or_insert(now);
    if !path.probing {
        path.probers.clear();
    }
    probe_next(state, now, engine, out);
}

/// Asks the next entry VM whether it reaches the engine, unless a relay is known or a question is pending.
fn probe_next(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    if !state.settings.is_enabled(Mechanism::Relays) {
        return;
    }
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let path = &known.path;
    if path.relay.is_some() || path.probing || path.probers.len() >= PROBERS_MAX || known.is_leaving() {
        return;
    }
    state.paths.failed_probers.retain(|(_, until)| *until > now);
    let has_failed = |vm: &Name| state.paths.failed_probers.iter().any(|(name, _)| name == vm);
    let Some(next) =
        state.members.pick_relay(engine, &state.me, &known.entry.zone, &path.probers, has_failed)
    else {
        return;
    };
    let (vm, address) = (next.vm.clone(), next.address);
    if !state.paths.allow_probe(now, state.hub.nodes) {
        return;
    }
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    known.path.probers.push(vm.clone());
    known.path.probing = true;
    out.push(Effect::AskPath { vm, address, engine: engine.clone() });
}

impl Paths {
    /// Remembers an entry VM that reaches an engine which this one does not reach.
    fn remember_relay(&mut self, relay: Relay) {
        self.relays.retain(|known| known.vm != relay.vm);
        if self.relays.len() >= RELAYS_MAX {
            self.relays.remove(0);
        }
        self.relays.push(relay);
    }

    /// Counts a probe request and returns whether the rate allows it, given the number of entry VMs.
    fn allow_probe(&mut self, now: Time, nodes: u32) -> bool {
        if now.since(self.probe_count.0) >= Duration::from_secs(1) {
            self.probe_count = (now, 0);
        }
        self.probe_count.1 += 1;
        let (least, most) = OWN_PROBES_PER_S;
        self.probe_count.1 <= (PROBES_PER_S / nodes.max(1)).clamp(least, most)
    }
}

/// Handles another entry VM's finding on an engine's port; `None` if it did not answer or cannot tell.
pub(crate) fn probe_answered(
    state: &mut State,
    now: Time,
    engine: &Name,
    prober: Relay,
    port: Option<Port>,
    out: &mut Vec<Effect>,
) {
    crash::path_seen(state, now, engine, port, out);
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    known.path.probing = false;
    if known.path.lost_since.is_none() {
        return;
    }
    if port != Some(Port::Open) {
        if known.path.relay.as_ref() == Some(&prober) {
            return relay_failed(state, now, engine, &prober.vm, out);
        }
        state.paths.failed_probers.push((prober.vm, now + FAILED_PROBER_KEPT));
        return probe_next(state, now, engine, out);
    }
    if known.path.relay.is_some() {
        return;
    }
    known.path.relay = Some(prober.clone());
    state.paths.failed_probers.retain(|(vm, _)| *vm != prober.vm);
    state.paths.remember_relay(prober);
    record(state, now, engine, "relayed", out);
    flow::request_rescan(state);
    if state.engines.values().filter(|engine| engine.path.is_relayed()).count() == 1 {
        // Other engines may have become unreachable at the same time.
        suspicion::probe_used(state, now, out);
    }
    update_cut_off(state, now, out);
}

/// Asks a relay whether it still reaches the engine, after nothing has arrived for a relayed request for
/// some time.
pub(crate) fn recheck_relay(state: &mut State, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let Some(Relay { vm, address }) = known.path.relay.clone().filter(|_| !known.path.probing) else {
        return;
    };
    known.path.probing = true;
    out.push(Effect::AskPath { vm, address, engine: engine.clone() });
}

/// Handles a relay's failure to pass on a request: another relay is looked for.
pub(crate) fn relay_failed(state: &mut State, now: Time, engine: &Name, relay: &Name, out: &mut Vec<Effect>) {
    state.paths.failed_probers.push((relay.clone(), now + FAILED_PROBER_KEPT));
    state.paths.relays.retain(|known| known.vm != *relay);
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    if known.path.relay.is_none() {
        // The request was relayed only because this process is cut off; the engine was not tried directly.
        return suspicion::unreachable(state, now, engine, out);
    }
    if !known.path.is_relayed_by(relay) {
        return;
    }
    known.path.relay = None;
    known.path.probers = vec![relay.clone()];
    probe_next(state, now, engine, out);
}

/// Handles a successful connection to the engine's port. Returns whether the engine can be used directly
/// from now on. A relayed engine must first accept connections for `STABLE_AFTER`.
pub(crate) fn port_opened(state: &mut State, now: Time, engine: &Name) -> bool {
    let Some(known) = state.engines.get_mut(engine) else {
        return false;
    };
    let path = &mut known.path;
    if path.relay.is_none() {
        return true;
    }
    let since = *path.open_since.get_or_insert(now);
    if now.since(since) >= STABLE_AFTER {
        return true;
    }
    known.health.suspect_until = Some(since + STABLE_AFTER);
    state.timers.set(since + STABLE_AFTER, Timer::Probe(engine.clone()));
    false
}

/// Records data from an engine. Returns whether it shows that the engine can be reached directly. A
/// response to a request that was sent before connections began to fail does not show that new connections
/// succeed.
pub(crate) fn contacted(
    state: &mut State,
    now: Time,
    engine: &Name,
    relayed: bool,
    sent: Option<Time>,
) -> bool {
    let Some(known) = state.engines.get_mut(engine) else {
        return false;
    };
    known.health.last_heard = now;
    if relayed {
        return false;
    }
    known.path.heard_at = Some(now);
    let sent_before_loss = known.path.lost_since.zip(sent).is_some_and(|(lost, sent)| sent <= lost);
    !(known.path.relay.is_some() && sent_before_loss)
}

/// Uses an engine directly again.
pub(crate) fn use_directly(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let previous = std::mem::take(&mut known.path);
    known.path.heard_at = Some(now);
    if previous.relay.is_some() {
        record(state, now, engine, "regained", out);
    }
    if previous.lost_since.is_some() {
        update_cut_off(state, now, out);
    }
}

/// Whether this process is cut off from most engines that it uses while other entry VMs reach them.
pub(crate) const fn is_cut_off(state: &State) -> bool {
    state.paths.cut_off_since.is_some()
}

/// Recomputes whether this process is cut off.
pub(crate) fn update_cut_off(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let relayed = state.engines.values().filter(|engine| engine.path.relay.is_some()).count();
    let direct = |engine: &&Engine| {
        engine.path.lost_since.is_none()
            && engine.path.heard_at.is_some_and(|at| now.since(at) < CONTACT_RECENT)
    };
    let direct = state.engines.values().filter(direct).count();
    let cut_off = relayed > direct;
    if cut_off == state.paths.cut_off_since.is_some() {
        return;
    }
    state.paths.cut_off_since = cut_off.then_some(now);
    let label = if cut_off { "cut_off" } else { "joined" };
    out.push(Effect::Record(Record::Reach { state: label, relayed, direct }));
    flow::request_rescan(state);
}

fn record(state: &mut State, now: Time, engine: &Name, label: &'static str, out: &mut Vec<Effect>) {
    if !state.suspicions.allow(now, out) {
        return;
    }
    let relay = state.engines.get(engine).and_then(|known| known.path.relay.as_ref());
    let relay = relay.map(|relay| relay.vm.clone());
    out.push(Effect::Record(Record::Path { engine: engine.clone(), state: label, relay }));
}
