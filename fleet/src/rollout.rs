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
const PUSH_EVERY: Duration = Duration::from_millis(200);
/// Minimum time after which an unconfirmed push is repeated. A push tree of 300 entry VMs takes less than half of it.
const PUSH_AGAIN: Duration = Duration::from_millis(1_200);
/// The same as a multiple of the interval between frames, which confirm pushes: one interval for the next frame, and half of one as a margin.
const PUSH_AGAIN_FRAMES: f64 = 1.5;
/// How long the hub collects entry VMs that lack the current version, to serve them with one push tree.
const GATHER: Duration = Duration::from_millis(60);
/// Maximum size in bytes of an update in the hub's reply to a frame: it takes well under 0.1 s on a small link.
pub(crate) const INLINE_MAX: usize = 24 << 10;
/// Number of unconfirmed pushes to an entry VM after which the hub's replies carry the update whatever its size: that entry VM can reach the
/// hub, but the others may be unable to reach it.
const MISSES_MAX: u32 = 2;
/// Maximum number of updates kept until the version that they apply to has arrived. A push tree of 300 entry VMs takes 0.5 s, which is less
/// than the 0.8 s that four pushes span.
const EARLY_MAX: usize = 4;

/// The hub's view of an entry VM's configuration version.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// The version that it last reported.
    said: u64,
    /// Time and version of the last push to it, if that is unconfirmed.
    pushed: Option<(Time, u64)>,
    /// Number of pushes since it last reported the current version.
    pushes: u32,
}

impl Standing {
    /// The version that it has, or has soon: a push counts as under way for `again`.
    fn version(self, now: Time, again: Duration) -> u64 {
        let under_way = self.pushed.filter(|(at, _)| now.since(*at) < again);
        under_way.map_or(self.said, |(_, version)| version.max(self.said))
    }

    /// Records the version that it reported, where `newest` is the current one.
    fn hear(&mut self, said: u64, newest: u64) {
        self.said = said;
        if said >= newest {
            self.pushed = None;
            self.pushes = 0;
        }
    }

    fn push(&mut self, now: Time, version: u64) {
        self.pushed = Some((now, version));
        self.pushes += 1;
    }
}

/// State of the rollout.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    /// As the hub: the versions of the other entry VMs.
    standings: BTreeMap<Name, Standing>,
    /// When the next push is due.
    due: Option<Time>,
    /// When the last push was sent.
    last: Option<Time>,
    /// Updates that arrived before the version that they apply to, by that version.
    early: BTreeMap<u64, Packed>,
}

impl Rollout {
    /// Forgets an entry VM that has fallen silent.
    pub(crate) fn forget(&mut self, vm: &Name) {
        self.standings.remove(vm);
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
        Err(error) => unusable(&error, out),
    }
}

/// As the hub, handles the version in an entry VM's frame.
pub(crate) fn record_version(state: &mut State, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
    let Some(config) = state.config.clone() else {
        return;
    };
    let again = again(state);
    let standing = state.rollout.standings.entry(frame.vm.clone()).or_default();
    standing.hear(frame.config, config.version);
    if frame.config >= config.version {
        return;
    }
    let lacking = standing.version(now, again) < config.version;
    if lacking && state.lease.held_term(now).is_some() && inline_update(state, frame).is_none() {
        schedule(state, now, now + GATHER, out);
    }
}

/// Returns the update to include in the hub's reply to a frame: one that is small, or one that pushes failed to deliver.
pub(crate) fn inline_update(state: &mut State, frame: &Frame) -> Option<Packed> {
    let config = state.config.as_ref().filter(|config| config.version > frame.config)?;
    let missed = state.rollout.standings.get(&frame.vm).is_some_and(|standing| standing.pushes >= MISSES_MAX);
    // An update that cannot be packed is logged when it is pushed.
    let update = state.updates.prepare(frame.config, config).ok()?;
    (missed || update.bytes.len() <= INLINE_MAX).then(|| update.clone())
}

/// Time after which a push is repeated, unless the entry VM has confirmed the version.
fn again(state: &State) -> Duration {
    PUSH_AGAIN.max(frame::frame_interval(state).mul_f64(PUSH_AGAIN_FRAMES))
}

fn schedule(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    let at = state.rollout.last.map_or(at, |last| at.max(last + PUSH_EVERY));
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
    state.rollout.last = Some(now);
    for ((_zone, base), addresses) in lacking(state, now, config.version) {
        let update = match state.updates.prepare(base, &config) {
            Ok(update) => update.clone(),
            Err(error) => return unusable(&error, out),
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
    let again = again(state);
    for Member { vm, zone, address, .. } in frame::reachable_members(state) {
        // An entry VM that has not sent a frame to this new hub yet is assumed to have the previous version.
        let unheard = Standing { said: before, ..Standing::default() };
        let standing = state.rollout.standings.entry(vm).or_insert(unheard);
        let has = standing.version(now, again);
        if has < version {
            standing.push(now, version);
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
        let have = frame::config_version(state);
        next = state.rollout.early.remove(&have);
        state.rollout.early.retain(|base, _| *base > have);
    }
}

fn apply(state: &mut State, now: Time, update: Packed, source: &'static str, out: &mut Vec<Effect>) {
    let have = frame::config_version(state);
    if update.version <= have {
        return;
    }
    if update.base > have && state.rollout.early.len() < EARLY_MAX {
        state.rollout.early.insert(update.base, update);
        return;
    }
    match update.unpack().and_then(|update| update.apply(state.config.as_deref())) {
        Ok(config) => tables::apply_config(state, now, config.into(), source, out),
        Err(error) => unusable(&error, out),
    }
}

fn unusable(error: &Error, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Unusable { what: "update", error: error.to_string() }));
}
