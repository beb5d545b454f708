//! An in-memory table like the platform's: rows with versions, conditional writes, reads by prefix.

#![allow(dead_code, reason = "each user of this module uses its own part")]

use std::collections::BTreeMap;

use boragecove_core::table::{Call, Done, Key, Prefix, Reply, Row, Version, Write};

#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<Key, Row>,
    /// Discards writes of ledgers, as if there were no such rows.
    pub forgets_ledgers: bool,
    pub calls: usize,
}

impl Table {
    pub fn call(&mut self, call: &Call) -> Reply {
        self.calls += 1;
        match call {
            Call::Get(keys) => Reply::Rows(keys.iter().filter_map(|key| self.row(key)).collect()),
            Call::List(prefix) => {
                Reply::Rows(self.rows.values().filter(|row| is_under(prefix, &row.key)).cloned().collect())
            }
            Call::Commit(writes) => {
                let outdated: Vec<&Write> = writes.iter().filter(|write| !self.is_current(write)).collect();
                if !outdated.is_empty() {
                    return Reply::Conflict(
                        outdated.iter().filter_map(|write| self.row(&write.key)).collect(),
                    );
                }
                for write in writes {
                    self.write(write);
                }
                Reply::Committed
            }
            Call::Each(writes) => Reply::Each(writes.iter().map(|write| self.write_one(write)).collect()),
        }
    }

    pub fn row(&self, key: &Key) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    fn is_forgotten(&self, key: &Key) -> bool {
        self.forgets_ledgers && matches!(key, Key::Ledger { .. })
    }

    fn is_current(&self, write: &Write) -> bool {
        let version = self.rows.get(&write.key).map_or(Version(0), |row| row.version);
        self.is_forgotten(&write.key) || version == write.expect
    }

    fn write_one(&mut self, write: &Write) -> Done {
        if !self.is_current(write) {
            return Done::Kept(self.row(&write.key));
        }
        self.write(write);
        Done::Written
    }

    fn write(&mut self, write: &Write) {
        if self.is_forgotten(&write.key) {
            return;
        }
        self.rows.remove(&write.key);
        if let Some(value) = write.value.clone() {
            let row = Row { key: write.key.clone(), version: Version(write.expect.0 + 1), value };
            self.rows.insert(write.key.clone(), row);
        }
    }
}

fn is_under(prefix: &Prefix, key: &Key) -> bool {
    match (prefix, key) {
        (Prefix::Leases, Key::Lease(_)) => true,
        (Prefix::Ledgers(zone), Key::Ledger { zone: of, .. }) => zone == of,
        (Prefix::ChangesAfter(version), Key::Change(at)) => at > version,
        _ => false,
    }
}
