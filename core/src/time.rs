//! Time of the reducer in microseconds since the Unix epoch, passed in with each event.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const NANOSECONDS_PER_MICROSECOND: u32 = 1_000;

/// The duration rounded down to whole microseconds, the resolution of [`Time`].
#[must_use]
pub const fn floor(duration: Duration) -> Duration {
    Duration::new(duration.as_secs(), duration.subsec_micros() * NANOSECONDS_PER_MICROSECOND)
}

/// The duration rounded up to whole microseconds, the resolution of [`Time`].
#[must_use]
pub const fn ceil(duration: Duration) -> Duration {
    floor(duration.saturating_add(Duration::from_nanos(NANOSECONDS_PER_MICROSECOND as u64 - 1)))
}

/// Whole microseconds of a duration; the largest number for one that has more.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A point in time, in microseconds since the Unix epoch. A process reads the wall clock only when it
/// starts and then adds the time of the runtime's monotonic clock, so that its time never runs backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Time `ms` milliseconds after the epoch.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Whole milliseconds since the epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Duration since `earlier`; zero if `earlier` lies in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(micros(rhs)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
