//! Membership: the other entry VMs, and what they tell.

use std::collections::BTreeMap;

use crate::config::{self, Reach};
use crate::effect::Effect;
use crate::fleet;
use crate::id::Incarnation;
use crate::name::Name;
use crate::peer::{Frame, Item};
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// What was heard from a peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its last frame's number.
    pub seq: u64,
    /// When it was last heard.
    pub heard: Time,
    /// The configuration version in force there.
    pub config: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// All peers.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Peers heard, by VM name.
    pub peers: BTreeMap<Name, Peer>,
    seq: u64,
}

/// Peers are to be told.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.heartbeat_every, Timer::Heartbeat);
    tell_all(state, &[], out);
}

/// Sends a frame with `items` to every other entry VM that is listed.
pub(crate) fn tell_all(state: &mut State, items: &[Item], out: &mut Vec<Effect>) {
    let peers: Vec<Name> = state.fleet.entries.keys().filter(|name| **name != state.me.vm).cloned().collect();
    for peer in peers {
        tell(state, &peer, items.to_vec(), out);
    }
}

/// Sends a frame with `items` to one peer, if it is known where that listens.
pub(crate) fn tell(state: &mut State, peer: &Name, items: Vec<Item>, out: &mut Vec<Effect>) {
    let Some(vm) = state.fleet.entries.get(peer) else {
        return;
    };
    state.member.seq += 1;
    let frame = Frame {
        from: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        incarnation: state.me.incarnation,
        seq: state.member.seq,
        config: state.config.version,
        stopping: state.drain.leaving(),
        items,
    };
    out.push(Effect::Tell { peer: peer.clone(), address: vm.address, frame: Box::new(frame) });
}

/// Peers that are not known to have `version` in force, with the version last heard from each.
pub(crate) fn behind(state: &State, version: u64, reach: Reach) -> Vec<(Name, u64)> {
    let entries = state.fleet.entries.values();
    entries
        .filter(|vm| vm.name != state.me.vm)
        .filter(|vm| reach == Reach::All || vm.zone != state.me.zone)
        .map(|vm| (vm.name.clone(), state.member.peers.get(&vm.name).map_or(0, |peer| peer.config)))
        .filter(|(_, theirs)| *theirs < version)
        .collect()
}

/// A frame came.
pub(crate) fn heard(state: &mut State, now: Time, frame: Frame, out: &mut Vec<Effect>) {
    let known = state.member.peers.get(&frame.from);
    if known.is_some_and(|known| known.incarnation == frame.incarnation && known.seq >= frame.seq) {
        state.counters.stale += 1;
        return;
    }
    let peer = Peer {
        incarnation: frame.incarnation,
        seq: frame.seq,
        heard: now,
        config: frame.config,
        stopping: frame.stopping,
    };
    state.member.peers.insert(frame.from.clone(), peer);
    let before = state.config.version;
    for item in frame.items {
        take(state, now, &frame.from, item, out);
    }
    if state.config.version > before {
        let reach = if frame.zone == state.me.zone { Reach::Across } else { Reach::All };
        config::push(state, reach, out);
    }
    config::heard_version(state, now, &frame.from, frame.config, out);
}

fn take(state: &mut State, now: Time, from: &Name, item: Item, out: &mut Vec<Effect>) {
    match item {
        Item::Report(report) => fleet::reported(state, now, &report, out),
        Item::Config(head) => config::adopt(state, now, &head, out),
        Item::Steps(steps) => config::heard_steps(state, now, steps, out),
        Item::WantConfig(theirs) => config::answer_want(state, from, theirs, out),
        Item::Leaving(backend) => {
            crate::index::left(state, now, &backend);
        }
        Item::Summary(_) | Item::Demand(_) | Item::Close(_) | Item::Closed(_) | Item::Reopen(_) => {}
    }
}
