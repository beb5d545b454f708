//! What a placement is worth: how demand falls to engines, and what a copy more or less changes.

use super::input::Input;

/// Share of an engine's slots that demand may take before requests begin to miss their targets.
pub(super) const UTILIZATION_MAX: f64 = 0.8;
/// Rounds in which demand is shared out between an artifact's copies.
const ROUNDS: usize = 3;
/// Room counted for an engine that is full, in slots, so that it keeps a small share.
const ROOM_LEAST: f64 = 0.05;

impl Input {
    /// Shares each artifact's demand out between its copies by the room their engines have.
    pub(super) fn distribute_load(&mut self) {
        for host in &mut self.engines {
            host.load = 0.0;
        }
        for item in 0..self.items.len() {
            let copies = self.items[item].holders.len().max(1) as f64;
            let even = self.items[item].load / copies;
            self.each_copy(item, |_, _| even);
        }
        for _ in 0..ROUNDS {
            for item in 0..self.items.len() {
                self.rebalance(item);
            }
        }
    }

    /// Shares one artifact's demand out anew.
    pub(super) fn rebalance(&mut self, item: usize) {
        if self.items[item].holders.len() < 2 || self.items[item].load <= 0.0 {
            return;
        }
        let load = self.items[item].load;
        let room = |slots: f64, others: f64| (slots * UTILIZATION_MAX - others).max(ROOM_LEAST);
        let mut total = 0.0;
        for at in &self.items[item].holders {
            let host = &self.engines[*at];
            total += room(host.slots, host.load - host.share_of(item));
        }
        self.each_copy(item, |slots, others| load * room(slots, others) / total);
    }

    /// Sets the share of each copy by its engine's slots and the load of others there.
    fn each_copy(&mut self, item: usize, share: impl Fn(f64, f64) -> f64) {
        let holders = std::mem::take(&mut self.items[item].holders);
        for at in &holders {
            let host = &mut self.engines[*at];
            let others = host.load - host.share_of(item);
            let fresh = share(host.slots, others);
            host.load = others + fresh;
            if let Some(held) = host.copies.iter_mut().find(|held| held.item == Some(item)) {
                held.share = fresh;
            }
        }
        self.items[item].holders = holders;
    }

    /// Slots by which an engine is asked for too much.
    pub(super) fn overload(&self, host: usize) -> f64 {
        let host = &self.engines[host];
        (host.load - host.slots * UTILIZATION_MAX).max(0.0)
    }

    /// Slots that an engine has left.
    pub(super) fn spare_slots(&self, host: usize) -> f64 {
        let host = &self.engines[host];
        (host.slots * UTILIZATION_MAX - host.load).max(0.0)
    }

    /// Slots of excess that a copy of `item` at `host` would take away.
    pub(super) fn gain(&self, item: usize, host: usize) -> f64 {
        let relief: f64 = self.items[item]
            .holders
            .iter()
            .map(|at| self.overload(*at).min(self.engines[*at].share_of(item)))
            .sum();
        relief.min(self.spare_slots(host))
    }

    /// Slots of excess that the loss of the copy of `item` at `host` would bring.
    pub(super) fn loss(&self, item: usize, host: usize) -> f64 {
        let share = self.engines[host].share_of(item);
        let others = self.items[item].holders.iter().filter(|at| **at != host);
        let room: f64 = others.map(|at| self.spare_slots(*at)).sum();
        (share - room).max(0.0)
    }
}

impl super::input::Candidate {
    fn share_of(&self, item: usize) -> f64 {
        self.copies.iter().find(|held| held.item == Some(item)).map_or(0.0, |held| held.share)
    }
}
