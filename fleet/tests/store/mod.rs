//! A fake of the platform's store with the lease rows, the engines' table and the configuration; each write gets a new version. It can be
//! restored from an older copy: later writes are lost, versions are assigned again, and the era rises.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::Config;
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::evacuation::{self, Status};
use boragecove_fleet::event::Listing;
use boragecove_fleet::lease::{self, Call, Outcome, Versioned};
use boragecove_fleet::revision::Revision;

/// How long backup copies are kept.
const BACKUP_RETENTION: Duration = Duration::from_secs(8);
/// Time between two backup copies.
const BACKUP_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Default)]
struct Content {
    version: u64,
    /// The version of the last write to anything but a lease.
    tables: u64,
    /// Version and row of the lease, by era.
    leases: BTreeMap<u64, (u64, lease::Row)>,
    /// Version and entry of each engine; no entry if it was removed.
    engines: BTreeMap<Name, (u64, Option<Entry>)>,
    config: Option<(u64, Arc<Config>)>,
    /// Version and evacuation state of each availability zone.
    evacuations: BTreeMap<Name, (u64, bool)>,
}

#[derive(Debug, Default)]
pub struct Store {
    content: Content,
    era: u64,
    backups: Vec<(Time, Content)>,
}

impl Store {
    /// A store that starts in the given era.
    pub fn in_era(era: u64) -> Self {
        Self { era, ..Self::default() }
    }

    pub fn era(&self) -> u64 {
        self.era
    }

    /// The version of the last write.
    pub fn version(&self) -> u64 {
        self.content.version
    }

    fn write(&mut self) -> u64 {
        self.content.version += 1;
        self.content.version
    }

    fn revision(&self) -> Revision {
        Revision::new(self.era, self.content.version)
    }

    /// Executes a call concerning the lease.
    pub fn lease(&mut self, call: &Call) -> Outcome {
        let seen = |era: u64, (version, row): &(u64, lease::Row)| Versioned {
            version: Revision::new(era, *version),
            row: row.clone(),
        };
        match call {
            Call::Read => {
                let newest = self.content.leases.last_key_value();
                Outcome::Read(newest.map(|(era, row)| seen(*era, row)))
            }
            Call::Write { expected, row } => {
                let found = self.content.leases.get(&expected.era);
                if found.map_or(0, |(version, _)| *version) != expected.version {
                    return Outcome::Conflict(found.map(|row| seen(expected.era, row)));
                }
                let version = self.write();
                self.content.leases.insert(expected.era, (version, row.clone()));
                Outcome::Written(version)
            }
        }
    }

    /// The version of the last write to anything but a lease.
    pub fn tables(&self) -> u64 {
        self.content.tables
    }

    /// Writes an engine's entry.
    pub fn put(&mut self, entry: Entry) {
        let version = self.write();
        self.content.tables = version;
        self.content.engines.insert(entry.id.clone(), (version, Some(entry)));
    }

    /// Removes an engine's entry.
    pub fn remove(&mut self, engine: &Name) {
        let version = self.write();
        self.content.tables = version;
        self.content.engines.insert(engine.clone(), (version, None));
    }

    /// Returns the entry of an engine.
    pub fn entry(&self, engine: &Name) -> Option<&Entry> {
        self.content.engines.get(engine).and_then(|(_, entry)| entry.as_ref())
    }

    /// Writes a configuration as the operator.
    pub fn declare(&mut self, config: Arc<Config>) {
        let version = self.write();
        self.content.tables = version;
        self.content.config = Some((version, config));
    }

    pub fn config(&self) -> Option<&Arc<Config>> {
        self.content.config.as_ref().map(|(_, config)| config)
    }

    /// The current revision.
    pub fn read_up_to(&self) -> Revision {
        self.revision()
    }

    /// Reads the changes of the engines' table since `known`, or the whole table if `known` is of another era.
    pub fn engines(&self, asked: Time, known: Option<Revision>) -> Listing {
        let after = known.filter(|known| known.era == self.era && known.version <= self.content.version);
        let rows = self.content.engines.iter().filter_map(|(id, (version, entry))| {
            let wanted = match after {
                Some(after) => *version > after.version,
                None => entry.is_some(),
            };
            let version = Revision::new(self.era, *version);
            wanted.then(|| Row { id: id.clone(), version, entry: entry.clone(), ..Row::default() })
        });
        Listing { rows: rows.collect(), version: self.revision(), whole: after.is_none(), as_of: Some(asked) }
    }

    /// Evacuates a zone as the operator, or revokes that.
    pub fn evacuate(&mut self, zone: &str, evacuated: bool) {
        let version = self.write();
        self.content.tables = version;
        self.content.evacuations.insert(zone.into(), (version, evacuated));
    }

    /// Reads the changes of the zones' evacuation state since `known`, or the whole state if `known` is of another era.
    pub fn evacuations(&self, known: Option<Revision>) -> evacuation::Listing {
        let after = known.filter(|known| known.era == self.era && known.version <= self.content.version);
        let zones = self.content.evacuations.iter().filter_map(|(zone, (version, evacuated))| {
            let wanted = after.map_or(*evacuated, |after| *version > after.version);
            let revision = Revision::new(self.era, *version);
            wanted.then(|| Status { zone: zone.clone(), revision, evacuated: *evacuated })
        });
        evacuation::Listing { zones: zones.collect(), version: self.revision(), whole: after.is_none() }
    }

    /// Makes a backup copy if the last one is old enough.
    pub fn keep(&mut self, now: Time) {
        if self.backups.last().is_none_or(|(at, _)| now.since(*at) >= BACKUP_INTERVAL) {
            self.backups.push((now, self.content.clone()));
            self.backups.retain(|(at, _)| now.since(*at) <= BACKUP_RETENTION);
        }
    }

    /// Restores the store from a copy that is at least `back` old, or from the oldest one.
    pub fn restore(&mut self, now: Time, back: Duration) {
        let at = self.backups.iter().rposition(|(at, _)| now.since(*at) >= back).unwrap_or_default();
        if let Some((_, copy)) = self.backups.get(at) {
            self.content = copy.clone();
            self.backups.truncate(at + 1);
        }
        self.era += 1;
    }
}
