//! The platform's transactional table as the reducer sees it: typed rows, conditional writes, reads by prefix.

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::config;
use crate::lease;
use crate::ledger;
use crate::name::Name;

/// A row's version: grows by one with each write; zero stands for a row that is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// The lease of an availability zone.
    Lease(Name),
    /// The ledger of an engine, by availability zone and VM name.
    Ledger {
        /// The engine's availability zone.
        zone: Name,
        /// The engine's VM name.
        engine: Name,
    },
    /// The head of the configuration.
    Config,
    /// One accepted change of the configuration, by its version.
    Change(u64),
    /// A caller's idempotency key: the caller's name and the key.
    Claim {
        /// The caller's name.
        caller: Name,
        /// The key as the caller gave it.
        key: Name,
    },
}

/// All rows of one kind; for ledgers, of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Prefix {
    /// All leases.
    Leases,
    /// The ledgers of a zone's engines.
    Ledgers(Name),
    /// Changes of the configuration above a version, oldest first.
    ChangesAfter(u64),
}

/// A row's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// A zone's lease.
    Lease(lease::Row),
    /// An engine's ledger.
    Ledger(ledger::Row),
    /// The configuration's head.
    Config(Box<config::Head>),
    /// An accepted change.
    Change(Box<config::Change>),
    /// A claim on an idempotency key.
    Claim(claim::Row),
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its version when read.
    pub version: Version,
    /// Its content.
    pub value: Value,
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// The version the row must have; zero: it must be absent.
    pub expect: Version,
    /// The new content; none removes the row.
    pub value: Option<Value>,
}

/// A call to the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Read some rows.
    Get(Vec<Key>),
    /// Read all rows under a prefix.
    List(Prefix),
    /// Write a few rows, all or none.
    Commit(Vec<Write>),
    /// Write many rows, each by itself.
    Each(Vec<Write>),
}

/// What the table answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The rows that exist of those asked for.
    Rows(Vec<Row>),
    /// The commit took effect.
    Committed,
    /// The commit did not take effect; these rows had another version (absent ones are left out).
    Conflict(Vec<Row>),
    /// For each write in order, whether it took effect.
    Each(Vec<Done>),
}

/// What became of one write of many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Done {
    /// It took effect.
    Written,
    /// It did not; the row as it is, if it exists.
    Kept(Option<Row>),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The call certainly had no effect: it was refused, or no connection came about.
    Unavailable,
    /// The call may have taken effect: its answer was lost or is late.
    Unknown,
}
