//! Rollout of a configuration version to all entry VMs. The hub tracks the version of each entry VM, pushes an update to those that lack the
//! newest version, and repeats pushes that got lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::frame::{self, Frame};
use crate::members::Member;
use crate::push::{self, Message};
use crate::record::Record;
use crate::state::State;
use crate::tables;
use crate::timer::Timer;
use crate::update::{Error, Packed};

/// Minimum time between two pushes of the hub. Versions in quick succession are combined, so that there are at most five pushes per second.
const PUSH_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Minimum time after which an unconfirmed push is repeated. A push tree of 300 entry VMs takes less than half of it.
const PUSH_RETRY_MIN: Duration = Duration::from_millis(1_200);
/// The same as a multiple of the interval between frames, which confirm pushes: one interval for the next frame, and half of one as a margin.
const PUSH_RETRY_FRAMES: f64 = 1.5;
/// How long the hub collects entry VMs that lack the current version, to serve them with one push tree.
const COLLECT_TIME: Duration = Duration::from_millis(60);
/// Maximum size in bytes of an update in the hub's reply to a frame: it takes well under 0.1 s on a small link.
pub(crate) const INLINE_MAX: usize = 24 << 10;
/// Number of unconfirmed pushes to an entry VM after which the hub's replies carry the update whatever its size: that entry VM can reach the
/// hub, but the others may be unable to reach it.
const UNCONFIRMED_MAX: u32 = 2;
/// Maximum number of updates kept until the version that they apply to has arrived. A push tree of 300 entry VMs takes 0.5 s, which is less
/// than the 0.8 s that four pushes span.
const EARLY_MAX: usize = 4;

/// The hub's view of an entry VM's configuration version.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// The version that it last reported.
    reported: u64,
    /// Time and version of the last push to it, if that is unconfirmed.
    pushed: Option<(Time, u64)>,
    /// Number of pushes since it last reported the current version.
    pushes: u32,
}

impl Progress {
    /// The version that it has, or has soon: a push counts as under way for `retry_after`.
    fn version(self, now: Time, retry_after: Duration) -> u64 {
        let under_way = self.pushed.filter(|(at, _)| now.since(*at) < retry_after);
        under_way.map_or(self.reported, |(_, version)| version.max(self.reported))
    }

    /// Records the version that it reported, where `newest` is the current one.
    fn record_report(&mut self, reported: u64, newest: u64) {
        self.reported = reported;
        if reported >= newest {
            self.pushed = None;
            self.pushes = 0;
        }
    }

    fn record_push(&mut self, now: Time, version: u64) {
        self.pushed = Some((now, version));
        self.pushes += 1;
    }
}

/// State of the rollout.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    /// As the hub: the versions of the other entry VMs.
    progress: BTreeMap<Name, Progress>,
    /// When the next push is due.
    due: Option<Time>,
    /// When the last push was sent.
    last_push: Option<Time>,
    /// Updates that arrived before the version that they apply to, by that version.
    early: BTreeMap<u64, Packed>,
}

impl Rollout {
    /// Forgets an entry VM that has fallen silent.
    pub(crate) fn forget(&mut self, vm: &Name) {
        self.progress.remove(vm);
    }
}

