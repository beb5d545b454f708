//! Token bucket, and a decaying rate of units.

use std::time::Duration;

use boragecove_core::time::Time;

/// Half-life of a measured rate, in seconds.
const HALF_LIFE_S: f64 = 2.0;
/// Longest retry-after reported to a caller: demand will have changed by then.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Exponentially decaying rate, in units per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    per_s: f64,
    at: Time,
}

impl Rate {
    /// Adds `units` at `now`.
    pub(crate) fn add(&mut self, now: Time, units: f64) {
        self.per_s = self.per_s(now) + units * std::f64::consts::LN_2 / HALF_LIFE_S;
        self.at = now;
    }

    /// The rate at `now`, in units per second.
    pub(crate) fn per_s(&self, now: Time) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}

/// Fill rate and bounds of a bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Units per second.
    pub(crate) per_s: f64,
    /// Largest level, in units.
    pub(crate) burst: f64,
    /// Units by which requests may overdraw the bucket.
    pub(crate) debt: f64,
}

impl Capacity {
    /// Size for a part of the limit.
    pub(crate) fn part(self, part: f64) -> Self {
        Self { per_s: self.per_s * part, burst: self.burst * part, debt: self.debt * part }
    }

    /// Most units that can be taken at once.
    pub(crate) fn burst_max(self) -> f64 {
        self.burst + self.debt
    }

    /// Time in which the bucket gains `units`.
    pub(crate) fn time_to_fill(self, units: f64) -> Duration {
        Duration::try_from_secs_f64(units / self.per_s).unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    level: f64,
    at: Time,
    /// Units requested by callers that were denied and told when to retry.
    promised_units: f64,
}

impl Bucket {
    /// Starts fully overdrawn, because the previous holder of the share may have left its bucket so.
    pub(crate) fn new(now: Time, capacity: Capacity) -> Self {
        Self { level: -capacity.debt, at: now, promised_units: 0.0 }
    }

    /// Adds the units gained since the last call, up to `until`.
    pub(crate) fn refill(&mut self, now: Time, until: Time, capacity: Capacity) {
        let gained = now.min(until).since(self.at).as_secs_f64() * capacity.per_s;
        self.level = (self.level + gained).min(capacity.burst);
        self.promised_units = (self.promised_units - gained).max(0.0);
        self.at = self.at.max(now);
    }

    /// Takes `cost` units, and up to `prefetch` more if available. For a `cost` larger than the bucket ever
    /// holds, it takes what is there. Returns the units taken; otherwise the time until a request of this
    /// size can be admitted after those denied before it.
    pub(crate) fn take(&mut self, cost: f64, prefetch: f64, capacity: Capacity) -> Result<f64, Duration> {
        let available = self.level + capacity.debt;
        if cost > capacity.burst_max() && available > 0.0 {
            self.level -= available;
            return Ok(available);
        }
        if available < cost {
            let missing = cost - available + self.promised_units;
            self.promised_units += cost;
            return Err(capacity.time_to_fill(missing));
        }
        self.level -= cost;
        let extra = prefetch.min(self.level).max(0.0);
        self.level -= extra;
        Ok(cost + extra)
    }
}
