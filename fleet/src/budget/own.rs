//! Repeats that a process has earned with its own requests.

use std::collections::VecDeque;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{OWN_KEPT, OWN_PART, PERMIT_KEPT};
use crate::settings::Settings;

/// What was earned with requests for one service.
#[derive(Debug)]
pub(super) struct Own {
    /// A part of a repeat; below 1.
    part: f64,
    /// When each whole one was earned.
    earned: VecDeque<Time>,
    /// Until when each may be sent that was allowed and not sent.
    returned: VecDeque<Time>,
}

impl Own {
    /// Of a process that begins, by its number, with a part that differs from process to process: where each of many gets few requests, they earn in
    /// sum what one alone would.
    pub(super) fn new(process: u64, service: &Name) -> Self {
        let drawn = xxh3_64_with_seed(service.as_bytes(), process);
        Self { part: drawn as f64 / u64::MAX as f64, earned: VecDeque::new(), returned: VecDeque::new() }
    }

    /// A request came.
    pub(super) fn earn(&mut self, now: Time, settings: &Settings) {
        self.part += settings.repeat_ratio * OWN_PART;
        while self.part >= 1.0 {
            self.part -= 1.0;
            self.earned.push_back(now);
        }
        self.tidy(now, settings);
    }

    /// One was allowed, and its request has ended without it: another may be sent instead, until the same time.
    pub(super) fn put_back(&mut self, until: Time) {
        self.returned.push_back(until);
    }

    /// Uses a repeat, the one that lapses first. Returns until when it may be sent, if there is one.
    pub(super) fn take(&mut self, now: Time, settings: &Settings) -> Option<Time> {
        self.tidy(now, settings);
        self.returned.pop_front().or_else(|| self.earned.pop_front().map(|_earned| now + PERMIT_KEPT))
    }

    /// Repeats that may be used.
    pub(super) fn left(&self) -> usize {
        self.earned.len() + self.returned.len()
    }

    fn tidy(&mut self, now: Time, settings: &Settings) {
        self.returned.retain(|until| now < *until);
        let kept = settings.repeat_window.mul_f64(OWN_KEPT);
        while self.earned.front().is_some_and(|at| now.since(*at) > kept) {
            self.earned.pop_front();
        }
    }
}
