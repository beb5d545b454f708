//! The table: rows with versions, conditional writes, transactions over a few rows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use boragecove_wire::platform::{Call, Done, Reply, Row, Write};
use serde_json::Value;

/// A row's version and content.
#[derive(Clone, Debug)]
struct Cell {
    version: u64,
    value: Value,
}

/// A table in memory. Copies share one content.
#[derive(Clone, Debug, Default)]
pub struct Table(Arc<Mutex<BTreeMap<String, Cell>>>);

impl Table {
    /// Carries out a call; it happens at once and alone.
    #[must_use]
    pub fn call(&self, call: Call) -> Reply {
        let mut rows = self.lock();
        match call {
            Call::Get(keys) => Reply::Rows(keys.iter().filter_map(|key| read(&rows, key)).collect()),
            Call::List { prefix, after } => Reply::Rows(list(&rows, &prefix, &after)),
            Call::Commit(writes) => commit(&mut rows, writes),
            Call::Each(writes) => {
                Reply::Each(writes.into_iter().map(|write| each(&mut rows, write)).collect())
            }
        }
    }

    /// All rows, in the order of their keys.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        list(&self.lock(), "", "")
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Cell>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read(rows: &BTreeMap<String, Cell>, key: &str) -> Option<Row> {
    let cell = rows.get(key)?;
    Some(Row { key: key.to_owned(), version: cell.version, value: cell.value.clone() })
}

fn list(rows: &BTreeMap<String, Cell>, prefix: &str, after: &str) -> Vec<Row> {
    rows.range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .filter(|(key, _)| key.as_str() > after)
        .map(|(key, cell)| Row { key: key.clone(), version: cell.version, value: cell.value.clone() })
        .collect()
}

fn fits(rows: &BTreeMap<String, Cell>, write: &Write) -> bool {
    rows.get(&write.key).map_or(0, |cell| cell.version) == write.expect
}

fn commit(rows: &mut BTreeMap<String, Cell>, writes: Vec<Write>) -> Reply {
    let misfits: Vec<&Write> = writes.iter().filter(|write| !fits(rows, write)).collect();
    if !misfits.is_empty() {
        return Reply::Conflict(misfits.iter().filter_map(|write| read(rows, &write.key)).collect());
    }
    for write in writes {
        put(rows, write);
    }
    Reply::Committed
}

fn each(rows: &mut BTreeMap<String, Cell>, write: Write) -> Done {
    if !fits(rows, &write) {
        return Done::Kept(read(rows, &write.key));
    }
    put(rows, write);
    Done::Written
}

fn put(rows: &mut BTreeMap<String, Cell>, write: Write) {
    match write.value {
        Some(value) => {
            rows.insert(write.key, Cell { version: write.expect + 1, value });
        }
        None => {
            rows.remove(&write.key);
        }
    }
}
