//! Frames: the report that each entry VM sends to the hub several times a second, and the hub's reply. The cost grows
//! linearly with the number of entry VMs, not with its square.

mod answered;
mod follow;
mod hold;
mod loads;
mod message;
mod peers;
mod reading;
mod snapshot;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use bytes::Bytes;

pub(crate) use answered::{apply_early_residency, reply_received};
pub(crate) use follow::follow;
pub(crate) use hold::{awaits_adapter, serves_waiting};
pub(crate) use loads::engine_id_digest;
pub use message::{Absent, Declaration, EngineLoad, Frame, Position, Reading, Reply, Resident};
pub(crate) use peers::{inherit_members, reachable_members};
pub(crate) use reading::{hub_responds, pushes_to_zone, report_reading};
use snapshot::Snapshots;
pub use snapshot::{Count, Reason};

use crate::adapter;
use crate::budget;
use crate::crash::{self, Report};
use crate::departure::{self, Source};
use crate::effect::Effect;
use crate::engine::Load;
use crate::era;
use crate::evacuation;
use crate::ledger;
use crate::members::Member;
use crate::path;
use crate::proof;
use crate::quota;
use crate::rate_limit;
use crate::revision::Revision;
use crate::rollout;
use crate::settings::Settings;
use crate::state::State;
use crate::suspicion;
use crate::timer::Timer;

/// Number of frame intervals without a reply after which the hub counts as lost.
const MISSED_FRAMES_MAX: f64 = 2.5;
/// Longest time between frames of the entry VMs that read the store when the hub doesn't. They are few, and they
/// detect for all others that the hub is lost or rejected by the store.
const READER_INTERVAL_MAX: Duration = Duration::from_millis(500);
/// How often the interval doubles at which a starting process asks the hub again.
const START_DOUBLINGS: u32 = 4;
/// Upper limit of the staleness of loads. Older loads carry no information.
const STALENESS_MAX: Duration = Duration::from_secs(2);
/// Maximum number of refusals that are reported again. An engine that is asked about one of them lists all that it
/// holds.
const ABSENT_MAX: usize = 64;

/// What this process knows about the hub, and, as the hub, about the other entry VMs.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent flags")]
pub struct Hub {
    /// Whether the hub reported that it holds the lease.
    pub(crate) leads: bool,
    /// Whether the store has answered the hub recently, so that the hub's data is as good as the store's.
    store_fresh: bool,
    /// Number of entry VMs as counted by the hub.
    pub(crate) nodes: u32,
    /// Version of the engines' residencies known here.
    pub(crate) residency_version: Position,
    /// Residencies reported by the hub for engines, or starts of engines, whose rows haven't arrived yet.
    early: BTreeMap<Name, Resident>,
    /// When the hub last replied.
    replied_at: Option<Time>,
    /// Whether this process reads the store for other entry VMs when the hub doesn't.
    pub(crate) is_reader: bool,
    /// What the hub had when it last replied: its configuration version, and the revision of its engine table.
    pub(crate) reported_versions: (u64, Revision),
    /// As the hub: when the store last answered an entry VM that reads it.
    reader_answered_at: Option<Time>,
    /// Whether the last frame got no reply.
    last_unanswered: bool,
    /// The frame that is waiting for its reply.
    pending: Option<PendingFrame>,
    /// Number of the last frame.
    frame_number: u64,
    /// Number of times that this process has asked the hub since its start, up to the limit of the backoff.
    start_attempts: u32,
    /// As the hub: packed tables for entry VMs that have no data yet.
    snapshots: Snapshots,
    /// Refusals that are still to be reported.
    pub(crate) absent: Vec<Absent>,
    /// As the hub: the last frame of each other entry VM.
    peers: BTreeMap<Name, Peer>,
    /// As a new hub: entry VMs that the previous hub listed and that haven't sent a frame here yet, and the time
    /// until which they count; none once no one does.
    inherited: BTreeMap<Name, Member>,
    inherited_until: Option<Time>,
}

/// A frame that is waiting for its reply.
#[derive(Debug)]
struct PendingFrame {
    /// Number of the frame.
    number: u64,
    /// When it was sent.
    at: Time,
    /// Whether requests have started to wait since then, which the frame doesn't report.
    has_unreported_waits: bool,
    /// The refusals that it reports.
    absent: Vec<Absent>,
    /// The last change of engine limits that it reports.
    limits: u64,
    /// The last change of engine departures that it reports.
    departures: u64,
}

