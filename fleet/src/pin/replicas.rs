//! Replicates stream origins to some entry VMs of each availability zone, the stream's replicas, since the entry VM at which a stream began
//! may be gone when its caller resumes the stream elsewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::{Origin, Pin, lifetime, only_build};
use crate::effect::Effect;
use crate::flow::Flow;
use crate::frame;
use crate::request::{Id, Stream};
use crate::state::State;
use crate::timer::Timer;

/// Interval at which the origins of open streams are sent again; longer with hundreds of entry VMs.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time over which entry VMs spread the messages that they send when a new build appears; longer with hundreds of entry VMs.
const ANNOUNCE_SPREAD: Duration = Duration::from_millis(40);

/// Time for which the row of the lease keeps the origin of a stream that is not sent again. Callers resume streams within
/// seconds.
const ROW_KEPT: Duration = Duration::from_secs(10);
/// Maximum number of streams in the row, which the platform limits to 64 KiB.
const ROW_STREAMS_MAX: usize = 3_000;

/// Streams of one origin, as sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Their origin.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<Stream>,
}

/// Stores and replicates the origin of a stream whose first events were forwarded to its caller.
pub(crate) fn stream_began(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some((stream, origin)) = state.flows.get(&id).and_then(origin_of) else {
        return;
    };
    let lifetime = lifetime(state);
    state.pins.origins.insert(now, stream, origin.clone(), lifetime);
    if only_build(state, now, &origin.service).is_some() {
        return;
    }
    let mut addresses = replicas(state, stream);
    if frame::size_factor(state) > 1.0 {
        // With hundreds of entry VMs, a message for each stream is too much for the hub: it gets them at intervals.
        addresses.retain(|address| Some(*address) != hub(state));
    }
    for address in addresses {
        announce(state, address, vec![Announcement { origin: origin.clone(), streams: vec![stream] }], out);
    }
}

/// The stream of a request whose caller has events, and its origin.
fn origin_of(flow: &Flow) -> Option<(Stream, Origin)> {
    let build = match &flow.pin {
        Pin::Free => return None,
        Pin::Build(build) => Some(build.clone()),
        Pin::Unknown => None,
    };
    let stream = flow.stream.filter(|_| flow.route.kind.resumable())?;
    Some((stream, Origin { service: flow.service.clone(), build }))
}

/// The addresses of a stream's replicas other than this process. The hub is one of all streams, and writes their origins
/// into the row of the lease, which outlives all entry VMs.
pub(super) fn replicas(state: &State, stream: Stream) -> Vec<SocketAddr> {
    let replicas =
        state.members.stream_replicas(stream).into_iter().filter(|member| member.vm != state.me.vm);
    let mut addresses: Vec<SocketAddr> = replicas.map(|member| member.address).collect();
    addresses.extend(hub(state).filter(|hub| !addresses.contains(hub)));
    addresses
}

/// The address of the hub, if that is another process.
fn hub(state: &State) -> Option<SocketAddr> {
    let row = state.lease.hub().filter(|row| row.holder != state.me.vm && !row.released);
    row.map(|row| row.address)
}

/// The origins for the row of the lease: of the streams of services with several builds, those that were received last.
pub(crate) fn row_streams(state: &State, now: Time) -> Vec<Announcement> {
    let services = state.config.iter().flat_map(|config| &config.services).map(|service| &service.name);
    let uncertain: BTreeSet<&Name> =
        services.filter(|service| only_build(state, now, service).is_none()).collect();
    if uncertain.is_empty() {
        return Vec::new();
    }
    let recent = state.pins.origins.received_within(now, ROW_KEPT);
    let mut recent: Vec<_> = recent.filter(|(_, _, origin)| uncertain.contains(&origin.service)).collect();
    recent.sort_unstable_by_key(|(received, stream, _)| (std::cmp::Reverse(*received), *stream));
    recent.truncate(ROW_STREAMS_MAX);
    let mut by_origin: BTreeMap<&Origin, Vec<Stream>> = BTreeMap::new();
    for (_, stream, origin) in recent {
        by_origin.entry(origin).or_default().push(stream);
    }
    let announcement = |(origin, streams): (&Origin, _)| Announcement { origin: origin.clone(), streams };
    by_origin.into_iter().map(announcement).collect()
}

fn announce(state: &mut State, address: SocketAddr, notes: Vec<Announcement>, out: &mut Vec<Effect>) {
    state.pins.messages += 1;
    state.pins.streams_announced +=
        notes.iter().map(|announcement| announcement.streams.len() as u64).sum::<u64>();
    out.push(Effect::AnnounceOrigins { address, notes });
}

/// Sends the origins of open streams again, at a regular interval.
pub(crate) fn announce_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + ANNOUNCE_INTERVAL.mul_f64(frame::size_factor(state)), Timer::StreamReports);
    let lifetime = lifetime(state);
    state.history.prune(now, lifetime);
    announce_all(state, now, out);
}

/// Schedules sending the origins of open streams after a service got engines of a new build. Entry VMs spread this over some time.
pub(crate) fn build_appeared(state: &mut State, now: Time) {
    let within = ANNOUNCE_SPREAD.mul_f64(frame::size_factor(state) * state.rng.f64());
    state.timers.set(now + within, Timer::StreamReportsRetry);
}

/// Sends the origins of all open streams to their replicas.
pub(crate) fn announce_all(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let lifetime = lifetime(state);
    let streams: Vec<(Stream, Origin)> = state.flows.values().filter_map(origin_of).collect();
    let mut notes: BTreeMap<SocketAddr, BTreeMap<Origin, BTreeSet<Stream>>> = BTreeMap::new();
    for (stream, origin) in streams {
        state.pins.origins.insert(now, stream, origin.clone(), lifetime);
        if only_build(state, now, &origin.service).is_some() {
            continue;
        }
        for address in replicas(state, stream) {
            notes.entry(address).or_default().entry(origin.clone()).or_default().insert(stream);
        }
    }
    for (address, origins) in notes {
        let announcement = |(origin, streams): (Origin, BTreeSet<Stream>)| Announcement {
            origin,
            streams: streams.into_iter().collect(),
        };
        announce(state, address, origins.into_iter().map(announcement).collect(), out);
    }
}

/// Stores stream origins that another entry VM sent.
pub(crate) fn store(state: &mut State, now: Time, notes: Vec<Announcement>) {
    let lifetime = lifetime(state);
    for Announcement { origin, streams } in notes {
        for stream in streams {
            state.pins.origins.insert(now, stream, origin.clone(), lifetime);
        }
    }
}
