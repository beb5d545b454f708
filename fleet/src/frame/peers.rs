//! The hub's data on the other entry VMs: which ones exist, and their load on each engine.

use std::time::Duration;

use boragecove_core::time::Time;

use super::{EngineLoad, Frame, MISSED_FRAMES_MAX, Peer, frame_interval};
use crate::engine::Load;
use crate::members::Member;
use crate::state::{Identity, State};

/// Time after which an entry VM that sends no frames no longer counts. It is longer if frames are further apart.
const PEER_SILENCE: Duration = Duration::from_secs(2);

/// Replaces the last frame of an entry VM, and its part in the sums of loads.
pub(super) fn replace_frame(state: &mut State, now: Time, frame: Frame) {
    let before = state.hub.peers.get(&frame.vm).map(|peer| peer.frame.loads.clone()).unwrap_or_default();
    for EngineLoad { engine, load } in before {
        if let Some(engine) = state.engines.get_mut(&engine) {
            engine.others_load = engine.others_load.minus(load);
        }
    }
    for EngineLoad { engine, load } in &frame.loads {
        if let Some(engine) = state.engines.get_mut(engine) {
            engine.others_load = engine.others_load.plus(*load);
        }
    }
    let was_inherited = state.hub.inherited.remove(&frame.vm).is_some();
    state.hub.peers.insert(frame.vm.clone(), Peer { received_at: now, frame });
    if was_inherited && state.hub.inherited.is_empty() {
        end_inheritance(state);
    }
}

/// How long an entry VM that sends no frames still counts.
fn silence_max(state: &State) -> Duration {
    PEER_SILENCE.max(frame_interval(state).mul_f64(MISSED_FRAMES_MAX))
}

/// Takes over the member list of the previous hub and the loads that it reported, as this process has become the hub. The
/// entry VMs in the list count until they send frames of their own: their number determines the frame interval and the
/// retries allowed to each, and the owners of schedules don't change. Their loads count until all of them have.
pub(crate) fn inherit_members(state: &mut State, now: Time) {
    let others = state.members.list().iter().filter(|member| member.vm != state.me.vm);
    state.hub.inherited = others.map(|member| (member.vm.clone(), member.clone())).collect();
    state.hub.inherited_until = Some(now + silence_max(state));
    for engine in state.engines.values_mut() {
        engine.inherited_load = engine.load_of_others();
    }
    recount(state);
}

/// Forgets what the previous hub reported.
fn end_inheritance(state: &mut State) {
    state.hub.inherited_until = None;
    state.hub.inherited.clear();
    for engine in state.engines.values_mut() {
        engine.inherited_load = Load::default();
    }
}

/// Removes entry VMs that have fallen silent.
pub(super) fn expire(state: &mut State, now: Time) {
    let limit = silence_max(state);
    if state.hub.inherited_until.is_some_and(|until| now >= until) {
        end_inheritance(state);
    }
    let silent = |peer: &Peer| now.since(peer.received_at) > limit;
    if state.hub.peers.values().any(silent) {
        let removed = state.hub.peers.extract_if(.., |_, peer| silent(peer));
        removed.for_each(|(vm, _)| state.rollout.forget(&vm));
        recount(state);
    }
}

/// Recomputes the sums of the other entry VMs' loads.
fn recount(state: &mut State) {
    for engine in state.engines.values_mut() {
        engine.others_load = Load::default();
    }
    for peer in state.hub.peers.values() {
        for EngineLoad { engine, load } in &peer.frame.loads {
            if let Some(engine) = state.engines.get_mut(engine) {
                engine.others_load = engine.others_load.plus(*load);
            }
        }
    }
}

/// The entry VMs that the hub can reach: those whose frames arrive, and those inherited from the previous hub.
pub(crate) fn reachable_members(state: &State) -> Vec<Member> {
    let reporting = state.hub.peers.values().filter_map(|peer| member(&peer.frame));
    reporting.chain(state.hub.inherited.values().cloned()).collect()
}

fn member(frame: &Frame) -> Option<Member> {
    frame.address.map(|address| Member {
        vm: frame.vm.clone(),
        zone: frame.zone.clone(),
        address,
        weak: frame.weak,
    })
}

/// The list of entry VMs as the hub distributes it, itself included, in the order of their names.
pub(super) fn listed_members(state: &State) -> Vec<Member> {
    let Identity { vm, zone, address } = state.me.clone();
    let mut list = Vec::with_capacity(state.hub.peers.len() + 1);
    if !state.stopping {
        list.push(Member { vm, zone, address, weak: state.settings.weak });
    }
    // A stopping entry VM must not be sent queries.
    let serving = state.hub.peers.values().filter(|peer| !peer.frame.stopping);
    list.extend(serving.filter_map(|peer| member(&peer.frame)));
    list.extend(state.hub.inherited.values().cloned());
    list.sort_by(|a, b| a.vm.cmp(&b.vm));
    list
}
