//! The process's time: the wall clock read once, then the runtime's monotonic clock, with the time for which the
//! machine was suspended. The monotonic clock leaves that out, and what others may do after a while, as to take
//! over a lease, goes on meanwhile.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use boragecove_core::time::Time;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A clock that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Time,
    start: Instant,
    /// How far the clock that counts suspensions was ahead of the one that does not.
    ahead: Duration,
}

impl Clock {
    /// Reads the wall clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall: Time(since_epoch.as_micros() as u64), start: Instant::now(), ahead: ahead() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.wall + self.start.elapsed() + suspended(self.ahead, ahead())
    }

    /// The runtime's moment of a time; now for one that is past.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Suspensions are counted in steps of this: the two clocks are read one after the other, and what is counted must
/// not waver from one look to the next.
const STEP: Duration = Duration::from_millis(50);

/// For how long the machine was suspended, by how far one clock was ahead of the other before and is now.
#[must_use]
pub fn suspended(before: Duration, now: Duration) -> Duration {
    let more = now.saturating_sub(before) + STEP / 2;
    STEP * (more.as_millis() / STEP.as_millis()) as u32
}

/// How far the clock that counts suspensions is ahead of the one that does not; nothing where they cannot be read.
fn ahead() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from).unwrap_or_default();
    let steady = read(ClockId::CLOCK_MONOTONIC);
    read(ClockId::CLOCK_BOOTTIME).saturating_sub(steady)
}
