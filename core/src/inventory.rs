//! What an operator declares to exist: models, adapters, versions, services and engine groups.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Characters that separate the parts of what callers ask for, and that no name may have.
pub const SEPARATORS: [char; 3] = [':', '@', '/'];

/// Everything declared, from the operator's asset register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// Groups of like backend servers.
    pub groups: Vec<Group>,
    /// The models to keep reachable.
    pub models: Vec<Model>,
    /// The plain services to route to.
    pub services: Vec<Service>,
}

/// Backend servers that are alike, in any availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The name that the VM list gives for its members.
    pub name: Name,
    /// What its members run.
    pub kind: Kind,
    /// Accelerator memory of each member, in MB; zero for plain services.
    #[serde(default)]
    pub memory_mb: u64,
    /// Requests a member works on at once; more wait in its own queue.
    pub slots: u32,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fences: bool,
}

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine on an accelerator.
    Engine,
    /// A plain service over HTTP.
    Service,
}

/// A model with all its versions and adapters that are to be reachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name callers use.
    pub name: Name,
    /// The group whose engines may hold it.
    pub group: Name,
    /// Its versions; the first is served when a caller names none.
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
    /// Accelerator memory it takes once loaded, in MB.
    pub memory_mb: u64,
}

/// An adapter on top of a model; it is loaded where a version of its model is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name, unique within the model.
    pub name: Name,
    /// Its versions; the first is served when a caller names none.
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
    /// Whether its calls may be repeated when the caller does not say.
    #[serde(default)]
    pub idempotent: bool,
}
