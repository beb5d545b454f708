//! The waits on the path of a change, added up against the operators' bound.

use std::time::Duration;

use boragecove_fleet::bound::Bound;

/// The waits on the path of a departure: a pause between two calls, a long poll whose response is lost, the repeated
/// call, a push that isn't accepted, and an attempt sent at the last moment. A tenth is left for transmission.
#[test]
fn sum_of_waits() {
    for bound in [1_000, 2_000, 3_000, 4_000, 5_000, 60_000].map(Duration::from_millis) {
        let parts = Bound(bound);
        let received = parts.poll_interval_max() + parts.long_poll_timeout() + parts.response_grace();
        let pushed = parts.poll_interval_max();
        let sum = received + pushed + parts.send_delay_max();
        assert!(sum <= bound.mul_f64(0.9), "{bound:?}: {sum:?}");
        assert!(
            parts.relayed_age_max() >= received,
            "{bound:?}: normal data would be in doubt after each stall"
        );
        // One fault at a time: a stall just below the threshold, with the data received just before it.
        assert!(parts.stall_threshold() + received + parts.send_delay_max() <= bound, "{bound:?}");
    }
}
