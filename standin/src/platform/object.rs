//! The object store: bytes by key.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

/// An object store in memory. Copies share one content.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<BTreeMap<String, Bytes>>>);

impl Store {
    /// The object under a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().get(key).cloned()
    }

    /// Puts an object in the place of what is under the key.
    pub fn put(&self, key: &str, bytes: Bytes) {
        self.lock().insert(key.to_owned(), bytes);
    }

    /// Removes the object under a key, if there is one.
    pub fn delete(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
