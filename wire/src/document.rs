//! Reads inventory and rules documents, which are JSON with comments. Every error has its position.

use boragecove_core::config::Document;
use boragecove_core::inventory::{Adapter, Group, Inventory, Kind, Model, SEPARATORS, Service, Version};
use boragecove_core::name::Name;
use boragecove_core::rules::{Caller, Place, Precedence, Priority, Rules, Weights, is_digest};

use crate::jsonc::{self, Node, Problems};

/// Maximum memory of an engine or artifact, in MB.
const MEMORY_MAX_MB: u64 = 1 << 30;
/// Maximum weight of a goal, in missed latency targets.
const WEIGHT_MAX: f64 = 1_000_000.0;
/// Maximum latency target, in milliseconds.
const TARGET_MAX_MS: u64 = 3_600_000;

/// The contents of one file: an inventory, rules, or both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    /// The inventory, if the file has one.
    pub inventory: Option<Inventory>,
    /// The rules, if the file has any.
    pub rules: Option<Rules>,
}

impl Declarations {
    /// Replaces those parts of `document` that the file declares.
    pub fn overlay(self, document: &mut Document) {
        if let Some(inventory) = self.inventory {
            document.inventory = inventory;
        }
        if let Some(rules) = self.rules {
            document.rules = rules;
        }
    }
}

/// Reads the text of one file. `file` is its name in the errors.
///
/// # Errors
///
/// All syntax and structure errors of the text, sorted by position. Whether the parts are consistent and fit into the existing engines
/// is checked by the daemon that applies them.
pub fn read(file: &str, text: &str) -> Result<Declarations, Problems> {
    jsonc::read(file, text, |root| {
        let mut object = root.object();
        let declarations = Declarations {
            inventory: object.optional("inventory").map(|node| inventory(&node)),
            rules: object.optional("rules").map(|node| rules(&node)),
        };
        if declarations.inventory.is_none() && declarations.rules.is_none() {
            object.report_error("expected a member \"inventory\", \"rules\" or both");
        }
        declarations
    })
}

fn list<'a, T>(node: Option<Node<'a>>, item: impl Fn(&Node<'a>) -> Option<T>) -> Vec<T> {
    let items = node.map(|node| node.list()).unwrap_or_default();
    items.iter().filter_map(item).collect()
}

fn inventory(node: &Node<'_>) -> Inventory {
    let mut object = node.object();
    Inventory {
        groups: list(object.optional("groups"), group),
        models: list(object.optional("models"), model),
        services: list(object.optional("services"), service),
    }
}

// These functions request all members before they return for a missing one, so that every error is reported.

fn group(node: &Node<'_>) -> Option<Group> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let kind = object.required("kind");
    let kind = kind.and_then(|node| node.choice(&[("engine", Kind::Engine), ("service", Kind::Service)]));
    let memory_mb = match kind {
        Some(Kind::Engine) => object.required("memory_mb").and_then(|node| node.integer(1, MEMORY_MAX_MB)),
        _ => object.optional("memory_mb").map_or(Some(0), |node| node.integer(0, MEMORY_MAX_MB)),
    };
    let slots = object.required("slots").and_then(|node| count(&node, 1));
    let checks_fences = object.optional("checks_fences").map_or(Some(false), |node| node.boolean());
    Some(Group {
        name: name?,
        kind: kind?,
        memory_mb: memory_mb?,
        slots: slots?,
        checks_fences: checks_fences?,
    })
}

fn model(node: &Node<'_>) -> Option<Model> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let group = object.required("group").and_then(|node| node.name());
    let versions = versions(object.required("versions"));
    let adapters = list(object.optional("adapters"), adapter);
    Some(Model { name: name?, group: group?, versions, adapters })
}

fn adapter(node: &Node<'_>) -> Option<Adapter> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let versions = versions(object.required("versions"));
    Some(Adapter { name: name?, versions })
}

fn versions(node: Option<Node<'_>>) -> Vec<Version> {
    let Some(node) = node else {
        return Vec::new();
    };
    let items = node.list();
    if items.is_empty() {
        node.report_error("expected an array of at least one version");
    }
    items.iter().filter_map(version).collect()
}

