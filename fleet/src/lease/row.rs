//! The row of the lease, and the calls to the store that read and write it.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::budget::Counts;
use crate::crash::Quarantine;
use crate::ledger::Starts;
use crate::pin::{Announcement, Report};
use crate::quota::Outstanding;
use crate::record::ms;
use crate::revision::Revision;

/// Content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the machine that holds the lease.
    pub holder: Name,
    /// Address on which the holder accepts frames.
    pub address: SocketAddr,
    /// Number that grows with each change of holder, over all eras; it fences orders.
    pub term: u64,
    /// Latest expiry of the lease by the store's clock, in ms.
    pub until_ms: u64,
    /// Start time of the holder's process by the store's clock, in ms.
    #[serde(default)]
    pub started_ms: u64,
    /// Whether the holder has confirmed that everything the store lost before this era has been written again.
    #[serde(default)]
    pub settled: bool,
    /// Number of engines that the holder has listed.
    #[serde(default)]
    pub engines: u32,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// The machine that may have sent the last orders before the holder; none if no machine did.
    #[serde(default)]
    pub former: Option<Predecessor>,
    /// Requests that crash engines. A process that has just started learns them from here.
    #[serde(default)]
    pub quarantine: Vec<Quarantine>,
    /// Shares of workspaces' limits that may be in use; the next holder of the lease does not hand them out
    /// again.
    #[serde(default)]
    pub outstanding: Box<Outstanding>,
    /// Retries that may have been granted to requests; none if the number is not known.
    #[serde(default)]
    pub repeats: Option<Box<Counts>>,
    /// Builds that have served requests; none while the holder does not know them.
    #[serde(default)]
    pub builds: Option<Box<Report>>,
    /// The origins of streams that callers may resume.
    #[serde(default)]
    pub streams: Vec<Announcement>,
    /// Engines that no order to an earlier start of them can reach any more; none if none is known for sure.
    #[serde(default)]
    pub starts: Option<Box<Starts>>,
}

/// A machine that may have sent orders before the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessor {
    /// Name of the machine; empty if it may be any machine.
    pub holder: Name,
    /// Latest time at which it may have sent orders, by the store's clock, in ms.
    pub until_ms: u64,
}

impl Row {
    /// The machine that may have sent the last orders before the store's time `store_ms`. That is the holder,
    /// unless its lease expires before it may send its first order or that moment has not come yet; then it is
    /// the holder's predecessor. Several holders may follow each other within seconds, and the gap between the
    /// orders of two machines must not begin anew with each.
    pub(super) fn orderer(&self, gap: Duration, store_ms: u64) -> Option<Predecessor> {
        let began_ms = match &self.former {
            Some(former) if former.holder != self.holder => former.until_ms + ms(gap),
            Some(_) | None => 0,
        };
        if self.until_ms.min(store_ms) < began_ms {
            return self.former.clone();
        }
        Some(Predecessor { holder: self.holder.clone(), until_ms: self.until_ms })
    }
}

/// Low bits of a term, which count the changes of holder within an era. The bits above are the era. For two
/// million eras a term stays below 2^53, the limit of integers that all JSON readers accept.
const TERM_BITS: u32 = 32;

/// The first term of an era; it is larger than every term of earlier eras.
#[must_use]
pub const fn first_term(era: u64) -> u64 {
    (era << TERM_BITS) + 1
}

/// The era that a term belongs to.
#[must_use]
pub const fn era_of(term: u64) -> u64 {
    term >> TERM_BITS
}

/// A row with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Era of the row, and its version in the store.
    pub version: Revision,
    /// Content of the row.
    pub row: Row,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the row of the newest era that has one.
    Read,
    /// Write the row of an era if its version is still the expected one.
    Write {
        /// Era, and the version that the row must have; version 0 for a row that does not exist.
        expected: Revision,
        /// New content of the row.
        row: Row,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Time of the store's clock when it answered, in ms; none if it did not answer.
    pub store_ms: Option<u64>,
    /// Era that the answer names; none if there was no answer.
    pub era: Option<u64>,
    /// Result of the call.
    pub outcome: Outcome,
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Content of the row; none if it does not exist.
    Read(Option<Versioned>),
    /// The row was written; its new version.
    Written(u64),
    /// The row was not written because its version differs; its content, or none if it does not exist.
    Conflict(Option<Versioned>),
    /// The call may or may not have been carried out.
    Unknown,
}
