//! Counts retries in a simulated deployment as engines see them: arrivals of a request beyond the first, in
//! any window, over all lives of all entry VMs.

use std::collections::BTreeSet;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::request::{Attempt, Cause, End, Id};
use boragecove_fleet::settings::Settings;

use super::{Load, World};

/// Time until the sender knows that a request was rejected.
const REJECTED_MS: u64 = 3;

/// Observations of engines and callers.
#[derive(Debug, Default)]
pub struct Repeats {
    /// Part of the arrivals that engines reject.
    pub shed: f64,
    /// When callers sent requests, whether or not an entry VM accepted them.
    asked: Vec<Time>,
    /// Requests that have arrived at an engine.
    arrived: BTreeSet<(usize, Id)>,
    /// When requests arrived again.
    retried: Vec<Time>,
}

/// Retries made and allowed in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// End of the window.
    pub end: Time,
    /// Number of retries made.
    pub repeats: usize,
    /// Number of retries allowed.
    pub allowed: f64,
}

impl Window {
    /// Retries made as a part of those allowed; above 1 if the bound is broken.
    pub fn part(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}

impl Repeats {
    pub(super) fn asked(&mut self, now: Time) {
        self.asked.push(now);
    }

    /// Records a request that reaches an engine. Returns whether the engine rejects it; `drawn` is a random
    /// number below 1.
    fn record_arrival(&mut self, now: Time, vm: usize, request: Id, drawn: f64) -> bool {
        if !self.arrived.insert((vm, request)) {
            self.retried.push(now);
        }
        drawn < self.shed
    }

    /// The platform's bound for the window that ends at `end`. It counts the requests of that window, of
    /// the one half a window earlier, or of the one before, whichever has most.
    fn window(&self, end: Time, settings: &Settings) -> Window {
        let length = settings.repeat_window;
        let within = |times: &[Time], end: Time| {
            let first = times.partition_point(|at| end.since(*at) > length);
            times.partition_point(|at| *at <= end).saturating_sub(first)
        };
        let ends = [end, end - length / 2, end - length];
        let requests = ends.map(|end| within(&self.asked, end)).into_iter().max().unwrap_or_default();
        let allowed = settings.repeat_ratio.mul_add(requests as f64, settings.repeat_slack);
        Window { end, repeats: within(&self.retried, end), allowed }
    }

    /// The window with the largest part of allowed retries used.
    pub fn worst(&self, settings: &Settings) -> Window {
        let windows = self.retried.iter().map(|end| self.window(*end, settings));
        windows.max_by(|one, other| one.part().total_cmp(&other.part())).unwrap_or_default()
    }

    /// Part of the allowed retries used in the window that ends at `end`.
    pub fn used(&self, end: Time, settings: &Settings) -> f64 {
        self.window(end, settings).part()
    }
}

impl World {
    /// Records a request that reaches an engine. Returns whether the engine rejects it; the rejection is
    /// then posted to the sender.
    pub(super) fn sheds(&mut self, vm: usize, request: Id, attempt: &Attempt) -> bool {
        let (now, drawn) = (self.now, self.rng.f64());
        let backends = self.backends.as_mut().expect("engines");
        if !backends.repeats.record_arrival(now, vm, request, drawn) {
            return false;
        }
        let end = End::Refused(Cause::Busy);
        self.post(vm, vm, REJECTED_MS, Load::Unanswered(request, attempt.number, end));
        true
    }

    /// Engines reject this part of all requests from now on.
    pub fn shed(&mut self, part: f64) {
        self.backends.as_mut().expect("engines").repeats.shed = part;
    }

    /// The retries counted so far.
    pub fn repeats(&self) -> &Repeats {
        &self.backends.as_ref().expect("engines").repeats
    }
}

/// Time after which a whole window has passed and everything decided in it has arrived.
pub fn settled(settings: &Settings) -> Duration {
    settings.repeat_window * 3 / 2
}
