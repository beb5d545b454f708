//! Whether the declared artifacts fit into the memory of the listed engines.
//!
//! This is a best-fit trial placement. Models that need the most memory together with their adapters come
//! first. Each copy goes to the engine on which it leaves the least free memory, if possible one with room
//! for the adapters too. An adapter goes where its model is, or to another engine with a further copy of its
//! model. Real placement may find room where this trial does not, so an inventory that only just fits may be
//! refused. The opposite does not happen: what fits here can be placed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::Fault;
use crate::artifact::Artifact;
use crate::catalog::{Catalog, Entry};
use crate::config::Document;
use crate::fleet;
use crate::name::Name;
use crate::vm::Phase;

/// The engines of one group in one zone.
#[derive(Debug, Default)]
struct Pool {
    /// Free memory and index of each engine, ordered so that the smallest sufficient one is found quickly.
    free: BTreeSet<(u64, usize)>,
    engines: usize,
    memory_mb: u64,
}

/// State of a trial placement.
#[derive(Debug, Default)]
struct Trial {
    pools: BTreeMap<(Name, Name), Pool>,
    /// Free memory of each engine, in MB.
    free: Vec<u64>,
    /// The group and zone of each engine.
    location: Vec<(Name, Name)>,
    /// Engines that hold a copy of a model, by model.
    holders: BTreeMap<Name, BTreeSet<usize>>,
    /// Copies that could not be placed, by group: their memory in MB, and the first artifact.
    lacking: BTreeMap<Name, (u64, Entry)>,
    /// Memory of all declared copies in MB, by group.
    needed: BTreeMap<Name, u64>,
}

/// Faults for the groups that lack more memory than under the document in force.
pub(super) fn worsened_shortages(
    document: &Document,
    in_force: &Document,
    fleet: &fleet::Part,
) -> Vec<Fault> {
    let after = trial(document, fleet);
    if after.lacking.is_empty() {
        return Vec::new();
    }
    let before = trial(in_force, fleet);
    let lacked_before = |group: &Name| before.lacking.get(group).map_or(0, |(mb, _)| *mb);
    let worsened = after.lacking.iter().filter(|(group, (mb, _))| *mb > lacked_before(group));
    worsened.map(|(group, (mb, first))| after.fault(group, *mb, first)).collect()
}

fn trial(document: &Document, fleet: &fleet::Part) -> Trial {
    let catalog = Catalog::new(document);
    let mut trial = Trial::default();
    for backend in fleet.backends.values().filter(|backend| backend.phase == Phase::Live) {
        let declared = catalog.groups.get(&backend.group).map_or(0, |group| group.memory_mb);
        let memory_mb = backend.report.as_ref().map_or(declared, |report| report.memory_mb);
        trial.add(&backend.group, &backend.zone, memory_mb);
    }
    let mut entries: Vec<&Entry> = catalog.entries.iter().collect();
    let adapters = adapters(&catalog);
    let adapter_memory = |entry: &Entry| adapters.get(&entry.artifact.model).copied().unwrap_or_default();
    let mut bundles: BTreeMap<&Name, u64> = BTreeMap::new();
    for entry in catalog.entries.iter().filter(|entry| entry.artifact.adapter.is_none()) {
        let bundle = bundles.entry(&entry.artifact.model).or_default();
        *bundle = (entry.memory_mb + adapter_memory(entry)).max(*bundle);
    }
    entries.sort_by_key(|entry| {
        let model = &entry.artifact.model;
        let is_adapter = entry.artifact.adapter.is_some();
        (Reverse(bundles.get(model)), model, is_adapter, Reverse(entry.memory_mb), &entry.artifact)
    });
    let smallest = smallest_versions(&catalog);
    for entry in entries {
        *trial.needed.entry(entry.group.clone()).or_default() += entry.memory_mb * u64::from(entry.copies);
        let placed = match entry.artifact.adapter {
            None => trial.place_model(entry, adapter_memory(entry)),
            Some(_) => trial.place_adapter(entry, smallest.get(&entry.artifact.model).copied()),
        };
        let missing = u64::from(entry.copies.saturating_sub(placed));
        if missing > 0 {
            let lacking = trial.lacking.entry(entry.group.clone()).or_insert_with(|| (0, entry.clone()));
            lacking.0 += missing * entry.memory_mb;
        }
    }
    trial
}

/// Memory of all adapters of each model, in MB.
fn adapters(catalog: &Catalog) -> BTreeMap<Name, u64> {
    let mut adapters: BTreeMap<Name, u64> = BTreeMap::new();
    for entry in catalog.entries.iter().filter(|entry| entry.artifact.adapter.is_some()) {
        *adapters.entry(entry.artifact.model.clone()).or_default() += entry.memory_mb;
    }
    adapters
}

