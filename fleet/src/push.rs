//! What entry VMs are told at once, down a tree of them: the hub, or whoever has news where there is none, pushes to a few, each passes on to what is
//! left of its part, and whoever does not take a push is tried once more.
//!
//! A link of 10 Mbit/s carries one copy of a large update in about a tenth of a second, and no link carries one for each
//! of hundreds: with 300 entry VMs 5,000 routes more are in force everywhere after 0.5 s of the links' time (test
//! `five_thousand_routes_at_once`).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::crash::{self, News};
use crate::departure::{self, Audience, Road};
use crate::effect::Effect;
use crate::engine::Row;
use crate::entries;
use crate::evacuation;
use crate::frame;
use crate::intake;
use crate::lease;
use crate::members::Member;
use crate::notice::Start;
use crate::rollout;
use crate::state::State;
use crate::update::Packed;

/// Entry VMs that one with a small link pushes to at once: two copies of a large update take it two tenths of a second.
const FAN_OUT_SMALL: usize = 2;
/// Entry VMs of each availability zone that one with a larger link pushes to at once.
const FAN_OUT: usize = 6;

/// What goes down a tree: an update, the word of who the hub is, news of requests that crash engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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
    /// The first engines of their services that say that they are brittle.
    pub limits: Vec<intake::Advert>,
    /// What operators say of availability zones.
    pub evacuations: Vec<evacuation::Word>,
    /// Entry VMs that the receiver is to pass it on to.
    pub onward: Vec<SocketAddr>,
}

/// A message on its way to an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Push {
    /// Where the entry VM listens.
    pub address: SocketAddr,
    /// What it is told, and whom it is to pass that on to.
    pub message: Box<Message>,
    /// Whether it did not take this before.
    pub again: bool,
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
pub(crate) fn forward(state: &State, message: &Message, out: &mut Vec<Effect>) {
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
    for limit in &message.limits {
        intake::told(state, now, limit);
    }
    evacuation::told(state, now, &message.evacuations, out);
    if let Some(update) = message.update {
        rollout::take(state, now, update, "push", out);
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
    if message.update.as_ref().is_some_and(|update| update.bytes.len() > rollout::INLINE_MAX) {
        message.update = None;
    }
    if *message != Message::default() {
        out.push(Effect::Push(Push { address, message, again: true }));
    }
}
