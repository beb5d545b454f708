//! Requests that go to another availability zone, by way of one of its entry VMs.

use std::net::SocketAddr;

use crate::flow::Flow;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;

/// An entry VM of another availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its VM name.
    pub name: Name,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// The entry VM to send a request to that finds no room here, if there is one. A request passes at most
/// one entry VM besides the first, and one that has had a part of its answer stays.
pub(crate) fn peer(_state: &State, _now: Time, flow: &Flow, _absent: bool) -> Option<Peer> {
    if flow.hops > 0 || flow.delivered > 0 {
        return None;
    }
    None
}
