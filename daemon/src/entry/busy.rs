//! Measures how long the node's event loop is busy, and with what. Meanwhile every request, frame and engine's answer
//! waits.

use std::time::Duration;

use boragecove_core::time::Time;
use serde::Serialize;

/// Length of the interval that one log line covers.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the interval for which the loop must be busy for the interval to be logged.
const LOGGED_SHARE: f64 = 0.2;

/// An interval of about a second in which the loop was busy for a large share of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Interval {
    /// Length of the interval.
    within_ms: u64,
    /// Time in it for which the loop was busy.
    busy_ms: u64,
    /// Number of steps in it.
    steps: u32,
    /// Label of the longest step.
    longest: &'static str,
    /// Duration of the longest step.
    longest_ms: u64,
}

/// Adds up the steps of the current interval.
#[derive(Debug, Default)]
pub(crate) struct BusyMeter {
    since: Time,
    spent: Duration,
    steps: u32,
    longest: (&'static str, Duration),
}

impl BusyMeter {
    /// Records a step. Returns the interval before it if that has ended and the loop was busy for a large share of it.
    pub(crate) fn record(&mut self, now: Time, label: &'static str, duration: Duration) -> Option<Interval> {
        let ended = (now.since(self.since) >= INTERVAL).then(|| self.end_interval(now)).flatten();
        self.spent += duration;
        self.steps += 1;
        if duration > self.longest.1 {
            self.longest = (label, duration);
        }
        ended
    }

    fn end_interval(&mut self, now: Time) -> Option<Interval> {
        let Self { since, spent, steps, longest } =
            std::mem::replace(self, Self { since: now, ..Self::default() });
        let within = now.since(since);
        let interval = Interval {
            within_ms: millis(within),
            busy_ms: millis(spent),
            steps,
            longest: longest.0,
            longest_ms: millis(longest.1),
        };
        (spent >= within.mul_f64(LOGGED_SHARE)).then_some(interval)
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
