//! What a plan starts from: the zone's engines and the declared artifacts, with numbers in place of names.

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

/// How many times as long as an entry VM an engine may be silent before placement does without it. What it
/// holds counts for no reachability then; its memory stays taken.
const SILENCES: u32 = 2;

/// A model engine of the zone.
#[derive(Debug)]
pub(super) struct Candidate {
    pub name: Name,
    pub group: Name,
    pub slots: f64,
    /// Memory that no copy and no order takes.
    pub free_mb: u64,
    /// Whether it takes requests.
    pub usable: bool,
    /// Orders that may be added now.
    pub order_capacity: usize,
    pub copies: Vec<CopyState>,
    /// Slots taken by the forecast demand that falls to it.
    pub load: f64,
}

/// An artifact at an engine.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a belief of its own, not a state of one machine")]
pub(super) struct CopyState {
    /// Its place among the declared; none if it is not declared.
    pub item: Option<usize>,
    pub artifact: Artifact,
    pub memory_mb: u64,
    /// Whether it is being loaded, or an order to load it is open.
    pub loading: bool,
    /// Whether it is being dropped, closed or may be dropped by an open order.
    pub dropping: bool,
    /// Whether it is sure to be there and to stay.
    pub certain: bool,
    /// The part of its artifact's demand that falls to it.
    pub share: f64,
    /// Whether it is a version that is not declared any more, and other zones have held it for some time too.
    pub old_version_elsewhere: bool,
}

/// A declared artifact.
#[derive(Debug)]
pub(super) struct Item {
    pub artifact: Artifact,
    pub group: Name,
    pub memory_mb: u64,
    /// Whether this zone may hold it.
    pub allowed: bool,
    /// Slots that its forecast demand takes.
    pub load: f64,
    /// Time that a request takes of a slot, in seconds.
    pub service_time: f64,
    pub waiting: u32,
    pub priority: Priority,
    /// Copies to keep over all zones.
    pub copies_min: u32,
    /// Hosts of copies that answer or will.
    pub holders: Vec<usize>,
    /// Copies that are sure to be there and to stay.
    pub certain_copies: usize,
    /// Copies in other zones.
    pub copies_elsewhere: u32,
    /// Whether other zones have had copies for some time.
    pub stable_elsewhere: bool,
    /// Whether another zone is sure to keep one, whatever this zone does.
    pub assured_elsewhere: bool,
    /// The place of this zone among the live zones that may hold it; zero is its home.
    pub zone_rank: usize,
    /// For an adapter, the declared versions of its model.
    pub bases: Vec<usize>,
}

/// A zone as a plan sees it.
#[derive(Debug)]
pub(super) struct Input {
    pub engines: Vec<Candidate>,
    pub items: Vec<Item>,
    /// Declared versions by model and adapter.
    pub versions: FxHashMap<(Name, Option<Name>), Vec<usize>>,
    /// Loads under way.
    pub loads_running: usize,
    /// Zones with entry VMs, heard of or not.
    pub known_zones: u32,
    /// Zones that share the weight store.
    pub live_zones: usize,
}

