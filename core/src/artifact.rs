//! Artifacts that engines can hold, and the targets by which callers refer to them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Malformed;
use crate::name::Name;

/// One version of a model, or of an adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Artifact {
    /// The model's name.
    pub model: Name,
    /// The adapter's name; none for the model itself.
    #[serde(default)]
    pub adapter: Option<Name>,
    /// The version of the adapter if there is one, else of the model.
    pub version: Name,
}

impl Artifact {
    /// A short digest for uses in which a rare collision only costs time.
    #[must_use]
    pub fn digest(&self) -> u32 {
        xxh3_64(self.to_string().as_bytes()) as u32
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}@{}", self.model, self.version),
            None => write!(f, "{}@{}", self.model, self.version),
        }
    }
}

/// The target of a request: `model`, `model:adapter`, `model@version` or `model:adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// The model's name.
    pub model: Name,
    /// The adapter's name, if one is requested.
    pub adapter: Option<Name>,
    /// The version; none: the default version of the inventory.
    pub version: Option<Name>,
}

impl FromStr for Target {
    type Err = Malformed;

    fn from_str(s: &str) -> Result<Self, Malformed> {
        let (rest, version) = match s.split_once('@') {
            Some((rest, version)) => (rest, Some(version)),
            None => (s, None),
        };
        let (model, adapter) = match rest.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (rest, None),
        };
        let empty = |part: Option<&str>| part.is_some_and(str::is_empty);
        if model.is_empty() || empty(adapter) || empty(version) {
            return Err(Malformed::new("Target", s));
        }
        Ok(Self { model: model.into(), adapter: adapter.map(Into::into), version: version.map(Into::into) })
    }
}
