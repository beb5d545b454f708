//! Input of a plan: the engines of the zone and the declared artifacts, referred to by index.

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::engine::{Action, Fence, Stage};
use crate::inventory::Kind;
use crate::name::Name;
use crate::rendezvous;
use crate::rules::Priority;
use crate::state::State;
use crate::summary;
use crate::time::Time;

/// Multiple of `suspect_after` for which an engine may be silent before placement stops using it. The copies
/// on a silent engine do not count as available, but its memory still counts as taken.
const SILENCE_FACTOR: u32 = 2;

/// A model engine of the zone, on which copies may be placed.
#[derive(Debug)]
pub(super) struct Candidate {
    pub name: Name,
    pub group: Name,
    pub slots: f64,
    /// Memory that no copy takes and no open order will take, in MB.
    pub free_mb: u64,
    /// Whether it accepts requests and has been heard from recently.
    pub usable: bool,
    /// Orders that may be added now.
    pub order_capacity: usize,
    pub copies: Vec<CopyState>,
    /// Slots that its part of the forecast demand takes.
    pub load: f64,
}

/// A copy of an artifact at an engine, or an open order to load one.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
pub(super) struct CopyState {
    /// Index among the declared artifacts; none if it is not declared.
    pub item: Option<usize>,
    pub artifact: Artifact,
    pub memory_mb: u64,
    /// Whether it is being loaded or an order to load it is open.
    pub loading: bool,
    /// Whether it is being dropped, is being closed, or may be unloaded by an open order.
    pub dropping: bool,
    /// Whether it is certain that the copy is ready and that no order will drop it.
    pub certain: bool,
    /// Slots that its part of the artifact's demand takes.
    pub share: f64,
    /// Whether it is a version that is no longer declared and that other zones have held for some time too.
    pub old_version_elsewhere: bool,
}

/// A declared artifact.
#[derive(Debug)]
pub(super) struct Item {
    pub artifact: Artifact,
    pub group: Name,
    pub memory_mb: u64,
    /// Whether the rules allow it in this zone.
    pub allowed: bool,
    /// Slots that its forecast demand takes.
    pub load: f64,
    /// Time that a request occupies a slot, in seconds.
    pub service_time: f64,
    pub waiting: u32,
    pub priority: Priority,
    /// Least number of copies over all zones.
    pub copies_min: u32,
    /// Indices of the usable engines that hold or load a copy which is not being dropped.
    pub holders: Vec<usize>,
    /// Number of copies in this zone that are certain to be ready and to stay.
    pub certain_copies: usize,
    /// Number of copies in other zones.
    pub copies_elsewhere: u32,
    /// Whether other zones have had copies for some time.
    pub stable_elsewhere: bool,
    /// Whether another zone is certain to keep a copy, whatever this zone does.
    pub assured_elsewhere: bool,
    /// Rank of this zone among the live zones that may hold the artifact; the zone with rank 0 loads it first.
    pub zone_rank: usize,
    /// For an adapter, indices of the declared versions of its model.
    pub bases: Vec<usize>,
}

/// The state of a zone from which a plan is computed.
#[derive(Debug)]
pub(super) struct Input {
    pub engines: Vec<Candidate>,
    pub items: Vec<Item>,
    /// Indices of the declared versions by model and adapter.
    pub versions: FxHashMap<(Name, Option<Name>), Vec<usize>>,
    /// Loads under way.
    pub loads_running: usize,
    /// Number of zones with entry VMs, whether they can be reached or not.
    pub known_zones: u32,
    /// Number of reachable zones, this one included, which share the weight store.
    pub live_zones: usize,
}

