//! How far an engine is trusted, by what came of it lately.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::settings::Settings;

/// For how long a sound engine may say nothing and take no connection.
const SILENT_MAX: Duration = Duration::from_millis(1_500);

/// How far an engine is trusted.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Until when it gets no work, since it could not be reached or went silent.
    pub suspect_until: Option<Time>,
    /// Since when it has been suspected without a word from it.
    pub(crate) suspected_since: Option<Time>,
    /// Whether its port refused the last try: its process has ended, or something on the way refuses in its place.
    pub(crate) refuses: bool,
    /// Until when it wants nothing from this process, as it said when it turned a request away.
    pub paused_until: Option<Time>,
    /// How long the last suspicion was; the next is twice as long.
    pub suspicion: Duration,
    /// Failures lately: each adds one, and they halve with time.
    faults: f64,
    faults_at: Time,
    /// When anything last came from it.
    pub heard: Time,
    /// When it was last sent a request from here.
    pub sent: Option<Time>,
    /// When it was last asked whether it is well.
    pub asked: Time,
    /// When a suspicion was last logged.
    pub(crate) logged_at: Option<Time>,
    /// Whether the suspicion that there is was logged, so that its end is to be.
    pub(crate) is_logged: bool,
}

impl Health {
    /// Something came from the engine.
    pub fn hear(&mut self, now: Time) {
        self.heard = now;
        self.suspect_until = None;
        self.suspected_since = None;
        self.refuses = false;
        self.suspicion = Duration::ZERO;
    }

    /// The engine could not be reached, or was silent for too long.
    pub fn suspect(&mut self, now: Time, settings: &Settings) {
        let least = settings.suspicion_min;
        self.suspicion = (self.suspicion * 2).clamp(least, settings.suspicion_max);
        self.suspect_until = Some(now + self.suspicion);
        self.suspected_since.get_or_insert(now);
    }

    /// Whether it may have fallen silent for a moment, and go on with all that it holds.
    #[must_use]
    pub fn may_go_on(&self, now: Time) -> bool {
        !self.refuses && self.suspected_since.is_some_and(|since| now.since(since) < SILENT_MAX)
    }

    /// Whether it is suspected now.
    #[must_use]
    pub fn suspected(&self, now: Time) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// How much longer it wants nothing from this process; none if it takes requests.
    #[must_use]
    pub fn pause(&self, now: Time) -> Option<Duration> {
        self.paused_until.filter(|until| now < *until).map(|until| until.since(now))
    }

    /// A request failed there after it had been sent.
    pub fn fail(&mut self, now: Time, settings: &Settings) {
        self.faults = self.faults(now, settings) + 1.0;
        self.faults_at = now;
    }

    /// Failures lately.
    #[must_use]
    pub fn faults(&self, now: Time, settings: &Settings) -> f64 {
        let halvings = now.since(self.faults_at).as_secs_f64() / settings.fault_half_life.as_secs_f64();
        self.faults * (-halvings).exp2()
    }
}
