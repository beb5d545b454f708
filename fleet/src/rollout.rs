//! How a version of the configuration comes to all entry VMs: the hub keeps which version each goes by, pushes what leads to the newest one to
//! those that lack it, and makes up for pushes that were missed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::entries;
use crate::frame::{self, Frame};
use crate::members::Member;
use crate::push::{self, Message};
use crate::record::Record;
use crate::state::State;
use crate::timer::Timer;
use crate::update::{Error, Packed};

/// Time between two pushes of the hub: versions that come in quick succession go together, and cost the links five pushes a second at most.
const PUSH_EVERY: Duration = Duration::from_millis(200);
/// Time after which an entry VM that has not confirmed a push is pushed to again: a tree of 300 takes less than half of it.
const PUSH_AGAIN: Duration = Duration::from_millis(1_200);
/// The same in intervals between frames, which are the confirmations: it has one frame to confirm, and half an interval to spare.
const PUSH_AGAIN_FRAMES: f64 = 1.5;
/// How long the hub gathers entry VMs that lack the version in force, so that one tree serves them.
const GATHER: Duration = Duration::from_millis(60);
/// Bytes of an update that the hub's answer to a frame holds at most: well under a tenth of a second on a small link.
pub(crate) const INLINE_MAX: usize = 24 << 10;
/// Pushes that may miss an entry VM, before the hub's answers hold the update whatever its size: there is a way from that
/// entry VM to the hub, and perhaps none from the others to it.
const MISSES_MAX: u32 = 2;
/// Updates that are kept until the version that they begin at has come: a tree of 300 takes 0.5 s, less than the four pushes of 0.8 s.
const EARLY_MAX: usize = 4;

/// What the hub knows of an entry VM's configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// The version that it goes by, as it said last.
    said: u64,
    /// The last push to it that it has not confirmed, with its version.
    pushed: Option<(Time, u64)>,
    /// Pushes since its version was the one in force.
    pushes: u32,
}

impl Standing {
    /// The version that it goes by, or will in a moment: pushes arrive within `again`.
    fn version(self, now: Time, again: Duration) -> u64 {
        let under_way = self.pushed.filter(|(at, _)| now.since(*at) < again);
        under_way.map_or(self.said, |(_, version)| version.max(self.said))
    }

    /// It said which version it goes by, where `newest` is in force.
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

/// What a process keeps of versions on their way.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    /// As the hub: what the others go by.
    standings: BTreeMap<Name, Standing>,
    /// When the next push is due.
    due: Option<Time>,
    /// When the last one was.
    last: Option<Time>,
    /// Updates whose base has not come yet, by it.
    early: BTreeMap<u64, Packed>,
}

impl Rollout {
    /// An entry VM has fallen silent.
    pub(crate) fn forget(&mut self, vm: &Name) {
        self.standings.remove(vm);
    }
}

/// Another version is in force here: where this is the hub, the others are to have it at once.
pub(crate) fn changed(state: &mut State, now: Time, before: u64, out: &mut Vec<Effect>) {
    if state.lease.holds(now).is_some() {
        schedule(state, now, now, out);
        return;
    }
    // The first one that a process that starts reads is known to the others.
    if before == 0 || !frame::speaks_for_zone(state, now) {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    match state.updates.prepare(before, &config) {
        Ok(update) => {
            let message = Message { update: Some(update.clone()), ..Message::default() };
            push::tell(state, now, &message, out);
        }
        Err(error) => unusable(&error, out),
    }
}

/// An entry VM told the hub which version it goes by.
pub(crate) fn heard(state: &mut State, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
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
    if lacking && state.lease.holds(now).is_some() && inline(state, frame).is_none() {
        schedule(state, now, now + GATHER, out);
    }
}

/// The update that the hub's answer to a frame holds: one that is small, or one that pushes could not bring.
pub(crate) fn inline(state: &mut State, frame: &Frame) -> Option<Packed> {
    let config = state.config.as_ref().filter(|config| config.version > frame.config)?;
    let missed = state.rollout.standings.get(&frame.vm).is_some_and(|standing| standing.pushes >= MISSES_MAX);
    // One that cannot be packed is logged where it is pushed.
    let update = state.updates.prepare(frame.config, config).ok()?;
    (missed || update.bytes.len() <= INLINE_MAX).then(|| update.clone())
}

/// Time after which an entry VM is pushed to again, unless it has said that it has the version.
fn again(state: &State) -> Duration {
    PUSH_AGAIN.max(frame::every(state).mul_f64(PUSH_AGAIN_FRAMES))
}

fn schedule(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    let at = state.rollout.last.map_or(at, |last| at.max(last + PUSH_EVERY));
    if at <= now {
        due(state, now, out);
    } else if state.rollout.due.is_none_or(|due| due > at || due < now) {
        state.rollout.due = Some(at);
        state.timers.set(at, Timer::Push);
    }
}

/// Pushes the version in force to all entry VMs that lack it.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.rollout.due = None;
    if state.lease.holds(now).is_none() {
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
        let message = Message { hub, update: Some(update), onward: addresses, ..Message::default() };
        push::forward(state, &message, out);
    }
}

/// The entry VMs that lack a version, by availability zone and by the version that they go by. They count as pushed to.
fn lacking(state: &mut State, now: Time, version: u64) -> BTreeMap<(Name, u64), Vec<SocketAddr>> {
    let mut lacking: BTreeMap<(Name, u64), Vec<SocketAddr>> = BTreeMap::new();
    let before = state.updates.before();
    let again = again(state);
    for Member { vm, zone, address, .. } in frame::reached(state) {
        // One that has not said anything yet, since the hub is a new one, goes by what was in force until now.
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

/// Takes over an update, now or once the version that it begins at has come.
pub(crate) fn take(
    state: &mut State,
    now: Time,
    update: Packed,
    source: &'static str,
    out: &mut Vec<Effect>,
) {
    let mut next = Some(update);
    while let Some(update) = next {
        apply(state, now, update, source, out);
        let have = frame::version(state);
        next = state.rollout.early.remove(&have);
        state.rollout.early.retain(|base, _| *base > have);
    }
}

fn apply(state: &mut State, now: Time, update: Packed, source: &'static str, out: &mut Vec<Effect>) {
    let have = frame::version(state);
    if update.version <= have {
        return;
    }
    if update.base > have && state.rollout.early.len() < EARLY_MAX {
        state.rollout.early.insert(update.base, update);
        return;
    }
    match update.unpack().and_then(|update| update.apply(state.config.as_deref())) {
        Ok(config) => entries::configured(state, now, config.into(), source, out),
        Err(error) => unusable(&error, out),
    }
}

fn unusable(error: &Error, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Unusable { what: "update", error: error.to_string() }));
}
