//! What leads from one version of the configuration to another, and its compact form for the way between entry VMs.
//!
//! A configuration is mostly routes, and a change names some of them: 12 bytes travel for each that has changed, and not
//! 76 for each that is declared (test `bytes_of_a_change`).

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::io::{self, Read as _, Write as _};
use std::sync::Arc;

use boragecove_core::name::Name;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::{Config, Limits, Route, Service};

/// Bytes of an update in memory at most, whatever a packed one claims: a hundred thousand routes.
const UNPACKED_MAX: u64 = 32 << 20;
/// Earlier versions that an update can begin at: entry VMs are one or two behind unless they were away.
const PAST_MAX: usize = 8;

/// From one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The version that it begins at; 0 for nothing.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    routes: Changes<Route>,
    services: Changes<Service>,
    limits: Limits,
}

/// What has changed of things that have names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Changes<T> {
    put: Vec<Arc<T>>,
    removed: Vec<Name>,
}

/// An update in its compact form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// The version that it begins at; 0 for nothing.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    /// The update, encoded and deflated.
    pub bytes: Bytes,
}

/// Why an update cannot be packed, unpacked or applied.
#[derive(Debug, Error)]
pub enum Error {
    /// It cannot be encoded.
    #[error("cannot encode the update: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// It cannot be decoded.
    #[error("cannot decode the update: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// It cannot be deflated or inflated.
    #[error("cannot compress the update: {0}")]
    Compress(#[from] io::Error),
    /// It begins at another version than the one in force.
    #[error("the update begins at version {base}, not at {have}")]
    Base {
        /// The version that it begins at.
        base: u64,
        /// The version in force; 0 for none.
        have: u64,
    },
}

impl Update {
    /// What leads from `before`, or from nothing, to `after`.
    #[must_use]
    pub fn between(before: Option<&Config>, after: &Config) -> Self {
        // Names tell what has changed, so that they have to differ.
        let before = before.filter(|before| named_once(before) && named_once(after));
        let (routes, services) =
            before.map_or((&[][..], &[][..]), |config| (&config.routes, &config.services));
        Self {
            base: before.map_or(0, |config| config.version),
            version: after.version,
            routes: changes(routes, &after.routes, |route| &route.name),
            services: changes(services, &after.services, |service| &service.name),
            limits: after.limits,
        }
    }

    /// The configuration that it leads to.
    ///
    /// # Errors
    ///
    /// If it begins at another version than `before`.
    pub fn apply(self, before: Option<&Config>) -> Result<Config, Error> {
        let have = before.map_or(0, |config| config.version);
        if self.base != 0 && self.base != have {
            return Err(Error::Base { base: self.base, have });
        }
        let before = before.filter(|_| self.base != 0);
        let (routes, services) =
            before.map_or((&[][..], &[][..]), |config| (&config.routes, &config.services));
        Ok(Config {
            version: self.version,
            routes: merge(routes, self.routes, |route| &route.name),
            services: merge(services, self.services, |service| &service.name),
            limits: self.limits,
        })
    }

    /// Its compact form.
    ///
    /// # Errors
    ///
    /// If it cannot be encoded.
    pub fn pack(&self) -> Result<Packed, Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rmp_serde::to_vec(self)?)?;
        Ok(Packed { base: self.base, version: self.version, bytes: encoder.finish()?.into() })
    }
}

impl Packed {
    /// The update.
    ///
    /// # Errors
    ///
    /// If it cannot be decoded, or is too large.
    pub fn unpack(&self) -> Result<Update, Error> {
        let mut bytes = Vec::new();
        DeflateDecoder::new(&*self.bytes).take(UNPACKED_MAX).read_to_end(&mut bytes)?;
        Ok(rmp_serde::from_slice(&bytes)?)
    }
}

fn named_once(config: &Config) -> bool {
    let mut routes = FxHashSet::default();
    let mut services = FxHashSet::default();
    config.routes.iter().all(|route| routes.insert(&route.name))
        && config.services.iter().all(|service| services.insert(&service.name))
}

fn changes<T: PartialEq>(before: &[Arc<T>], after: &[Arc<T>], name: fn(&T) -> &Name) -> Changes<T> {
    let known: FxHashMap<&Name, &Arc<T>> = before.iter().map(|thing| (name(thing), thing)).collect();
    let left: FxHashSet<&Name> = after.iter().map(|thing| name(thing)).collect();
    let same = |thing: &&Arc<T>| known.get(name(thing)).is_some_and(|known| *known == *thing);
    Changes {
        put: after.iter().filter(|thing| !same(thing)).cloned().collect(),
        removed: before
            .iter()
            .map(|thing| name(thing))
            .filter(|name| !left.contains(name))
            .cloned()
            .collect(),
    }
}

fn merge<T>(before: &[Arc<T>], changes: Changes<T>, name: fn(&T) -> &Name) -> Vec<Arc<T>> {
    if before.is_empty() {
        return changes.put;
    }
    let removed: FxHashSet<&Name> = changes.removed.iter().collect();
    let mut put: FxHashMap<&Name, &Arc<T>> = changes.put.iter().map(|thing| (name(thing), thing)).collect();
    let kept = before.iter().filter(|thing| !removed.contains(name(thing)));
    let mut merged: Vec<Arc<T>> =
        kept.map(|thing| Arc::clone(put.remove(name(thing)).unwrap_or(thing))).collect();
    merged.extend(changes.put.iter().filter(|thing| put.contains_key(name(thing))).cloned());
    merged
}

/// The updates that lead to the version in force, each packed once, whoever asks for it.
#[derive(Debug, Default)]
pub(crate) struct Updates {
    /// Earlier versions, the latest last.
    past: VecDeque<Arc<Config>>,
    /// By the version that they begin at.
    packed: FxHashMap<u64, Packed>,
}

impl Updates {
    /// The version that was in force before; 0 if there was none.
    pub(crate) fn before(&self) -> u64 {
        self.past.back().map_or(0, |config| config.version)
    }

    /// `before` is no longer in force.
    pub(crate) fn replaced(&mut self, before: Arc<Config>) {
        self.packed.clear();
        if self.past.len() >= PAST_MAX {
            self.past.pop_front();
        }
        self.past.push_back(before);
    }

    /// Packs what leads from version `base` to `current`: from nothing, where that version is not known any more.
    ///
    /// # Errors
    ///
    /// If it cannot be encoded.
    pub(crate) fn prepare(&mut self, base: u64, current: &Config) -> Result<&Packed, Error> {
        let before = self.past.iter().find(|config| config.version == base);
        let base = before.map_or(0, |config| config.version);
        match self.packed.entry(base) {
            Entry::Occupied(known) => Ok(known.into_mut()),
            Entry::Vacant(free) => {
                Ok(free.insert(Update::between(before.map(AsRef::as_ref), current).pack()?))
            }
        }
    }
}
