//! Which back ends are thought to have a prompt's leading blocks cached: a hint in bounded memory.
//!
//! Each cached block takes one entry of four bytes: a fingerprint of two bytes and the back end's number.
//! A block's hash picks a set of entries; within a set the oldest makes room. A wrong hint, from a late
//! event, a gap or two blocks with one fingerprint, costs time and never an answer.

/// Entries of one set.
const WAYS: usize = 8;

/// One cached block at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    print: u16,
    site: u16,
}

const NONE: u16 = u16::MAX;
const EMPTY: Entry = Entry { print: 0, site: NONE };

/// Cached blocks of all back ends.
#[derive(Clone, Debug)]
pub struct Sketch {
    entries: Vec<Entry>,
    /// The number of sets is a power of two.
    mask: usize,
}

impl Sketch {
    /// Room for at least `blocks` cached blocks.
    #[must_use]
    pub fn new(blocks: usize) -> Self {
        let sets = blocks.div_ceil(WAYS).next_power_of_two();
        Self { entries: vec![EMPTY; sets * WAYS], mask: sets - 1 }
    }

    /// Bytes it takes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }

    fn set(&self, hash: u64) -> (std::ops::Range<usize>, u16) {
        let first = (hash as usize & self.mask) * WAYS;
        (first..first + WAYS, (hash >> 48) as u16)
    }

    /// A block is cached at a back end.
    pub fn store(&mut self, hash: u64, site: u16) {
        let (set, print) = self.set(hash);
        let set = &mut self.entries[set];
        let entry = Entry { print, site };
        let at = set.iter().position(|each| *each == entry).unwrap_or(WAYS - 1);
        set[..=at].rotate_right(1);
        set[0] = entry;
    }

    /// A block is not cached at a back end any more.
    pub fn evict(&mut self, hash: u64, site: u16) {
        let (set, print) = self.set(hash);
        for entry in &mut self.entries[set] {
            if *entry == (Entry { print, site }) {
                *entry = EMPTY;
            }
        }
    }

    /// Nothing is cached at a back end any more.
    pub fn clear(&mut self, site: u16) {
        for entry in &mut self.entries {
            if entry.site == site {
                *entry = EMPTY;
            }
        }
    }

    /// The back ends thought to hold a block.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = u16> {
        let (set, print) = self.set(hash);
        self.entries[set]
            .iter()
            .filter(move |entry| entry.print == print && entry.site != NONE)
            .map(|entry| entry.site)
    }

    /// Leading blocks of a prompt that a back end is thought to hold. Blocks are cached from the front,
    /// so that the last one held is found by halving.
    #[must_use]
    pub fn matched(&self, hashes: &[u64], site: u16) -> usize {
        hashes.partition_point(|hash| self.holders(*hash).any(|holder| holder == site))
    }

    /// The back ends thought to hold most of a prompt's leading blocks, at most `N`, with the blocks held.
    #[must_use]
    pub fn best<const N: usize>(&self, hashes: &[u64]) -> [Option<(u16, usize)>; N] {
        let mut best = [None; N];
        let held = hashes.partition_point(|hash| self.holders(*hash).next().is_some());
        if let Some(last) = held.checked_sub(1) {
            for (place, site) in best.iter_mut().zip(self.holders(hashes[last])) {
                *place = Some((site, held));
            }
        }
        best
    }
}
