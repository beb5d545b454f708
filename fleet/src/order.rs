//! Orders to engines, the engines' answers to them, and the engines' reports of their holdings.

use std::time::Duration;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::config::Pool;
use crate::engine::{Cached, Held, Incarnation};

/// A change of an engine's holdings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    Load {
        /// Name of the model.
        model: Name,
    },
    /// Drop a model with its adapters once its runs have ended.
    Unload {
        /// Name of the model.
        model: Name,
    },
    /// Load an adapter of a model that is loaded.
    LoadAdapter {
        /// Name of the model.
        model: Name,
        /// Name of the adapter.
        adapter: Name,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Name of the model.
        model: Name,
        /// Name of the adapter.
        adapter: Name,
    },
}

impl Order {
    /// Additional memory that the engine needs for this order, in MB; the whole memory of an engine for a model
    /// that is not declared.
    pub(crate) fn memory_mb(&self, pool: &Pool) -> f64 {
        match self {
            Self::Load { model } => pool.model(model).map_or(pool.memory_mb, |model| model.memory_mb),
            Self::LoadAdapter { model, .. } => {
                pool.model(model).map_or(pool.memory_mb, |model| model.adapter_mb)
            }
            Self::Unload { .. } | Self::UnloadAdapter { .. } => 0.0,
        }
    }

    /// Time that an engine takes to carry out this order, given the weights that it has cached.
    pub(crate) fn duration(&self, pool: Option<&Pool>, cached: &Cached) -> Duration {
        let Self::Load { model } = self else {
            return Duration::ZERO;
        };
        let Some(known) = pool.and_then(|pool| pool.model(model)) else {
            return Duration::ZERO;
        };
        if cached.memory.contains(model) {
            known.warm
        } else if cached.disk.contains(model) {
            known.disk
        } else {
            known.cold
        }
    }
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The order is being carried out.
    Accepted,
    /// The order was carried out at once, or its result was already in place.
    Completed,
    /// Another order is under way, or the engine has accepted others.
    Conflict,
    /// The order will never be carried out: it was meant for another incarnation of the engine, or it is
    /// invalid.
    Refused,
}

/// An engine's report of its state. It is up to some hundred ms old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the engine that reports.
    pub incarnation: Incarnation,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Models and adapters that it holds.
    pub held: Vec<Held>,
    /// Whether it is shutting down and is to get no more requests.
    pub leaving: bool,
    /// Adapters that it is loading, as pairs of model and adapter.
    pub fetching: Vec<(Name, Name)>,
}
