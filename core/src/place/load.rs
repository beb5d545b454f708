//! Distribution of demand over the copies of artifacts, and the effect of adding or dropping a copy.

use super::input::Input;

/// Fraction of an engine's slots that demand may take before requests begin to miss their targets.
pub(super) const UTILIZATION_MAX: f64 = 0.8;
/// Rounds in which demand is redistributed between the copies of each artifact.
const ROUNDS: usize = 3;
/// Free slots counted for a fully loaded engine, so that it keeps a small share of the demand.
const ROOM_MIN: f64 = 0.05;

impl Input {
    /// Distributes the demand of each artifact over its copies by the free slots of their engines.
    pub(super) fn distribute_load(&mut self) {
        for engine in &mut self.engines {
            engine.load = 0.0;
        }
        for item in 0..self.items.len() {
            let copies = self.items[item].holders.len().max(1) as f64;
            let even = self.items[item].load / copies;
            self.set_shares(item, |_, _| even);
        }
        for _ in 0..ROUNDS {
            for item in 0..self.items.len() {
                self.rebalance(item);
            }
        }
    }

    /// Distributes the demand of one artifact again.
    pub(super) fn rebalance(&mut self, item: usize) {
        if self.items[item].holders.len() < 2 || self.items[item].load <= 0.0 {
            return;
        }
        let load = self.items[item].load;
        let room = |slots: f64, others: f64| (slots * UTILIZATION_MAX - others).max(ROOM_MIN);
        let mut total = 0.0;
        for at in &self.items[item].holders {
            let engine = &self.engines[*at];
            total += room(engine.slots, engine.load - engine.share_of(item));
        }
        self.set_shares(item, |slots, others| load * room(slots, others) / total);
    }

    /// Sets the share of each copy from its engine's slots and the load of the other artifacts there.
    fn set_shares(&mut self, item: usize, share: impl Fn(f64, f64) -> f64) {
        let holders = std::mem::take(&mut self.items[item].holders);
        for at in &holders {
            let engine = &mut self.engines[*at];
            let others = engine.load - engine.share_of(item);
            let updated = share(engine.slots, others);
            engine.load = others + updated;
            if let Some(copy) = engine.copies.iter_mut().find(|copy| copy.item == Some(item)) {
                copy.share = updated;
            }
        }
        self.items[item].holders = holders;
    }

    /// Returns the number of slots by which the load of an engine exceeds its usable slots.
    pub(super) fn overload(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        (engine.load - engine.slots * UTILIZATION_MAX).max(0.0)
    }

    /// Returns the number of usable slots that an engine has left.
    pub(super) fn spare_slots(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        (engine.slots * UTILIZATION_MAX - engine.load).max(0.0)
    }

    /// Returns the overload, in slots, that a copy of `item` at `engine` would remove.
    pub(super) fn gain(&self, item: usize, engine: usize) -> f64 {
        let relief: f64 = self.items[item]
            .holders
            .iter()
            .map(|at| self.overload(*at).min(self.engines[*at].share_of(item)))
            .sum();
        relief.min(self.spare_slots(engine))
    }

    /// Returns the overload, in slots, that dropping the copy of `item` at `engine` would cause.
    pub(super) fn loss(&self, item: usize, engine: usize) -> f64 {
        let share = self.engines[engine].share_of(item);
        let others = self.items[item].holders.iter().filter(|at| **at != engine);
        let room: f64 = others.map(|at| self.spare_slots(*at)).sum();
        (share - room).max(0.0)
    }
}

impl super::input::Candidate {
    fn share_of(&self, item: usize) -> f64 {
        self.copies.iter().find(|copy| copy.item == Some(item)).map_or(0.0, |copy| copy.share)
    }
}
