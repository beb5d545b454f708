//! Pushes: messages that spread to all entry VMs at once along a tree. The hub, or the process that has an update while there is no hub, pushes
//! to a few entry VMs, and each of them forwards the message to its part of the rest. A failed push is retried once.
//!
//! A link of 10 Mbit/s carries one copy of a large update in about 0.1 s, and no single link can carry a copy for each of hundreds of entry VMs.
//! With 300 entry VMs, a change of 5,000 routes takes 0.5 s of transfer time to be in force everywhere (test
//! `five_thousand_routes_at_once`).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::crash::{self, Report};
use crate::departure::{self, Audience, Source};
use crate::effect::Effect;
use crate::engine::Row;
use crate::evacuation;
use crate::frame;
use crate::lease;
use crate::members::Member;
use crate::notice::Start;
use crate::rate_limit;
use crate::rollout;
use crate::state::State;
use crate::tables;
use crate::update::Packed;

/// Fan-out of an entry VM with a small link: two copies of a large update take it 0.2 s.
const FAN_OUT_SMALL: usize = 2;
/// Fan-out of an entry VM with a larger link, for each availability zone.
const FAN_OUT: usize = 6;

/// The payload of a push: any of a configuration update, the identity of the hub, and changes concerning engines and zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The hub; none if the sender knows of none.
    pub hub: Option<lease::Row>,
    /// A configuration update; none in the announcement of a new hub, among others.
    pub update: Option<Packed>,
    /// New findings about requests that crash engines.
    pub crashes: crash::Report,
    /// Rows of the engines' table that show engines as leaving or gone.
    pub departure_rows: Vec<Row>,
    /// Engines that announced themselves that they are leaving.
    pub departing: Vec<Start>,
    /// Limits announced by engines that are the first of their service to report that overload makes them fail.
    pub limits: Vec<rate_limit::Report>,
    /// Changes of the evacuation state of availability zones.
    pub evacuations: Vec<evacuation::Status>,
    /// Entry VMs that the receiver has to forward the message to.
    pub forward_to: Vec<SocketAddr>,
}

/// A message to be sent to an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Push {
    /// The address that the entry VM listens on.
    pub address: SocketAddr,
    /// The message.
    pub message: Box<Message>,
    /// Whether this is the second attempt.
    pub is_retry: bool,
}

/// Pushes a message to the others: the hub to all, and without a hub a process that reads the store on behalf of its availability zone to that
/// zone. Returns the audience.
pub(crate) fn notify(state: &State, now: Time, message: &Message, out: &mut Vec<Effect>) -> Audience {
    if state.lease.held_term(now).is_some() {
        send_by_zone(state, message, frame::reachable_members(state), out);
        return Audience::All;
    }
    if frame::pushes_to_zone(state, now) {
        let in_zone = state.members.list().iter().filter(|member| member.zone == state.me.zone);
        let others = in_zone.filter(|member| member.vm != state.me.vm);
        send_by_zone(state, message, others.cloned(), out);
        return Audience::Zone;
    }
    Audience::Nobody
}

/// Announces this process as the new hub to the entry VMs that its predecessor listed. Otherwise they would find out only from the silence of
/// the predecessor and a read of the store, which takes seconds with hundreds of entry VMs.
pub(crate) fn announce_hub(state: &State, out: &mut Vec<Effect>) {
    let hub = state.lease.hub().cloned();
    let message = Message { hub, evacuations: state.evacuations.all(), ..Message::default() };
    send_by_zone(state, &message, frame::reachable_members(state), out);
}

/// Pushes new findings about requests that crash engines to all known entry VMs. This needs no hub.
pub(crate) fn notify_crashes(state: &State, crashes: Report, out: &mut Vec<Effect>) {
    broadcast(state, &Message { crashes, ..Message::default() }, out);
}

/// Pushes a message to all known entry VMs, whether or not there is a hub.
pub(crate) fn broadcast(state: &State, message: &Message, out: &mut Vec<Effect>) {
    let others = state.members.list().iter().filter(|member| member.vm != state.me.vm);
    send_by_zone(state, message, others.cloned(), out);
}

/// Pushes changes of the evacuation state of availability zones.
pub(crate) fn notify_evacuations(
    state: &State,
    now: Time,
    evacuations: Vec<evacuation::Status>,
    out: &mut Vec<Effect>,
) {
    let message = Message { evacuations, ..Message::default() };
    notify(state, now, &message, out);
}

/// Sends a message along one tree for each availability zone.
fn send_by_zone(
    state: &State,
    message: &Message,
    members: impl IntoIterator<Item = Member>,
    out: &mut Vec<Effect>,
) {
    let mut by_zone: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
    for member in members {
        by_zone.entry(member.zone).or_default().push(member.address);
    }
    for forward_to in by_zone.into_values() {
        forward(state, &Message { forward_to, ..message.clone() }, out);
    }
}

/// Splits the recipients into as many parts as the fan-out, and pushes to the first of each part, which forwards to the rest of it.
pub(crate) fn forward(state: &State, message: &Message, out: &mut Vec<Effect>) {
    let fan_out = if state.settings.weak { FAN_OUT_SMALL } else { FAN_OUT };
    let mut left = &*message.forward_to;
    for parts in (1..=fan_out).rev() {
        let (part, rest) = left.split_at(left.len().div_ceil(parts));
        left = rest;
        if let Some((first, forward_to)) = part.split_first() {
            let message = Message { forward_to: forward_to.to_vec(), ..message.clone() };
            out.push(Effect::Push(Push { address: *first, message: Box::new(message), is_retry: false }));
        }
    }
}

/// Handles a push from another entry VM, and forwards it.
pub(crate) fn receive(state: &mut State, now: Time, message: Message, out: &mut Vec<Effect>) {
    forward(state, &message, out);
    if let Some(hub) = message.hub {
        lease::hub_announced(state, now, hub, out);
    }
    crash::report_received(state, now, message.crashes, out);
    tables::receive_rows(state, now, message.departure_rows, Source::Push, out);
    departure::receive(state, now, &message.departing, Source::Push, out);
    // The sender may have notified only its own availability zone, so that the hub notifies all.
    if state.lease.held_term(now).is_some() {
        departure::notify(state, now, out);
    } else {
        departure::drop_pending(state, out);
    }
    for limit in &message.limits {
        rate_limit::report_received(state, now, limit);
    }
    evacuation::receive(state, now, &message.evacuations, out);
    if let Some(update) = message.update {
        rollout::receive(state, now, update, "push", out);
    }
}

/// Handles a push that was not delivered. The rest of its part is pushed to directly. The recipient itself is tried once more, because only
/// the connection may have been lost and its next frame may be seconds away.
pub(crate) fn delivery_failed(state: &State, push: Push, out: &mut Vec<Effect>) {
    let Push { address, mut message, is_retry } = push;
    forward(state, &message, out);
    if is_retry {
        return;
    }
    message.forward_to.clear();
    // A large update follows when a frame shows that the recipient lacks the version.
    if message.update.as_ref().is_some_and(|update| update.bytes.len() > rollout::INLINE_MAX) {
        message.update = None;
    }
    if *message != Message::default() {
        out.push(Effect::Push(Push { address, message, is_retry: true }));
    }
}
