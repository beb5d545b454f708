//! How a version of the configuration reaches all entry VMs: pushed by the hub as soon as it has it, down a tree of
//! them, and once more to those that a push has missed.
//!
//! A link of 10 Mbit/s carries one copy of a large update in about a tenth of a second, and no link carries one for each
//! of hundreds. So each entry VM passes an update on to a few, and those to what is left of their part: with 300 of them
//! 5,000 routes more are in force everywhere after 0.5 s of the links' time (test `five_thousand_routes_at_once`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::crash::{self, News};
use crate::departure::{self, Audience, Road};
use crate::effect::Effect;
use crate::engine::Row;
use crate::entries;
use crate::evacuation;
use crate::frame::{self, Frame};
use crate::lease;
use crate::members::Member;
use crate::notice::Start;
use crate::record::Record;
use crate::state::State;
use crate::timer::Timer;
use crate::update::{Error, Packed};

/// Entry VMs that one with a small link pushes to at once: two copies of a large update take it two tenths of a second.
const FAN_OUT_SMALL: usize = 2;
/// Entry VMs of each availability zone that one with a larger link pushes to at once.
const FAN_OUT: usize = 6;
/// Time between two pushes of the hub: versions that come in quick succession go together, and cost the links five pushes a second at most.
const PUSH_EVERY: Duration = Duration::from_millis(200);
/// Time after which an entry VM that has not confirmed a push is pushed to again: a tree of 300 takes less than half of it.
const PUSH_AGAIN: Duration = Duration::from_millis(1_200);
/// The same in intervals between frames, which are the confirmations: it has one frame to confirm, and half an interval to spare.
const PUSH_AGAIN_FRAMES: f64 = 1.5;
/// How long the hub gathers entry VMs that lack the version in force, so that one tree serves them.
const GATHER: Duration = Duration::from_millis(60);
/// Bytes of an update that the hub's answer to a frame holds at most: well under a tenth of a second on a small link.
const INLINE_MAX: usize = 24 << 10;
/// Pushes that may miss an entry VM, before the hub's answers hold the update whatever its size: there is a way from that
/// entry VM to the hub, and perhaps none from the others to it.
const MISSES_MAX: u32 = 2;
/// Updates that are kept until the version that they begin at has come: a tree of 300 takes 0.5 s, less than the four pushes of 0.8 s.
const EARLY_MAX: usize = 4;

/// What goes down a tree: an update, the word of who the hub is, news of requests that crash engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The hub that sent it; none if it was not known there.
    pub hub: Option<lease::Row>,
    /// The update; none from one that has just become the hub.
    pub update: Option<Packed>,
    /// What is new of requests that crash engines.
    pub crashes: crash::News,
    /// Rows of the engines' table that say of engines that they leave or are gone.
    pub departures: Vec<Row>,
    /// Engines that have said themselves that they leave.
    pub departed: Vec<Start>,
    /// What operators say of availability zones.
    pub evacuations: Vec<evacuation::Word>,
    /// Entry VMs that the receiver is to pass it on to.
    pub onward: Vec<SocketAddr>,
}

/// A message on its way to an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// Where the entry VM listens.
    pub address: SocketAddr,
    /// What it is told, and whom it is to pass that on to.
    pub message: Box<Message>,
    /// Whether it did not take this before.
    pub again: bool,
}

/// What the hub knows of an entry VM's configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Membership {
    /// The version that it goes by, as it said last.
    said: u64,
    /// The last push to it that it has not confirmed, with its version.
    pushed: Option<(Time, u64)>,
    /// Pushes since its version was the one in force.
    pushes: u32,
}

impl Membership {
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

/// What a process keeps for pushes.
#[derive(Debug, Default)]
pub(crate) struct Pushes {
    /// As the hub: what the others go by.
    standings: BTreeMap<Name, Membership>,
    /// When the next push is due.
    due: Option<Time>,
    /// When the last one was.
    last: Option<Time>,
    /// Updates whose base has not come yet, by it.
    early: BTreeMap<u64, Packed>,
}

impl Pushes {
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
            tell(state, now, &message, out);
        }
        Err(error) => unusable(&error, out),
    }
}

/// Tells the others: as the hub all of them, and where there is none those of the own availability zone, if this process reads the store
/// for them. Returns whom it told.
pub(crate) fn tell(state: &State, now: Time, message: &Message, out: &mut Vec<Effect>) -> Audience {
    if state.lease.holds(now).is_some() {
        spread(state, message, frame::reached(state), out);
        return Audience::All;
    }
    if frame::speaks_for_zone(state, now) {
        let near = state.members.list().iter().filter(|member| member.zone == state.me.zone);
        let others = near.filter(|member| member.vm != state.me.vm);
        spread(state, message, others.cloned(), out);
        return Audience::Zone;
    }
    Audience::Nobody
}

/// An entry VM told the hub which version it goes by.
pub(crate) fn heard(state: &mut State, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
    let Some(config) = state.config.clone() else {
        return;
    };
    let again = again(state);
    let standing = state.pushes.standings.entry(frame.vm.clone()).or_default();
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
    let missed = state.pushes.standings.get(&frame.vm).is_some_and(|standing| standing.pushes >= MISSES_MAX);
    // One that cannot be packed is logged where it is pushed.
    let update = state.updates.prepare(frame.config, config).ok()?;
    (missed || update.bytes.len() <= INLINE_MAX).then(|| update.clone())
}

/// Time after which an entry VM is pushed to again, unless it has said that it has the version.
fn again(state: &State) -> Duration {
    PUSH_AGAIN.max(frame::every(state).mul_f64(PUSH_AGAIN_FRAMES))
}

