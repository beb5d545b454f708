//! The fault matrix: simulated runs, fakes and invariants.

pub mod check;
pub mod fakes;
pub mod fault;
pub mod outside;
pub mod page;
pub mod scene;
#[path = "../table/mod.rs"]
pub mod table;
pub mod traffic;
pub mod world;