impl Input {
    pub(super) fn new(state: &State, now: Time, fence: Fence) -> Self {
        let others: Vec<(&Name, u64)> =
            summary::recent_zones(state, now).map(|(name, zone)| (name, zone.config)).collect();
        let mut input = Self {
            engines: Vec::new(),
            items: items(state, now, &others),
            versions: FxHashMap::default(),
            loads_running: 0,
            known_zones: known_zones(state),
            live_zones: others.len() + 1,
        };
        for (at, item) in input.items.iter().enumerate() {
            let name = (item.artifact.model.clone(), item.artifact.adapter.clone());
            input.versions.entry(name).or_default().push(at);
        }
        for backend in state.fleet.backends.values().filter(|backend| backend.zone == state.me.zone) {
            let group = state.config.catalog.groups.get(&backend.group);
            let Some(group) = group.filter(|group| group.kind == Kind::Engine) else {
                continue;
            };
            let Some(report) = &backend.report else {
                continue;
            };
            let synced = state.ledger.is_synced(report, fence);
            let mut candidate = Candidate {
                name: backend.name.clone(),
                group: backend.group.clone(),
                slots: f64::from(group.slots.max(1)),
                free_mb: 0,
                usable: backend.accepts_work()
                    && backend.reported_within(now, state.settings.suspect_after * SILENCE_FACTOR),
                order_capacity: if synced { state.ledger.order_capacity(&backend.name) } else { 0 },
                copies: Vec::new(),
                load: 0.0,
            };
            for copy in &report.copies {
                let unloading = state.ledger.has_open_unload(&backend.name, &copy.artifact);
                let closing = state.close.is_closing(&backend.name, &copy.artifact);
                let is_dropping = copy.stage == Stage::Dropping || unloading || closing;
                let item = state.config.catalog.position(&copy.artifact);
                candidate.copies.push(CopyState {
                    item,
                    artifact: copy.artifact.clone(),
                    memory_mb: copy.memory_mb,
                    loading: copy.stage == Stage::Loading,
                    dropping: is_dropping,
                    certain: synced && candidate.usable && !is_dropping && copy.stage == Stage::Ready,
                    share: 0.0,
                    old_version_elsewhere: item.is_none() && is_stable_elsewhere(state, now, &copy.artifact),
                });
            }
            for intent in state.ledger.open_intents(&backend.name) {
                let Action::Load { artifact, memory_mb } = &intent.action else {
                    continue;
                };
                if candidate.copies.iter().any(|copy| copy.artifact == *artifact) {
                    continue;
                }
                candidate.copies.push(CopyState {
                    item: state.config.catalog.position(artifact),
                    artifact: artifact.clone(),
                    memory_mb: *memory_mb,
                    loading: true,
                    dropping: false,
                    certain: false,
                    share: 0.0,
                    old_version_elsewhere: false,
                });
            }
            let taken_mb: u64 = candidate.copies.iter().map(|copy| copy.memory_mb).sum();
            candidate.free_mb = report.memory_mb.saturating_sub(taken_mb);
            input.add(candidate);
        }
        input
    }

    /// Returns whether a closed copy may be unloaded: another copy is certain, and the engine can be given an
    /// order.
    pub(super) fn may_unload(&self, state: &State, now: Time, engine: &Name, artifact: &Artifact) -> bool {
        if !self.engines.iter().any(|candidate| candidate.name == *engine && candidate.order_capacity > 0) {
            return false;
        }
        let item = state.config.catalog.position(artifact).and_then(|at| self.items.get(at));
        match item {
            Some(item) => item.certain_copies > 0 || item.assured_elsewhere,
            // The reason for closing the copy may be void by now: the copy of another zone may be gone.
            None => {
                self.is_replaced(artifact)
                    || is_stable_elsewhere(state, now, artifact)
                    || self.blocks_successor(state, now, artifact)
            }
        }
    }

    /// Returns whether a version that replaces an undeclared one has had too few copies for so long that no
    /// zone seems to have memory for it besides the undeclared one.
    fn blocks_successor(&self, state: &State, now: Time, artifact: &Artifact) -> bool {
        let versions =
            self.versions.get(&(artifact.model.clone(), artifact.adapter.clone())).into_iter().flatten();
        versions
            .into_iter()
            .any(|item| super::no_zone_has_room(state, now, self.known_zones, &self.items[*item].artifact))
    }

