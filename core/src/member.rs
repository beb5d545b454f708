//! Membership: the other entry VMs, which of them are alive, and the frames exchanged with them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::close;
use crate::collect;
use crate::config::{self, Audience};
use crate::demand;
use crate::effect::Effect;
use crate::fleet;
use crate::id::Incarnation;
use crate::name::Name;
use crate::peer::{Frame, Item};
use crate::route_sync;
use crate::state::State;
use crate::summary;
use crate::time::Time;
use crate::timer::Timer;
use crate::vm::Phase;

mod mesh;
mod verdict;

pub(crate) use mesh::{available_in_zone, is_forwarder, links, outdated_peers, zone_peers};

/// Earlier incarnations remembered for each peer, so that their late frames are dropped.
const EARLIER_INCARNATIONS_MAX: usize = 4;
/// Share of the frame interval for each peer of the zone: with more peers each gets frames less often,
/// which bounds the total cost of frames.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(80);

/// Another entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Its availability zone.
    pub zone: Name,
    /// The address at which it listens for peers.
    pub address: SocketAddr,
    /// Time since which the VM list has not shown it; none while it is listed.
    pub unlisted_since: Option<Time>,
    /// The incarnation of its process; none before its first frame.
    pub incarnation: Option<Incarnation>,
    /// Number of its last frame.
    pub seq: u64,
    /// Time of its last frame; none before the first.
    pub last_heard: Option<Time>,
    /// The configuration version in force there, by its last frame.
    pub config_version: u64,
    /// Whether it is stopping, according to its frames or the VM list.
    pub stopping: bool,
    /// Whether it is suspected to have failed.
    pub suspected: bool,
    /// Whether it was sent all reports that this entry VM collects.
    pub synced: bool,
    known_since: Time,
    lost_frames: u32,
    last_lost_at: Time,
    earlier_incarnations: VecDeque<Incarnation>,
}

impl Peer {
    fn new(zone: Name, address: SocketAddr, now: Time) -> Self {
        Self {
            zone,
            address,
            unlisted_since: Some(now),
            incarnation: None,
            seq: 0,
            last_heard: None,
            config_version: 0,
            stopping: false,
            suspected: false,
            synced: false,
            known_since: now,
            lost_frames: 0,
            last_lost_at: now,
            earlier_incarnations: VecDeque::new(),
        }
    }

    /// Whether duties of its zone may be assigned to it.
    pub(crate) fn is_available(&self) -> bool {
        !self.suspected && !self.stopping
    }
}

/// State of this module: all peers.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// The other entry VMs, by VM name.
    pub peers: BTreeMap<Name, Peer>,
    /// Time of the last event that came from outside this process.
    pub last_input: Time,
    /// Start of the time in which the silence of peers counts.
    listening_since: Time,
    /// Time of the next frames.
    next_frames_at: Time,
    seq: u64,
}

/// Updates the peers from a new VM list.
pub(crate) fn update_members(state: &mut State, now: Time) {
    let members = &mut state.member;
    for peer in members.peers.values_mut() {
        peer.unlisted_since = peer.unlisted_since.or(Some(now));
    }
    for vm in state.fleet.entries.values().filter(|vm| vm.name != state.me.vm) {
        let new_peer = || Peer::new(vm.zone.clone(), vm.address, now);
        let peer = members.peers.entry(vm.name.clone()).or_insert_with(new_peer);
        // The address in a peer's own frames is newer than that in the list.
        if peer.last_heard.is_none() {
            peer.address = vm.address;
        }
        peer.unlisted_since = None;
        peer.stopping |= vm.phase == Phase::Leaving;
    }
    let retention = state.settings.suspect_after;
    members.peers.retain(|_, peer| {
        peer.unlisted_since.is_none() || peer.last_heard.is_some_and(|at| now.since(at) <= retention)
    });
}

/// Time between frames to each peer.
pub(crate) fn frame_interval(state: &State) -> Duration {
    let peers = zone_peers(state).count() as u32;
    state.settings.heartbeat_every.max(INTERVAL_PER_PEER * peers)
}

/// Sends the frames that are due and suspects silent peers.
pub(crate) fn heartbeat_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let interval = frame_interval(state);
    let late = now.since(state.member.next_frames_at) > interval && state.member.next_frames_at > Time(0);
    if late {
        state.member.listening_since = now;
    }
    let next = now + interval.mul_f64(0.9 + 0.2 * state.rng.f64());
    state.member.next_frames_at = next;
    state.timers.set(next, Timer::Heartbeat);
    if verdict::update_suspicions(state, now, interval) {
        collect::assign_collectors(state, now);
    }
    send_zone_frames(state, out);
    send_link_frames(state, now, out);
}

fn send_zone_frames(state: &mut State, out: &mut Vec<Effect>) {
    let mut items = summary::take_forwards(state);
    items.extend(collect::take_load_updates(state));
    let peers: Vec<Name> = zone_peers(state).map(|(name, _)| name.clone()).collect();
    for name in peers {
        let synced = state.member.peers.get(&name).is_some_and(|peer| peer.synced);
        if synced {
            send(state, &name, items.clone(), out);
            continue;
        }
        if let Some(peer) = state.member.peers.get_mut(&name) {
            peer.synced = peer.last_heard.is_some();
        }
        let mut all = collect::all_reports(state);
        all.extend(summary::all_forwards(state));
        all.extend(fleet::drains_item(state));
        send(state, &name, all, out);
    }
}

fn send_link_frames(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    for name in links(state) {
        let item = summary::next_summary(state, now, &name);
        send(state, &name, vec![item], out);
    }
}

