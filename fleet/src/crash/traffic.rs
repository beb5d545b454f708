//! Recent requests at this entry VM: how often each part of prompts occurs, in total and for each model.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use crate::request::Fingerprint;

/// Time for which requests are remembered.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of remembered requests.
const ARRIVALS_MAX: usize = 1_024;
/// Weight of the prior for all requests, and for those for one model, in requests.
const PRIOR: f64 = 10.0;
const MODEL_PRIOR: f64 = 2.0;

#[derive(Debug)]
struct Arrived {
    at: Time,
    model: Name,
    parts: Arc<[Fingerprint]>,
}

/// Recent requests.
#[derive(Debug, Default)]
pub(super) struct Traffic(VecDeque<Arrived>);

/// How often a part occurs.
#[derive(Debug)]
pub(super) struct Shares<'a> {
    overall: f64,
    /// For each model the number of requests with the part, and of all.
    counts: FxHashMap<&'a Name, (usize, usize)>,
}

impl Traffic {
    /// Records a request for a model.
    pub(super) fn record(&mut self, model: &Name, parts: &Arc<[Fingerprint]>, now: Time) {
        let first = now - WINDOW;
        while self.0.front().is_some_and(|arrived| arrived.at < first) || self.0.len() >= ARRIVALS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(Arrived { at: now, model: model.clone(), parts: Arc::clone(parts) });
    }

    /// How often a part occurs.
    pub(super) fn shares(&self, part: Fingerprint) -> Shares<'_> {
        let mut counts: FxHashMap<&Name, (usize, usize)> = FxHashMap::default();
        for arrived in &self.0 {
            let (with, all) = counts.entry(&arrived.model).or_default();
            *with += usize::from(arrived.parts.contains(&part));
            *all += 1;
        }
        let with: usize = counts.values().map(|(with, _)| with).sum();
        let overall = (with as f64 + 1.0) / (self.0.len() as f64 + PRIOR);
        Shares { overall: overall.min(1.0), counts }
    }
}

impl Shares<'_> {
    /// The fraction of a model's requests that contain the part, which is close to the fraction of all requests
    /// while only few for the model are known.
    pub(super) fn of(&self, model: &Name) -> f64 {
        let (with, all) = self.counts.get(model).copied().unwrap_or_default();
        (with as f64 + MODEL_PRIOR * self.overall) / (all as f64 + MODEL_PRIOR)
    }

    /// The fraction of all requests that contain the part.
    pub(super) const fn overall(&self) -> f64 {
        self.overall
    }
}