#[derive(Debug)]
struct Peer {
    received_at: Time,
    frame: Frame,
}

impl Hub {
    /// The state of a process that has no data yet and reads the store itself.
    pub(crate) fn new() -> Self {
        Self { is_reader: true, ..Self::default() }
    }

    /// Whether the hub has replied recently.
    #[must_use]
    pub fn is_alive(&self, now: Time, settings: &Settings) -> bool {
        let silence = settings.hub_silence.max(self.frame_interval(settings).mul_f64(MISSED_FRAMES_MAX));
        self.replied_at.is_some_and(|at| now.since(at) < silence)
    }

    /// Whether the hub's data can replace reading the store. With hundreds of entry VMs frames are seconds apart, and
    /// a hub counts as lost only long after it was. Its data is in doubt earlier: as soon as a frame got no reply and
    /// the data is older than `hub_silence`. The store is then read in addition, which neither puts more load on a
    /// hub that may only be busy nor replaces it.
    fn is_current(&self, now: Time, settings: &Settings) -> bool {
        let in_doubt = self.last_unanswered && self.age(now) >= settings.hub_silence;
        self.store_fresh && !in_doubt && self.is_alive(now, settings)
    }

    /// Factor by which this entry VM's intervals are longer in a large fleet; 1 in a small one.
    fn size_factor(&self, settings: &Settings) -> f64 {
        (f64::from(self.nodes) / f64::from(settings.frame_nodes)).max(1.0)
    }

    /// Time between frames of this process.
    fn frame_interval(&self, settings: &Settings) -> Duration {
        let every = settings.frame_every.mul_f64(self.size_factor(settings));
        if self.is_reader { every.min(READER_INTERVAL_MAX.max(settings.frame_every)) } else { every }
    }

    /// Time since the hub last replied.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        self.replied_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// As the hub: number and size of full snapshots sent, by reason.
    pub(crate) const fn full_snapshots(&self) -> &BTreeMap<Reason, Count> {
        &self.snapshots.sent
    }

    /// Number of entry VMs known to this one as the hub, itself included.
    pub(crate) fn entry_vm_count(&self) -> u32 {
        (self.peers.len() + self.inherited.len()) as u32 + 1
    }

    /// A frame number that this process hasn't used yet.
    pub(crate) const fn next_frame_number(&mut self) -> u64 {
        self.frame_number += 1;
        self.frame_number
    }

    /// The last frames of the other entry VMs.
    pub(crate) fn frames(&self) -> impl Iterator<Item = &Frame> {
        self.peers.values().map(|peer| &peer.frame)
    }
}

/// Sends the next frame.
pub(crate) fn frame_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let wait = own_frame_interval(state);
    state.timers.set(now + wait.mul_f64(0.9 + 0.2 * state.rng.f64()), Timer::Frame);
    peers::expire(state, now);
    path::update_cut_off(state, now, out);
    if state.needs_keys() {
        proof::log_change(state, now, out);
    }
    send(state, now, out);
    follow(state, now, out);
}

/// Whether this process has the data that it needs to serve requests.
pub(crate) fn can_serve(state: &State) -> bool {
    state.engines_revision.is_known() && state.config.is_some()
}

/// Factor by which this entry VM's intervals are longer in a large fleet; 1 in a small one.
pub(crate) fn size_factor(state: &State) -> f64 {
    state.hub.size_factor(&state.settings)
}

/// Time between frames of this process.
pub(crate) fn own_frame_interval(state: &State) -> Duration {
    state.hub.frame_interval(&state.settings)
}

/// Time between frames. It grows with the number of entry VMs, since the hub replies to all of them.
pub(crate) fn frame_interval(state: &State) -> Duration {
    state.settings.frame_every.mul_f64(size_factor(state))
}

/// Mean time for which requests sent by other entry VMs are unknown here: the time since the hub's last reply, plus
/// half of the interval between frames.
pub(crate) fn load_staleness(state: &State, now: Time) -> Duration {
    let reply_age = if state.lease.held_term(now).is_some() { Duration::ZERO } else { state.hub.age(now) };
    reply_age.saturating_add(frame_interval(state) / 2).min(STALENESS_MAX)
}

