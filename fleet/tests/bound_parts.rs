//! The waits on the path of a change, added up against the operators' bound.

use std::time::Duration;

use boragecove_fleet::bound::Bound;

/// The waits on the path of a departure: a pause between two calls, a long poll whose response is lost, the repeated
/// call, a push that isn't accepted, and an attempt sent at the last moment. A tenth is left for transmission.
#[test]
fn sum_of_waits() {
    for bound in [1_000, 2_000, 3_000, 4_000, 5_000, 60_000].map(Duration::from_millis) {
        let parts = Bound(bound);
        let told = parts.pause() + parts.wait() + parts.overdue();
        let pushed = parts.pause();
        let sum = told + pushed + parts.write();
        assert!(sum <= bound.mul_f64(0.9), "{bound:?}: {sum:?}");
        assert!(parts.word() >= told, "{bound:?}: normal data would be in doubt after each stall");
        // One fault at a time: a stall just below the threshold, with the data received just before it.
        assert!(parts.standstill() + told + parts.write() <= bound, "{bound:?}");
    }
}
