//! Estimates of how fast engines read prompts and make events, from observed times.
//!
//! The time from sending a prompt to its first event, less the round trip and one step of the engine, is the time to read it if the
//! engine read nothing else meanwhile. Most prompts wait for others a little, and of some a part is in the engine's cache, so the
//! estimate is a low expectile of the samples: faster ones weigh five times as much as slower ones. On engines that read 22
//! tokens a ms, 1,928 prompts of 179 to 4,306 tokens gave these times: the median was within a tenth of `10 ms + tokens / 21`
//! for all sizes; the lower quartile was at 0.72 to 0.86 of it below 2,600 tokens, and within 0.05 of it above. The estimate is
//! thus low for prompts of the usual size.

use std::time::Duration;

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;

/// Weight of a sample that is faster than the estimate, so that about ten samples make an estimate.
const GAIN_FASTER: f64 = 0.15;
/// Weight of a sample that is slower than the estimate. Part of its time may have been spent waiting.
const GAIN_SLOWER: f64 = 0.03;
/// Samples are cut off at this multiple of the estimate, so that a burst does not make an engine look slow for long.
const SAMPLE_MAX: f64 = 1.5;
/// Time for the round trip and the engine's first step, which is not spent on reading, in ms.
const OVERHEAD_MS: f64 = 8.0;
/// Prompts with fewer tokens are not used as samples: reading is too small a part of their time.
const TOKENS_MIN: u32 = 100;
/// Estimated time to read a token before the first sample, in us. It lies between the slowest and the fastest engines of the users'
/// sites, which read 22 to 41 tokens a ms.
const PRIOR_US: f64 = 35.0;
/// The shortest and the longest time to read a token that is taken from a sample, in us.
const BOUNDS_US: (f64, f64) = (0.5, 2_000.0);

/// Weights of an event time below and above the estimate. Longer ones weigh less, because most events of a stream are made while
/// the engine reads a prompt.
const EVENT_GAINS: (f64, f64) = (0.1, 0.02);
/// Estimated time to make an event before the first sample, in ms. On the operators' sites, an event takes three to six steps of 5 to
/// 8 ms.
const EVENT_PRIOR_MS: f64 = 30.0;

/// Weights of a run time below and above the estimate. Most of the longer ones include a wait in the engine's queue.
const CALL_GAINS: (f64, f64) = (0.2, 0.005);

/// Estimates by service and by model.
#[derive(Debug, Default)]
pub struct Speed {
    /// Time to answer a call that does not queue, by service, in ms.
    calls: FxHashMap<Name, f64>,
    /// Time to make an event, by service, in ms.
    events: FxHashMap<Name, f64>,
    /// Time to read a token, by model, in us.
    by_model: FxHashMap<Name, f64>,
    /// Time to read a token over all models of a service, in us, for models without samples.
    by_service: FxHashMap<Name, f64>,
}

impl Speed {
    /// The estimated time to read a token, in us.
    fn token_us(&self, service: &str, model: &str) -> f64 {
        let estimate = self.by_model.get(model).or_else(|| self.by_service.get(service));
        estimate.copied().unwrap_or(PRIOR_US)
    }

    /// The estimated time to read a prompt.
    #[must_use]
    pub fn prefill_time(&self, service: &str, model: &str, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.token_us(service, model) * f64::from(tokens) / 1e6)
    }

    /// The estimated time that engines of a service take to make an event while they read no prompt.
    #[must_use]
    pub fn event_time(&self, service: &str) -> Duration {
        let ms = self.events.get(service).copied().unwrap_or(EVENT_PRIOR_MS);
        Duration::from_secs_f64(ms / 1e3)
    }

    /// The estimated time to answer a call of a plain service that does not wait in a queue, with the round trip.
    #[must_use]
    pub fn call_time(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.calls.get(service).copied().unwrap_or_default() / 1e3)
    }

    /// Adds a sample: a call of a plain service was answered after this time.
    pub fn learn_call(&mut self, service: &Name, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let estimate = self.calls.entry(service.clone()).or_insert(ms);
        let gain = if ms < *estimate { CALL_GAINS.0 } else { CALL_GAINS.1 };
        *estimate += gain * (ms - *estimate);
    }

    /// Adds a sample: the mean time between the events of a stream.
    pub fn learn_event(&mut self, service: &Name, gap: Duration) {
        let ms = gap.as_secs_f64() * 1e3;
        let estimate = self.events.entry(service.clone()).or_insert(EVENT_PRIOR_MS);
        let gain = if ms < *estimate { EVENT_GAINS.0 } else { EVENT_GAINS.1 };
        *estimate += gain * (ms - *estimate);
    }

    /// Adds a sample: a prompt's first event came this long after it was sent.
    pub fn learn_prefill(&mut self, service: &Name, model: &Name, tokens: u32, took: Duration) {
        if tokens < TOKENS_MIN {
            return;
        }
        let read_us = (took.as_secs_f64() * 1e3 - OVERHEAD_MS).max(0.0) * 1e3;
        let sample = (read_us / f64::from(tokens)).clamp(BOUNDS_US.0, BOUNDS_US.1);
        let prior = self.token_us(service, model);
        for estimate in [
            self.by_model.entry(model.clone()).or_insert(prior),
            self.by_service.entry(service.clone()).or_insert(PRIOR_US),
        ] {
            let gain = if sample < *estimate { GAIN_FASTER } else { GAIN_SLOWER };
            *estimate += gain * (sample.min(*estimate * SAMPLE_MAX) - *estimate);
        }
    }
}
