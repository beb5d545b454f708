//! The memory that callers make a process hold: bodies that arrive, wait, are sent or relayed, and answers until their
//! callers have read them. One account bounds all of it, so that no crowd of callers can exhaust the machine's memory.

use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use thiserror::Error;
use tokio::time::Instant;

/// The part of a machine's memory that callers may make the process hold. The rest is for the tables of a large
/// deployment, for connections and for what the allocator has not given back.
const MACHINE_SHARE: f64 = 0.3;
/// The part that they may use however much the process itself needs.
const MACHINE_SHARE_MIN: f64 = 0.15;
/// The part that the process and its callers may use together.
const MACHINE_USABLE: f64 = 0.85;
/// The part of the account that large requests may use while they arrive. What they need besides, to be relayed and
/// answered, must find room once they are complete.
const ARRIVING_SHARE: f64 = 0.75;
/// The part of the account that large requests and answers may use. The rest is for small ones, which can't be kept out.
const LARGE_SHARE: f64 = 0.875;
/// Size in bytes up to which a request is small.
const SMALL_BYTES: usize = 64 << 10;
/// So many bytes of an incomplete request have to arrive within so much time, or it gives way to others when there is no
/// memory left: 128 kbit/s.
const PROGRESS_BYTES: usize = 8 << 10;
const PROGRESS_TIME: Duration = Duration::from_millis(500);
/// What a request takes besides its body: its head, its task and the buffers of its connection.
pub(crate) const REQUEST_BYTES: usize = 8 << 10;

/// There is no room left in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory is left for it")]
pub struct Full;

/// The account. Clones share it.
#[derive(Clone, Debug)]
pub struct Account(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Bytes that may be held.
    limit: AtomicUsize,
    /// Memory of the machine in bytes; none for an account with a fixed limit.
    machine: Option<usize>,
    state: Mutex<State>,
    /// Number of shares that were taken back for others.
    evictions: AtomicU64,
    /// Number of times that there was no room.
    refusals: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    last: u64,
    /// Shares that can be taken back, by age: their requests are incomplete, so that nothing of them was sent to an engine.
    incomplete: BTreeMap<u64, Incomplete>,
}

#[derive(Debug)]
struct Incomplete {
    bytes: usize,
    /// When the last [`PROGRESS_BYTES`] were complete.
    progress: Instant,
    /// Bytes that were received since then.
    received: usize,
    eviction: Arc<Eviction>,
}

/// Tells the owner of a share that it was taken back.
#[derive(Debug, Default)]
struct Eviction {
    is_evicted: AtomicBool,
    waker: AtomicWaker,
}

/// What one request holds. It is given back when this is dropped.
#[derive(Debug)]
pub struct Share {
    account: Account,
    id: u64,
    bytes: usize,
    eviction: Arc<Eviction>,
}

impl Account {
    /// An account of so many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self::with(limit, None)
    }

    fn with(limit: usize, machine: Option<usize>) -> Self {
        Self(Arc::new(Shared {
            limit: AtomicUsize::new(limit),
            machine,
            state: Mutex::default(),
            evictions: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
        }))
    }

    /// The account of a machine with so many bytes of memory.
    #[must_use]
    pub fn of_machine(memory_bytes: usize) -> Self {
        Self::with(part(memory_bytes, MACHINE_SHARE), Some(memory_bytes))
    }

    /// Leaves the process the memory that it needs besides what is held here, given how much it has in all.
    pub fn leave_room(&self, resident_bytes: usize) {
        let Some(machine) = self.0.machine else {
            return;
        };
        let own = resident_bytes.saturating_sub(self.held());
        let left = part(machine, MACHINE_USABLE).saturating_sub(own);
        let limit = left.clamp(part(machine, MACHINE_SHARE_MIN), part(machine, MACHINE_SHARE));
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// The bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state().held
    }

    /// Number of shares so far that were taken back for others.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.0.evictions.load(Ordering::Relaxed)
    }

    /// Number of times so far that there was no room.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.0.refusals.load(Ordering::Relaxed)
    }

    /// Number of bytes that large requests may hold while they arrive.
    #[must_use]
    pub fn arriving_limit(&self) -> usize {
        part(self.limit(), ARRIVING_SHARE)
    }

    /// Number of bytes that large requests and answers may hold.
    #[must_use]
    pub fn large_limit(&self) -> usize {
        part(self.limit(), LARGE_SHARE)
    }

    fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// A share for something complete, of no bytes yet.
    #[must_use]
    pub fn share(&self) -> Share {
        let mut state = self.state();
        state.last += 1;
        Share { account: self.clone(), id: state.last, bytes: 0, eviction: Arc::default() }
    }

    /// A share for a request that is incomplete, of no bytes yet. It may be taken back for others.
    #[must_use]
    pub fn incomplete_share(&self) -> Share {
        let share = self.share();
        let incomplete = Incomplete {
            bytes: 0,
            progress: Instant::now(),
            received: 0,
            eviction: Arc::clone(&share.eviction),
        };
        self.state().incomplete.insert(share.id, incomplete);
        share
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for `bytes` more of the share `id`, which has `total` bytes with them.
    fn reserve(&self, state: &mut State, id: u64, bytes: usize, total: usize) -> Result<(), Full> {
        let limit = match state.incomplete.contains_key(&id) {
            _ if total <= SMALL_BYTES => self.limit(),
            true => self.arriving_limit(),
            false => self.large_limit(),
        };
        while state.held + bytes > limit {
            let Some(victim) = state.victim(id, total) else {
                self.0.refusals.fetch_add(1, Ordering::Relaxed);
                return Err(Full);
            };
            state.evict(victim);
            self.0.evictions.fetch_add(1, Ordering::Relaxed);
        }
        state.held += bytes;
        if let Some(incomplete) = state.incomplete.get_mut(&id) {
            incomplete.bytes += bytes;
        }
        Ok(())
    }
}

