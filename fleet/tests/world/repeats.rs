//! Repeats in a deployment of a test, as engines count them: arrivals beyond the first of each request, in any window, over all lives of all entry VMs.

use std::collections::BTreeSet;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::request::{Attempt, Cause, End, Id};
use boragecove_fleet::settings::Settings;

use super::{Load, World};

/// Time until a request that was turned away is known to be.
const REJECTED_MS: u64 = 3;

/// What engines and callers have seen.
#[derive(Debug, Default)]
pub struct Repeats {
    /// Part of the arrivals that engines turn away.
    pub shed: f64,
    /// When callers sent requests, whether or not anybody took them.
    asked: Vec<Time>,
    /// Requests that have arrived at an engine.
    arrived: BTreeSet<(usize, Id)>,
    /// When requests arrived beyond the first time.
    again: Vec<Time>,
}

/// What was sent again of what may be, in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Its end.
    pub end: Time,
    /// Repeats in it.
    pub repeats: usize,
    /// Repeats that may be in it.
    pub allowed: f64,
}

impl Window {
    /// The part of what is allowed; above 1 where the rule is broken.
    pub fn part(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}

impl Repeats {
    pub(super) fn asked(&mut self, now: Time) {
        self.asked.push(now);
    }

    /// A request reaches an engine. Returns whether that turns it away; `drawn` is a number below 1 at random.
    fn arrives(&mut self, now: Time, vm: usize, request: Id, drawn: f64) -> bool {
        if !self.arrived.insert((vm, request)) {
            self.again.push(now);
        }
        drawn < self.shed
    }

    /// The users' rule for the window that ends then: the requests of that window, of the one before it, or of the one half a window before,
    /// whichever has most.
    fn window(&self, end: Time, settings: &Settings) -> Window {
        let length = settings.repeat_window;
        let within = |times: &[Time], end: Time| {
            let first = times.partition_point(|at| end.since(*at) > length);
            times.partition_point(|at| *at <= end).saturating_sub(first)
        };
        let ends = [end, end - length / 2, end - length];
        let requests = ends.map(|end| within(&self.asked, end)).into_iter().max().unwrap_or_default();
        let allowed = settings.repeat_ratio.mul_add(requests as f64, settings.repeat_slack);
        Window { end, repeats: within(&self.again, end), allowed }
    }

    /// The window of all in which most of what is allowed was sent again.
    pub fn worst(&self, settings: &Settings) -> Window {
        let windows = self.again.iter().map(|end| self.window(*end, settings));
        windows.max_by(|one, other| one.part().total_cmp(&other.part())).unwrap_or_default()
    }

    /// The part of what is allowed that was sent again in a window that ends then.
    pub fn used(&self, end: Time, settings: &Settings) -> f64 {
        self.window(end, settings).part()
    }
}

impl World {
    /// Counts a request that reaches an engine. Returns whether that turns it away, which is dealt with then.
    pub(super) fn sheds(&mut self, vm: usize, request: Id, attempt: &Attempt) -> bool {
        let (now, drawn) = (self.now, self.rng.f64());
        let backends = self.backends.as_mut().expect("engines");
        if !backends.repeats.arrives(now, vm, request, drawn) {
            return false;
        }
        let end = End::Refused(Cause::Busy);
        self.post(vm, vm, REJECTED_MS, Load::Unanswered(request, attempt.number, end));
        true
    }

    /// Engines turn this part of all requests away from now on.
    pub fn shed(&mut self, part: f64) {
        self.backends.as_mut().expect("engines").repeats.shed = part;
    }

    /// What was sent again.
    pub fn repeats(&self) -> &Repeats {
        &self.backends.as_ref().expect("engines").repeats
    }
}

/// Time in which a window passes whole, and what was decided in it arrives.
pub fn settled(settings: &Settings) -> Duration {
    settings.repeat_window * 3 / 2
}
