//! Updates: deltas between two versions of the configuration, in a compressed form for transfer between entry VMs.
//!
//! A configuration consists mostly of routes, and a change concerns only some of them. A delta takes 12 bytes for each changed route, and a
//! full copy 76 bytes for each declared route (test `bytes_of_a_change`).

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::hash::Hash;
use std::sync::Arc;

use boragecove_core::name::Name;
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::{Access, Config, Key, Limits, Route, Service, Workspace};
use crate::key::Digest;
use crate::pack;

/// Number of earlier versions for which a delta can be built. Entry VMs are one or two versions behind unless they were disconnected.
const PAST_MAX: usize = 8;

/// The changes from one version of the configuration to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The version that it applies to; 0 if it is a full configuration.
    pub base: u64,
    /// The version that it produces.
    pub version: u64,
    routes: Changes<Name, Route>,
    services: Changes<Name, Service>,
    limits: Limits,
    /// None if requests need no key.
    access: Option<AccessChanges>,
}

/// Changes of workspaces and keys. An added or removed key only costs its own bytes, whatever the number of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AccessChanges {
    workspaces: Changes<Name, Workspace>,
    keys: Changes<Digest, Key>,
}

/// Changes of a list of items that are identified by a `K`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Changes<K, T> {
    put: Vec<Arc<T>>,
    removed: Vec<K>,
}

/// An update in its compressed form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// The version that it applies to; 0 if it is a full configuration.
    pub base: u64,
    /// The version that it produces.
    pub version: u64,
    /// The update, encoded and compressed with deflate.
    pub bytes: Bytes,
}

/// Reasons why an update cannot be packed, unpacked or applied.
#[derive(Debug, Error)]
pub enum Error {
    /// Packing or unpacking failed.
    #[error("cannot pack or unpack the update: {0}")]
    Pack(#[from] pack::Error),
    /// The update applies to another version than the current one.
    #[error("the update applies to version {base}, but the current version is {current}")]
    Base {
        /// The version that the update applies to.
        base: u64,
        /// The current version; 0 for none.
        current: u64,
    },
}

impl Update {
    /// Computes the changes from `before`, or from an empty configuration, to `after`.
    #[must_use]
    pub fn between(before: Option<&Config>, after: &Config) -> Self {
        // A delta identifies items by name, so that names have to be unique; otherwise the full configuration is sent.
        let before = before.filter(|before| has_unique_names(before) && has_unique_names(after));
        let (routes, services) =
            before.map_or((&[][..], &[][..]), |config| (&config.routes, &config.services));
        Self {
            base: before.map_or(0, |config| config.version),
            version: after.version,
            routes: changes(routes, &after.routes, |route| &route.name),
            services: changes(services, &after.services, |service| &service.name),
            limits: after.limits,
            access: after
                .access
                .as_ref()
                .map(|after| AccessChanges::between(before.and_then(|config| config.access.as_ref()), after)),
        }
    }

    /// Applies the changes to `before` and returns the resulting configuration.
    ///
    /// # Errors
    ///
    /// If it applies to another version than that of `before`.
    pub fn apply(self, before: Option<&Config>) -> Result<Config, Error> {
        let current = before.map_or(0, |config| config.version);
        if self.base != 0 && self.base != current {
            return Err(Error::Base { base: self.base, current });
        }
        let before = before.filter(|_| self.base != 0);
        let (routes, services) =
            before.map_or((&[][..], &[][..]), |config| (&config.routes, &config.services));
        Ok(Config {
            version: self.version,
            routes: merge(routes, self.routes, |route| &route.name),
            services: merge(services, self.services, |service| &service.name),
            limits: self.limits,
            access: self
                .access
                .map(|changes| changes.apply(before.and_then(|config| config.access.as_ref()))),
        })
    }

