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
    most: f64,
    /// Number of requests that it runs at once (`slots`) and that may queue (`room`).
    slots: usize,
    room: usize,
    /// When each accepted request will end.
    ends: VecDeque<Time>,
    rejections: VecDeque<Time>,
    down_until: Option<Time>,
    falls: usize,
}

impl World {
    /// Makes an engine brittle: it tolerates `most` rejections per second and queues up to `room` requests.
    pub fn make_brittle(&mut self, engine: &str, most: f64, slots: usize, room: usize) {
        let brittle = Brittle { most, slots, room, ..Brittle::default() };
        self.backends.as_mut().expect("engines").brittle.insert(engine.into(), brittle);
    }

    /// Changes the queue length of an engine without reporting it.
    pub fn shrink(&mut self, engine: &str, room: usize) {
        let backends = self.backends.as_mut().expect("engines");
        backends.brittle.get_mut(engine).expect("a brittle engine").room = room;
    }

    /// Number of crashes of brittle engines.
    pub fn falls(&self) -> usize {
        self.backends
            .as_ref()
            .map_or(0, |backends| backends.brittle.values().map(|engine| engine.falls).sum())
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
        if engine.ends.len() < engine.slots + engine.room {
            let run = Duration::from_millis(RUN_MS);
            // A queued request begins when the first of those before it has ended.
            let place = engine.ends.len().checked_sub(engine.slots);
            let begins = place.and_then(|at| engine.ends.get(at)).copied().unwrap_or(now);
            engine.ends.push_back(begins + run);
            return false;
        }
        engine.rejections.push_back(now);
        while engine.rejections.front().is_some_and(|at| now.since(*at) >= SECOND) {
            engine.rejections.pop_front();
        }
        if engine.rejections.len() as f64 > engine.most {
            engine.falls += 1;
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
        self.backends.as_ref().and_then(|backends| backends.brittle.get(engine)).map(|engine| engine.most)
    }
}