fn smallest_versions(catalog: &Catalog) -> BTreeMap<Name, u64> {
    let mut smallest: BTreeMap<Name, u64> = BTreeMap::new();
    for entry in catalog.entries.iter().filter(|entry| entry.artifact.adapter.is_none()) {
        let least = smallest.entry(entry.artifact.model.clone()).or_insert(entry.memory_mb);
        *least = entry.memory_mb.min(*least);
    }
    smallest
}

impl Trial {
    fn add(&mut self, group: &Name, zone: &Name, memory_mb: u64) {
        let index = self.free.len();
        let pool = self.pools.entry((group.clone(), zone.clone())).or_default();
        pool.free.insert((memory_mb, index));
        pool.engines += 1;
        pool.memory_mb += memory_mb;
        self.free.push(memory_mb);
        self.location.push((group.clone(), zone.clone()));
    }

    /// Places each copy of a version of a model on an engine of its own, preferably with room left for its
    /// adapters. Returns how many copies could be placed.
    fn place_model(&mut self, entry: &Entry, adapters_mb: u64) -> u32 {
        let mut used = BTreeSet::new();
        while (used.len() as u32) < entry.copies {
            let with_adapters = self.best_fit(entry, entry.memory_mb + adapters_mb, &used);
            let Some(engine) = with_adapters.or_else(|| self.best_fit(entry, entry.memory_mb, &used)) else {
                break;
            };
            self.reserve(engine, entry.memory_mb);
            self.holders.entry(entry.artifact.model.clone()).or_default().insert(engine);
            used.insert(engine);
        }
        used.len() as u32
    }

    /// Places the copies of an adapter on engines that hold its model, or together with further copies of the
    /// model. Returns how many copies could be placed.
    fn place_adapter(&mut self, entry: &Entry, model_mb: Option<u64>) -> u32 {
        let mut used = BTreeSet::new();
        while (used.len() as u32) < entry.copies {
            let holders = self.holders.get(&entry.artifact.model);
            let holder = holders
                .into_iter()
                .flatten()
                .filter(|engine| self.free[**engine] >= entry.memory_mb && !used.contains(*engine))
                .min_by_key(|engine| self.free[**engine])
                .copied();
            if let Some(engine) = holder {
                self.reserve(engine, entry.memory_mb);
                used.insert(engine);
                continue;
            }
            let combined_mb = model_mb.map(|model_mb| model_mb + entry.memory_mb);
            let engine =
                combined_mb.and_then(|mb| self.best_fit(entry, mb, &used).map(|engine| (mb, engine)));
            let Some((combined_mb, engine)) = engine else {
                break;
            };
            self.reserve(engine, combined_mb);
            self.holders.entry(entry.artifact.model.clone()).or_default().insert(engine);
            used.insert(engine);
        }
        used.len() as u32
    }

    /// The engine with the least sufficient free memory, in the zones that may hold the artifact.
    fn best_fit(&self, entry: &Entry, memory_mb: u64, used: &BTreeSet<usize>) -> Option<usize> {
        self.allowed(entry)
            .filter_map(|(_, pool)| {
                pool.free.range((memory_mb, 0)..).find(|(_, engine)| !used.contains(engine)).copied()
            })
            .min()
            .map(|(_, engine)| engine)
    }

    fn allowed<'a>(&'a self, entry: &'a Entry) -> impl Iterator<Item = (&'a Name, &'a Pool)> {
        let pools = self.pools.iter();
        pools
            .filter(|((group, zone), _)| *group == entry.group && entry.allows_zone(zone))
            .map(|((_, zone), pool)| (zone, pool))
    }

    fn reserve(&mut self, engine: usize, memory_mb: u64) {
        let free = self.free[engine];
        let left = free - memory_mb;
        self.free[engine] = left;
        if let Some(pool) = self.pools.get_mut(&self.location[engine]) {
            pool.free.remove(&(free, engine));
            pool.free.insert((left, engine));
        }
    }

    fn fault(&self, group: &Name, lacking_mb: u64, first: &Entry) -> Fault {
        let pools = || self.pools.iter().filter(|((each, _), _)| each == group).map(|(_, pool)| pool);
        Fault::Full {
            group: group.clone(),
            lacking_mb,
            needed_mb: self.needed.get(group).copied().unwrap_or_default(),
            engines: pools().map(|pool| pool.engines).sum(),
            memory_mb: pools().map(|pool| pool.memory_mb).sum(),
            first: Artifact::clone(&first.artifact),
            first_mb: first.memory_mb,
            zones: self.zones(first),
        }
    }

    fn zones(&self, entry: &Entry) -> Name {
        let each = |(zone, pool): (&Name, &Pool)| {
            let most = pool.free.last().map_or(0, |(free, _)| *free);
            format!("{zone} ({} engines, {} MB, at most {most} MB free on one)", pool.engines, pool.memory_mb)
        };
        let zones: Vec<String> = self.allowed(entry).map(each).collect();
        if zones.is_empty() { "no zone with an engine of the group".into() } else { zones.join(", ").into() }
    }
}
