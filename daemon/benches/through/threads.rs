//! Processor time of some threads of this process, as the kernel counts it.

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc`, on Linux.
const TICKS: u64 = 100;
/// Fields of `/proc/self/task/N/stat` after the name, up to that of user time.
const USER_TIME: usize = 11;

/// Some threads.
#[derive(Clone, Debug, Default)]
pub struct Threads(BTreeSet<u32>);

impl Threads {
    /// Those that live now.
    pub fn now() -> Self {
        let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
        Self(tasks.filter_map(|task| task.file_name().to_str()?.parse().ok()).collect())
    }

    /// Those that were started since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self(self.0.difference(&earlier.0).copied().collect())
    }

    /// Processor time they have used.
    pub fn cpu(&self) -> Duration {
        let ticks: u64 = self.0.iter().filter_map(|id| ticks(*id)).sum();
        Duration::from_millis(ticks * 1_000 / TICKS)
    }
}

fn ticks(id: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/self/task/{id}/stat")).ok()?;
    let after_name = stat.rsplit_once(") ")?.1;
    let mut times =
        after_name.split(' ').skip(USER_TIME).take(2).filter_map(|field| field.parse::<u64>().ok());
    Some(times.next()? + times.next()?)
}
