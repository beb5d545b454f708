//! Changes that nobody waits for, which make the next ones fast.

use boragecove_core::name::Name;

use crate::engine::Phase;
use crate::ledger;
use crate::place::{Move, Placer, Source, Spot, source};
use crate::settings::Mechanism;

/// One engine in this many may be loading a model ahead of demand: a load keeps it from other orders.
const AHEAD_PART: usize = 4;
/// Loads from the weight store that must be left, beyond the reserve, for one ahead of demand.
const COLD_FOR_AHEAD: usize = 3;
/// Engines that a model's weights are brought to ahead of demand, as a part of all.
const AHEAD_SPREAD: f64 = 0.7;

impl Placer<'_> {
    /// A copy that nobody uses, at an engine without room for any other model.
    pub(super) fn spare(&self) -> Option<Move> {
        if self.view.without.contains(&Mechanism::EarlyDrop) {
            return None;
        }
        let largest_mb = self.worths.largest_mb;
        for spot in
            self.view.spots.iter().filter(|spot| spot.usable && spot.idle && spot.free_mb < largest_mb)
        {
            let unused = spot.copies.iter().find(|(model, phase)| {
                *phase == Phase::Ready && self.worths.unused(model) && self.tally.ready(model) >= 2
            });
            if let Some((model, _)) = unused {
                return Some(Move { engine: spot.engine.clone(), drop: Some(model.clone()), load: None });
            }
        }
        None
    }

    /// A model to load where it never was, into a room that is free.
    pub(super) fn ahead(&self) -> Option<Move> {
        if self.view.without.contains(&Mechanism::LoadsAhead) || !self.may_prepare() {
            return None;
        }
        let enough = self.view.spots.len() as f64 * AHEAD_SPREAD;
        let near = |model: &Name| self.view.spots.iter().filter(|spot| keeps(spot, model)).count();
        let mut models: Vec<(usize, &Name, f64)> = Vec::new();
        for model in &self.view.pool.models {
            let count = near(&model.name);
            if (count as f64) < enough {
                models.push((count, &model.name, model.memory_mb));
            }
        }
        models.sort_by_key(|(count, ..)| *count);
        models.iter().filter(|(_, model, _)| self.view.cold_is_fast(model)).find_map(
            |(_, model, memory_mb)| {
                let fits = |spot: &&Spot| {
                    spot.usable && spot.idle && spot.free_mb >= *memory_mb && !keeps(spot, model)
                };
                let spot = self
                    .view
                    .spots
                    .iter()
                    .filter(fits)
                    .min_by_key(|spot| (spot.open, spot.cached.disk.len()))?;
                Some(Move { engine: spot.engine.clone(), drop: None, load: Some((*model).clone()) })
            },
        )
    }

    /// Whether the weight store and the engines have time for loads that nobody waits for.
    fn may_prepare(&self) -> bool {
        let loading = |spot: &&Spot| spot.copies.iter().any(|(_, phase)| *phase == Phase::Loading);
        let in_use = !self.view.watched.is_zero();
        let limit = if in_use { self.view.spots.len() / AHEAD_PART } else { self.view.spots.len() };
        !self.short
            && ledger::beyond_reserve(self.view.cold_left) >= COLD_FOR_AHEAD
            && self.view.spots.iter().filter(loading).count() < limit
    }
}

/// Whether an engine holds a model or keeps its weights.
fn keeps(spot: &Spot, model: &Name) -> bool {
    source(spot, model) != Source::Store || spot.holds(model)
}
