//! Failure detection: which peers are suspected, and when the fault is more likely on this entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use crate::member::Peer;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;

/// Minimum number of frame intervals without a frame before a peer is suspected.
const SILENT_INTERVALS: u32 = 4;
/// Consecutive undelivered frames after which a peer is suspected.
const LOST_MAX: u32 = 3;

/// Evaluates all peers again. Returns whether any suspicion changed.
pub(super) fn update_suspicions(state: &mut State, now: Time, interval: Duration) -> bool {
    let patience = state.settings.suspect_after.max(interval * SILENT_INTERVALS);
    if doubts_itself(state, now, patience) {
        state.member.listening_since = now;
        return false;
    }
    let listening = state.member.listening_since;
    let mut changed = false;
    for peer in state.member.peers.values_mut() {
        let own_zone = peer.zone == state.me.zone;
        let failed =
            if own_zone { silent(peer, now, listening, patience) } else { lost(peer, now, patience) };
        let failed = failed || (own_zone && lost(peer, now, patience));
        changed |= failed != peer.suspected;
        peer.suspected = failed;
    }
    changed
}

/// Whether a peer of the zone sent no frame for longer than `patience` while this process was able to
/// receive frames.
fn silent(peer: &Peer, now: Time, listening: Time, patience: Duration) -> bool {
    let last = peer.last_heard.unwrap_or_default().max(peer.known_since).max(listening);
    now.since(last) > patience
}

/// Whether frames to a peer are not delivered. This expires `patience` after the last lost frame, so that
/// the peer is tried again.
fn lost(peer: &Peer, now: Time, patience: Duration) -> bool {
    peer.lost_frames >= LOST_MAX && now.since(peer.last_lost_at) <= patience
}

/// Whether the fault seems to be on this entry VM: it receives nothing at all, or most of the zone is
/// silent although frames to the zone are delivered.
fn doubts_itself(state: &State, now: Time, patience: Duration) -> bool {
    if now.since(state.member.last_input) > patience {
        return true;
    }
    let zone = || state.member.peers.values().filter(|peer| peer.zone == state.me.zone);
    let mute = zone()
        .filter(|peer| !peer.suspected && silent(peer, now, state.member.listening_since, patience))
        .filter(|peer| peer.lost_frames == 0 && peer.last_heard.is_some())
        .count();
    mute >= 2 && mute * 2 > zone().count()
}

/// Suspects all other peers known at `address`: the VM of `name` has taken over that address.
pub(super) fn suspect_others_at(state: &mut State, name: &Name, address: SocketAddr) {
    for (other, peer) in &mut state.member.peers {
        if other != name && peer.address == address {
            peer.suspected = true;
            peer.lost_frames = peer.lost_frames.max(LOST_MAX);
        }
    }
}
