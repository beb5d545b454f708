//! How new something in the platform's store is.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A version of the store. Versions are given out again each time that the store comes back from an older copy of its data, which its
/// era tells: only both together say which of two is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Revision {
    /// Rises each time that the store comes back from an older copy; 0 in a store that names none.
    pub era: u64,
    /// The store's version; 0 for none.
    pub version: u64,
}

impl Revision {
    /// A version in an era.
    #[must_use]
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Whether it stands for any version.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.version > 0
    }
}

/// A version of a store that names no era.
impl From<u64> for Revision {
    fn from(version: u64) -> Self {
        Self { era: 0, version }
    }
}

impl From<(u64, u64)> for Revision {
    fn from((era, version): (u64, u64)) -> Self {
        Self { era, version }
    }
}

impl From<Revision> for (u64, u64) {
    fn from(Revision { era, version }: Revision) -> Self {
        (era, version)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
