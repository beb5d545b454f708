//! A plan: the loads to order now, and the copies to close for their sake.

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::rules::{Priority, Weights};

use super::input::{Input, Item};

/// Time that a placement is taken to last when its gain is weighed against its moves, in seconds.
const LASTS: f64 = 300.0;
/// Slots that a move for the sake of demand must gain at the least.
const GAIN_LEAST: f64 = 0.5;
/// Cost in slots of dropping a version whose successor is nowhere, so that it comes last.
const OLD_VERSION: f64 = 1e6;
/// Engines tried for each artifact that needs a copy more.
const TRIES: usize = 8;
/// Artifacts weighed for the sake of demand in one plan.
const WEIGHED: usize = 64;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Order a load.
    Load { host: usize, item: usize, cause: Cause },
    /// Close a copy and drop it.
    Drop { host: usize, artifact: Artifact, cause: Cause },
    /// Keep what becomes free at an engine for an artifact.
    Earmark { host: usize, item: usize, cause: Cause },
}

/// What bounds a plan.
pub(super) struct Bounds<'a> {
    pub weights: Weights,
    /// Loads that may begin now.
    pub loads: usize,
    /// Engines where what becomes free is kept for an artifact, and why.
    pub earmarks: &'a [(usize, usize, Cause)],
    /// Whether a copy was loaded so lately that demand alone does not drop it.
    pub recently_loaded: &'a dyn Fn(usize, &Artifact) -> bool,
    /// Whether an artifact has been without a copy for long enough that this zone sees to it.
    pub turn_reached: &'a dyn Fn(usize) -> bool,
    /// Whether an artifact has been nowhere for so long that no zone seems to have memory for it beside
    /// the versions that are not declared any more.
    pub no_zone_has_room: &'a dyn Fn(usize) -> bool,
    /// Memory that is free for an artifact at an engine by the ledger.
    pub free_mb: &'a dyn Fn(usize, usize) -> u64,
}

/// A plan in the making.
pub(super) struct Plan<'a> {
    pub input: &'a mut Input,
    pub bounds: Bounds<'a>,
    pub steps: Vec<Step>,
}

