//! The decisions of an entry VM that forwards requests by routes to engines shared by all entry VMs.
//!
//! [`apply`] takes the [`State`] of one process, the time and an [`event::Event`], and returns the
//! [`effect::Effect`]s to carry out. It does no I/O, reads no clock and draws random numbers only from a generator
//! seeded by its caller.
//!
//! The modules, from the bottom up:
//!
//! - basic types: `bound`, `config`, `engine`, `request`, `revision` and `settings`;
//! - data from the store and the engines: `tables` holds the store's tables, `freshness` their age, `era` what
//!   outlasts a restore of the store from an older copy, `notice` and `rate_limit` what engines report in
//!   their responses;
//! - serving of requests: `choose`, `spread`, `throttle`, `schedule`, `speed`, `budget`, `suspicion`, `path`,
//!   `pin`, `admit`, `flow`, `outcome` and `crash`;
//! - callers: `access` with `key` and `proof` authenticates them, `regions` and `evacuation` restrict where their
//!   requests may run, `quota` limits the rate of a workspace;
//! - exchange between entry VMs: `frame`, `members` with `ownership`, `push`, `rollout`, `update`, `cursor` and `pack`;
//! - placement of models and adapters: `lease`, `ledger` with `holdings` and `order`, `demand`, `plan`, `place` with
//!   `tally` and `adapter`.

mod access;
mod adapter;
mod admit;
pub mod bound;
pub mod budget;
pub mod choose;
pub mod config;
pub mod crash;
mod cursor;
pub mod demand;
pub mod departure;
pub mod effect;
pub mod engine;
pub mod era;
pub mod evacuation;
pub mod event;
mod flow;
pub mod frame;
mod freshness;
mod holdings;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod members;
pub mod notice;
pub mod order;
mod outcome;
pub mod ownership;
pub mod pack;
pub mod path;
pub mod pin;
pub mod place;
mod plan;
pub mod proof;
pub mod push;
pub mod quota;
pub mod rate_limit;
pub mod record;
mod reduce;
pub mod regions;
pub mod request;
pub mod revision;
mod rollout;
pub mod schedule;
pub mod settings;
pub mod speed;
pub mod spread;
pub mod state;
mod suspicion;
mod tables;
mod tally;
pub mod throttle;
pub mod timer;
pub mod update;

pub use reduce::{
    apply, credit, defers_reply, grant, permit, reachability_check, relay_request, reply_to_frame,
    satisfies_frame, store_origins, stream_origin,
};
pub use state::State;