    /// Encodes and compresses it.
    ///
    /// # Errors
    ///
    /// If it cannot be encoded.
    pub fn pack(&self) -> Result<Packed, Error> {
        Ok(Packed { base: self.base, version: self.version, bytes: pack::pack(self)? })
    }
}

impl Packed {
    /// Decompresses and decodes it.
    ///
    /// # Errors
    ///
    /// If it cannot be decoded, or is too large.
    pub fn unpack(&self) -> Result<Update, Error> {
        Ok(pack::unpack(&self.bytes)?)
    }
}

impl AccessChanges {
    fn between(before: Option<&Access>, after: &Access) -> Self {
        let (workspaces, keys) =
            before.map_or((&[][..], &[][..]), |access| (&access.workspaces, &access.keys));
        Self {
            workspaces: changes(workspaces, &after.workspaces, |workspace| &workspace.name),
            keys: changes(keys, &after.keys, |key| &key.digest),
        }
    }

    fn apply(self, before: Option<&Access>) -> Access {
        let (workspaces, keys) =
            before.map_or((&[][..], &[][..]), |access| (&access.workspaces, &access.keys));
        Access {
            workspaces: merge(workspaces, self.workspaces, |workspace| &workspace.name),
            keys: merge(keys, self.keys, |key| &key.digest),
        }
    }
}

fn has_unique_names(config: &Config) -> bool {
    let mut routes = FxHashSet::default();
    let mut services = FxHashSet::default();
    let mut workspaces = FxHashSet::default();
    let mut keys = FxHashSet::default();
    let mut access = config.access.iter();
    config.routes.iter().all(|route| routes.insert(&route.name))
        && config.services.iter().all(|service| services.insert(&service.name))
        && access.all(|access| {
            access.workspaces.iter().all(|workspace| workspaces.insert(&workspace.name))
                && access.keys.iter().all(|key| keys.insert(key.digest))
        })
}

fn changes<K: Clone + Eq + Hash, T: PartialEq>(
    before: &[Arc<T>],
    after: &[Arc<T>],
    name: fn(&T) -> &K,
) -> Changes<K, T> {
    let known: FxHashMap<&K, &Arc<T>> = before.iter().map(|item| (name(item), item)).collect();
    let after_names: FxHashSet<&K> = after.iter().map(|item| name(item)).collect();
    let same = |item: &&Arc<T>| known.get(name(item)).is_some_and(|known| *known == *item);
    Changes {
        put: after.iter().filter(|item| !same(item)).cloned().collect(),
        removed: before
            .iter()
            .map(|item| name(item))
            .filter(|name| !after_names.contains(name))
            .cloned()
            .collect(),
    }
}

fn merge<K: Eq + Hash, T>(before: &[Arc<T>], changes: Changes<K, T>, name: fn(&T) -> &K) -> Vec<Arc<T>> {
    if before.is_empty() {
        return changes.put;
    }
    let removed: FxHashSet<&K> = changes.removed.iter().collect();
    let mut put: FxHashMap<&K, &Arc<T>> = changes.put.iter().map(|item| (name(item), item)).collect();
    let kept = before.iter().filter(|item| !removed.contains(name(item)));
    let mut merged: Vec<Arc<T>> =
        kept.map(|item| Arc::clone(put.remove(name(item)).unwrap_or(item))).collect();
    merged.extend(changes.put.iter().filter(|item| put.contains_key(name(item))).cloned());
    merged
}

/// Cache of packed updates to the current version, so that each is packed once for all recipients.
#[derive(Debug, Default)]
pub(crate) struct Updates {
    /// Earlier versions, oldest first.
    past: VecDeque<Arc<Config>>,
    /// Packed updates, by the version that they apply to.
    packed: FxHashMap<u64, Packed>,
}

impl Updates {
    /// The version before the current one; 0 if there was none.
    pub(crate) fn previous_version(&self) -> u64 {
        self.past.back().map_or(0, |config| config.version)
    }

    /// Keeps `before`, which was just replaced, as a base for updates.
    pub(crate) fn retire(&mut self, before: Arc<Config>) {
        self.packed.clear();
        if self.past.len() >= PAST_MAX {
            self.past.pop_front();
        }
        self.past.push_back(before);
    }

    /// Returns the packed update from version `base` to `current`, or the full configuration if that version is not kept any more.
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