impl Plan<'_> {
    /// Plans: first what is nowhere, then the copies that the rules ask for, then demand.
    pub(super) fn compute(&mut self) {
        self.clear();
        for (host, item, cause) in self.bounds.earmarks {
            self.fulfil(*host, *item, *cause);
        }
        let mut missing: Vec<usize> =
            (0..self.input.items.len()).filter(|item| self.is_missing(*item)).collect();
        missing.sort_by(|a, b| {
            let key = |item: &Item| (item.waiting == 0, item.priority, std::cmp::Reverse(item.memory_mb));
            key(&self.input.items[*a]).cmp(&key(&self.input.items[*b]))
        });
        for item in missing {
            self.provide(item, Cause::Unreachable);
        }
        let short: Vec<usize> = (0..self.input.items.len()).filter(|item| self.is_short(*item)).collect();
        for item in short {
            self.provide(item, Cause::Copies);
        }
        self.meet_demand();
    }

    fn is_missing(&self, item: usize) -> bool {
        let wanted = &self.input.items[item];
        let nowhere = wanted.holders.is_empty() && wanted.copies_elsewhere == 0;
        wanted.allowed && nowhere && !self.is_kept_for(item) && (self.bounds.turn_reached)(item)
    }

    fn is_short(&self, item: usize) -> bool {
        let wanted = &self.input.items[item];
        let copies = wanted.holders.len() as u32 + wanted.copies_elsewhere;
        let short = copies > 0 && copies < wanted.copies_min;
        wanted.allowed && short && !self.is_kept_for(item) && (self.bounds.turn_reached)(item)
    }

    fn is_kept(&self, host: usize) -> bool {
        self.bounds.earmarks.iter().any(|(kept, ..)| *kept == host)
    }

    fn is_kept_for(&self, item: usize) -> bool {
        self.bounds.earmarks.iter().any(|(_, kept, _)| *kept == item)
    }

    fn fits(&self, host: usize, item: usize) -> bool {
        let free = (self.bounds.free_mb)(host, item).min(self.input.engines[host].free_mb);
        free >= self.input.items[item].memory_mb
    }

    /// Loads what an engine's memory was kept for, once it is free; closes what still stands in the way.
    fn fulfil(&mut self, host: usize, item: usize, cause: Cause) {
        if self.bounds.loads == 0 || !self.suits(host, item) {
            return;
        }
        if self.fits(host, item) {
            self.load(host, item, cause);
            return;
        }
        let victims = self.victims(host, item, false).map(|(victims, _)| victims);
        for at in victims.into_iter().flatten() {
            self.drop_copy(host, at, Cause::Room);
        }
    }

    /// Drops what is not declared, or not here.
    fn clear(&mut self) {
        for host in 0..self.input.engines.len() {
            for at in 0..self.input.engines[host].copies.len() {
                let held = &self.input.engines[host].copies[at];
                if held.dropping || held.loading {
                    continue;
                }
                let cause = match held.item.map(|item| &self.input.items[item]) {
                    None => self.undeclared(&held.artifact),
                    Some(item) if !item.allowed && item.assured_elsewhere => Some(Cause::Undeclared),
                    Some(_) => None,
                };
                if let Some(cause) = cause.filter(|_| !self.is_base(host, at)) {
                    self.drop_copy(host, at, cause);
                }
            }
        }
    }

    /// Why a copy that is not declared may go now. While a version that takes its place is nowhere, it
    /// stays unless its memory is needed.
    fn undeclared(&self, artifact: &Artifact) -> Option<Cause> {
        if !self.input.versions.contains_key(&(artifact.model.clone(), artifact.adapter.clone())) {
            return Some(Cause::Undeclared);
        }
        self.input.is_replaced(artifact).then_some(Cause::Version)
    }

    /// Whether an adapter on the engine needs this copy of a model: no other version of it is there.
    fn is_base(&self, host: usize, at: usize) -> bool {
        let host = &self.input.engines[host];
        let held = &host.copies[at];
        if held.artifact.adapter.is_some() {
            return false;
        }
        let same = |other: &&super::input::CopyState| other.artifact.model == held.artifact.model;
        let adapters = host.copies.iter().filter(same).any(|other| other.artifact.adapter.is_some());
        let bases = host.copies.iter().filter(same);
        let bases =
            bases.filter(|other| other.artifact.adapter.is_none() && !other.dropping && !other.loading);
        adapters && bases.count() < 2
    }

    fn drop_copy(&mut self, host: usize, at: usize, cause: Cause) {
        let held = &mut self.input.engines[host].copies[at];
        held.dropping = true;
        let certain = std::mem::take(&mut held.certain);
        let (item, artifact) = (held.item, held.artifact.clone());
        if let Some(item) = item {
            self.input.items[item].certain_copies -= usize::from(certain);
            self.input.items[item].holders.retain(|holder| *holder != host);
        }
        self.steps.push(Step::Drop { host, artifact, cause });
    }

    /// Whether an engine may hold an artifact: of its group, and with its model on it.
    fn suits(&self, host: usize, item: usize) -> bool {
        let (there, wanted) = (&self.input.engines[host], &self.input.items[item]);
        let has = |base: &usize| there.copies.iter().any(|held| held.item == Some(*base) && !held.dropping);
        there.usable
            && there.order_capacity > 0
            && there.group == wanted.group
            && !there.copies.iter().any(|held| held.item == Some(item))
            && (wanted.bases.is_empty() || wanted.bases.iter().any(has))
    }

    /// Finds a place for an artifact whatever its demand.
    fn provide(&mut self, item: usize, cause: Cause) {
        if self.bounds.loads == 0 {
            return;
        }
        let suitable: Vec<usize> = (0..self.input.engines.len())
            .filter(|host| self.suits(*host, item) && !self.is_kept(*host))
            .collect();
        let best = suitable.iter().filter(|host| self.fits(**host, item)).max_by(|a, b| {
            let key = |host: usize| (self.input.spare_slots(host), self.input.engines[host].free_mb as f64);
            let ((spare_a, free_a), (spare_b, free_b)) = (key(**a), key(**b));
            free_a.total_cmp(&free_b).then(spare_a.total_cmp(&spare_b)).then(b.cmp(a))
        });
        if let Some(host) = best.copied() {
            self.load(host, item, cause);
            return;
        }
        if self.input.items[item].bases.is_empty() || !suitable.is_empty() {
            self.make_room(&suitable, item, cause);
        } else {
            self.bring_base(item, cause);
        }
    }

    fn load(&mut self, host: usize, item: usize, cause: Cause) {
        self.bounds.loads = self.bounds.loads.saturating_sub(1);
        let there = &mut self.input.engines[host];
        there.order_capacity -= 1;
        there.free_mb = there.free_mb.saturating_sub(self.input.items[item].memory_mb);
        there.copies.push(super::input::CopyState {
            item: Some(item),
            artifact: self.input.items[item].artifact.clone(),
            memory_mb: self.input.items[item].memory_mb,
            loading: true,
            dropping: false,
            certain: false,
            share: 0.0,
            old_version_elsewhere: false,
        });
        self.input.items[item].holders.push(host);
        self.input.rebalance(item);
        self.steps.push(Step::Load { host, item, cause });
    }

    /// An adapter without an engine that has its model: load the model where both fit.
    fn bring_base(&mut self, item: usize, cause: Cause) {
        let Some(base) = self.input.items[item].bases.first().copied() else {
            return;
        };
        let needed = self.input.items[item].memory_mb + self.input.items[base].memory_mb;
        let fits = |host: &usize| {
            self.suits(*host, base)
                && !self.is_kept(*host)
                && (self.bounds.free_mb)(*host, base).min(self.input.engines[*host].free_mb) >= needed
        };
        let best =
            (0..self.input.engines.len()).filter(fits).max_by_key(|host| self.input.engines[*host].free_mb);
        if let Some(host) = best {
            self.load(host, base, cause);
        }
    }

    /// Copies at an engine whose loss costs least, enough of them to fit an artifact; with the cost in
    /// slots. None if what must stay leaves too little.
    fn victims(&self, host: usize, item: usize, spares_young: bool) -> Option<(Vec<usize>, f64)> {
        let there = &self.input.engines[host];
        let going: u64 = there.copies.iter().filter(|held| held.dropping).map(|held| held.memory_mb).sum();
        let mut missing = self.input.items[item].memory_mb.saturating_sub(there.free_mb + going);
        let mut found: Vec<(f64, usize)> = Vec::new();
        for (at, held) in there.copies.iter().enumerate() {
            if held.dropping || held.loading || self.is_base(host, at) {
                continue;
            }
            if spares_young && (self.bounds.recently_loaded)(host, &held.artifact) {
                continue;
            }
            match held.item {
                None if self.undeclared(&held.artifact).is_some() => found.push((0.0, at)),
                None if !spares_young && self.may_replace(item, held) => found.push((OLD_VERSION, at)),
                Some(other) if other != item && self.may_go(other, held.certain) => {
                    found.push((self.input.loss(other, host), at));
                }
                _ => {}
            }
        }
        let size = |at: usize| there.copies[at].memory_mb;
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

    /// Whether a version that is not declared any more may make way for an artifact that is nowhere, though its
    /// own successor is not there yet. The artifact's home relies on the copy of a zone that comes after it, so
    /// that no two zones rely on each other's.
    fn may_replace(&self, item: usize, held: &super::input::CopyState) -> bool {
        let home = self.input.items[item].zone_rank == 0;
        (home && held.old_version_elsewhere) || (self.bounds.no_zone_has_room)(item)
    }

    /// Whether a copy of an artifact can be spared: another is certain.
    fn may_go(&self, item: usize, certain: bool) -> bool {
        let item = &self.input.items[item];
        let left = item.certain_copies - usize::from(certain);
        let enough = left as u32 + item.copies_elsewhere >= item.copies_min;
        enough && (left >= 1 || item.assured_elsewhere)
    }

    /// Closes what can be spared at one engine, so that an artifact fits there.
    fn make_room(&mut self, suitable: &[usize], item: usize, cause: Cause) {
        let mut best: Option<(usize, Vec<usize>, f64)> = None;
        for host in suitable {
            let Some((victims, cost)) = self.victims(*host, item, false) else {
                continue;
            };
            let cost = cost + self.bounds.weights.moves.max(0.01) * victims.len() as f64;
            if best.as_ref().is_none_or(|(_, _, least)| cost < *least) {
                best = Some((*host, victims, cost));
            }
        }
        match best {
            Some((host, victims, _)) => self.swap(host, &victims, item, cause),
            None => self.shift(suitable, item, cause),
        }
    }

    fn swap(&mut self, host: usize, victims: &[usize], item: usize, cause: Cause) {
        for at in victims {
            self.drop_copy(host, *at, Cause::Room);
        }
        self.bounds.loads = self.bounds.loads.saturating_sub(1);
        self.input.engines[host].order_capacity = 0;
        self.steps.push(Step::Earmark { host, item, cause });
    }

    /// Loads a copy elsewhere that cannot be spared, so that it can be in a later plan.
    fn shift(&mut self, suitable: &[usize], item: usize, cause: Cause) {
        let needed = self.input.items[item].memory_mb;
        for host in suitable {
            for at in 0..self.input.engines[*host].copies.len() {
                let held = &self.input.engines[*host].copies[at];
                let Some(other) = held.item.filter(|_| !held.dropping && !held.loading) else {
                    continue;
                };
                let enough = self.input.engines[*host].free_mb + held.memory_mb >= needed;
                if !enough || self.is_base(*host, at) {
                    continue;
                }
                let target = (0..self.input.engines.len()).find(|to| {
                    to != host && self.suits(*to, other) && !self.is_kept(*to) && self.fits(*to, other)
                });
                if let Some(to) = target {
                    self.load(to, other, Cause::Room);
                    self.steps.push(Step::Earmark { host: *host, item, cause });
                    return;
                }
            }
        }
    }

    /// Adds copies where demand goes beyond what the engines that hold an artifact can do.
    fn meet_demand(&mut self) {
        let mut pressed: Vec<(f64, usize)> = Vec::new();
        for item in 0..self.input.items.len() {
            let wanted = &self.input.items[item];
            if !wanted.allowed || wanted.holders.is_empty() {
                continue;
            }
            let relief: f64 = wanted.holders.iter().map(|at| self.input.overload(*at)).sum();
            let relief = relief.min(wanted.load);
            if relief >= GAIN_LEAST {
                pressed.push((relief * urgency(wanted.priority), item));
            }
        }
        pressed.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.cmp(y)));
        for (_, item) in pressed.into_iter().take(WEIGHED) {
            if self.bounds.loads == 0 {
                return;
            }
            self.relieve(item);
        }
    }

    fn relieve(&mut self, item: usize) {
        let mut hosts: Vec<usize> = (0..self.input.engines.len())
            .filter(|host| self.suits(*host, item) && !self.is_kept(*host))
            .collect();
        hosts
            .sort_by(|a, b| self.input.spare_slots(*b).total_cmp(&self.input.spare_slots(*a)).then(a.cmp(b)));
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for host in hosts.into_iter().take(TRIES) {
            let (victims, loss) = if self.fits(host, item) {
                (Vec::new(), 0.0)
            } else {
                match self.victims(host, item, true) {
                    Some(found) => found,
                    None => continue,
                }
            };
            let gain = self.input.gain(item, host) - loss;
            let moves = 1.0 + victims.len() as f64;
            let net = self.worth(item, gain) - self.bounds.weights.moves * moves;
            if gain >= GAIN_LEAST && net > 0.0 && best.as_ref().is_none_or(|(most, ..)| net > *most) {
                best = Some((net, host, victims));
            }
        }
        match best {
            Some((_, host, victims)) if victims.is_empty() => self.load(host, item, Cause::Demand),
            Some((_, host, victims)) => self.swap(host, &victims, item, Cause::Demand),
            None => {}
        }
    }

    /// Targets that would be met in the time a placement lasts, for slots gained.
    fn worth(&self, item: usize, slots: f64) -> f64 {
        let item = &self.input.items[item];
        self.bounds.weights.attainment * urgency(item.priority) * slots / item.service_time * LASTS
    }
}

/// How much more than another a missed target of a priority weighs.
fn urgency(priority: Priority) -> f64 {
    match priority {
        Priority::Urgent => 4.0,
        Priority::High => 2.0,
        Priority::Normal => 1.0,
        Priority::Deferrable => 0.25,
    }
}
