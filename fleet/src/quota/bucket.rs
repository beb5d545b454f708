//! A token bucket, and the rate at which units are asked for or spent.

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
    /// So many units were counted.
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
    /// Units below nothing that requests may take it to.
    pub(crate) debt: f64,
}

impl Size {
    /// Of a part of it.
    pub(crate) fn part(self, part: f64) -> Self {
        Self { per_s: self.per_s * part, burst: self.burst * part, debt: self.debt * part }
    }

    /// Units that can come at once, if none came for long.
    pub(crate) fn at_once(self) -> f64 {
        self.burst + self.debt
    }

    /// Time in which so many units come in.
    pub(crate) fn time_for(self, units: f64) -> Duration {
        Duration::try_from_secs_f64(units / self.per_s).unwrap_or(WAIT_MAX).min(WAIT_MAX)
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
    /// One that begins as low as it may get: whoever had the share before may have left it so.
    pub(crate) fn new(now: Time, size: Size) -> Self {
        Self { level: -size.debt, at: now, promised: 0.0 }
    }

    /// Counts what has come in since the last look, up to `until`.
    pub(crate) fn settle(&mut self, now: Time, until: Time, size: Size) {
        let fed = now.min(until).since(self.at).as_secs_f64() * size.per_s;
        self.level = (self.level + fed).min(size.burst);
        self.promised = (self.promised - fed).max(0.0);
        self.at = self.at.max(now);
    }

    /// Takes what a request counts, and up to `ahead` beyond that if it is there. Of a request that counts more than ever comes at
    /// once, it takes what is there. Returns what was taken, or how long it takes until a request of that size can be let in:
    /// behind those that were told a time before.
    pub(crate) fn take(&mut self, cost: f64, ahead: f64, size: Size) -> Result<f64, Duration> {
        let there = self.level + size.debt;
        if cost > size.at_once() && there > 0.0 {
            self.level -= there;
            return Ok(there);
        }
        if there < cost {
            let missing = cost - there + self.promised;
            self.promised += cost;
            return Err(size.time_for(missing));
        }
        self.level -= cost;
        let more = ahead.min(self.level).max(0.0);
        self.level -= more;
        Ok(cost + more)
    }
}
