//! The health of an engine, as judged by the results of recent requests and health checks.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::settings::Settings;

/// How long a healthy engine may send nothing and accept no connections.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// The health of an engine as observed by this process.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Until when it is suspected and gets no work, because it was unreachable or silent.
    pub suspect_until: Option<Time>,
    /// Since when it has been suspected without any response from it.
    pub(crate) suspected_since: Option<Time>,
    /// Whether its port refused the last connection attempt: its process has ended, or a device on the path rejects connections to it.
    pub(crate) connection_refused: bool,
    /// Until when it wants no requests from this process, as it stated in a rejection.
    pub paused_until: Option<Time>,
    /// Duration of the last suspicion; it doubles each time.
    pub suspicion: Duration,
    /// Number of recent failures, which decays exponentially.
    failures: f64,
    failures_at: Time,
    /// When it last responded.
    pub last_heard: Time,
    /// When this process last sent a request to it.
    pub last_sent: Option<Time>,
    /// When this process last sent it a health check.
    pub last_checked: Time,
    /// When a suspicion was last logged.
    pub(crate) logged_at: Option<Time>,
    /// Whether the current suspicion was logged, in which case its end has to be logged too.
    pub(crate) is_logged: bool,
}

impl Health {
    /// Records a response, which ends a suspicion and resets the backoff.
    pub fn record_response(&mut self, now: Time) {
        self.last_heard = now;
        self.suspect_until = None;
        self.suspected_since = None;
        self.connection_refused = false;
        self.suspicion = Duration::ZERO;
    }

    /// Suspects the engine because it was unreachable or silent for too long.
    pub fn suspect(&mut self, now: Time, settings: &Settings) {
        let least = settings.suspicion_min;
        self.suspicion = (self.suspicion * 2).clamp(least, settings.suspicion_max);
        self.suspect_until = Some(now + self.suspicion);
        self.suspected_since.get_or_insert(now);
    }

    /// Whether its silence may be temporary, so that it can still resume with its models and requests in place.
    #[must_use]
    pub fn may_resume(&self, now: Time) -> bool {
        !self.connection_refused && self.suspected_since.is_some_and(|since| now.since(since) < SILENCE_MAX)
    }

    /// Whether it is suspected at `now`.
    #[must_use]
    pub fn is_suspected(&self, now: Time) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// How much longer it wants no requests from this process; none if it takes requests.
    #[must_use]
    pub fn pause_left(&self, now: Time) -> Option<Duration> {
        self.paused_until.filter(|until| now < *until).map(|until| until.since(now))
    }

    /// Records the failure of a request that had been sent to it.
    pub fn record_failure(&mut self, now: Time, settings: &Settings) {
        self.failures = self.recent_failures(now, settings) + 1.0;
        self.failures_at = now;
    }

    /// Number of recent failures, decayed to `now`.
    #[must_use]
    pub fn recent_failures(&self, now: Time, settings: &Settings) -> f64 {
        let halvings = now.since(self.failures_at).as_secs_f64() / settings.fault_half_life.as_secs_f64();
        self.failures * (-halvings).exp2()
    }
}
