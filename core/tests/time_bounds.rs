//! Times at the ends of their range.

use std::time::Duration;

use boragecove_core::time::Time;

/// Guards against durations beyond the range of times, which wrapped around and gave any time.
#[test]
fn saturated_sums() {
    let now = Time::from_millis(1_700_000_000_000);
    for long in [
        Duration::MAX,
        Duration::from_micros(u64::MAX),
        Duration::from_micros(u64::MAX) + Duration::from_micros(7),
    ] {
        assert_eq!(now + long, Time(u64::MAX), "{long:?}");
        assert_eq!(now - long, Time(0), "{long:?}");
    }
}
