//! Revisions, which order the data of the platform's store by age.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A version of the store within an era. After a restore from an older copy the store assigns the same versions again, so that only era and
/// version together tell which of two revisions is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Revision {
    /// Rises each time the store is restored from an older copy; 0 for a store that reports no era.
    pub era: u64,
    /// The store's version within the era; 0 for none.
    pub version: u64,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Whether it has a version other than 0.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.version > 0
    }
}

/// Converts a version of a store that reports no era.
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
