//! Rendezvous hashing: all processes that know the same candidates pick the same one for a key, and adding
//! or removing a candidate only reassigns the keys of that candidate.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `candidate` for `key`; the highest weight is picked.
pub(crate) fn score(candidate: &str, key: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The candidate with the highest weight for `key`.
pub(crate) fn pick<'a>(candidates: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (score(candidate, key), *candidate))
}

/// The candidates in descending order of their weight for `key`.
pub(crate) fn rank<'a>(candidates: impl Iterator<Item = &'a str>, key: &str) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(candidate, key), *candidate)));
    ranked
}
