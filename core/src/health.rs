//! Health of a backend server: suspicion after failed contacts, ejection of outliers, slow start.

use std::time::Duration;

use crate::time::Time;

/// Duration of the first suspicion; doubles with each consecutive one.
const SUSPICION_MIN: Duration = Duration::from_millis(500);
/// Maximum duration of a suspicion or ejection.
const DURATION_MAX: Duration = Duration::from_secs(30);
/// Consecutive failures after which a backend server counts as an outlier.
const FAILURES_MAX: u32 = 5;
/// Duration of the first ejection of an outlier; doubles with each consecutive one.
const EJECTION_MIN: Duration = Duration::from_secs(2);
/// Time after its start until a backend server gets its full share of requests.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share of a backend server that has just started.
const SLOW_START_SHARE_MIN: f32 = 0.25;

/// Whether a backend server may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Without restriction.
    Good,
    /// A single request, to find out whether it answers again.
    Probe,
    /// Only if no other backend server is available.
    Suspected,
}

/// The health of one backend server, as observed by this process.
#[derive(Clone, Debug, Default)]
pub struct Health {
    avoided_until: Time,
    suspicions: u32,
    ejections: u32,
    failures: u32,
    started_at: Option<Time>,
}

impl Health {
    /// The health of a backend server that has just started.
    #[must_use]
    pub fn starting(now: Time) -> Self {
        Self { started_at: Some(now), ..Self::default() }
    }

    /// Whether it may get requests; `open` is the number of attempts that are open there.
    #[must_use]
    pub fn standing(&self, now: Time, open: u32) -> Standing {
        if self.suspicions == 0 && self.ejections == 0 {
            return Standing::Good;
        }
        if now >= self.avoided_until && open == 0 { Standing::Probe } else { Standing::Suspected }
    }

    /// Whether it is suspected or ejected.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspicions > 0 || self.ejections > 0
    }

    /// Suspects it for a while, after a connection could not be opened or became silent.
    pub fn suspect(&mut self, now: Time) {
        self.avoided_until = now + doubled(SUSPICION_MIN, self.suspicions);
        self.suspicions += 1;
    }

    /// Counts a failure after it accepted a request. Returns whether it has become an outlier.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_MAX
    }

    /// Ejects it for a while, as an outlier.
    pub fn eject(&mut self, now: Time) {
        self.avoided_until = now + doubled(EJECTION_MIN, self.ejections);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Clears suspicion, ejection and failures after a successful answer.
    pub fn record_success(&mut self) {
        self.suspicions = 0;
        self.ejections = 0;
        self.failures = 0;
    }

    /// Clears the suspicion since it responds. Failures stay counted, because the answer may still fail.
    pub fn clear_suspicion(&mut self) {
        self.suspicions = 0;
    }

    /// The share of its slots that it may get at this time of its slow start, from 0 to 1.
    #[must_use]
    pub fn slot_share(&self, now: Time) -> f32 {
        let Some(at) = self.started_at else {
            return 1.0;
        };
        let progress = now.since(at).as_secs_f32() / SLOW_START.as_secs_f32();
        SLOW_START_SHARE_MIN + (1.0 - SLOW_START_SHARE_MIN) * progress.min(1.0)
    }
}

fn doubled(first: Duration, times: u32) -> Duration {
    first.saturating_mul(1 << times.min(10)).min(DURATION_MAX)
}
