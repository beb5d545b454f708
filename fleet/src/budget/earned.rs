//! Retries that a process earns with its own requests.

use std::collections::VecDeque;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{OWN_KEPT, OWN_PART, PERMIT_KEPT};
use crate::settings::Settings;

/// Retries earned with the requests for one service.
#[derive(Debug)]
pub(super) struct Earned {
    /// Fraction of the next retry, below 1.
    part: f64,
    /// When each available retry was earned.
    times: VecDeque<Time>,
    /// Expiry of each permit that was granted and returned unused.
    returned: VecDeque<Time>,
}

impl Earned {
    /// Starts with a fraction derived from the process number. It differs between processes so that many
    /// processes with few requests each earn in sum as much as a single one would.
    pub(super) fn new(process: u64, service: &Name) -> Self {
        let drawn = xxh3_64_with_seed(service.as_bytes(), process);
        Self { part: drawn as f64 / u64::MAX as f64, times: VecDeque::new(), returned: VecDeque::new() }
    }

    /// Counts a request.
    pub(super) fn earn(&mut self, now: Time, settings: &Settings) {
        self.part += settings.repeat_ratio * OWN_PART;
        while self.part >= 1.0 {
            self.part -= 1.0;
            self.times.push_back(now);
        }
        self.tidy(now, settings);
    }

    /// Returns the unused permit of an ended request; another request may use it until the same expiry.
    pub(super) fn put_back(&mut self, until: Time) {
        self.returned.push_back(until);
    }

    /// Uses the retry that expires first and returns its expiry, if any is available.
    pub(super) fn take(&mut self, now: Time, settings: &Settings) -> Option<Time> {
        self.tidy(now, settings);
        self.returned.pop_front().or_else(|| self.times.pop_front().map(|_earned| now + PERMIT_KEPT))
    }

    /// Number of retries available.
    pub(super) fn left(&self) -> usize {
        self.times.len() + self.returned.len()
    }

    fn tidy(&mut self, now: Time, settings: &Settings) {
        self.returned.retain(|until| now < *until);
        let kept = settings.repeat_window.mul_f64(OWN_KEPT);
        while self.times.front().is_some_and(|at| now.since(*at) > kept) {
            self.times.pop_front();
        }
    }
}