    /// Returns whether all declared versions that replace an undeclared one have a copy.
    pub(super) fn is_replaced(&self, artifact: &Artifact) -> bool {
        let versions = self.versions.get(&(artifact.model.clone(), artifact.adapter.clone()));
        let available =
            |item: &usize| self.items[*item].certain_copies > 0 || self.items[*item].stable_elsewhere;
        versions.is_none_or(|versions| versions.iter().all(available))
    }

    fn add(&mut self, candidate: Candidate) {
        let at = self.engines.len();
        for copy in &candidate.copies {
            self.loads_running += usize::from(copy.loading);
            let Some(item) = copy.item.and_then(|item| self.items.get_mut(item)) else {
                continue;
            };
            if candidate.usable && !copy.dropping {
                item.holders.push(at);
            }
            item.certain_copies += usize::from(copy.certain);
        }
        self.engines.push(candidate);
    }
}

/// Returns whether other zones hold an artifact and have done so for at least [`super::STABLE_AFTER`].
fn is_stable_elsewhere(state: &State, now: Time, artifact: &Artifact) -> bool {
    let since = state.place.elsewhere_since.get(artifact);
    since.is_some_and(|since| now.since(*since) >= super::STABLE_AFTER)
        && !summary::zones_holding(state, now, artifact).is_empty()
}

fn known_zones(state: &State) -> u32 {
    let mut zones: Vec<&Name> = state.member.peers.values().map(|peer| &peer.zone).collect();
    zones.push(&state.me.zone);
    zones.sort_unstable();
    zones.dedup();
    zones.len() as u32
}

fn items(state: &State, now: Time, others: &[(&Name, u64)]) -> Vec<Item> {
    let catalog = &state.config.catalog;
    let me = &state.me.zone;
    let mut bases: FxHashMap<&Name, Vec<usize>> = FxHashMap::default();
    for (at, entry) in catalog.entries.iter().enumerate() {
        if entry.artifact.adapter.is_none() {
            bases.entry(&entry.artifact.model).or_default().push(at);
        }
    }
    let mut items = Vec::with_capacity(catalog.entries.len());
    for entry in &catalog.entries {
        let estimate = state.demand.estimate(&entry.artifact);
        let key = entry.artifact.to_string();
        let own_score = rendezvous::score(me, &key);
        let ranks_before = |zone: &Name| (rendezvous::score(zone, &key), zone) > (own_score, me);
        let offers = summary::zones_holding(state, now, &entry.artifact);
        let allowed = entry.allows_zone(me);
        let stable = is_stable_elsewhere(state, now, &entry.artifact);
        // Zones rely on each other's copies only in the order of their ranks, which no configuration change
        // reverses. Otherwise two zones could each drop their copy because the other one has one.
        let assured = |zone: &Name| {
            let config = others.iter().find(|(name, _)| *name == zone).map_or(0, |(_, config)| *config);
            config >= state.config.version && entry.allows_zone(zone) && (ranks_before(zone) || !allowed)
        };
        items.push(Item {
            artifact: entry.artifact.clone(),
            group: entry.group.clone(),
            memory_mb: entry.memory_mb,
            allowed,
            load: estimate.load(),
            service_time: estimate.service_time(),
            waiting: estimate.waiting,
            priority: entry.priority,
            copies_min: entry.copies.max(1),
            holders: Vec::new(),
            certain_copies: 0,
            copies_elsewhere: offers.iter().map(|offer| offer.copies).sum(),
            assured_elsewhere: stable && offers.iter().any(|offer| assured(offer.zone)),
            stable_elsewhere: stable,
            zone_rank: others
                .iter()
                .filter(|(zone, _)| entry.allows_zone(zone) && ranks_before(zone))
                .count(),
            bases: match &entry.artifact.adapter {
                Some(_) => bases.get(&entry.artifact.model).cloned().unwrap_or_default(),
                None => Vec::new(),
            },
        });
    }
    items
}
