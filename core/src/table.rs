//! Interface to the platform's transactional table: typed rows, conditional writes, reads by prefix.

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::config;
use crate::lease;
use crate::ledger;
use crate::name::Name;

/// A row's version: increases by one with each write; zero stands for an absent row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

/// The key of a row.
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
        /// The key that the caller sent.
        key: Name,
    },
}

/// A set of rows to list: all rows of one kind, for ledgers those of one availability zone.
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
    /// The new content; none to remove the row.
    pub value: Option<Value>,
}

/// A call to the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Reads rows by key.
    Get(Vec<Key>),
    /// Reads all rows of a prefix.
    List(Prefix),
    /// Writes a few rows atomically.
    Commit(Vec<Write>),
    /// Writes many rows independently of each other.
    Each(Vec<Write>),
}

/// The table's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The requested rows that exist.
    Rows(Vec<Row>),
    /// The commit took effect.
    Committed,
    /// The commit did not take effect; these rows have another version (absent ones are left out).
    Conflict(Vec<Row>),
    /// The result of each write, in order.
    Each(Vec<Done>),
}

/// Result of one of several independent writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Done {
    /// The write took effect.
    Written,
    /// The write did not take effect; contains the current row, if it exists.
    Kept(Option<Row>),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The call had no effect: it was refused, or no connection could be opened.
    Unavailable,
    /// The call may have taken effect: its answer was lost or did not come in time.
    Unknown,
}
