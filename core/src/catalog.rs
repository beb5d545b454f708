//! Look-up tables over the accepted configuration.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::artifact::{Artifact, Target};
use crate::config::Document;
use crate::inventory::{Group, Service};
use crate::name::Name;
use crate::rules::{Caller, Priority};

/// A declared artifact with the rules that apply to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// The artifact.
    pub artifact: Artifact,
    /// Memory of a copy, in MB.
    pub memory_mb: u64,
    /// The group whose engines may hold it.
    pub group: Name,
    /// Zones that may hold it; empty: all.
    pub zones: Vec<Name>,
    /// Minimum number of copies.
    pub copies: u32,
    /// Its rank when memory is short.
    pub priority: Priority,
}

impl Entry {
    /// Whether the zone may hold it.
    pub(crate) fn allows_zone(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|each| each == zone)
    }
}

/// Look-up tables over a document.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalog {
    /// Declared artifacts, in the order of the document.
    pub entries: Vec<Entry>,
    /// Groups by name.
    pub groups: BTreeMap<Name, Group>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    by_artifact: FxHashMap<Artifact, usize>,
    defaults: FxHashMap<(Name, Option<Name>), usize>,
    callers: FxHashMap<Name, Caller>,
}

impl Catalog {
    /// Builds the look-up tables of a validated document.
    pub(crate) fn new(document: &Document) -> Self {
        let mut catalog = Self::default();
        let inventory = &document.inventory;
        for model in &inventory.models {
            let place = document.rules.places.iter().find(|place| place.model == model.name);
            let rank = document.rules.priorities.iter().find(|rank| rank.model == model.name);
            let subjects = std::iter::once((None, &model.versions))
                .chain(model.adapters.iter().map(|adapter| (Some(adapter.name.clone()), &adapter.versions)));
            for (adapter, versions) in subjects {
                for (at, version) in versions.iter().enumerate() {
                    let artifact = Artifact {
                        model: model.name.clone(),
                        adapter: adapter.clone(),
                        version: version.name.clone(),
                    };
                    let index = catalog.entries.len();
                    if at == 0 {
                        catalog.defaults.insert((model.name.clone(), adapter.clone()), index);
                    }
                    catalog.by_artifact.insert(artifact.clone(), index);
                    catalog.entries.push(Entry {
                        artifact,
                        memory_mb: version.memory_mb,
                        group: model.group.clone(),
                        zones: place.map(|place| place.zones.clone()).unwrap_or_default(),
                        copies: place.map_or(1, |place| place.copies),
                        priority: rank.map_or_else(Priority::default, |rank| rank.priority),
                    });
                }
            }
        }
        catalog.groups = inventory.groups.iter().map(|group| (group.name.clone(), group.clone())).collect();
        catalog.services =
            inventory.services.iter().map(|service| (service.name.clone(), service.clone())).collect();
        catalog.callers = document
            .rules
            .callers
            .iter()
            .map(|caller| (caller.token_sha256.clone(), caller.clone()))
            .collect();
        catalog
    }

    /// The declared artifact that a caller's target refers to.
    pub(crate) fn resolve(&self, target: &Target) -> Option<&Entry> {
        let index = match &target.version {
            None => self.defaults.get(&(target.model.clone(), target.adapter.clone()))?,
            Some(version) => self.by_artifact.get(&Artifact {
                model: target.model.clone(),
                adapter: target.adapter.clone(),
                version: version.clone(),
            })?,
        };
        self.entries.get(*index)
    }

    /// The entry of an artifact, if it is declared.
    pub(crate) fn entry(&self, artifact: &Artifact) -> Option<&Entry> {
        self.by_artifact.get(artifact).and_then(|index| self.entries.get(*index))
    }

    /// The index of an artifact in `entries`.
    pub(crate) fn position(&self, artifact: &Artifact) -> Option<usize> {
        self.by_artifact.get(artifact).copied()
    }

    /// The caller whose token has this digest.
    pub(crate) fn caller(&self, token_sha256: &str) -> Option<&Caller> {
        self.callers.get(token_sha256)
    }

    /// Whether anyone may send requests, since no callers are declared.
    pub(crate) fn allows_any_caller(&self) -> bool {
        self.callers.is_empty()
    }
}
