//! Running mean and mean deviation of the duration of requests.

use std::time::Duration;

/// Weight of a new sample in the mean; its weight in the deviation is twice that.
const GAIN: f32 = 0.125;

/// Running mean and mean deviation of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latency {
    mean_ms: f32,
    deviation_ms: f32,
    known: bool,
}

impl Latency {
    /// Adds a sample.
    pub(crate) fn record(&mut self, time: Duration) {
        let ms = time.as_secs_f32() * 1_000.0;
        if !self.known {
            *self = Self { mean_ms: ms, deviation_ms: ms / 2.0, known: true };
            return;
        }
        let error = ms - self.mean_ms;
        self.mean_ms += GAIN * error;
        self.deviation_ms += 2.0 * GAIN * (error.abs() - self.deviation_ms);
    }

    /// Mean of the samples; `None` before the first.
    pub(crate) fn mean(&self) -> Option<Duration> {
        self.known.then(|| millis(self.mean_ms))
    }

    /// Duration that few samples fall below: the mean less twice the deviation. Zero before the first
    /// sample.
    pub(crate) fn lower_bound(&self) -> Duration {
        millis((self.mean_ms - 2.0 * self.deviation_ms).max(0.0))
    }
}

fn millis(ms: f32) -> Duration {
    Duration::from_secs_f32(ms / 1_000.0)
}
