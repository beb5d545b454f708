//! Adds up what callers saw.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::exchange::{End, Exchange};

/// When an answer is on time: its first event, and the mean of the times between its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time to the first event.
    pub first: Duration,
    /// Mean time between events.
    pub gap: Duration,
}

impl Default for Target {
    fn default() -> Self {
        Self { first: Duration::from_millis(1_700), gap: Duration::from_millis(41) }
    }
}

/// What callers got.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Requests that were due.
    pub requests: u64,
    /// Those answered whole.
    pub answered: u64,
    /// Those refused without being run.
    pub not_run: u64,
    /// Those that may have run without an answer.
    pub unknown: u64,
    /// Those given up when the time was over.
    pub given_up: u64,
    /// Those not sent, since too many were open.
    pub unsent: u64,
    /// The share of requests answered whole and on time.
    pub attainment: f64,
    /// Time to the first event, in milliseconds.
    pub first_ms: Quantiles,
    /// Time between events, in milliseconds.
    pub gap_ms: Quantiles,
    /// Tokens a second over the whole time.
    pub tokens_per_second: f64,
    /// Answers by result code.
    pub codes: BTreeMap<u16, u64>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 99th of 100.
    pub p99: f64,
}

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// What has been seen so far.
#[derive(Debug)]
pub(super) struct Tally {
    target: Target,
    sent: u64,
    unsent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    on_time: u64,
    tokens: u64,
    first: Option<Histogram<u64>>,
    gap: Option<Histogram<u64>>,
    codes: BTreeMap<u16, u64>,
}

impl Tally {
    pub(super) fn new(target: Target) -> Self {
        Self {
            target,
            sent: 0,
            unsent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            on_time: 0,
            tokens: 0,
            first: Histogram::new(DIGITS).ok(),
            gap: Histogram::new(DIGITS).ok(),
            codes: BTreeMap::new(),
        }
    }

    pub(super) fn sent(&mut self) {
        self.sent += 1;
    }

    pub(super) fn unsent(&mut self) {
        self.unsent += 1;
    }

    pub(super) fn ended(&mut self, exchange: &Exchange) {
        match exchange.end {
            End::Answered => self.answered += 1,
            End::NotRun => self.not_run += 1,
            End::Unknown => self.unknown += 1,
        }
        if let Some(code) = exchange.code {
            *self.codes.entry(code).or_default() += 1;
        }
        self.tokens += exchange.tokens;
        if exchange.end != End::Answered {
            return;
        }
        if self.on_time(exchange) {
            self.on_time += 1;
        }
        record(self.first.as_mut(), exchange.first);
        for gap in &exchange.gaps {
            record(self.gap.as_mut(), Some(*gap));
        }
    }

    fn on_time(&self, exchange: &Exchange) -> bool {
        let gaps: Duration = exchange.gaps.iter().sum();
        let allowed = self.target.gap * exchange.gaps.len() as u32;
        exchange.first.is_some_and(|first| first <= self.target.first) && gaps <= allowed
    }

    pub(super) fn report(&self, elapsed: Duration) -> Report {
        let requests = self.sent + self.unsent;
        Report {
            requests,
            answered: self.answered,
            not_run: self.not_run,
            unknown: self.unknown,
            given_up: self.sent - self.answered - self.not_run - self.unknown,
            unsent: self.unsent,
            attainment: self.on_time as f64 / requests.max(1) as f64,
            first_ms: quantiles(self.first.as_ref()),
            gap_ms: quantiles(self.gap.as_ref()),
            tokens_per_second: self.tokens as f64 / elapsed.as_secs_f64().max(f64::MIN_POSITIVE),
            codes: self.codes.clone(),
        }
    }
}

fn record(histogram: Option<&mut Histogram<u64>>, time: Option<Duration>) {
    if let (Some(histogram), Some(time)) = (histogram, time) {
        // It grows as it has to, so only a time beyond all measure is lost.
        let _beyond_measure = histogram.record(time.as_micros() as u64);
    }
}

fn quantiles(histogram: Option<&Histogram<u64>>) -> Quantiles {
    let at = |quantile| {
        histogram.map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS)
    };
    Quantiles { p50: at(0.5), p99: at(0.99) }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests           {:>10}", self.requests)?;
        writeln!(f, "answered           {:>10}", self.answered)?;
        writeln!(f, "not run            {:>10}", self.not_run)?;
        writeln!(f, "unknown            {:>10}", self.unknown)?;
        writeln!(f, "given up           {:>10}", self.given_up)?;
        writeln!(f, "unsent             {:>10}", self.unsent)?;
        writeln!(f, "attainment         {:>10.4}", self.attainment)?;
        writeln!(f, "first token    p50 {:>10.3} ms", self.first_ms.p50)?;
        writeln!(f, "               p99 {:>10.3} ms", self.first_ms.p99)?;
        writeln!(f, "token gap      p50 {:>10.3} ms", self.gap_ms.p50)?;
        writeln!(f, "               p99 {:>10.3} ms", self.gap_ms.p99)?;
        writeln!(f, "tokens a second    {:>10.0}", self.tokens_per_second)?;
        for (code, count) in &self.codes {
            writeln!(f, "code {code:<14}{count:>10}")?;
        }
        Ok(())
    }
}
