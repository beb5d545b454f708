//! Engines of a deployment in a test that fall over if they have to turn away too many requests in a second.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::request::{Attempt, Cause, End, Id};

use super::backends::RUN_MS;
use super::{Load, World};

const SECOND: Duration = Duration::from_secs(1);
/// How long an engine that fell over is gone.
const DOWN: Duration = Duration::from_secs(3);
/// Time until a request that was turned away is known to be.
const REJECTED_MS: u64 = 3;

/// A brittle engine.
#[derive(Debug, Default)]
pub struct Brittle {
    /// Rejections in a second that it bears.
    most: f64,
    /// Requests that it runs at once, and that may wait.
    slots: usize,
    room: usize,
    /// When each that it took will be done.
    ends: VecDeque<Time>,
    rejections: VecDeque<Time>,
    down_until: Option<Time>,
    falls: usize,
}

impl World {
    /// An engine is brittle from now on: it bears so many rejections in a second, and lets so many wait.
    pub fn make_brittle(&mut self, engine: &str, most: f64, slots: usize, room: usize) {
        let brittle = Brittle { most, slots, room, ..Brittle::default() };
        self.backends.as_mut().expect("engines").brittle.insert(engine.into(), brittle);
    }

    /// An engine lets so many wait from now on, and says nothing of it.
    pub fn shrink(&mut self, engine: &str, room: usize) {
        let backends = self.backends.as_mut().expect("engines");
        backends.brittle.get_mut(engine).expect("a brittle engine").room = room;
    }

    /// How often brittle engines fell over.
    pub fn falls(&self) -> usize {
        self.backends
            .as_ref()
            .map_or(0, |backends| backends.brittle.values().map(|engine| engine.falls).sum())
    }

    /// Whether a brittle engine turns a request away, or is down; then that is dealt with.
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
            // One that waits begins when the first of those before it is done.
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

    /// The rejections that an engine says it bears.
    pub(super) fn brittleness(&self, engine: &str) -> Option<f64> {
        self.backends.as_ref().and_then(|backends| backends.brittle.get(engine)).map(|engine| engine.most)
    }
}
