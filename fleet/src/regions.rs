//! Allowed regions: a request may be served only in regions that both its route and its workspace allow.
//!
//! Its body is sent to no engine in any other region. Only [`Regions::permit`] creates a [`Permit`], and no attempt can be created without
//! one.

use std::collections::BTreeSet;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::flow::Flow;
use crate::state::State;

/// A set of allowed regions, or all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Regions(Option<BTreeSet<Name>>);

/// Proof that an engine is in a region in which a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit(());

impl Regions {
    /// Allows these regions, or all if there are none.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = Name>) -> Self {
        let regions: BTreeSet<Name> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Whether only some regions are allowed.
    #[must_use]
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// The regions that both sets allow, which may be none.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(other)) => Self(Some(own.intersection(other).cloned().collect())),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Returns a permit for an engine in `region` if that region is allowed. An unknown region is allowed only if all are.
    #[must_use]
    pub fn permit(&self, region: Option<&Name>) -> Option<Permit> {
        let allowed = |regions: &BTreeSet<Name>| region.is_some_and(|region| regions.contains(region));
        self.0.as_ref().is_none_or(allowed).then_some(Permit(()))
    }
}

/// The regions in which a request may be served by the current configuration. If its route or workspace was removed, the regions that it
/// declared last still apply.
pub(crate) fn of_request(state: &State, flow: &Flow) -> Regions {
    let declared = state.routes.find(&flow.route.host, &flow.route.prefix);
    let declared = declared.filter(|route| route.prefix == flow.route.prefix);
    let route = declared.unwrap_or(&flow.route);
    let Some(workspace) = &flow.workspace else {
        return route.allowed_regions.clone();
    };
    let workspace = state.routes.workspace(&workspace.name).unwrap_or(workspace);
    route.allowed_regions.intersect(&workspace.allowed_regions)
}

/// Returns a permit to send a request to an engine, if the engine is in one of the allowed regions.
pub(crate) fn permit(state: &State, regions: &Regions, engine: &Engine) -> Option<Permit> {
    if !regions.is_restricted() {
        return regions.permit(None);
    }
    regions.permit(state.settings.regions.get(&engine.entry.zone))
}
