//! Validation of a configuration before it is accepted: consistency, and memory of the engines.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::artifact::Artifact;
use crate::code::Code;
use crate::config::Document;
use crate::fleet;
use crate::inventory::{Inventory, Kind, SEPARATORS, Version};
use crate::name::Name;
use crate::rules::{Rules, is_digest};

mod fit;

/// A reason to refuse a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Fault {
    /// Two items of one kind have the same name.
    #[error("{what} '{name}' is declared more than once")]
    Duplicate {
        /// The kind of the items.
        what: &'static str,
        /// Their name.
        name: Name,
    },
    /// A name is empty or contains a separator.
    #[error("{what} '{name}' needs a name that is not empty and has none of : @ /")]
    BadName {
        /// The kind of the named item.
        what: &'static str,
        /// The name.
        name: Name,
    },
    /// An item refers to another that is not declared.
    #[error("{what} '{name}' refers to {kind} '{target}', which is not declared")]
    Unknown {
        /// The kind of the referring item.
        what: &'static str,
        /// Its name.
        name: Name,
        /// The kind of the item it refers to.
        kind: &'static str,
        /// The name of the item it refers to.
        target: Name,
    },
    /// The item's group has the other kind of backend server.
    #[error("{what} '{name}' is in group '{group}', whose members do not run it")]
    WrongKind {
        /// The kind of the item.
        what: &'static str,
        /// Its name.
        name: Name,
        /// The group.
        group: Name,
    },
    /// A number that must be above zero is not.
    #[error("{what} '{name}' has {field} that is not above zero")]
    Zero {
        /// The kind of the item.
        what: &'static str,
        /// Its name.
        name: Name,
        /// The name of the field.
        field: &'static str,
    },
    /// A model or adapter without a version.
    #[error("{what} '{name}' has no version, so nothing of it can be loaded")]
    NoVersion {
        /// The kind of the item.
        what: &'static str,
        /// Its name.
        name: Name,
    },
    /// A token digest that is not a SHA-256 in hex.
    #[error("caller '{caller}' has a token_sha256 that is not 64 lower-case hex digits")]
    Digest {
        /// The caller.
        caller: Name,
    },
    /// A weight that is negative, infinite or not a number.
    #[error("the weight '{field}' is negative or no number")]
    Weight {
        /// The name of the weight.
        field: &'static str,
    },
    /// The engines lack memory for the copies of some artifacts.
    #[error(
        "group '{group}' lacks {lacking_mb} MB: its artifacts need {needed_mb} MB, {engines} engines hold \
         {memory_mb} MB; the first without a place is {first} with {first_mb} MB in {zones}"
    )]
    Full {
        /// The group.
        group: Name,
        /// Memory of the copies that could not be placed, in MB.
        lacking_mb: u64,
        /// Memory of all declared copies, in MB.
        needed_mb: u64,
        /// Engines of the group that are listed and not leaving.
        engines: usize,
        /// Their memory, in MB.
        memory_mb: u64,
        /// The first artifact that could not be placed.
        first: Artifact,
        /// Its memory, in MB.
        first_mb: u64,
        /// The zones that may hold it, each with the number of engines, their memory and the largest free
        /// memory on one of them.
        zones: Name,
    },
}

/// All faults of `document`. Lack of memory counts only for groups that lack more than under the document
/// in force, so that a change is accepted while engines are missing if it does not make the lack worse.
pub(crate) fn validate(document: &Document, in_force: &Document, fleet: &fleet::Part) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_inventory(&document.inventory, &mut faults);
    check_rules(&document.rules, &document.inventory, &mut faults);
    if faults.is_empty() {
        faults = fit::worsened_shortages(document, in_force, fleet);
    }
    faults
}

/// The result code for `faults`; none if there are none.
pub(crate) fn code(faults: &[Fault]) -> Option<Code> {
    let first = faults.first()?;
    Some(if matches!(first, Fault::Full { .. }) { Code::DoesNotFit } else { Code::InvalidConfiguration })
}

fn check_inventory(inventory: &Inventory, faults: &mut Vec<Fault>) {
    check_names("group", inventory.groups.iter().map(|group| &group.name), faults);
    check_names("model", inventory.models.iter().map(|model| &model.name), faults);
    check_names("service", inventory.services.iter().map(|service| &service.name), faults);
    for group in &inventory.groups {
        let needs_memory = group.kind == Kind::Engine;
        check_above_zero("group", &group.name, "slots", u64::from(group.slots), faults);
        if needs_memory {
            check_above_zero("group", &group.name, "memory_mb", group.memory_mb, faults);
        }
    }
    for model in &inventory.models {
        check_group(inventory, "model", &model.name, &model.group, Kind::Engine, faults);
        check_versions("model", &model.name, &model.versions, faults);
        check_names("adapter", model.adapters.iter().map(|adapter| &adapter.name), faults);
        for adapter in &model.adapters {
            let full = Name::from(format!("{}:{}", model.name, adapter.name));
            check_versions("adapter", &full, &adapter.versions, faults);
        }
    }
    for service in &inventory.services {
        check_group(inventory, "service", &service.name, &service.group, Kind::Service, faults);
    }
}

