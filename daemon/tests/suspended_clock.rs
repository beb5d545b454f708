//! The process's time counts suspensions of the machine, and nothing else beside the runtime's clock.

use std::time::Duration;

use boragecove_daemon::clock::{Clock, suspended};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

#[test]
fn counts_suspensions() {
    assert_eq!(suspended(10 * MS, 4_010 * MS), 4_000 * MS);
    assert_eq!(suspended(10 * MS, 11 * MS), Duration::ZERO, "the clocks are read one after the other");
    assert_eq!(suspended(10 * MS, 9 * MS), Duration::ZERO);
    assert_eq!(suspended(10 * MS, 4_012 * MS), 4_000 * MS, "it does not waver");
}

#[tokio::test(start_paused = true)]
async fn follows_the_runtime() {
    let clock = Clock::start();
    let start = clock.now();
    tokio::time::advance(Duration::from_secs(7)).await;
    assert_eq!(clock.now().since(start), Duration::from_secs(7));
    let later = clock.now() + Duration::from_secs(2);
    assert_eq!(clock.instant(later) - Instant::now(), Duration::from_secs(2));
    assert_eq!(clock.instant(start), Instant::now(), "what is past is now");
}
