//! The share of its calls that an entry VM offers to an engine of a plain service.
//!
//! This limits the load when engines of a plain service are removed and callers ask for twice what the last one can answer. The
//! reported load of that engine is some hundred ms old, and its queue turns excess in less. With 65 entry VMs that all go by the
//! reported load, all send at one moment and none at the next: the engine rejected a sixth of its calls and gave 30% of its
//! answers late, although it was busy all the time.
//!
//! Each entry VM therefore offers a share of its calls, and adjusts it by how long its calls waited at the engine until they wait
//! for a quarter of the time that they may. All entry VMs see the same queue, so their shares converge on what the engine can
//! answer in time, without communication and without knowing how many entry VMs there are. Callers beyond that are refused at once
//! with a time to come back, where all answers would otherwise be late.
//!
//! The gains below were found by simulation (test `call_shares`, eight runs): 84% of what the engine can answer is answered in time and 5%
//! late, the shares follow a shortage within three seconds, and ten seconds after it all calls are offered again. With twice the
//! recovery and two thirds of the shrinkage, 10% are late.

use std::time::Duration;

use boragecove_core::time::Time;

/// Target wait of calls, as a part of the longest wait within the operator's target. The rest is left for bursts.
const TARGET_WAIT: f64 = 0.25;
/// Relative growth of the share per unit of wait below the target. A unit is the longest wait within the operator's target.
const GROWTH: f64 = 0.9;
/// Absolute growth of the share after a wait below the target, so that small shares grow as well.
const GROWTH_STEP: f64 = 0.03;
/// Relative shrinkage of the share per unit of wait above the target.
const SHRINKAGE: f64 = 0.7;
/// The smallest factor by which one answer or rejection multiplies the share.
const FACTOR_MIN: f64 = 0.4;
/// The smallest share. The results of these calls show when there is room again.
const SHARE_MIN: f64 = 0.1;
/// Growth of the share per second without an answer or a rejection, since an entry VM that offers few calls sees few results.
const RECOVERY_PER_S: f64 = 0.02;

/// The share of calls that may be offered to an engine, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttle {
    share: f64,
    /// When `share` was last set.
    at: Time,
}

impl Default for Throttle {
    fn default() -> Self {
        Self { share: 1.0, at: Time::default() }
    }
}

impl Throttle {
    /// Whether a call may be offered; `drawn` is a random number from 0 to 1.
    #[must_use]
    pub fn admits(self, now: Time, drawn: f64) -> bool {
        drawn < self.current(now)
    }

    fn current(self, now: Time) -> f64 {
        RECOVERY_PER_S.mul_add(now.since(self.at).as_secs_f64(), self.share)
    }

    /// Adjusts the share after an answered call that waited at the engine for `waited`. `allowed` is the longest wait with which
    /// it would still be answered within the target; if that is zero, no call can be, and the share is left as it is.
    pub fn answered(&mut self, now: Time, waited: Duration, allowed: Duration) {
        if allowed.is_zero() {
            return;
        }
        let excess = waited.as_secs_f64() / allowed.as_secs_f64() - TARGET_WAIT;
        let share = self.current(now);
        let adjusted = if excess < 0.0 {
            GROWTH.mul_add(-excess, 1.0).mul_add(share, GROWTH_STEP)
        } else {
            SHRINKAGE.mul_add(-excess, 1.0).max(FACTOR_MIN) * share
        };
        self.set(now, adjusted);
    }

    /// Adjusts the share after the engine rejected a call because its queue was full.
    pub fn rejected(&mut self, now: Time) {
        self.set(now, self.current(now) * FACTOR_MIN);
    }

    fn set(&mut self, now: Time, share: f64) {
        *self = Self { share: share.clamp(SHARE_MIN, 1.0), at: now };
    }
}