/// A part of so many bytes.
fn part(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}

/// The memory in bytes that the process has now; none if the system does not tell.
pub(crate) fn resident_bytes() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib << 10)
}

impl State {
    /// The share that gives way to the share `id` when that has `total` bytes; none if it has to give way itself.
    ///
    /// Those of which little comes go first, so that a crowd that holds its bodies back keeps nobody out for long. Otherwise
    /// the older of two large requests is served: were it the other way round, a crowd that comes again and again would end
    /// every body that takes long to arrive. Small requests, and complete ones, do not wait for large ones.
    fn victim(&self, id: u64, total: usize) -> Option<u64> {
        let now = Instant::now();
        let others = || self.incomplete.iter().filter(|(other, share)| **other != id && share.bytes > 0);
        let slow = others().filter(|(_, share)| now.duration_since(share.progress) >= PROGRESS_TIME);
        if let Some((slowest, _)) = slow.min_by_key(|(_, share)| share.progress) {
            return Some(*slowest);
        }
        let has_precedence = total <= SMALL_BYTES || !self.incomplete.contains_key(&id);
        let gives_way = |(other, share): &(&u64, &Incomplete)| {
            if has_precedence { share.bytes > total.min(SMALL_BYTES) } else { **other > id }
        };
        others().rev().find(gives_way).map(|(youngest, _)| *youngest)
    }

    fn evict(&mut self, id: u64) {
        if let Some(incomplete) = self.incomplete.remove(&id) {
            self.held -= incomplete.bytes;
            incomplete.eviction.is_evicted.store(true, Ordering::Relaxed);
            incomplete.eviction.waker.wake();
        }
    }
}

impl Share {
    /// The bytes that it holds.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `bytes` more.
    ///
    /// # Errors
    ///
    /// If there is no room for them, or the share was taken back.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let mut state = self.account.state();
        if self.is_evicted() {
            return Err(Full);
        }
        self.account.reserve(&mut state, self.id, bytes, self.bytes + bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Records that `bytes` of an incomplete request were received.
    pub fn record_received(&self, bytes: usize) {
        if let Some(incomplete) = self.account.state().incomplete.get_mut(&self.id) {
            incomplete.received += bytes;
            if incomplete.received >= PROGRESS_BYTES {
                incomplete.received = 0;
                incomplete.progress = Instant::now();
            }
        }
    }

    /// Records that nothing is received for want of room, so that the share does not count as slow.
    pub fn record_waiting(&self) {
        if let Some(incomplete) = self.account.state().incomplete.get_mut(&self.id) {
            incomplete.progress = Instant::now();
        }
    }

    /// Gives `bytes` back.
    pub fn shrink(&mut self, bytes: usize) {
        let mut state = self.account.state();
        if self.is_evicted() {
            return;
        }
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        state.held -= bytes;
        if let Some(incomplete) = state.incomplete.get_mut(&self.id) {
            incomplete.bytes = self.bytes;
        }
    }

    /// Hands `bytes` of it over to another share of the account. Neither is one of an incomplete request.
    pub fn hand_over(&mut self, bytes: usize, to: &mut Self) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        to.bytes += bytes;
    }

    /// The request is complete: its share is not taken back any more.
    ///
    /// # Errors
    ///
    /// If it was taken back already.
    pub fn complete(&mut self) -> Result<(), Full> {
        let mut state = self.account.state();
        state.incomplete.remove(&self.id);
        if self.is_evicted() { Err(Full) } else { Ok(()) }
    }

    /// Ready once the share was taken back.
    pub fn poll_evicted(&self, cx: &Context<'_>) -> Poll<()> {
        self.eviction.waker.register(cx.waker());
        if self.is_evicted() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Whether the share was taken back.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.eviction.is_evicted.load(Ordering::Relaxed)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.account.state();
        state.incomplete.remove(&self.id);
        if !self.is_evicted() {
            state.held -= self.bytes;
        }
    }
}
