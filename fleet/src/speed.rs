//! How fast engines read prompts and make events, as observed.
//!
//! The time from sending a prompt to its first event, less a step and the way, is the time to read it, if nothing else
//! was read meanwhile. Most prompts wait for others a little, and some find a part of theirs kept, so the estimate is a
//! low quantile of what was seen: an expectile that weighs what is faster five times as much as what is slower. On
//! engines that read 22 tokens a ms, 1,928 prompts of 179 to 4,306 tokens came to this: the median lay within a tenth of
//! `10 ms + tokens / 21` throughout, the lower quartile at 0.72 to 0.86 of it below 2,600 tokens and within 0.05 above. The
//! estimate is thus low for prompts of the usual size.

use std::time::Duration;

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;

/// Weight of a sample that is faster than what is known: some ten samples make an estimate.
const FASTER: f64 = 0.15;
/// Weight of a sample that is slower: the rest of it may have been spent waiting.
const SLOWER: f64 = 0.03;
/// A sample counts for this many times what is known at most, so that no burst makes an engine look slow for long.
const SAMPLE_MAX: f64 = 1.5;
/// Time for the way there and back and for the engine's first step, which is not reading, in ms.
const OVERHEAD_MS: f64 = 8.0;
/// Prompts shorter than this say little of reading.
const TOKENS_MIN: u32 = 100;
/// Time to read a token before anything was seen, in us: between the fastest and the slowest engines of the users' sites,
/// which read 22 to 41 tokens a ms.
const PRIOR_US: f64 = 35.0;
/// The least and the most that a token can take, in us.
const BOUNDS_US: (f64, f64) = (0.5, 2_000.0);

/// Weight of an event's time that is shorter than what is known, and of one that is longer: most of a stream's events
/// come while its engine reads something.
const EVENT_GAINS: (f64, f64) = (0.1, 0.02);
/// Time to make an event before any was seen, in ms: three to six steps of 5 to 8 ms on the users' sites.
const EVENT_PRIOR_MS: f64 = 30.0;

/// Weight of a run that is shorter than what is known, and of one that is longer: most of those have queued.
const RUN_GAINS: (f64, f64) = (0.2, 0.005);

/// Time to read a token, by service and by model, and to make an event.
#[derive(Debug, Default)]
pub struct Speed {
    /// Time to answer a call that does not queue, by service, in ms.
    runs: FxHashMap<Name, f64>,
    /// Time to make an event, by service, in ms.
    events: FxHashMap<Name, f64>,
    by_model: FxHashMap<Name, f64>,
    /// Over all models of a service, for those that were not seen yet.
    by_service: FxHashMap<Name, f64>,
}

impl Speed {
    /// The time to read a token, in us.
    fn token_us(&self, service: &str, model: &str) -> f64 {
        let known = self.by_model.get(model).or_else(|| self.by_service.get(service));
        known.copied().unwrap_or(PRIOR_US)
    }

    /// The time to read a prompt.
    #[must_use]
    pub fn work(&self, service: &str, model: &str, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.token_us(service, model) * f64::from(tokens) / 1e6)
    }

    /// The time that engines of a service take to make an event when they read nothing.
    #[must_use]
    pub fn event(&self, service: &str) -> Duration {
        let ms = self.events.get(service).copied().unwrap_or(EVENT_PRIOR_MS);
        Duration::from_secs_f64(ms / 1e3)
    }

    /// The time to answer a call of a plain service that does not queue, the way there and back included.
    #[must_use]
    pub fn run(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.runs.get(service).copied().unwrap_or_default() / 1e3)
    }

    /// A call of a plain service was answered after this time.
    pub fn learn_run(&mut self, service: &Name, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let known = self.runs.entry(service.clone()).or_insert(ms);
        let gain = if ms < *known { RUN_GAINS.0 } else { RUN_GAINS.1 };
        *known += gain * (ms - *known);
    }

    /// The events of a stream came this far apart, on average.
    pub fn learn_event(&mut self, service: &Name, gap: Duration) {
        let ms = gap.as_secs_f64() * 1e3;
        let known = self.events.entry(service.clone()).or_insert(EVENT_PRIOR_MS);
        let gain = if ms < *known { EVENT_GAINS.0 } else { EVENT_GAINS.1 };
        *known += gain * (ms - *known);
    }

    /// A prompt's first event came this long after it was sent.
    pub fn learn(&mut self, service: &Name, model: &Name, tokens: u32, took: Duration) {
        if tokens < TOKENS_MIN {
            return;
        }
        let read_us = (took.as_secs_f64() * 1e3 - OVERHEAD_MS).max(0.0) * 1e3;
        let sample = (read_us / f64::from(tokens)).clamp(BOUNDS_US.0, BOUNDS_US.1);
        let prior = self.token_us(service, model);
        for known in [
            self.by_model.entry(model.clone()).or_insert(prior),
            self.by_service.entry(service.clone()).or_insert(PRIOR_US),
        ] {
            let weight = if sample < *known { FASTER } else { SLOWER };
            *known += weight * (sample.min(*known * SAMPLE_MAX) - *known);
        }
    }
}
