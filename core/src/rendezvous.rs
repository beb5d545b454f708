//! Rendezvous hashing: everyone who knows the same candidates picks the same one, and a candidate that
//! goes or comes moves only what was or becomes its own.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How strongly `candidate` is bound to `key`.
pub(crate) fn score(candidate: &str, key: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The candidate for `key`, if there is any.
pub(crate) fn pick<'a>(candidates: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    candidates.max_by_key(|candidate| (score(candidate, key), *candidate))
}

/// The candidates for `key`, the first choice first.
pub(crate) fn rank<'a>(candidates: impl Iterator<Item = &'a str>, key: &str) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(candidate, key), *candidate)));
    ranked
}
