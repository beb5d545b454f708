//! Memory that callers no longer make a process hold is the system's again at once, however the process was started.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod crowd;
mod serving;

use std::thread;
use std::time::{Duration, Instant};

use crowd::{BODY_BYTES, Crowd, Shape, assert_serves, machine};
use serving::{Entry, LIMIT};
use standin::{Engine, Store, config};

/// Number of callers in the crowd.
const CALLERS: usize = 8;
/// What the crowd makes the process hold at least, in bytes: most of what its bodies have.
const HELD_BYTES: usize = 6 * BODY_BYTES;
/// Time between two looks at the process.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What the process says that it holds for callers, in bytes.
fn held_bytes(entry: &Entry) -> usize {
    let metrics = entry.metrics();
    let line = metrics.lines().find_map(|line| line.strip_prefix("boragecove_caller_bytes_held "));
    line.and_then(|value| value.trim().parse().ok()).expect("the metric is there")
}

/// Waits until a number of the process's bytes is within a range, and returns it.
fn wait_until(bytes: impl Fn() -> usize, is_reached: impl Fn(usize) -> bool) -> usize {
    let end = Instant::now() + LIMIT;
    loop {
        let now = bytes();
        if is_reached(now) {
            return now;
        }
        assert!(Instant::now() < end, "{now} bytes do not change as they should");
        thread::sleep(LOOK_EVERY);
    }
}

/// Guards against memory that the account takes for free while the allocator keeps it: the next crowd comes on top of it.
#[test]
fn ended_uploads() {
    let store = Store::start();
    store.put("op", "config", &config(1));
    let _writers = ["w-1", "w-2"].map(|id| Engine::start(&store, id, "writer", &["m1"]));
    let _gateways = ["g-1", "g-2"].map(|id| Engine::start(&store, id, "gateway", &[]));
    let entry = Entry::start_with("freed-memory", &store, &machine());
    assert_serves(&entry, "before the crowd");
    let before = entry.resident_bytes();

    let shape = Shape::sized("/ack/1", BODY_BYTES, BODY_BYTES - 1);
    let crowd = Crowd::start(entry.callers, CALLERS, &shape);
    let with_crowd = wait_until(|| entry.resident_bytes(), |resident| resident >= before + HELD_BYTES);

    let _received = crowd.end();
    wait_until(|| held_bytes(&entry), |held| held < BODY_BYTES);
    let after = entry.resident_bytes();
    assert!(
        after < before + HELD_BYTES / 2,
        "{after} bytes, {before} before and {with_crowd} with the crowd"
    );
}
