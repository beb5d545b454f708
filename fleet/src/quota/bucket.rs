//! A token bucket, and the rate at which it is asked.

use std::time::Duration;

use boragecove_core::time::Time;

/// Time in which a remembered rate halves.
const HALF_LIFE_S: f64 = 2.0;
/// The longest time that a caller is told to come back after: demand is another by then.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Units a second, as observed: older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    per_s: f64,
    at: Time,
}

impl Rate {
    /// So many units were asked for.
    pub(crate) fn add(&mut self, now: Time, units: f64) {
        self.per_s = self.per_s(now) + units * std::f64::consts::LN_2 / HALF_LIFE_S;
        self.at = now;
    }

    /// Units a second.
    pub(crate) fn per_s(&self, now: Time) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}

/// How fast a bucket fills, and what it holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Size {
    /// Units a second.
    pub(crate) per_s: f64,
    /// Units at most.
    pub(crate) burst: f64,
    /// Units below nothing that a request may take it to, so that a large one is not refused for ever by a small bucket.
    pub(crate) debt: f64,
}

impl Size {
    /// Of a part of it.
    pub(crate) fn part(self, part: f64) -> Self {
        Self { per_s: self.per_s * part, burst: self.burst * part, debt: self.debt * part }
    }
}

/// Units that may be spent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    level: f64,
    at: Time,
    /// Units of callers that were told when to come back.
    promised: f64,
}

impl Bucket {
    /// An empty one.
    pub(crate) fn new(now: Time) -> Self {
        Self { level: 0.0, at: now, promised: 0.0 }
    }

    /// Counts what has come in since the last look, up to `until`.
    pub(crate) fn settle(&mut self, now: Time, until: Time, size: Size) {
        let fed = now.min(until).since(self.at).as_secs_f64() * size.per_s;
        self.level = (self.level + fed).min(size.burst);
        self.promised = (self.promised - fed).max(0.0);
        self.at = self.at.max(now);
    }

    /// Takes what a request counts, and up to `ahead` beyond that if it is there. Returns what was taken, or how long it
    /// takes until a request of that size can be let in: behind those that were told a time before.
    pub(crate) fn take(&mut self, cost: f64, ahead: f64, size: Size) -> Result<f64, Duration> {
        let least = (cost - size.debt).min(size.burst);
        if self.level < least {
            let missing = least - self.level + self.promised;
            self.promised += cost;
            let wait = Duration::try_from_secs_f64(missing / size.per_s);
            return Err(wait.unwrap_or(WAIT_MAX).min(WAIT_MAX));
        }
        self.level -= cost;
        let more = ahead.min(self.level).max(0.0);
        self.level -= more;
        Ok(cost + more)
    }
}