impl Input {
    pub(super) fn new(state: &State, now: Time, fence: Fence) -> Self {
        let others: Vec<(&Name, u64)> =
            summary::recent_zones(state, now).map(|(name, zone)| (name, zone.config)).collect();
        let mut view = Self {
            engines: Vec::new(),
            items: items(state, now, &others),
            versions: FxHashMap::default(),
            loads_running: 0,
            known_zones: known_zones(state),
            live_zones: others.len() + 1,
        };
        for (at, item) in view.items.iter().enumerate() {
            let name = (item.artifact.model.clone(), item.artifact.adapter.clone());
            view.versions.entry(name).or_default().push(at);
        }
        for backend in state.fleet.backends.values().filter(|backend| backend.zone == state.me.zone) {
            let group = state.config.catalog.groups.get(&backend.group);
            let Some(group) = group.filter(|group| group.kind == Kind::Engine) else {
                continue;
            };
            let Some(report) = &backend.report else {
                continue;
            };
            let ready = state.ledger.is_synced(report, fence);
            let mut host = Candidate {
                name: backend.name.clone(),
                group: backend.group.clone(),
                slots: f64::from(group.slots.max(1)),
                free_mb: 0,
                usable: backend.accepts_work()
                    && backend.reported_within(now, state.settings.suspect_after * SILENCES),
                order_capacity: if ready { state.ledger.order_capacity(&backend.name) } else { 0 },
                copies: Vec::new(),
                load: 0.0,
            };
            for copy in &report.copies {
                let doubtful = state.ledger.has_open_unload(&backend.name, &copy.artifact);
                let closing = state.close.is_closing(&backend.name, &copy.artifact);
                let going = copy.stage == Stage::Dropping || doubtful || closing;
                let item = state.config.catalog.position(&copy.artifact);
                host.copies.push(CopyState {
                    item,
                    artifact: copy.artifact.clone(),
                    memory_mb: copy.memory_mb,
                    loading: copy.stage == Stage::Loading,
                    dropping: going,
                    certain: ready && host.usable && !going && copy.stage == Stage::Ready,
                    share: 0.0,
                    old_version_elsewhere: item.is_none() && is_steady_elsewhere(state, now, &copy.artifact),
                });
            }
            for intent in state.ledger.open_intents(&backend.name) {
                let Action::Load { artifact, memory_mb } = &intent.action else {
                    continue;
                };
                if host.copies.iter().any(|held| held.artifact == *artifact) {
                    continue;
                }
                host.copies.push(CopyState {
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
            let taken: u64 = host.copies.iter().map(|held| held.memory_mb).sum();
            host.free_mb = report.memory_mb.saturating_sub(taken);
            view.add(host);
        }
        view
    }

    /// Whether a closed copy may be dropped: another is certain, and the engine can take an order.
    pub(super) fn may_unload(&self, state: &State, now: Time, engine: &Name, artifact: &Artifact) -> bool {
        if !self.engines.iter().any(|host| host.name == *engine && host.order_capacity > 0) {
            return false;
        }
        let item = state.config.catalog.position(artifact).and_then(|at| self.items.get(at));
        match item {
            Some(item) => item.certain_copies > 0 || item.assured_elsewhere,
            // What closed it may have changed meanwhile: another zone's copy that was relied on may be gone.
            None => {
                self.is_replaced(artifact)
                    || is_steady_elsewhere(state, now, artifact)
                    || self.is_needed(state, now, artifact)
            }
        }
    }

    /// Whether a version that takes an undeclared one's place has been nowhere for so long that no zone seems to
    /// have memory for it beside the undeclared one.
    fn is_needed(&self, state: &State, now: Time, artifact: &Artifact) -> bool {
        let kin =
            self.versions.get(&(artifact.model.clone(), artifact.adapter.clone())).into_iter().flatten();
        kin.into_iter()
            .any(|item| super::no_zone_has_room(state, now, self.known_zones, &self.items[*item].artifact))
    }

    /// Whether all versions that take an undeclared one's place are there.
    pub(super) fn is_replaced(&self, artifact: &Artifact) -> bool {
        let kin = self.versions.get(&(artifact.model.clone(), artifact.adapter.clone()));
        let there = |item: &usize| self.items[*item].certain_copies > 0 || self.items[*item].stable_elsewhere;
        kin.is_none_or(|kin| kin.iter().all(there))
    }

    fn add(&mut self, host: Candidate) {
        let at = self.engines.len();
        for held in &host.copies {
            self.loads_running += usize::from(held.loading);
            let Some(item) = held.item.and_then(|item| self.items.get_mut(item)) else {
                continue;
            };
            if host.usable && !held.dropping {
                item.holders.push(at);
            }
            item.certain_copies += usize::from(held.certain);
        }
        self.engines.push(host);
    }
}

/// Whether other zones hold an artifact, and have done so for some time.
fn is_steady_elsewhere(state: &State, now: Time, artifact: &Artifact) -> bool {
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
        let track = state.demand.estimate(&entry.artifact);
        let key = entry.artifact.to_string();
        let mine = rendezvous::score(me, &key);
        let before = |zone: &Name| (rendezvous::score(zone, &key), zone) > (mine, me);
        let there = summary::zones_holding(state, now, &entry.artifact);
        let allowed = entry.allows_zone(me);
        let steady = is_steady_elsewhere(state, now, &entry.artifact);
        // Zones give way to each other in one order that no change of configuration turns round, so that
        // no two of them drop their copies for each other's sake.
        let kept = |zone: &Name| {
            let config = others.iter().find(|(name, _)| *name == zone).map_or(0, |(_, config)| *config);
            config >= state.config.version && entry.allows_zone(zone) && (before(zone) || !allowed)
        };
        items.push(Item {
            artifact: entry.artifact.clone(),
            group: entry.group.clone(),
            memory_mb: entry.memory_mb,
            allowed,
            load: track.load(),
            service_time: track.service_time(),
            waiting: track.waiting,
            priority: entry.priority,
            copies_min: entry.copies.max(1),
            holders: Vec::new(),
            certain_copies: 0,
            copies_elsewhere: there.iter().map(|elsewhere| elsewhere.copies).sum(),
            assured_elsewhere: steady && there.iter().any(|elsewhere| kept(elsewhere.zone)),
            stable_elsewhere: steady,
            zone_rank: others.iter().filter(|(zone, _)| entry.allows_zone(zone) && before(zone)).count(),
            bases: match &entry.artifact.adapter {
                Some(_) => bases.get(&entry.artifact.model).cloned().unwrap_or_default(),
                None => Vec::new(),
            },
        });
    }
    items
}
