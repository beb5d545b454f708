//! Estimate of the probability that a run breaks by chance, from the runs of the last seconds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;

use super::parts::Context;
use super::register::EVIDENCE_TTL;
use crate::request::Fingerprint;

/// Lower bound of the assumed probability that a run breaks by chance: engines that share a machine or a rack
/// fail together.
pub(super) const CHANCE_MIN: f64 = 0.01;
/// Prior of the estimate: assumed numbers of runs that succeeded and of runs that broke before any were
/// observed.
const PRIOR_SERVED: f64 = 10.0;
const PRIOR_BROKEN: f64 = 0.2;
/// Window of runs from which the probability is estimated.
pub(super) const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of broken runs that are stored.
const BROKEN_MAX: usize = 4_096;
/// Time for which broken runs are stored.
const BROKEN_TTL: Duration = EVIDENCE_TTL;
/// Crashes of different engines within this time may have the same cause.
const SAME_MOMENT: Duration = Duration::from_millis(300);
/// Maximum number of stored times of successful answers: more do not improve the estimate.
const SERVED_MAX: usize = 4_096;

/// A run that the crash of an engine broke.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    pub(super) request: Fingerprint,
    pub(super) engine: Name,
    pub(super) sent: Time,
    pub(super) at: Time,
    pub(super) parts: Arc<[Fingerprint]>,
    /// The model, if it is known.
    pub(super) model: Option<Name>,
}

/// Runs of the last seconds.
#[derive(Debug, Default)]
pub(super) struct Chance {
    /// Runs that broke at any entry VM.
    broken: VecDeque<Broken>,
    /// Times at which answers were found to be successful at this entry VM.
    served: VecDeque<Time>,
    /// Number of recorded broken runs.
    recorded: u64,
}

impl Chance {
    /// Records a successful answer at this entry VM.
    pub(super) fn record_success(&mut self, now: Time) {
        let first = now - WINDOW;
        while self.served.front().is_some_and(|at| *at < first) || self.served.len() >= SERVED_MAX {
            self.served.pop_front();
        }
        self.served.push_back(now);
    }

    /// Records a run that a crash broke at any entry VM.
    pub(super) fn record_broken_run(&mut self, run: Broken, now: Time) {
        let first = now - BROKEN_TTL;
        while self.broken.front().is_some_and(|run| run.at < first) || self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        self.recorded += 1;
        self.broken.push_back(run);
    }

    /// Number of recorded broken runs: estimates change with it.
    pub(super) const fn recorded(&self) -> u64 {
        self.recorded
    }

    /// The runs that broke from `first` on, except those at engines that ended under a quarantined part.
    pub(super) fn unexplained<'a>(
        &'a self,
        first: Time,
        context: &Context<'_>,
    ) -> impl Iterator<Item = &'a Broken> {
        let recent = move || self.broken.iter().filter(move |run| run.at >= first);
        let explained: FxHashSet<&Name> = recent()
            .filter(|run| run.parts.iter().any(|part| (context.is_quarantined_part)(*part)))
            .map(|run| &run.engine)
            .collect();
        recent().filter(move |run| !explained.contains(&run.engine))
    }

    /// Estimates the probability, without the runs that `without` selects.
    pub(super) fn estimate(&self, context: &Context<'_>, without: impl Fn(&Broken) -> bool) -> f64 {
        let first = context.now - WINDOW;
        let others = self.unexplained(first, context).filter(|run| !without(run));
        let broken = others.count() as f64 + PRIOR_BROKEN;
        let served = self.served.iter().filter(|at| **at >= first).count() * context.nodes.max(1);
        let runs = broken + served as f64 + PRIOR_SERVED;
        (broken / runs).max(CHANCE_MIN)
    }

    /// Whether another engine crashed within [`SAME_MOMENT`] of this crash for a cause of its own: none of its
    /// broken runs is one that `explains` selects.
    pub(super) fn has_other_cause(
        &self,
        engine: &Name,
        at: Time,
        explains: impl Fn(&Broken) -> bool,
    ) -> bool {
        let is_near = |run: &&Broken| at.since(run.at).max(run.at.since(at)) < SAME_MOMENT;
        let near = || self.broken.iter().filter(is_near).filter(|run| run.engine != *engine);
        let explained: FxHashSet<&Name> = near().filter(|run| explains(run)).map(|run| &run.engine).collect();
        near().any(|run| !explained.contains(&run.engine))
    }
}
