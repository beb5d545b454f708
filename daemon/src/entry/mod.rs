//! The process of an entry VM on the users' platform: all I/O around the reducer of `boragecove-fleet`.
//!
//! `node` owns the reducer's state. `handlers` reads callers' requests, and a task of `request_task` handles each of
//! them with `client`. `store_poll` polls the store's tables, and `peers` connects the entry VMs with each other.

pub(crate) mod busy;
pub mod caller_response;
pub mod client;
mod deferred_reply;
mod event_buffer;
mod handlers;
mod log;
mod metrics;
mod node;
mod peer_relay;
mod peers;
mod refusals;
mod request_task;
mod run;
pub mod settings;
mod store_poll;
mod transfer;

pub use run::{StartError, serve};