fn schedule(state: &mut State, now: Time, at: Time, out: &mut Vec<Effect>) {
    let at = state.pushes.last.map_or(at, |last| at.max(last + PUSH_EVERY));
    if at <= now {
        due(state, now, out);
    } else if state.pushes.due.is_none_or(|due| due > at || due < now) {
        state.pushes.due = Some(at);
        state.timers.set(at, Timer::Push);
    }
}

/// Pushes the version in force to all entry VMs that lack it.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.pushes.due = None;
    if state.lease.holds(now).is_none() {
        return;
    }
    let Some(config) = state.config.clone() else {
        return;
    };
    state.pushes.last = Some(now);
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
        forward(state, &message, out);
    }
}

/// The entry VMs that lack a version, by availability zone and by the version that they go by. They count as pushed to.
fn lacking(state: &mut State, now: Time, version: u64) -> BTreeMap<(Name, u64), Vec<SocketAddr>> {
    let mut lacking: BTreeMap<(Name, u64), Vec<SocketAddr>> = BTreeMap::new();
    let before = state.updates.before();
    let again = again(state);
    for Member { vm, zone, address, .. } in frame::reached(state) {
        // One that has not said anything yet, since the hub is a new one, goes by what was in force until now.
        let unheard = Membership { said: before, ..Membership::default() };
        let standing = state.pushes.standings.entry(vm).or_insert(unheard);
        let has = standing.version(now, again);
        if has < version {
            standing.push(now, version);
            lacking.entry((zone, has)).or_default().push(address);
        }
    }
    lacking
}

/// This process has become the hub: the entry VMs that the one before has named are told, since they would find out by the
/// silence of that one and a look at the store, which takes seconds where there are hundreds.
pub(crate) fn announce(state: &State, out: &mut Vec<Effect>) {
    let hub = state.lease.hub().cloned();
    let message = Message { hub, evacuations: state.evacuations.words(), ..Message::default() };
    spread(state, &message, frame::reached(state), out);
}

/// Tells all entry VMs that this one knows of what is new of requests that crash engines. No hub is needed for that.
pub(crate) fn tell_crashes(state: &State, crashes: News, out: &mut Vec<Effect>) {
    tell_everybody(state, &Message { crashes, ..Message::default() }, out);
}

/// Tells all entry VMs that this one knows of, whether or not there is a hub.
pub(crate) fn tell_everybody(state: &State, message: &Message, out: &mut Vec<Effect>) {
    let others = state.members.list().iter().filter(|member| member.vm != state.me.vm);
    spread(state, message, others.cloned(), out);
}

/// Tells the others what operators say of availability zones.
pub(crate) fn tell_evacuations(
    state: &State,
    now: Time,
    evacuations: Vec<evacuation::Word>,
    out: &mut Vec<Effect>,
) {
    let message = Message { evacuations, ..Message::default() };
    tell(state, now, &message, out);
}

/// Sends a message down a tree in each availability zone.
fn spread(
    state: &State,
    message: &Message,
    members: impl IntoIterator<Item = Member>,
    out: &mut Vec<Effect>,
) {
    let mut by_zone: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
    for member in members {
        by_zone.entry(member.zone).or_default().push(member.address);
    }
    for onward in by_zone.into_values() {
        forward(state, &Message { onward, ..message.clone() }, out);
    }
}

/// Pushes to the first of as many parts as this process serves at once, each with the rest of its part.
fn forward(state: &State, message: &Message, out: &mut Vec<Effect>) {
    let fan_out = if state.settings.weak { FAN_OUT_SMALL } else { FAN_OUT };
    let mut left = &*message.onward;
    for parts in (1..=fan_out).rev() {
        let (part, rest) = left.split_at(left.len().div_ceil(parts));
        left = rest;
        if let Some((first, onward)) = part.split_first() {
            let message = Message { onward: onward.to_vec(), ..message.clone() };
            out.push(Effect::Push(Push { address: *first, message: Box::new(message), again: false }));
        }
    }
}

/// An update was pushed here.
pub(crate) fn received(state: &mut State, now: Time, message: Message, out: &mut Vec<Effect>) {
    forward(state, &message, out);
    if let Some(hub) = message.hub {
        lease::told(state, now, hub, out);
    }
    crash::told(state, now, message.crashes, out);
    entries::told(state, now, message.departures, Road::Push, out);
    departure::told(state, now, &message.departed, Road::Push, out);
    // Whoever reads the store for an availability zone tells that one alone; the hub tells all.
    if state.lease.holds(now).is_some() {
        departure::tell(state, now, out);
    } else {
        departure::leave_to_others(state, out);
    }
    evacuation::told(state, now, &message.evacuations, out);
    if let Some(update) = message.update {
        take(state, now, update, "push", out);
    }
}

/// An entry VM did not take a push: the rest of its part is pushed to without it, and itself once more, since the connection may have been lost, and
/// its next frame may be seconds away.
pub(crate) fn missed(state: &State, push: Push, out: &mut Vec<Effect>) {
    let Push { address, mut message, again } = push;
    forward(state, &message, out);
    if again {
        return;
    }
    message.onward.clear();
    // A large one follows once it says that it lacks the version.
    if message.update.as_ref().is_some_and(|update| update.bytes.len() > INLINE_MAX) {
        message.update = None;
    }
    if *message != Message::default() {
        out.push(Effect::Push(Push { address, message, again: true }));
    }
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
        next = state.pushes.early.remove(&have);
        state.pushes.early.retain(|base, _| *base > have);
    }
}

fn apply(state: &mut State, now: Time, update: Packed, source: &'static str, out: &mut Vec<Effect>) {
    let have = frame::version(state);
    if update.version <= have {
        return;
    }
    if update.base > have && state.pushes.early.len() < EARLY_MAX {
        state.pushes.early.insert(update.base, update);
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
