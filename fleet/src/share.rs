//! Which share of its calls an entry VM offers an engine of a plain service.
//!
//! The load that this answers: engines of a plain service are taken away, and callers ask for twice what the last one can
//! answer. What is known of its load is some hundred ms old and its queue turns over in less, so that 65 entry VMs that
//! all go by it send everything at one moment and nothing at the next: the engine rejected a sixth of the calls that came to
//! it, and three in ten of its answers came late, although it had no moment's rest.
//!
//! Each entry VM therefore offers a share of its calls, and moves it by how long its answers waited at the engine, until
//! they wait for a quarter of the time that they may. All see the same queue and converge on what the engine can answer in
//! time; nobody has to be asked, and how many others there are need not be known. Callers beyond it learn at once that they
//! have to come back, in place of a late answer to everyone.
//!
//! The gains were found by playing that load (`call_shares`, eight plays): of what the engine can do 84 in 100 are answered
//! in time and 5 late, a shortage is met within three seconds, and ten seconds after it all is offered again. Twice the
//! recovery together with two thirds of the shrinkage makes 10 in 100 late.

use std::time::Duration;

use boragecove_core::time::Time;

/// Part of the time that calls may wait for which they are to wait: the rest is for calls that come in bursts.
const AIM: f64 = 0.25;
/// By which part the share grows for each unit that calls wait less.
const GROWTH: f64 = 0.9;
/// What it grows by in any case then, so that small shares grow as well.
const STEP: f64 = 0.03;
/// By which part the share shrinks for each unit that calls wait longer.
const SHRINKAGE: f64 = 0.7;
/// The least part that is left of the share after one answer or rejection.
const LEFT: f64 = 0.4;
/// The least share: what becomes of it tells when there is room again.
const LEAST: f64 = 0.1;
/// What it grows by in a second without an answer or a rejection: one that offers next to nothing learns next to nothing.
const RECOVERY: f64 = 0.02;

/// The share of calls that may be offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    part: f64,
    /// When it was last moved.
    at: Time,
}

impl Default for Share {
    fn default() -> Self {
        Self { part: 1.0, at: Time::default() }
    }
}

impl Share {
    /// Whether a call may be offered; `drawn` is random, from 0 to 1.
    #[must_use]
    pub fn takes(self, now: Time, drawn: f64) -> bool {
        drawn < self.part(now)
    }

    fn part(self, now: Time) -> f64 {
        RECOVERY.mul_add(now.since(self.at).as_secs_f64(), self.part)
    }

    /// An answer waited so long at the engine, of the time that it may wait and still come within the target. Nothing is
    /// learnt where it can never come within it.
    pub fn answered(&mut self, now: Time, waited: Duration, allowed: Duration) {
        if allowed.is_zero() {
            return;
        }
        let over = waited.as_secs_f64() / allowed.as_secs_f64() - AIM;
        let part = self.part(now);
        let moved = if over < 0.0 {
            GROWTH.mul_add(-over, 1.0).mul_add(part, STEP)
        } else {
            SHRINKAGE.mul_add(-over, 1.0).max(LEFT) * part
        };
        self.set(now, moved);
    }

    /// The engine rejected a call, since its queue is full.
    pub fn rejected(&mut self, now: Time) {
        self.set(now, self.part(now) * LEFT);
    }

    fn set(&mut self, now: Time, part: f64) {
        *self = Self { part: part.clamp(LEAST, 1.0), at: now };
    }
}
