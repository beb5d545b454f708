//! Computes a plan: the loads to order now, and the copies to close so that artifacts fit.

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::rules::{Priority, Weights};

use super::input::{Input, Item};

/// Time that a placement is assumed to last when its gain is compared with the cost of its moves, in seconds.
const PLACEMENT_SECONDS: f64 = 300.0;
/// Least gain of a move that is made to meet demand, in slots.
const GAIN_MIN: f64 = 0.5;
/// Cost in slots of dropping an old version whose successor has no copy. It is so high that such a copy is
/// chosen last.
const OLD_VERSION_COST: f64 = 1e6;
/// Engines that are tried for each artifact that needs another copy.
const ENGINES_TRIED_MAX: usize = 8;
/// Artifacts that one plan considers for further copies to meet demand.
const ARTIFACTS_MAX: usize = 64;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Order a load.
    Load { engine: usize, item: usize, cause: Cause },
    /// Close a copy, and drop it once no requests run on it.
    Drop { engine: usize, artifact: Artifact, cause: Cause },
    /// Earmark the memory that becomes free at an engine for an artifact.
    Earmark { engine: usize, item: usize, cause: Cause },
}

/// Limits and conditions of a plan that don't come from its input.
pub(super) struct Bounds<'a> {
    pub weights: Weights,
    /// Loads that may begin now.
    pub loads: usize,
    /// Engines where memory that becomes free is earmarked, with the artifact and the cause.
    pub earmarks: &'a [(usize, usize, Cause)],
    /// Whether the load of a copy was ordered so recently that it is not dropped to meet other demand.
    pub recently_loaded: &'a dyn Fn(usize, &Artifact) -> bool,
    /// Whether an artifact has had too few copies for so long that it is this zone's turn to load it.
    pub turn_reached: &'a dyn Fn(usize) -> bool,
    /// Whether an artifact has had too few copies for so long that no zone seems to have memory for it
    /// besides the versions that are no longer declared.
    pub no_zone_has_room: &'a dyn Fn(usize) -> bool,
    /// Memory at an engine that is free for an artifact according to the ledger, in MB.
    pub free_mb: &'a dyn Fn(usize, usize) -> u64,
}

/// A plan while it is computed.
pub(super) struct Plan<'a> {
    pub input: &'a mut Input,
    pub bounds: Bounds<'a>,
    pub steps: Vec<Step>,
}

