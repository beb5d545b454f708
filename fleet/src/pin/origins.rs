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
    current: FxHashMap<Stream, Stored>,
    previous: FxHashMap<Stream, Stored>,
    current_since: Time,
}

/// A stored origin.
#[derive(Debug)]
struct Stored {
    origin: Origin,
    /// When it was received last.
    received: Time,
}

impl Origins {
    /// Stores a stream's origin for at least `lifetime`, unless too many streams are stored meanwhile.
    pub(crate) fn insert(&mut self, now: Time, stream: Stream, mut origin: Origin, lifetime: Duration) {
        if now.since(self.current_since) >= lifetime || self.current.len() >= GENERATION_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        if self.get(stream).is_some_and(|stored| *stored != origin) {
            // Two attempts had the same id, so it is unknown which of the two origins a caller means.
            origin.build = None;
        }
        self.current.insert(stream, Stored { origin, received: now });
    }

    /// The streams whose origins were received within the last `time`, with the time of that.
    pub(crate) fn received_within(
        &self,
        now: Time,
        time: Duration,
    ) -> impl Iterator<Item = (Time, Stream, &Origin)> {
        let previous = self.previous.iter().filter(|(stream, _)| !self.current.contains_key(stream));
        let stored = self.current.iter().chain(previous);
        let recent = stored.filter(move |(_, stored)| now.since(stored.received) < time);
        recent.map(|(stream, stored)| (stored.received, *stream, &stored.origin))
    }

    /// The origin of a stream, if stored.
    pub(crate) fn get(&self, stream: Stream) -> Option<&Origin> {
        let stored = self.current.get(&stream).or_else(|| self.previous.get(&stream));
        stored.map(|stored| &stored.origin)
    }

    /// Number of stored origins.
    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