fn version(node: &Node<'_>) -> Option<Version> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let memory_mb = object.required("memory_mb").and_then(|node| node.integer(1, MEMORY_MAX_MB));
    Some(Version { name: name?, memory_mb: memory_mb? })
}

fn service(node: &Node<'_>) -> Option<Service> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let group = object.required("group").and_then(|node| node.name());
    let idempotent = object.optional("idempotent").map_or(Some(false), |node| node.boolean());
    Some(Service { name: name?, group: group?, idempotent: idempotent? })
}

fn rules(node: &Node<'_>) -> Rules {
    let mut object = node.object();
    Rules {
        callers: list(object.optional("callers"), caller),
        places: list(object.optional("places"), place),
        priorities: list(object.optional("priorities"), precedence),
        weights: object.optional("weights").and_then(|node| weights(&node)).unwrap_or_default(),
    }
}

fn caller(node: &Node<'_>) -> Option<Caller> {
    let mut object = node.object();
    let name = object.required("name").and_then(|node| name_without_separators(&node));
    let token_sha256 = object.required("token_sha256").and_then(|node| digest(&node));
    let priority = object.optional("priority").map_or(Some(Priority::default()), |node| priority(&node));
    let weight = object.optional("weight").map_or(Some(1), |node| count(&node, 1));
    let open_limit = object.optional("open_limit").and_then(|node| count(&node, 1));
    let reach = list(object.optional("reach"), Node::name);
    Some(Caller {
        name: name?,
        token_sha256: token_sha256?,
        priority: priority?,
        weight: weight?,
        open_limit,
        reach,
    })
}

fn place(node: &Node<'_>) -> Option<Place> {
    let mut object = node.object();
    let model = object.required("model").and_then(|node| node.name());
    let zones = list(object.required("zones"), Node::name);
    let copies = object.optional("copies").map_or(Some(1), |node| count(&node, 1));
    Some(Place { model: model?, zones, copies: copies? })
}

fn precedence(node: &Node<'_>) -> Option<Precedence> {
    let mut object = node.object();
    let model = object.required("model").and_then(|node| node.name());
    let priority = object.required("priority").and_then(|node| priority(&node));
    Some(Precedence { model: model?, priority: priority? })
}

fn weights(node: &Node<'_>) -> Option<Weights> {
    let mut object = node.object();
    let default = Weights::default();
    let attainment = object.optional("attainment");
    let attainment = attainment.map_or(Some(default.attainment), |node| node.number(0.0, WEIGHT_MAX));
    let moves = object.optional("moves").map_or(Some(default.moves), |node| node.number(0.0, WEIGHT_MAX));
    let first = object.optional("first_token_ms");
    let first = first.map_or(Some(default.first_token_ms), |node| target(&node));
    let gap = object.optional("token_gap_ms").map_or(Some(default.token_gap_ms), |node| target(&node));
    Some(Weights { attainment: attainment?, moves: moves?, first_token_ms: first?, token_gap_ms: gap? })
}

fn priority(node: &Node<'_>) -> Option<Priority> {
    node.choice(&[
        ("urgent", Priority::Urgent),
        ("high", Priority::High),
        ("normal", Priority::Normal),
        ("deferrable", Priority::Deferrable),
    ])
}

fn count(node: &Node<'_>, min: u64) -> Option<u32> {
    node.integer(min, u64::from(u32::MAX)).and_then(|number| u32::try_from(number).ok())
}

fn target(node: &Node<'_>) -> Option<u32> {
    node.integer(1, TARGET_MAX_MS).and_then(|number| u32::try_from(number).ok())
}

/// A name that does not contain the separators of `model:adapter@version` and of paths.
fn name_without_separators(node: &Node<'_>) -> Option<Name> {
    let name = node.name()?;
    if name.contains(SEPARATORS) {
        node.report_error("expected a name without ':', '@' and '/', which separate names");
        return None;
    }
    Some(name)
}

/// A SHA-256 digest as hex digits.
fn digest(node: &Node<'_>) -> Option<Name> {
    let name = node.name()?;
    if !is_digest(&name) {
        node.report_error("expected a SHA-256 as 64 lower-case hex digits, as `sha256sum` prints it");
        return None;
    }
    Some(name)
}
