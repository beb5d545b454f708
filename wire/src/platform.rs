//! Types of the HTTP interface of the platform's table, whose keys are strings and whose values are JSON.

use boragecove_core::table;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use thiserror::Error;

/// A call of the table, as [`table::Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Read the rows with these keys.
    Get(Vec<String>),
    /// Read rows in the order of their keys.
    List {
        /// Prefix of their keys.
        prefix: String,
        /// Only keys after this one.
        after: String,
    },
    /// Write a few rows atomically.
    Commit(Vec<Write>),
    /// Write many rows independently of each other.
    Each(Vec<Write>),
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; zero if it must not exist.
    pub expect: u64,
    /// The new content; none to remove the row.
    pub value: Option<Json>,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its content.
    pub value: Json,
}

/// The table's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The rows that exist.
    Rows(Vec<Row>),
    /// The commit took effect.
    Committed,
    /// The commit did not take effect. Contains the rows that exist with another version than expected.
    Conflict(Vec<Row>),
    /// The result of each write, in the order of the writes.
    Each(Vec<Done>),
}

/// The result of one of several independent writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Done {
    /// The write took effect.
    Written,
    /// The write did not take effect; the current row, if it exists.
    Kept(Option<Row>),
}

/// Data from the table that cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// A key of an unknown kind.
    #[error("table key '{0}' is of an unknown kind")]
    Key(String),
    /// A value of an unexpected structure.
    #[error("cannot decode table row '{key}': {source}")]
    Value {
        /// The row's key.
        key: String,
        /// The reason.
        source: serde_json::Error,
    },
}

impl From<table::Call> for Call {
    fn from(call: table::Call) -> Self {
        match call {
            table::Call::Get(keys) => Self::Get(keys.iter().map(key_text).collect()),
            table::Call::List(prefix) => {
                let (prefix, after) = prefix_text(&prefix);
                Self::List { prefix, after }
            }
            table::Call::Commit(writes) => Self::Commit(writes.into_iter().map(Write::from).collect()),
            table::Call::Each(writes) => Self::Each(writes.into_iter().map(Write::from).collect()),
        }
    }
}

impl From<table::Write> for Write {
    fn from(write: table::Write) -> Self {
        let value = write.value.map(|value| serde_json::to_value(value).unwrap_or_default());
        Self { key: key_text(&write.key), expect: write.expect.0, value }
    }
}

impl TryFrom<Row> for table::Row {
    type Error = DecodeError;

    fn try_from(row: Row) -> Result<Self, DecodeError> {
        let key = parse_key(&row.key).ok_or_else(|| DecodeError::Key(row.key.clone()))?;
        let value = serde_json::from_value(row.value)
            .map_err(|source| DecodeError::Value { key: row.key, source })?;
        Ok(Self { key, version: table::Version(row.version), value })
    }
}

impl TryFrom<Reply> for table::Reply {
    type Error = DecodeError;

    fn try_from(reply: Reply) -> Result<Self, DecodeError> {
        let rows = |rows: Vec<Row>| rows.into_iter().map(TryInto::try_into).collect::<Result<Vec<_>, _>>();
        Ok(match reply {
            Reply::Rows(found) => Self::Rows(rows(found)?),
            Reply::Committed => Self::Committed,
            Reply::Conflict(found) => Self::Conflict(rows(found)?),
            Reply::Each(done) => Self::Each(done.into_iter().map(outcome).collect::<Result<Vec<_>, _>>()?),
        })
    }
}

fn outcome(done: Done) -> Result<table::Done, DecodeError> {
    Ok(match done {
        Done::Written => table::Done::Written,
        Done::Kept(row) => table::Done::Kept(row.map(TryInto::try_into).transpose()?),
    })
}

/// Width that numbers in keys are padded to, so that keys sort in numeric order.
const NUMBER_WIDTH: usize = 20;

fn key_text(key: &table::Key) -> String {
    match key {
        table::Key::Lease(zone) => format!("lease/{}", escape(zone)),
        table::Key::Ledger { zone, engine } => format!("ledger/{}/{}", escape(zone), escape(engine)),
        table::Key::Config => "config".to_owned(),
        table::Key::Change(version) => format!("change/{version:0NUMBER_WIDTH$}"),
        table::Key::Claim { caller, key } => format!("claim/{}/{}", escape(caller), escape(key)),
    }
}

fn prefix_text(prefix: &table::Prefix) -> (String, String) {
    match prefix {
        table::Prefix::Leases => ("lease/".to_owned(), String::new()),
        table::Prefix::Ledgers(zone) => (format!("ledger/{}/", escape(zone)), String::new()),
        table::Prefix::ChangesAfter(version) => {
            ("change/".to_owned(), key_text(&table::Key::Change(*version)))
        }
    }
}

fn parse_key(text: &str) -> Option<table::Key> {
    let mut parts = text.split('/');
    let key = match (parts.next()?, parts.next(), parts.next()) {
        ("lease", Some(zone), None) => table::Key::Lease(unescape(zone)?),
        ("ledger", Some(zone), Some(engine)) => {
            table::Key::Ledger { zone: unescape(zone)?, engine: unescape(engine)? }
        }
        ("config", None, None) => table::Key::Config,
        ("change", Some(version), None) => table::Key::Change(version.parse().ok()?),
        ("claim", Some(caller), Some(key)) => {
            table::Key::Claim { caller: unescape(caller)?, key: unescape(key)? }
        }
        _ => return None,
    };
    parts.next().is_none().then_some(key)
}

/// Escapes the separator of a key's parts in a name, as `%xx`.
fn escape(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2F")
}

fn unescape(part: &str) -> Option<boragecove_core::name::Name> {
    (!part.is_empty()).then(|| part.replace("%2F", "/").replace("%25", "%").into())
}
