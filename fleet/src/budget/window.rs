//! Sliding-window counter with time slices.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::time::Time;

use super::{arrival_window, slice_length};
use crate::settings::Settings;

/// Recent counts.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    /// Start and count of each slice.
    slices: VecDeque<(Time, u32)>,
}

impl Window {
    /// Adds `count` at `now`.
    pub(super) fn add(&mut self, now: Time, count: u32, settings: &Settings) {
        let length = slice_length(settings);
        let kept = arrival_window(settings) + length;
        while self.slices.front().is_some_and(|(from, _)| now.since(*from) > kept) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some((from, counted)) if now.since(*from) < length => *counted = counted.saturating_add(count),
            Some(_) | None => self.slices.push_back((now, count)),
        }
    }

    /// Counts by age: index `i` holds the slices that began `i` whole `length`s ago. Trailing zeros are
    /// left out.
    pub(super) fn by_age(&self, now: Time, length: Duration) -> Vec<u32> {
        let mut ages = Vec::new();
        for (from, count) in self.slices.iter().rev().filter(|(_, count)| *count > 0) {
            let age = now.since(*from).div_duration_f64(length) as usize;
            ages.resize(ages.len().max(age + 1), 0);
            ages[age] = u32::saturating_add(ages[age], *count);
        }
        ages
    }

    /// Inverse of `by_age`. The youngest counts of each age are taken to be `before` older than their index
    /// says.
    pub(super) fn from_ages(now: Time, ages: &[u32], length: Duration, before: Duration) -> Self {
        let parts = ages.iter().enumerate().rev();
        Self { slices: parts.map(|(age, count)| (now - (length * age as u32 + before), *count)).collect() }
    }

    /// Sum of the slices that began within this time.
    pub(super) fn sum(&self, now: Time, within: Duration) -> u32 {
        let within = self.slices.iter().filter(|(from, _)| now.since(*from) <= within);
        within.fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }
}
