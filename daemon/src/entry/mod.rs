//! An entry VM on the users' platform: the edges around the reducer of `boragecove-fleet`.
//!
//! `node` owns the reducer's state. `doors` reads callers' requests, `relay` carries each to its end with
//! `client`, `follow` keeps up with the store, and `peers` joins the entry VMs.

pub(crate) mod busy;
pub mod client;
mod doors;
mod events;
mod follow;
mod forward;
mod held;
mod log;
mod metrics;
mod node;
mod outlet;
mod peers;
mod relay;
mod run;
pub mod settings;
mod transfer;

pub use run::{Failed, serve};
