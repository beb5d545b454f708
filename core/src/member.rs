//! Membership: the other entry VMs, and what they tell.

use std::collections::BTreeMap;

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
    state.member.seq += 1;
    for vm in state.fleet.entries.values().filter(|vm| vm.name != state.me.vm) {
        let frame = Frame {
            from: state.me.vm.clone(),
            zone: state.me.zone.clone(),
            incarnation: state.me.incarnation,
            seq: state.member.seq,
            config: state.config.version,
            stopping: state.drain.leaving(),
            items: items.to_vec(),
        };
        out.push(Effect::Tell { peer: vm.name.clone(), address: vm.address, frame: Box::new(frame) });
    }
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
    if frame.config > state.config.version {
        crate::config::read(state, out);
    }
    for item in frame.items {
        match item {
            Item::Report(report) => fleet::reported(state, now, &report, out),
            Item::Config(head) => crate::config::adopt(state, now, &head, out),
            Item::Leaving(backend) => {
                crate::index::left(state, now, &backend);
            }
            Item::Summary(_)
            | Item::Demand(_)
            | Item::Close(_)
            | Item::Closed(_)
            | Item::Reopen(_)
            | Item::WantConfig(_) => {}
        }
    }
}
