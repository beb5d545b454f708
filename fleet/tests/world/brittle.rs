//! Simulated engines that crash if they have to reject too many requests in a second.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::request::{Attempt, Cause, End, Id};

use super::backends::RUN_MS;
use super::{Load, World};

const SECOND: Duration = Duration::from_secs(1);
/// How long an engine is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time until the sender knows that a request was rejected.
const REJECTED_MS: u64 = 3;

/// A brittle engine.
#[derive(Debug, Default)]
pub struct Brittle {
    /// Rejections per second that it tolerates.
    rejections_per_s: f64,
    /// Number of requests that it runs at once (`slots`) and that may queue (`queue_max`).
    slots: usize,
    queue_max: usize,
    /// When each accepted request will end.
    ends: VecDeque<Time>,
    rejections: VecDeque<Time>,
    down_until: Option<Time>,
    crashes: usize,
}

impl World {
    /// Makes an engine brittle: it tolerates `rejections_per_s` rejections per second and queues up to `queue_max` requests.
    pub fn make_brittle(&mut self, engine: &str, rejections_per_s: f64, slots: usize, queue_max: usize) {
        let brittle = Brittle { rejections_per_s, slots, queue_max, ..Brittle::default() };
        self.backends.as_mut().expect("engines").brittle.insert(engine.into(), brittle);
    }

    /// Changes the queue length of an engine without reporting it.
    pub fn set_queue_max(&mut self, engine: &str, queue_max: usize) {
        let backends = self.backends.as_mut().expect("engines");
        backends.brittle.get_mut(engine).expect("a brittle engine").queue_max = queue_max;
    }

    /// Number of crashes of brittle engines.
    pub fn crashes(&self) -> usize {
        self.backends
            .as_ref()
            .map_or(0, |backends| backends.brittle.values().map(|engine| engine.crashes).sum())
    }

    /// Whether a brittle engine rejects a request or is down; the failure is then posted to the sender.
    pub(super) fn turned_away_by(&mut self, vm: usize, request: Id, attempt: &Attempt) -> bool {
        let now = self.now;
        let backends = self.backends.as_mut().expect("engines");
        let Some(engine) = backends.brittle.get_mut(&attempt.engine) else {
            return false;
        };
        if engine.down_until.is_some_and(|until| now < until) {
            let unsent = Load::Unanswered(request, attempt.number, End::Unsent);
            self.post(vm, vm, 2, unsent);
            return true;
        }
        while engine.ends.front().is_some_and(|end| *end <= now) {
            engine.ends.pop_front();
        }
        if engine.ends.len() < engine.slots + engine.queue_max {
            let run = Duration::from_millis(RUN_MS);
            // A queued request begins when the first of those before it has ended.
            let queue_position = engine.ends.len().checked_sub(engine.slots);
            let begins = queue_position.and_then(|at| engine.ends.get(at)).copied().unwrap_or(now);
            engine.ends.push_back(begins + run);
            return false;
        }
        engine.rejections.push_back(now);
        while engine.rejections.front().is_some_and(|at| now.since(*at) >= SECOND) {
            engine.rejections.pop_front();
        }
        if engine.rejections.len() as f64 > engine.rejections_per_s {
            engine.crashes += 1;
            engine.down_until = Some(now + DOWN);
            engine.rejections.clear();
            engine.ends.clear();
        }
        let end = End::Refused(Cause::Busy);
        self.post(vm, vm, REJECTED_MS, Load::Head(request, attempt.clone(), now));
        self.post(vm, vm, REJECTED_MS, Load::Unanswered(request, attempt.number, end));
        true
    }

    /// The rejection limit that an engine reports.
    pub(super) fn brittleness(&self, engine: &str) -> Option<f64> {
        self.backends
            .as_ref()
            .and_then(|backends| backends.brittle.get(engine))
            .map(|engine| engine.rejections_per_s)
    }
}
