//! The platform's list of virtual machines, as it lags behind.

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
    /// Where its process listens: for an entry VM the address for peers, else for requests and orders.
    pub address: SocketAddr,
    /// What it is for.
    pub role: Role,
    /// Whether it is on its way out.
    pub phase: Phase,
}

/// What a virtual machine is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs this system's daemon.
    Entry,
    /// It is a backend server of the named group.
    Backend(Name),
}

/// A virtual machine's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// In use.
    Live,
    /// Leaving: it takes no new work.
    Leaving,
}
