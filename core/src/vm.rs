//! The platform's list of virtual machines, which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One virtual machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name, unique among those listed.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address of its process: for an entry VM that for peers, otherwise that for requests and orders.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Whether it is in use or leaving.
    pub phase: Phase,
}

/// The role of a virtual machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs this system's daemon.
    Entry,
    /// It is a backend server of the named group.
    Backend(Name),
}

/// The state of a virtual machine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// In use.
    Live,
    /// Leaving: it accepts no new requests.
    Leaving,
}
