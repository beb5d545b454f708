//! Difference between two documents, so that a change can be sent without the full document.

use serde::{Deserialize, Serialize};

use super::Document;
use crate::inventory::{Group, Model, Service};
use crate::name::Name;
use crate::rules::{Caller, Place, Precedence, Weights};

/// Changes of one list of named items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Patch<T> {
    /// New items, and items that replace those of the same name at the same position.
    #[serde(default = "Vec::new")]
    pub set: Vec<T>,
    /// Names of removed items.
    #[serde(default)]
    pub gone: Vec<Name>,
}

impl<T> Default for Patch<T> {
    fn default() -> Self {
        Self { set: Vec::new(), gone: Vec::new() }
    }
}

/// The difference between two documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delta {
    /// Changed groups.
    pub groups: Patch<Group>,
    /// Changed models, each with all its versions and adapters.
    pub models: Patch<Model>,
    /// Changed services.
    pub services: Patch<Service>,
    /// Changed callers.
    pub callers: Patch<Caller>,
    /// Changed places, by model.
    pub places: Patch<Place>,
    /// Changed priorities, by model.
    pub priorities: Patch<Precedence>,
    /// The new weights, if they changed.
    pub weights: Option<Weights>,
}

impl Delta {
    /// The difference from `old` to `new`; none when a delta can't express it, as after a change of a list's
    /// order.
    #[must_use]
    pub fn between(old: &Document, new: &Document) -> Option<Self> {
        let weights = new.rules.weights;
        let delta = Self {
            groups: Patch::between(&old.inventory.groups, &new.inventory.groups, group_name),
            models: Patch::between(&old.inventory.models, &new.inventory.models, model_name),
            services: Patch::between(&old.inventory.services, &new.inventory.services, service_name),
            callers: Patch::between(&old.rules.callers, &new.rules.callers, caller_name),
            places: Patch::between(&old.rules.places, &new.rules.places, place_name),
            priorities: Patch::between(&old.rules.priorities, &new.rules.priorities, precedence_name),
            weights: (weights != old.rules.weights).then_some(weights),
        };
        (delta.apply(old) == *new).then_some(delta)
    }

    /// Applies the changes to a copy of `old`.
    #[must_use]
    pub fn apply(&self, old: &Document) -> Document {
        let mut new = old.clone();
        self.groups.apply(&mut new.inventory.groups, group_name);
        self.models.apply(&mut new.inventory.models, model_name);
        self.services.apply(&mut new.inventory.services, service_name);
        self.callers.apply(&mut new.rules.callers, caller_name);
        self.places.apply(&mut new.rules.places, place_name);
        self.priorities.apply(&mut new.rules.priorities, precedence_name);
        if let Some(weights) = self.weights {
            new.rules.weights = weights;
        }
        new
    }
}

impl<T: Clone + PartialEq> Patch<T> {
    fn between(old: &[T], new: &[T], name: fn(&T) -> &Name) -> Self {
        let set = new.iter().filter(|each| find(old, name(each), name) != Some(*each)).cloned().collect();
        let gone = old.iter().map(name).filter(|each| find(new, each, name).is_none()).cloned().collect();
        Self { set, gone }
    }

    fn apply(&self, list: &mut Vec<T>, name: fn(&T) -> &Name) {
        list.retain(|each| !self.gone.contains(name(each)));
        for item in &self.set {
            match list.iter_mut().find(|each| name(each) == name(item)) {
                Some(old) => *old = item.clone(),
                None => list.push(item.clone()),
            }
        }
    }
}

fn find<'a, T>(list: &'a [T], wanted: &Name, name: fn(&T) -> &Name) -> Option<&'a T> {
    list.iter().find(|each| name(each) == wanted)
}

fn group_name(group: &Group) -> &Name {
    &group.name
}

fn model_name(model: &Model) -> &Name {
    &model.name
}

fn service_name(service: &Service) -> &Name {
    &service.name
}

fn caller_name(caller: &Caller) -> &Name {
    &caller.name
}

fn place_name(place: &Place) -> &Name {
    &place.model
}

fn precedence_name(precedence: &Precedence) -> &Name {
    &precedence.model
}
