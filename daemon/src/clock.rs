//! The process's time: the wall clock read once, then the runtime's monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

use boragecove_core::time::Time;
use tokio::time::Instant;

/// A clock that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Time,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall: Time(since_epoch.as_micros() as u64), start: Instant::now() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.wall + self.start.elapsed()
    }

    /// The runtime's moment of a time; now for one that is past.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(self.wall)
    }
}