fn check_group(
    inventory: &Inventory,
    what: &'static str,
    name: &Name,
    group: &Name,
    kind: Kind,
    faults: &mut Vec<Fault>,
) {
    let declared = inventory.groups.iter().find(|each| each.name == *group);
    match declared {
        None => faults.push(unknown(what, name, "group", group)),
        Some(declared) if declared.kind != kind => {
            faults.push(Fault::WrongKind { what, name: name.clone(), group: group.clone() });
        }
        Some(_) => {}
    }
}

fn check_versions(what: &'static str, name: &Name, versions: &[Version], faults: &mut Vec<Fault>) {
    if versions.is_empty() {
        faults.push(Fault::NoVersion { what, name: name.clone() });
    }
    let mut seen = BTreeSet::new();
    for version in versions {
        let full = Name::from(format!("{name}@{}", version.name));
        if version.name.is_empty() || version.name.contains(SEPARATORS) {
            faults.push(Fault::BadName { what: "version", name: full.clone() });
        }
        if !seen.insert(&version.name) {
            faults.push(Fault::Duplicate { what: "version", name: full.clone() });
        }
        check_above_zero("version", &full, "memory_mb", version.memory_mb, faults);
    }
}

fn check_rules(rules: &Rules, inventory: &Inventory, faults: &mut Vec<Fault>) {
    let models: BTreeSet<&Name> = inventory.models.iter().map(|model| &model.name).collect();
    let services: BTreeSet<&Name> = inventory.services.iter().map(|service| &service.name).collect();
    check_names("caller", rules.callers.iter().map(|caller| &caller.name), faults);
    let mut tokens = BTreeSet::new();
    for caller in &rules.callers {
        if !is_digest(&caller.token_sha256) {
            faults.push(Fault::Digest { caller: caller.name.clone() });
        } else if !tokens.insert(&caller.token_sha256) {
            faults.push(Fault::Duplicate { what: "the token of caller", name: caller.name.clone() });
        }
        check_above_zero("caller", &caller.name, "weight", u64::from(caller.weight), faults);
        check_above_zero(
            "caller",
            &caller.name,
            "open_limit",
            caller.open_limit.map_or(1, u64::from),
            faults,
        );
        for target in caller.reach.iter().filter(|each| !models.contains(each) && !services.contains(each)) {
            faults.push(unknown("caller", &caller.name, "model or service", target));
        }
    }
    check_names("place for model", rules.places.iter().map(|place| &place.model), faults);
    for place in &rules.places {
        check_above_zero("place for model", &place.model, "copies", u64::from(place.copies), faults);
        if !models.contains(&place.model) {
            faults.push(unknown("place", &place.model, "model", &place.model));
        }
    }
    check_names("priority for model", rules.priorities.iter().map(|rank| &rank.model), faults);
    for rank in rules.priorities.iter().filter(|rank| !models.contains(&rank.model)) {
        faults.push(unknown("priority", &rank.model, "model", &rank.model));
    }
    let weights = [("attainment", rules.weights.attainment), ("moves", rules.weights.moves)];
    for (field, _) in weights.into_iter().filter(|(_, weight)| !weight.is_finite() || *weight < 0.0) {
        faults.push(Fault::Weight { field });
    }
}

fn check_names<'a>(what: &'static str, names: impl Iterator<Item = &'a Name>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() || name.contains(SEPARATORS) {
            faults.push(Fault::BadName { what, name: name.clone() });
        }
        if !seen.insert(name) {
            faults.push(Fault::Duplicate { what, name: name.clone() });
        }
    }
}

fn check_above_zero(
    what: &'static str,
    name: &Name,
    field: &'static str,
    number: u64,
    faults: &mut Vec<Fault>,
) {
    if number == 0 {
        faults.push(Fault::Zero { what, name: name.clone(), field });
    }
}

fn unknown(what: &'static str, name: &Name, kind: &'static str, target: &Name) -> Fault {
    Fault::Unknown { what, name: name.clone(), kind, target: target.clone() }
}