/// Sends a frame now, unless one is waiting for its reply.
pub(crate) fn send(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.lease.held_term(now).is_some() {
        state.hub.leads = true;
        state.hub.replied_at = Some(now);
        state.hub.nodes = state.hub.entry_vm_count();
        let term = state.residency_version().term;
        let list = peers::listed_members(state);
        state.members.update_as_hub(now, term, &state.me.vm, list);
        state.hub.is_reader = state.members.is_reader(&state.me.vm);
        quota::allot_own(state, now);
        budget::count_own(state, now);
        return;
    }
    let Some(row) = state.lease.hub() else {
        return;
    };
    if state.hub.pending.is_some() || row.holder == state.me.vm {
        return;
    }
    let address = row.address;
    let (limits, limits_until) = state.rate_limits.unreported(now);
    let (departures, departures_until) = state.departures.unreported();
    let frame = Box::new(Frame { departures, limits, ..compose(state, now) });
    state.hub.pending = Some(PendingFrame {
        number: frame.number,
        at: now,
        has_unreported_waits: false,
        absent: frame.absent.clone(),
        limits: limits_until,
        departures: departures_until,
    });
    out.push(Effect::Frame { address, frame });
}

/// Informs the hub that a request has started to wait: now, or as soon as the hub has replied to the frame under way.
pub(crate) fn report_waiting(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    match &mut state.hub.pending {
        Some(pending) => pending.has_unreported_waits = true,
        None => send(state, now, out),
    }
}

/// Stops waiting for the reply to the frame under way, since its receiver is no longer the hub.
pub(crate) fn abandon_frame(state: &mut State) {
    let pending = state.hub.pending.take();
    requeue_refusals(state, pending);
}

/// Queues the refusals of a frame that may not have reached the hub for the next frame.
fn requeue_refusals(state: &mut State, pending: Option<PendingFrame>) {
    let absent = pending.map(|frame| frame.absent).unwrap_or_default();
    let room = ABSENT_MAX.saturating_sub(state.hub.absent.len());
    state.hub.absent.extend(absent.into_iter().take(room));
}

fn compose(state: &mut State, now: Time) -> Frame {
    let loads = state.engines.iter().filter(|(_, engine)| engine.own_load != Load::default());
    let loads = loads.map(|(id, engine)| EngineLoad { engine: id.clone(), load: engine.own_load }).collect();
    Frame {
        number: state.hub.next_frame_number(),
        vm: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        address: Some(state.me.address),
        weak: state.settings.weak,
        stopping: state.stopping,
        members_version: state.members.version(),
        config: config_version(state),
        era: state.era.number(),
        engines_revision: state.engines_revision,
        residency_version: state.hub.residency_version,
        engines_digest: state.engines_digest,
        loads,
        demand: state.demand.take(),
        absent: std::mem::take(&mut state.hub.absent),
        suspects: suspects(state, now),
        evacuations_digest: state.evacuations.digest(),
        evacuations: state.evacuations.unreported(),
        departures: Vec::new(),
        departures_version: state.departures.hub_position(),
        limits: Vec::new(),
        limits_version: state.rate_limits.hub_position(),
        store_reading: reading::gather(state, now),
        crash_digest: state.crashes.digest(now),
        crash_entries: state.crashes.verdicts_for_hub(now),
        quota: state.quota.report(now),
        request_counts: budget::take_unreported(state, now),
    }
}

/// Version of the configuration in force; 0 for none.
pub(crate) fn config_version(state: &State) -> u64 {
    state.config.as_ref().map_or(0, |config| config.version)
}

/// Engines that this process doesn't trust.
fn suspects(state: &State, now: Time) -> Vec<Name> {
    // An engine that other entry VMs reach gives them no reason to probe it.
    let suspected =
        state.engines.values().filter(|engine| engine.health.is_suspected(now) && !engine.path.is_relayed());
    suspected.map(|engine| engine.entry.id.clone()).collect()
}