impl Plan<'_> {
    /// Computes the steps: unloads of undeclared copies, loads into earmarked memory, artifacts without a
    /// copy, copies that the rules ask for, and last, copies to meet demand.
    pub(super) fn compute(&mut self) {
        self.drop_undeclared();
        for (engine, item, cause) in self.bounds.earmarks {
            self.load_earmarked(*engine, *item, *cause);
        }
        let mut missing: Vec<usize> =
            (0..self.input.items.len()).filter(|item| self.is_missing(*item)).collect();
        missing.sort_by(|a, b| {
            let key = |item: &Item| (item.waiting == 0, item.priority, std::cmp::Reverse(item.memory_mb));
            key(&self.input.items[*a]).cmp(&key(&self.input.items[*b]))
        });
        for item in missing {
            self.place(item, Cause::Unreachable);
        }
        let short: Vec<usize> = (0..self.input.items.len()).filter(|item| self.is_short(*item)).collect();
        for item in short {
            self.place(item, Cause::Copies);
        }
        self.meet_demand();
    }

    fn is_missing(&self, item: usize) -> bool {
        let wanted = &self.input.items[item];
        let without_copy = wanted.holders.is_empty() && wanted.copies_elsewhere == 0;
        wanted.allowed && without_copy && !self.is_earmarked(item) && (self.bounds.turn_reached)(item)
    }

    fn is_short(&self, item: usize) -> bool {
        let wanted = &self.input.items[item];
        let copies = wanted.holders.len() as u32 + wanted.copies_elsewhere;
        let short = copies > 0 && copies < wanted.copies_min;
        wanted.allowed && short && !self.is_earmarked(item) && (self.bounds.turn_reached)(item)
    }

    fn has_earmark(&self, engine: usize) -> bool {
        self.bounds.earmarks.iter().any(|(earmarked, ..)| *earmarked == engine)
    }

    fn is_earmarked(&self, item: usize) -> bool {
        self.bounds.earmarks.iter().any(|(_, earmarked, _)| *earmarked == item)
    }

    fn fits(&self, engine: usize, item: usize) -> bool {
        let free = (self.bounds.free_mb)(engine, item).min(self.input.engines[engine].free_mb);
        free >= self.input.items[item].memory_mb
    }

    /// Loads the artifact for which an engine's memory is earmarked, if it fits by now. Otherwise closes the
    /// copies that still take that memory.
    fn load_earmarked(&mut self, engine: usize, item: usize, cause: Cause) {
        if self.bounds.loads == 0 || !self.is_suitable(engine, item) {
            return;
        }
        if self.fits(engine, item) {
            self.add_load(engine, item, cause);
            return;
        }
        let victims = self.victims(engine, item, false).map(|(victims, _)| victims);
        for at in victims.into_iter().flatten() {
            self.drop_copy(engine, at, Cause::Room);
        }
    }

    /// Drops copies that are not declared any more, or not allowed in this zone.
    fn drop_undeclared(&mut self) {
        for engine in 0..self.input.engines.len() {
            for at in 0..self.input.engines[engine].copies.len() {
                let copy = &self.input.engines[engine].copies[at];
                if copy.dropping || copy.loading {
                    continue;
                }
                let cause = match copy.item.map(|item| &self.input.items[item]) {
                    None => self.drop_cause(&copy.artifact),
                    Some(item) if !item.allowed && item.assured_elsewhere => Some(Cause::Undeclared),
                    Some(_) => None,
                };
                if let Some(cause) = cause.filter(|_| !self.is_needed_base(engine, at)) {
                    self.drop_copy(engine, at, cause);
                }
            }
        }
    }

    /// Returns the cause for dropping an undeclared copy now. It stays as long as a declared version of the
    /// same model and adapter has no copy, unless its memory is needed.
    fn drop_cause(&self, artifact: &Artifact) -> Option<Cause> {
        if !self.input.versions.contains_key(&(artifact.model.clone(), artifact.adapter.clone())) {
            return Some(Cause::Undeclared);
        }
        self.input.is_replaced(artifact).then_some(Cause::Version)
    }

    /// Returns whether an adapter on the engine needs this copy of its model, since the engine has no other
    /// version of the model.
    fn is_needed_base(&self, engine: usize, at: usize) -> bool {
        let candidate = &self.input.engines[engine];
        let copy = &candidate.copies[at];
        if copy.artifact.adapter.is_some() {
            return false;
        }
        let same = |other: &&super::input::CopyState| other.artifact.model == copy.artifact.model;
        let adapters = candidate.copies.iter().filter(same).any(|other| other.artifact.adapter.is_some());
        let bases = candidate.copies.iter().filter(same);
        let bases =
            bases.filter(|other| other.artifact.adapter.is_none() && !other.dropping && !other.loading);
        adapters && bases.count() < 2
    }

    fn drop_copy(&mut self, engine: usize, at: usize, cause: Cause) {
        let copy = &mut self.input.engines[engine].copies[at];
        copy.dropping = true;
        let certain = std::mem::take(&mut copy.certain);
        let (item, artifact) = (copy.item, copy.artifact.clone());
        if let Some(item) = item {
            self.input.items[item].certain_copies -= usize::from(certain);
            self.input.items[item].holders.retain(|holder| *holder != engine);
        }
        self.steps.push(Step::Drop { engine, artifact, cause });
    }

    /// Returns whether an engine may be given an artifact: it accepts orders, belongs to the artifact's
    /// group, does not hold the artifact yet and, for an adapter, holds its model.
    fn is_suitable(&self, engine: usize, item: usize) -> bool {
        let (candidate, wanted) = (&self.input.engines[engine], &self.input.items[item]);
        let has =
            |base: &usize| candidate.copies.iter().any(|copy| copy.item == Some(*base) && !copy.dropping);
        candidate.usable
            && candidate.order_capacity > 0
            && candidate.group == wanted.group
            && !candidate.copies.iter().any(|copy| copy.item == Some(item))
            && (wanted.bases.is_empty() || wanted.bases.iter().any(has))
    }

    /// Finds an engine for an artifact, whatever its demand.
    fn place(&mut self, item: usize, cause: Cause) {
        if self.bounds.loads == 0 {
            return;
        }
        let suitable: Vec<usize> = (0..self.input.engines.len())
            .filter(|engine| self.is_suitable(*engine, item) && !self.has_earmark(*engine))
            .collect();
        let best = suitable.iter().filter(|engine| self.fits(**engine, item)).max_by(|a, b| {
            let key =
                |engine: usize| (self.input.spare_slots(engine), self.input.engines[engine].free_mb as f64);
            let ((spare_a, free_a), (spare_b, free_b)) = (key(**a), key(**b));
            free_a.total_cmp(&free_b).then(spare_a.total_cmp(&spare_b)).then(b.cmp(a))
        });
        if let Some(engine) = best.copied() {
            self.add_load(engine, item, cause);
            return;
        }
        if self.input.items[item].bases.is_empty() || !suitable.is_empty() {
            self.make_room(&suitable, item, cause);
        } else {
            self.load_base(item, cause);
        }
    }

    fn add_load(&mut self, engine: usize, item: usize, cause: Cause) {
        self.bounds.loads = self.bounds.loads.saturating_sub(1);
        let candidate = &mut self.input.engines[engine];
        candidate.order_capacity -= 1;
        candidate.free_mb = candidate.free_mb.saturating_sub(self.input.items[item].memory_mb);
        candidate.copies.push(super::input::CopyState {
            item: Some(item),
            artifact: self.input.items[item].artifact.clone(),
            memory_mb: self.input.items[item].memory_mb,
            loading: true,
            dropping: false,
            certain: false,
            share: 0.0,
            old_version_elsewhere: false,
        });
        self.input.items[item].holders.push(engine);
        self.input.rebalance(item);
        self.steps.push(Step::Load { engine, item, cause });
    }

    /// Loads the model of an adapter where both fit, since no suitable engine holds the model.
    fn load_base(&mut self, item: usize, cause: Cause) {
        let Some(base) = self.input.items[item].bases.first().copied() else {
            return;
        };
        let needed = self.input.items[item].memory_mb + self.input.items[base].memory_mb;
        let fits = |engine: &usize| {
            self.is_suitable(*engine, base)
                && !self.has_earmark(*engine)
                && (self.bounds.free_mb)(*engine, base).min(self.input.engines[*engine].free_mb) >= needed
        };
        let best = (0..self.input.engines.len())
            .filter(fits)
            .max_by_key(|engine| self.input.engines[*engine].free_mb);
        if let Some(engine) = best {
            self.add_load(engine, base, cause);
        }
    }

    /// Chooses the copies at an engine that cost least to drop and whose memory is enough for an artifact.
    /// Returns them with their cost in slots, or `None` if the copies that must stay leave too little memory.
    fn victims(&self, engine: usize, item: usize, spares_recent: bool) -> Option<(Vec<usize>, f64)> {
        let candidate = &self.input.engines[engine];
        let dropping_mb: u64 =
            candidate.copies.iter().filter(|copy| copy.dropping).map(|copy| copy.memory_mb).sum();
        let mut missing = self.input.items[item].memory_mb.saturating_sub(candidate.free_mb + dropping_mb);
        let mut found: Vec<(f64, usize)> = Vec::new();
        for (at, copy) in candidate.copies.iter().enumerate() {
            if copy.dropping || copy.loading || self.is_needed_base(engine, at) {
                continue;
            }
            if spares_recent && (self.bounds.recently_loaded)(engine, &copy.artifact) {
                continue;
            }
            match copy.item {
                None if self.drop_cause(&copy.artifact).is_some() => found.push((0.0, at)),
                None if !spares_recent && self.may_drop_old(item, copy) => found.push((OLD_VERSION_COST, at)),
                Some(other) if other != item && self.may_drop(other, copy.certain) => {
                    found.push((self.input.loss(other, engine), at));
                }
                _ => {}
            }
        }
        let size = |at: usize| candidate.copies[at].memory_mb;
        found.sort_by(|(a, x), (b, y)| a.total_cmp(b).then(size(*y).cmp(&size(*x))));
        let (mut chosen, mut cost) = (Vec::new(), 0.0);
        for (loss, at) in found {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(size(at));
            chosen.push(at);
            cost += loss;
        }
        (missing == 0).then_some((chosen, cost))
    }

    /// Returns whether an undeclared version may be dropped for an artifact without a copy, although its own
    /// successor has none yet. Only the zone that ranks first for the artifact relies on an old version's
    /// copy in another zone, so that no two zones rely on each other's copies.
    fn may_drop_old(&self, item: usize, copy: &super::input::CopyState) -> bool {
        let ranks_first = self.input.items[item].zone_rank == 0;
        (ranks_first && copy.old_version_elsewhere) || (self.bounds.no_zone_has_room)(item)
    }

    /// Returns whether a copy of an artifact may be dropped: enough other copies are certain.
    fn may_drop(&self, item: usize, certain: bool) -> bool {
        let item = &self.input.items[item];
        let left = item.certain_copies - usize::from(certain);
        let enough = left as u32 + item.copies_elsewhere >= item.copies_min;
        enough && (left >= 1 || item.assured_elsewhere)
    }

    /// Closes copies at the engine where that costs least, so that an artifact fits there.
    fn make_room(&mut self, suitable: &[usize], item: usize, cause: Cause) {
        let mut best: Option<(usize, Vec<usize>, f64)> = None;
        for engine in suitable {
            let Some((victims, cost)) = self.victims(*engine, item, false) else {
                continue;
            };
            let cost = cost + self.bounds.weights.moves.max(0.01) * victims.len() as f64;
            if best.as_ref().is_none_or(|(_, _, lowest)| cost < *lowest) {
                best = Some((*engine, victims, cost));
            }
        }
        match best {
            Some((engine, victims, _)) => self.replace(engine, &victims, item, cause),
            None => self.relocate(suitable, item, cause),
        }
    }

    fn replace(&mut self, engine: usize, victims: &[usize], item: usize, cause: Cause) {
        for at in victims {
            self.drop_copy(engine, *at, Cause::Room);
        }
        self.bounds.loads = self.bounds.loads.saturating_sub(1);
        self.input.engines[engine].order_capacity = 0;
        self.steps.push(Step::Earmark { engine, item, cause });
    }

    /// Loads another copy of an artifact on a different engine, so that a later plan can drop the one that is
    /// in the way.
    fn relocate(&mut self, suitable: &[usize], item: usize, cause: Cause) {
        let needed = self.input.items[item].memory_mb;
        for engine in suitable {
            for at in 0..self.input.engines[*engine].copies.len() {
                let copy = &self.input.engines[*engine].copies[at];
                let Some(other) = copy.item.filter(|_| !copy.dropping && !copy.loading) else {
                    continue;
                };
                let enough = self.input.engines[*engine].free_mb + copy.memory_mb >= needed;
                if !enough || self.is_needed_base(*engine, at) {
                    continue;
                }
                let target = (0..self.input.engines.len()).find(|to| {
                    to != engine
                        && self.is_suitable(*to, other)
                        && !self.has_earmark(*to)
                        && self.fits(*to, other)
                });
                if let Some(to) = target {
                    self.add_load(to, other, Cause::Room);
                    self.steps.push(Step::Earmark { engine: *engine, item, cause });
                    return;
                }
            }
        }
    }

    /// Adds copies of artifacts whose demand exceeds the slots of the engines that hold them.
    fn meet_demand(&mut self) {
        let mut overloaded: Vec<(f64, usize)> = Vec::new();
        for item in 0..self.input.items.len() {
            let wanted = &self.input.items[item];
            if !wanted.allowed || wanted.holders.is_empty() {
                continue;
            }
            let relief: f64 = wanted.holders.iter().map(|at| self.input.overload(*at)).sum();
            let relief = relief.min(wanted.load);
            if relief >= GAIN_MIN {
                overloaded.push((relief * priority_weight(wanted.priority), item));
            }
        }
        overloaded.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.cmp(y)));
        for (_, item) in overloaded.into_iter().take(ARTIFACTS_MAX) {
            if self.bounds.loads == 0 {
                return;
            }
            self.add_copy(item);
        }
    }

    fn add_copy(&mut self, item: usize) {
        let mut engines: Vec<usize> = (0..self.input.engines.len())
            .filter(|engine| self.is_suitable(*engine, item) && !self.has_earmark(*engine))
            .collect();
        engines
            .sort_by(|a, b| self.input.spare_slots(*b).total_cmp(&self.input.spare_slots(*a)).then(a.cmp(b)));
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for engine in engines.into_iter().take(ENGINES_TRIED_MAX) {
            let (victims, loss) = if self.fits(engine, item) {
                (Vec::new(), 0.0)
            } else {
                match self.victims(engine, item, true) {
                    Some(found) => found,
                    None => continue,
                }
            };
            let gain = self.input.gain(item, engine) - loss;
            let moves = 1.0 + victims.len() as f64;
            let net = self.utility(item, gain) - self.bounds.weights.moves * moves;
            if gain >= GAIN_MIN && net > 0.0 && best.as_ref().is_none_or(|(most, ..)| net > *most) {
                best = Some((net, engine, victims));
            }
        }
        match best {
            Some((_, engine, victims)) if victims.is_empty() => self.add_load(engine, item, Cause::Demand),
            Some((_, engine, victims)) => self.replace(engine, &victims, item, Cause::Demand),
            None => {}
        }
    }

    /// Returns the number of targets, weighted by priority, that are met thanks to the slots gained while a
    /// placement lasts.
    fn utility(&self, item: usize, slots: f64) -> f64 {
        let item = &self.input.items[item];
        self.bounds.weights.attainment * priority_weight(item.priority) * slots / item.service_time
            * PLACEMENT_SECONDS
    }
}

/// Returns the weight of a missed target of a priority.
fn priority_weight(priority: Priority) -> f64 {
    match priority {
        Priority::Urgent => 4.0,
        Priority::High => 2.0,
        Priority::Normal => 1.0,
        Priority::Deferrable => 0.25,
    }
}
