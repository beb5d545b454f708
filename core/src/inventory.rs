//! The inventory declared by operators: models, adapters, versions, services and groups of engines.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Characters that separate the parts of a target in requests; names may not contain them.
pub const SEPARATORS: [char; 3] = [':', '@', '/'];

/// All declared groups, models and services, from the operator's asset register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// Groups of identical backend servers.
    pub groups: Vec<Group>,
    /// The models to keep reachable.
    pub models: Vec<Model>,
    /// The plain services that requests are routed to.
    pub services: Vec<Service>,
}

/// Identical backend servers, in any availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The group name of its members in the VM list.
    pub name: Name,
    /// The kind of its members.
    pub kind: Kind,
    /// Accelerator memory of each member, in MB; zero for plain services.
    #[serde(default)]
    pub memory_mb: u64,
    /// Requests that a member processes concurrently; further ones wait in its own queue.
    pub slots: u32,
    /// Whether its engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fences: bool,
}

/// The kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine on an accelerator.
    Engine,
    /// A plain service over HTTP.
    Service,
}

/// A model with all versions and adapters to keep reachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: Name,
    /// The group whose engines may hold it.
    pub group: Name,
    /// Its versions; the first is the default if a caller names none.
    pub versions: Vec<Version>,
    /// Its adapters.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// One version of a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Its name.
    pub name: Name,
    /// Accelerator memory used once loaded, in MB.
    pub memory_mb: u64,
}

/// An adapter of a model; it is loaded on an engine that holds a version of the model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name, unique within the model.
    pub name: Name,
    /// Its versions; the first is the default if a caller names none.
    pub versions: Vec<Version>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the path that callers use.
    pub name: Name,
    /// The group whose members run it.
    pub group: Name,
    /// Whether its calls are retried by default, if the caller does not state whether they are idempotent.
    #[serde(default)]
    pub idempotent: bool,
}