/// Processes the frame of another entry VM.
pub(crate) fn frame_received(state: &mut State, now: Time, frame: Frame, out: &mut Vec<Effect>) {
    era::observe(state, now, frame.era, out);
    for refused in &frame.absent {
        ledger::recheck_after_refusal(state, now, refused);
    }
    for demand in &frame.demand {
        state.fleet_demand.add_arrivals(demand);
    }
    for id in &frame.suspects {
        suspicion::check_if_used(state, now, id, out);
    }
    reading::apply(state, now, &frame, out);
    evacuation::receive(state, now, &frame.evacuations, out);
    departure::receive(state, now, &frame.departures, Source::Frame, out);
    departure::notify(state, now, out);
    rate_limit::frame_reports_received(state, now, &frame.limits, out);
    crash::report_received(state, now, Report::of(frame.crash_entries.clone()), out);
    rollout::record_version(state, now, &frame, out);
    budget::request_counts_received(state, now, &frame.request_counts);
    state.fleet_demand.mark_used(now, &frame.demand);
    // Looks at this frame only. Looking at everything that other entry VMs wait for would make the time per frame
    // grow with the square of their number.
    let targets = adapter::waiting_targets(&frame.demand);
    peers::replace_frame(state, now, frame);
    adapter::place_targets(state, now, &targets, out);
}

/// The hub's reply to the last frame of an entry VM.
pub(crate) fn reply(state: &mut State, now: Time, asker: &Frame) -> Reply {
    let config = rollout::inline_update(state, asker);
    let quota = quota::allot(state, now, &asker.vm, asker.number, &asker.quota);
    let loads::Loads { by_name, by_position } = loads::all_but(state, &asker.loads, asker.engines_digest);
    let whole = state.needs_full_table(asker.engines_revision);
    let packed = if whole { snapshot::rows(state, now, asker.engines_revision) } else { None };
    let (rows, revision, rows_packed) = match packed {
        // Departed engines are reported as of now, because the asker's next frame may be seconds away.
        Some((revision, packed)) => (state.departed_rows_after(now, revision), revision, packed),
        None => (state.missing_rows(now, asker.engines_revision), state.engines_revision, Bytes::new()),
    };
    let leads_now = state.lease.held_term(now).is_some();
    let version = state.residency_version();
    let since =
        if asker.residency_version.term == version.term { asker.residency_version.version } else { 0 };
    let packed = if leads_now && since == 0 {
        snapshot::residencies(state, now, asker.residency_version)
    } else {
        None
    };
    let (residencies, sent_version, residencies_packed) = match packed {
        Some((sent, packed)) => (Vec::new(), sent, packed),
        None if leads_now => (state.ledger.changed_after(since), version, Bytes::new()),
        None => (Vec::new(), version, Bytes::new()),
    };
    let (limits, limits_version) = state.rate_limits.changed_since(now, version.term, asker.limits_version);
    let (departures, departures_version) =
        state.departures.changed_since(version.term, asker.departures_version);
    let outdated = asker.members_version != state.members.version();
    Reply {
        number: asker.number,
        leads: leads_now,
        era: state.era.number(),
        store_age: now.since(state.store_answered_at),
        reader_age: reading::age(state, now),
        // A process that is no hub, or has just become one, may have an empty list.
        members: (leads_now && outdated && !state.members.list().is_empty())
            .then(|| state.members.list().to_vec()),
        membership: leads_now.then(|| state.members.membership(now, &asker.vm, outdated)),
        nodes: state.hub.entry_vm_count(),
        loads_by_name: by_name,
        engines_digest: asker.engines_digest,
        loads_by_position: by_position,
        residency_version: sent_version,
        residencies,
        residencies_packed,
        config,
        declaration: Declaration {
            config: config_version(state),
            store: state.config_revision,
            age: state.proof.age(now),
        },
        rows,
        rows_packed,
        engines_age: state.freshness.age(now),
        engines_revision: revision,
        whole,
        suspects: suspects(state, now),
        evacuations_digest: state.evacuations.digest(),
        evacuations: state.evacuations.all_unless(asker.evacuations_digest),
        departures,
        departures_version,
        limits,
        limits_version,
        crash_digest: state.crashes.digest(now),
        crash_entries: state.crashes.verdicts_unless_equal(asker.crash_digest, now),
        quota,
        builds: leads_now.then(|| state.history.report(now)).flatten(),
    }
}
