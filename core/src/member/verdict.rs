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
const LOST_FRAMES_MAX: u32 = 3;

/// Evaluates all peers again. Returns whether any suspicion changed.
pub(super) fn update_suspicions(state: &mut State, now: Time, interval: Duration) -> bool {
    let timeout = state.settings.suspect_after.max(interval * SILENT_INTERVALS);
    if is_cut_off(state, now, timeout) {
        state.member.listening_since = now;
        return false;
    }
    let listening_since = state.member.listening_since;
    let mut changed = false;
    for peer in state.member.peers.values_mut() {
        let own_zone = peer.zone == state.me.zone;
        let failed = if own_zone {
            is_silent(peer, now, listening_since, timeout)
        } else {
            is_unreachable(peer, now, timeout)
        };
        let failed = failed || (own_zone && is_unreachable(peer, now, timeout));
        changed |= failed != peer.suspected;
        peer.suspected = failed;
    }
    changed
}

/// Whether a peer of the zone sent no frame for longer than `timeout` while this process was able to
/// receive frames.
fn is_silent(peer: &Peer, now: Time, listening_since: Time, timeout: Duration) -> bool {
    let last = peer.last_heard.unwrap_or_default().max(peer.known_since).max(listening_since);
    now.since(last) > timeout
}

/// Whether frames to a peer are not delivered. This expires `timeout` after the last lost frame, so that
/// the peer is tried again.
fn is_unreachable(peer: &Peer, now: Time, timeout: Duration) -> bool {
    peer.lost_frames >= LOST_FRAMES_MAX && now.since(peer.last_lost_at) <= timeout
}

/// Whether the fault seems to be on this entry VM: it receives nothing at all, or most of the zone is
/// silent although frames to the zone are delivered.
fn is_cut_off(state: &State, now: Time, timeout: Duration) -> bool {
    if now.since(state.member.last_input) > timeout {
        return true;
    }
    let zone = || state.member.peers.values().filter(|peer| peer.zone == state.me.zone);
    let silent_peers = zone()
        .filter(|peer| !peer.suspected && is_silent(peer, now, state.member.listening_since, timeout))
        .filter(|peer| peer.lost_frames == 0 && peer.last_heard.is_some())
        .count();
    silent_peers >= 2 && silent_peers * 2 > zone().count()
}

/// Suspects all other peers known at `address`: the VM of `name` has taken over that address.
pub(super) fn suspect_others_at(state: &mut State, name: &Name, address: SocketAddr) {
    for (other, peer) in &mut state.member.peers {
        if other != name && peer.address == address {
            peer.suspected = true;
            peer.lost_frames = peer.lost_frames.max(LOST_FRAMES_MAX);
        }
    }
}
