//! Counts of the copies of models by phase and by availability zone.

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;

use crate::engine::Phase;
use crate::place::Candidate;

/// Counts of the copies at usable engines.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    by_model: FxHashMap<Name, Count>,
    by_zone: FxHashMap<(Name, Name), usize>,
    /// Counts of the copies at engines with a rate limit.
    limited: FxHashMap<Name, Count>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    ready: usize,
    loading: usize,
    closing: usize,
}

impl Count {
    const fn of(&mut self, phase: Phase) -> &mut usize {
        match phase {
            Phase::Ready => &mut self.ready,
            Phase::Loading => &mut self.loading,
            Phase::Closing => &mut self.closing,
        }
    }
}

impl Tally {
    /// Counts the copies at all usable engines.
    pub(crate) fn of(candidates: &[Candidate]) -> Self {
        let mut tally = Self::default();
        for candidate in candidates.iter().filter(|candidate| candidate.usable) {
            for (model, phase) in &candidate.copies {
                tally.add(model, *phase, &candidate.zone);
                if candidate.rate_limited {
                    *tally.limited.entry(model.clone()).or_default().of(*phase) += 1;
                }
            }
        }
        tally
    }

    /// Adds a copy.
    pub(crate) fn add(&mut self, model: &Name, phase: Phase, zone: &Name) {
        *self.by_model.entry(model.clone()).or_default().of(phase) += 1;
        *self.by_zone.entry((model.clone(), zone.clone())).or_default() += 1;
    }

    /// Removes a copy.
    pub(crate) fn remove(&mut self, model: &Name, phase: Phase, zone: &Name) {
        if let Some(count) = self.by_model.get_mut(model) {
            let count = count.of(phase);
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.by_zone.get_mut(&(model.clone(), zone.clone())) {
            *count = count.saturating_sub(1);
        }
    }

    fn count(&self, model: &Name) -> Count {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Number of ready copies.
    pub(crate) fn ready(&self, model: &Name) -> usize {
        self.count(model).ready
    }

    /// Number of copies that are being loaded.
    pub(crate) fn loading(&self, model: &Name) -> usize {
        self.count(model).loading
    }

    /// Number of copies that are being dropped.
    pub(crate) fn closing(&self, model: &Name) -> usize {
        self.count(model).closing
    }

    /// Number of copies that are ready or being loaded.
    pub(crate) fn expected(&self, model: &Name) -> usize {
        let count = self.count(model);
        count.ready + count.loading
    }

    /// Number of copies that are ready or being loaded at engines without a rate limit.
    pub(crate) fn expected_unlimited(&self, model: &Name) -> usize {
        let limited = self.limited.get(model).copied().unwrap_or_default();
        self.expected(model).saturating_sub(limited.ready + limited.loading)
    }

    /// Number of ready copies at engines without a rate limit.
    pub(crate) fn ready_unlimited(&self, model: &Name) -> usize {
        let limited = self.limited.get(model).copied().unwrap_or_default();
        self.ready(model).saturating_sub(limited.ready)
    }

    /// Number of copies in an availability zone.
    pub(crate) fn in_zone(&self, model: &Name, zone: &Name) -> usize {
        self.by_zone.get(&(model.clone(), zone.clone())).copied().unwrap_or_default()
    }
}
