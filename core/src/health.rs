//! What is known of a back end's health: suspicion on evidence, ejection of outliers, slow start.

use std::time::Duration;

use crate::time::Time;

/// How long the first suspicion of a back end lasts; it doubles with each in a row.
const SUSPICION: Duration = Duration::from_millis(500);
/// The longest that suspicion or ejection lasts.
const LONGEST: Duration = Duration::from_secs(30);
/// Failures in a row after which a back end counts as an outlier.
const FAULTS_MAX: u32 = 5;
/// How long the first ejection of an outlier lasts; it doubles with each in a row.
const EJECTION: Duration = Duration::from_secs(2);
/// How long a fresh back end takes to get its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// The share that a fresh back end gets at first.
const SLOW_START_FLOOR: f32 = 0.25;

/// Whether a back end is to get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Yes.
    Good,
    /// One request, to see whether it answers again.
    Probe,
    /// Only if there is nothing better.
    Doubtful,
}

/// The health of one back end, as this process has found it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    doubt_until: Time,
    strikes: u32,
    ejections: u32,
    faults: u32,
    fresh_at: Option<Time>,
}

impl Health {
    /// The health of a back end that has just started.
    #[must_use]
    pub fn fresh(now: Time) -> Self {
        Self { fresh_at: Some(now), ..Self::default() }
    }

    /// Whether it is to get work, given the tries that are open there.
    #[must_use]
    pub fn standing(&self, now: Time, open: u32) -> Standing {
        if self.strikes == 0 && self.ejections == 0 {
            return Standing::Good;
        }
        if now >= self.doubt_until && open == 0 { Standing::Probe } else { Standing::Doubtful }
    }

    /// Whether there is any doubt about it.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        self.strikes > 0 || self.ejections > 0
    }

    /// No connection came about, or one went silent.
    pub fn suspect(&mut self, now: Time) {
        self.doubt_until = now + doubled(SUSPICION, self.strikes);
        self.strikes += 1;
    }

    /// It failed after taking a request. Returns whether it has become an outlier.
    pub fn fault(&mut self) -> bool {
        self.faults += 1;
        self.faults >= FAULTS_MAX
    }

    /// It is left out for a while, as an outlier.
    pub fn eject(&mut self, now: Time) {
        self.doubt_until = now + doubled(EJECTION, self.ejections);
        self.ejections += 1;
        self.faults = 0;
    }

    /// It answered: all doubt is gone.
    pub fn good(&mut self) {
        self.strikes = 0;
        self.ejections = 0;
        self.faults = 0;
    }

    /// It answers: it is not suspected any more, though it may still prove to fail.
    pub fn alive(&mut self) {
        self.strikes = 0;
    }

    /// The part of its slots that it is to be given by now.
    #[must_use]
    pub fn share(&self, now: Time) -> f32 {
        let Some(at) = self.fresh_at else {
            return 1.0;
        };
        let part = now.since(at).as_secs_f32() / SLOW_START.as_secs_f32();
        SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * part.min(1.0)
    }
}

fn doubled(first: Duration, times: u32) -> Duration {
    first.saturating_mul(1 << times.min(10)).min(LONGEST)
}
