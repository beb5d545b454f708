//! The waits on the way of news, added up against the bound that operators set.

use std::time::Duration;

use boragecove_fleet::bound::Bound;

/// The way of a departure: a pause between two calls, the call that the store holds, its answer that is lost, the call made anew, a push that is
/// not taken, and an attempt that is written at the last moment. A tenth is left for the ways themselves.
#[test]
fn sum_of_waits() {
    for bound in [1_000, 2_000, 3_000, 4_000, 5_000, 60_000].map(Duration::from_millis) {
        let parts = Bound(bound);
        let told = parts.pause() + parts.wait() + parts.overdue();
        let pushed = parts.pause();
        let sum = told + pushed + parts.write();
        assert!(sum <= bound.mul_f64(0.9), "{bound:?}: {sum:?}");
        assert!(parts.word() >= told, "{bound:?}: a calm day's word would be doubted after each standstill");
        // One fault at a time: a standstill that is not looked at, and what it was told just before.
        assert!(parts.standstill() + told + parts.write() <= bound, "{bound:?}");
    }
}
