//! Small stand-ins for what boragecove talks to: model engine, plain service and platform, over HTTP.
//!
//! They keep what the other side promises (see `docs/PROTOCOLS.md`) and commit faults on demand.
//! They model no network, no fleet and no performance beyond fixed rates.

pub mod engine;
pub mod fault;
pub mod platform;
pub mod server;
pub mod service;
