//! Retries that a process earns with its own requests.

use std::collections::VecDeque;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EARNED_KEPT, EARNED_PART, PERMIT_VALID_FOR};
use crate::settings::Settings;

/// Retries earned with the requests for one service.
#[derive(Debug)]
pub(super) struct Earned {
    /// Fraction of the next retry, below 1.
    fraction: f64,
    /// When each available retry was earned.
    times: VecDeque<Time>,
    /// Expiry of each permit that was granted and returned unused.
    returned: VecDeque<Time>,
}

impl Earned {
    /// Starts with a fraction derived from the process number. It differs between processes so that many
    /// processes with few requests each earn in sum as much as a single one would.
    pub(super) fn new(process: u64, service: &Name) -> Self {
        let hash = xxh3_64_with_seed(service.as_bytes(), process);
        Self { fraction: hash as f64 / u64::MAX as f64, times: VecDeque::new(), returned: VecDeque::new() }
    }

    /// Counts a request.
    pub(super) fn earn(&mut self, now: Time, settings: &Settings) {
        self.fraction += settings.repeat_ratio * EARNED_PART;
        while self.fraction >= 1.0 {
            self.fraction -= 1.0;
            self.times.push_back(now);
        }
        self.drop_expired(now, settings);
    }

    /// Returns the unused permit of an ended request; another request may use it until the same expiry.
    pub(super) fn return_permit(&mut self, until: Time) {
        self.returned.push_back(until);
    }

    /// Uses the retry that expires first and returns its expiry, if any is available.
    pub(super) fn take(&mut self, now: Time, settings: &Settings) -> Option<Time> {
        self.drop_expired(now, settings);
        self.returned.pop_front().or_else(|| self.times.pop_front().map(|_earned| now + PERMIT_VALID_FOR))
    }

    /// Number of retries available.
    pub(super) fn available(&self) -> usize {
        self.times.len() + self.returned.len()
    }

    fn drop_expired(&mut self, now: Time, settings: &Settings) {
        self.returned.retain(|until| now < *until);
        let kept = settings.repeat_window.mul_f64(EARNED_KEPT);
        while self.times.front().is_some_and(|at| now.since(*at) > kept) {
            self.times.pop_front();
        }
    }
}