/// Handles a change of the current version: the hub pushes it to the others at once, and a process that reads the store on behalf of its
/// availability zone pushes it to that zone.
pub(crate) fn config_changed(state: &mut State, now: Time, before: u64, out: &mut Vec<Effect>) {
    if state.lease.held_term(now).is_some() {
        schedule(state, now, now, out);
        return;
    }
    // The others already have the first version that a starting process reads.
    if before == 0 || !frame::pushes_to_zone(state, now) {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    match state.updates.prepare(before, &config) {
        Ok(update) => {
            let message = Message { update: Some(update.clone()), ..Message::default() };
            push::notify(state, now, &message, out);
        }
        Err(error) => log_unusable(&error, out),
    }
}

/// As the hub, handles the version in an entry VM's frame.
pub(crate) fn record_version(state: &mut State, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
    let Some(config) = state.config.clone() else {
        return;
    };
    let retry_after = retry_after(state);
    let progress = state.rollout.progress.entry(frame.vm.clone()).or_default();
    progress.record_report(frame.config, config.version);
    if frame.config >= config.version {
        return;
    }
    let lacking = progress.version(now, retry_after) < config.version;
    if lacking && state.lease.held_term(now).is_some() && inline_update(state, frame).is_none() {
        schedule(state, now, now + COLLECT_TIME, out);
    }
}

/// Returns the update to include in the hub's reply to a frame: one that is small, or one that pushes failed to deliver.
pub(crate) fn inline_update(state: &mut State, frame: &Frame) -> Option<Packed> {
    let config = state.config.as_ref().filter(|config| config.version > frame.config)?;
    let undelivered =
        state.rollout.progress.get(&frame.vm).is_some_and(|progress| progress.pushes >= UNCONFIRMED_MAX);
    // An update that cannot be packed is logged when it is pushed.
    let update = state.updates.prepare(frame.config, config).ok()?;
    (undelivered || update.bytes.len() <= INLINE_MAX).then(|| update.clone())
}

/// Time after which a push is repeated, unless the entry VM has confirmed the version.
fn retry_after(state: &State) -> Duration {
    PUSH_RETRY_MIN.max(frame::frame_interval(state).mul_f64(PUSH_RETRY_FRAMES))
}

fn schedule(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    let at = state.rollout.last_push.map_or(at, |last| at.max(last + PUSH_INTERVAL_MIN));
    if at <= now {
        push_due(state, now, out);
    } else if state.rollout.due.is_none_or(|due| due > at || due < now) {
        state.rollout.due = Some(at);
        state.timers.set(at, Timer::Push);
    }
}

/// Pushes the current version to all entry VMs that lack it.
pub(crate) fn push_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.rollout.due = None;
    if state.lease.held_term(now).is_none() {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    state.rollout.last_push = Some(now);
    for ((_zone, base), addresses) in lacking(state, now, config.version) {
        let update = match state.updates.prepare(base, &config) {
            Ok(update) => update.clone(),
            Err(error) => return log_unusable(&error, out),
        };
        out.push(Effect::Record(Record::Pushed {
            version: update.version,
            base: update.base,
            bytes: update.bytes.len(),
            vms: addresses.len(),
        }));
        let hub = state.lease.hub().cloned();
        let message = Message { hub, update: Some(update), forward_to: addresses, ..Message::default() };
        push::forward(state, &message, out);
    }
}

/// Returns the entry VMs that lack a version, by availability zone and by the version that they have, and records a push to each.
fn lacking(state: &mut State, now: Time, version: u64) -> BTreeMap<(Name, u64), Vec<SocketAddr>> {
    let mut lacking: BTreeMap<(Name, u64), Vec<SocketAddr>> = BTreeMap::new();
    let before = state.updates.previous_version();
    let retry_after = retry_after(state);
    for Member { vm, zone, address, .. } in frame::reachable_members(state) {
        // An entry VM that has not sent a frame to this new hub yet is assumed to have the previous version.
        let unreported = Progress { reported: before, ..Progress::default() };
        let progress = state.rollout.progress.entry(vm).or_insert(unreported);
        let has = progress.version(now, retry_after);
        if has < version {
            progress.record_push(now, version);
            lacking.entry((zone, has)).or_default().push(address);
        }
    }
    lacking
}

/// Applies an update, or keeps it until the version that it applies to has arrived.
pub(crate) fn receive(
    state: &mut State,
    now: Time,
    update: Packed,
    source: &'static str,
    out: &mut Vec<Effect>,
) {
    let mut next = Some(update);
    while let Some(update) = next {
        apply(state, now, update, source, out);
        let current = frame::config_version(state);
        next = state.rollout.early.remove(&current);
        state.rollout.early.retain(|base, _| *base > current);
    }
}

fn apply(state: &mut State, now: Time, update: Packed, source: &'static str, out: &mut Vec<Effect>) {
    let current = frame::config_version(state);
    if update.version <= current {
        return;
    }
    if update.base > current && state.rollout.early.len() < EARLY_MAX {
        state.rollout.early.insert(update.base, update);
        return;
    }
    match update.unpack().and_then(|update| update.apply(state.config.as_deref())) {
        Ok(config) => tables::apply_config(state, now, config.into(), source, out),
        Err(error) => log_unusable(&error, out),
    }
}

fn log_unusable(error: &Error, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Unusable { what: "update", error: error.to_string() }));
}