/// Immediately sends a frame with `items` to every other entry VM of the zone.
pub(crate) fn send_to_zone(state: &mut State, items: &[Item], out: &mut Vec<Effect>) {
    let peers: Vec<Name> = zone_peers(state).map(|(name, _)| name.clone()).collect();
    for peer in peers {
        send(state, &peer, items.to_vec(), out);
    }
}

/// Sends a frame with `items` to one peer. Does nothing if the peer is not known.
pub(crate) fn send(state: &mut State, peer: &Name, items: Vec<Item>, out: &mut Vec<Effect>) {
    let Some(address) = state.member.peers.get(peer).map(|peer| peer.address) else {
        return;
    };
    state.member.seq += 1;
    let frame = Frame {
        from: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        incarnation: state.me.incarnation,
        seq: state.member.seq,
        address: state.settings.address,
        config: state.config.version,
        stopping: state.drain.is_leaving(),
        items,
    };
    out.push(Effect::SendFrame { peer: peer.clone(), address, frame: Box::new(frame) });
}

/// Handles a frame that could not be delivered to a peer.
pub(crate) fn delivery_failed(state: &mut State, now: Time, peer: &Name) {
    if let Some(peer) = state.member.peers.get_mut(peer) {
        peer.lost_frames = peer.lost_frames.saturating_add(1);
        peer.last_lost_at = now;
        peer.synced = false;
    }
}

/// Handles a frame from another entry VM.
pub(crate) fn frame_received(state: &mut State, now: Time, frame: Frame, out: &mut Vec<Effect>) {
    let from_self = frame.from == state.me.vm;
    let overtaken = !from_self && is_overtaken(state, &frame);
    if from_self || !overtaken && !update_sender(state, now, &frame) {
        state.counters.stale += 1;
        return;
    }
    let before = state.config.version;
    for item in frame.items {
        if !overtaken || is_self_contained(&item) {
            process_item(state, now, &frame.from, item, out);
        }
    }
    if state.config.version > before {
        let audience = if frame.zone == state.me.zone { Audience::OtherZones } else { Audience::All };
        config::push(state, audience, out);
    }
    config::version_received(state, now, &frame.from, frame.config, out);
}

/// Whether a later frame of the same process came before this one. The sender's state in it is outdated then,
/// but the items that it forwards are sent only once, so they must still be processed.
fn is_overtaken(state: &State, frame: &Frame) -> bool {
    let peer = state.member.peers.get(&frame.from);
    peer.is_some_and(|peer| peer.incarnation == Some(frame.incarnation) && peer.seq > frame.seq)
}

/// Whether an item carries its own version or sequence number, so that it may be processed late or twice.
fn is_self_contained(item: &Item) -> bool {
    match item {
        Item::Report(_) | Item::Drains(_) | Item::Summary(_) | Item::Config(_) | Item::Steps(_) => true,
        Item::Loads(_)
        | Item::WantReports
        | Item::Leaving(_)
        | Item::WantConfig(_)
        | Item::Demand(_)
        | Item::Close(_)
        | Item::Closed(_)
        | Item::Reopen(_) => false,
    }
}

/// Updates the sender's state from a frame. Returns false for a frame older than one already received.
fn update_sender(state: &mut State, now: Time, frame: &Frame) -> bool {
    let known = state.member.peers.get_mut(&frame.from);
    let peer = match (known, frame.address) {
        (Some(peer), _) => peer,
        (None, Some(address)) => {
            let new_peer = Peer::new(frame.zone.clone(), address, now);
            state.member.peers.entry(frame.from.clone()).or_insert(new_peer)
        }
        // Its items are processed, though nothing can be sent to it until the VM list shows its address.
        (None, None) => return true,
    };
    let same = peer.incarnation == Some(frame.incarnation);
    if peer.earlier_incarnations.contains(&frame.incarnation) || (same && peer.seq >= frame.seq) {
        return false;
    }
    let changed = peer.suspected || !same || peer.stopping != frame.stopping;
    if !same {
        if let Some(old) = peer.incarnation.replace(frame.incarnation) {
            peer.earlier_incarnations.push_back(old);
        }
        if peer.earlier_incarnations.len() > EARLIER_INCARNATIONS_MAX {
            peer.earlier_incarnations.pop_front();
        }
        peer.synced = false;
    }
    peer.seq = frame.seq;
    peer.last_heard = Some(now);
    peer.config_version = frame.config;
    peer.stopping = frame.stopping;
    peer.suspected = false;
    peer.lost_frames = 0;
    if let Some(address) = frame.address {
        peer.address = address;
        verdict::suspect_others_at(state, &frame.from, address);
    }
    if changed {
        collect::assign_collectors(state, now);
    }
    true
}

fn process_item(state: &mut State, now: Time, from: &Name, item: Item, out: &mut Vec<Effect>) {
    match item {
        Item::Report(report) => fleet::report_received(state, now, &report, out),
        Item::Loads(loads) => collect::loads_received(state, now, from, &loads, out),
        Item::WantReports => {
            if let Some(peer) = state.member.peers.get_mut(from) {
                peer.synced = false;
            }
        }
        Item::Leaving(backend) => {
            route_sync::mark_leaving(state, now, &backend);
        }
        Item::Drains(drains) => fleet::apply_drains(state, now, &drains, out),
        Item::Summary(summary) => summary::summary_received(state, now, &summary),
        Item::Config(head) => config::adopt(state, now, &head, out),
        Item::Steps(steps) => config::steps_received(state, now, steps, out),
        Item::WantConfig(peer_version) => config::answer_request(state, from, peer_version, out),
        Item::Demand(items) => demand::receive(state, from, items),
        Item::Close(closing) => close::receive_close(state, now, from, closing, out),
        Item::Closed(closing) => close::receive_closed(state, from, closing),
        Item::Reopen(closing) => close::receive_reopen(state, now, closing),
    }
}
