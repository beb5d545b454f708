//! Hints in bounded memory on which back ends have cached the leading blocks of a prompt.
//!
//! The table is set-associative. Each cached block takes one entry of four bytes: a fingerprint of two
//! bytes and the index of the back end. The hash of a block selects a set, in which the oldest entry is
//! replaced. A hint can be wrong because of a late or lost event, or because two blocks have the same
//! fingerprint. That costs time, but never makes an answer wrong.

/// Number of entries in a set.
const WAYS: usize = 8;

/// One cached block at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    fingerprint: u16,
    backend: u16,
}

const NONE: u16 = u16::MAX;
const EMPTY: Entry = Entry { fingerprint: 0, backend: NONE };

/// Approximate table of the cached blocks of all back ends.
#[derive(Clone, Debug)]
pub struct Sketch {
    entries: Vec<Entry>,
    /// The number of sets is a power of two.
    mask: usize,
}

impl Sketch {
    /// Creates an empty table with room for at least `blocks` cached blocks.
    #[must_use]
    pub fn new(blocks: usize) -> Self {
        let sets = blocks.div_ceil(WAYS).next_power_of_two();
        Self { entries: vec![EMPTY; sets * WAYS], mask: sets - 1 }
    }

    /// Memory of the entries in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }

    fn set(&self, hash: u64) -> (std::ops::Range<usize>, u16) {
        let first = (hash as usize & self.mask) * WAYS;
        (first..first + WAYS, (hash >> 48) as u16)
    }

    /// Records that a back end has cached a block.
    pub fn store(&mut self, hash: u64, backend: u16) {
        let (set, fingerprint) = self.set(hash);
        let set = &mut self.entries[set];
        let entry = Entry { fingerprint, backend };
        let at = set.iter().position(|each| *each == entry).unwrap_or(WAYS - 1);
        set[..=at].rotate_right(1);
        set[0] = entry;
    }

    /// Records that a back end has evicted a block.
    pub fn evict(&mut self, hash: u64, backend: u16) {
        let (set, fingerprint) = self.set(hash);
        for entry in &mut self.entries[set] {
            if *entry == (Entry { fingerprint, backend }) {
                *entry = EMPTY;
            }
        }
    }

    /// Removes all entries of a back end.
    pub fn clear(&mut self, backend: u16) {
        for entry in &mut self.entries {
            if entry.backend == backend {
                *entry = EMPTY;
            }
        }
    }

    /// Back ends that have probably cached a block.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = u16> {
        let (set, fingerprint) = self.set(hash);
        self.entries[set]
            .iter()
            .filter(move |entry| entry.fingerprint == fingerprint && entry.backend != NONE)
            .map(|entry| entry.backend)
    }

    /// Number of leading blocks of a prompt that a back end has probably cached. Blocks are cached from the
    /// start of the prompt, so a binary search finds the last one.
    #[must_use]
    pub fn matched(&self, hashes: &[u64], backend: u16) -> usize {
        hashes.partition_point(|hash| self.holders(*hash).any(|holder| holder == backend))
    }

    /// Up to `N` back ends that have probably cached the most leading blocks of a prompt, with the number
    /// of these blocks.
    #[must_use]
    pub fn best<const N: usize>(&self, hashes: &[u64]) -> [Option<(u16, usize)>; N] {
        let mut best = [None; N];
        let held = hashes.partition_point(|hash| self.holders(*hash).next().is_some());
        if let Some(last) = held.checked_sub(1) {
            for (slot, backend) in best.iter_mut().zip(self.holders(hashes[last])) {
                *slot = Some((backend, held));
            }
        }
        best
    }
}
