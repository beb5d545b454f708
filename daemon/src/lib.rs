//! The daemon of an entry VM: its edges around the reducer.
//!
//! [`node`] owns the reducer's state. The edges feed it events and carry its effects out.

mod backends;
mod body;
mod callers;
pub mod clock;
pub mod cmd;
mod connection;
pub mod dev;
pub mod entry;
mod head;
mod listener;
pub mod logs;
pub mod memory;
mod metrics;
pub mod node;
mod operators;
mod peers;
pub mod platform;
pub mod settings;
