//! The decision logic of boragecove: one reducer that takes events and returns effects as data.
//!
//! [`apply`] takes the [`State`] of one daemon process, the time and an [`event::Event`], and
//! returns [`effect::Effect`]s to carry out. It does no I/O, reads no clock and draws random
//! numbers only from a generator with a given seed, so one test can drive many processes.

mod admit;
pub mod artifact;
pub mod attempt;
pub mod audit;
mod catalog;
mod check;
pub mod claim;
mod close;
pub mod code;
mod collect;
pub mod config;
pub mod count;
mod demand;
mod dispatch;
mod drain;
pub mod effect;
pub mod end;
pub mod engine;
pub mod error;
pub mod event;
mod explain;
mod fleet;
mod flow;
pub mod health;
pub mod id;
pub mod inventory;
mod latency;
pub mod lease;
pub mod ledger;
mod member;
pub mod name;
pub mod operator;
pub mod peer;
mod place;
pub mod prefix;
mod queue;
mod reduce;
mod rendezvous;
pub mod request;
mod retry;
pub mod route;
mod route_sync;
pub mod rules;
pub mod settings;
mod spill;
pub mod state;
mod status;
mod stream;
mod summary;
pub mod table;
pub mod time;
pub mod timer;
pub mod vm;

pub use reduce::apply;
pub use state::State;
