//! The stream origins stored by this process.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::request::Stream;

/// Largest number of streams in one generation; when it is reached, a new generation begins.
const GENERATION_MAX: usize = 32_768;

/// The origin of a stream: which engine build began it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The service whose engine wrote its first event.
    pub service: Name,
    /// That engine's build; none if it is not certain.
    pub build: Option<Name>,
}

/// The origins of streams in two generations. The older one is dropped as a whole, so that the origins received longest ago are
/// forgotten first.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    young: FxHashMap<Stream, Origin>,
    old: FxHashMap<Stream, Origin>,
    began: Time,
}

impl Origins {
    /// Stores a stream's origin for at least `life`, unless too many streams are stored meanwhile.
    pub(crate) fn insert(&mut self, now: Time, stream: Stream, mut origin: Origin, life: Duration) {
        if now.since(self.began) >= life || self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
            self.began = now;
        }
        if self.get(stream).is_some_and(|known| *known != origin) {
            // Two attempts had the same id, so it is unknown which of the two origins a client means.
            origin.build = None;
        }
        self.young.insert(stream, origin);
    }

    /// The origin of a stream, if stored.
    pub(crate) fn get(&self, stream: Stream) -> Option<&Origin> {
        self.young.get(&stream).or_else(|| self.old.get(&stream))
    }

    /// Number of stored origins.
    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
