//! The example that a trial deployment is made from.

use std::collections::BTreeSet;
use std::path::Path;

use boragecove_core::config::Document;
use boragecove_core::name::Name;
use boragecove_core::rules::{Caller, Priority};
use boragecove_wire::document;
use sha2::{Digest, Sha256};

use crate::callers::arrival::hex;
use crate::dev::Failed;

/// The bearer token of callers and operators in a trial.
pub const TOKEN: &str = "dev";

const INVENTORY: &str = include_str!("../../../../examples/varmevakt/inventory.jsonc");
const RULES: &str = include_str!("../../../../examples/varmevakt/rules.jsonc");

/// An example: a configuration and the availability zones it speaks of.
#[derive(Clone, Debug)]
pub struct Example {
    /// The configuration, with a caller added whose token is [`TOKEN`].
    pub document: Document,
    zones: Vec<Name>,
}

impl Example {
    /// Reads the example in a folder, or the one that is built in.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or its content is refused.
    pub fn read(folder: Option<&Path>) -> Result<Self, Failed> {
        let mut document = Document::default();
        for (file, built_in) in [("inventory.jsonc", INVENTORY), ("rules.jsonc", RULES)] {
            let text = match folder {
                Some(folder) => std::fs::read_to_string(folder.join(file))
                    .map_err(|source| Failed::File { file: folder.join(file), source })?,
                None => built_in.to_owned(),
            };
            document::read(file, &text)?.overlay(&mut document);
        }
        Ok(Self::new(document))
    }

    /// An example of this configuration.
    #[must_use]
    pub fn new(mut document: Document) -> Self {
        let named: BTreeSet<Name> =
            document.rules.places.iter().flat_map(|place| place.zones.iter().cloned()).collect();
        let zones = if named.is_empty() { vec!["zone-1".into()] } else { named.into_iter().collect() };
        document.rules.callers.push(caller());
        Self { document, zones }
    }

    /// The availability zones it speaks of.
    #[must_use]
    pub fn zones(&self) -> &[Name] {
        &self.zones
    }

    /// The availability zone of the `n`th machine of a kind, from 0.
    #[must_use]
    pub fn zone(&self, n: usize) -> Name {
        self.zones[n % self.zones.len()].clone()
    }

    /// The body of a request for the first model.
    #[must_use]
    pub fn request(&self) -> Option<String> {
        let model = self.document.inventory.models.first()?;
        let body = serde_json::json!({
            "model": model.name,
            "prompt": "Who should be checked on first in the heat?",
            "max_tokens": 40,
            "stream": true,
        });
        Some(body.to_string())
    }
}

fn caller() -> Caller {
    Caller {
        name: "dev".into(),
        token_sha256: hex(&Sha256::digest(TOKEN)),
        priority: Priority::Urgent,
        weight: 1,
        open_limit: None,
        reach: Vec::new(),
    }
}
