//! The regions in which a request may be served: its route's and its workspace's, both of which bind.
//!
//! Such a request's body goes to no engine elsewhere. [`Homes::permit`] alone makes a [`Permit`], and an attempt cannot be made
//! without one.

use std::collections::BTreeSet;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::flow::Flow;
use crate::state::State;

/// Regions in which something may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes(Option<BTreeSet<Name>>);

/// Says that an engine is where a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit(());

impl Homes {
    /// These regions; any, if none is named.
    #[must_use]
    pub fn of(regions: impl IntoIterator<Item = Name>) -> Self {
        let regions: BTreeSet<Name> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Whether not all regions are allowed.
    #[must_use]
    pub const fn bind(&self) -> bool {
        self.0.is_some()
    }

    /// The regions that both allow; there may be none.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(other)) => Self(Some(own.intersection(other).cloned().collect())),
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Allows an engine in a region; none if that is no home. A region that is not known is a home only where all are.
    #[must_use]
    pub fn permit(&self, region: Option<&Name>) -> Option<Permit> {
        let allowed = |homes: &BTreeSet<Name>| region.is_some_and(|region| homes.contains(region));
        self.0.as_ref().is_none_or(allowed).then_some(Permit(()))
    }
}

/// Where a request may be served by the configuration in force. One whose route is gone keeps what that said.
pub(crate) fn of(state: &State, flow: &Flow) -> Homes {
    let declared = state.routes.find(&flow.route.host, &flow.route.prefix);
    let declared = declared.filter(|route| route.prefix == flow.route.prefix);
    let route = declared.unwrap_or(&flow.route);
    let Some(workspace) = &flow.workspace else {
        return route.homes.clone();
    };
    let workspace = state.routes.workspace(&workspace.name).unwrap_or(workspace);
    route.homes.and(&workspace.homes)
}

/// Allows an engine for a request; none if it is in no home of that request.
pub(crate) fn permit(state: &State, homes: &Homes, engine: &Engine) -> Option<Permit> {
    if !homes.bind() {
        return homes.permit(None);
    }
    homes.permit(state.settings.regions.get(&engine.entry.zone))
}
