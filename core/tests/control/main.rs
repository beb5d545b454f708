//! Leases, ledgers, closing of copies and placement under faults, with several reducers at once.

mod closing_copy;
mod demand_forecast;
mod lease_takeover;
mod placement_plan;
#[path = "../table/mod.rs"]
mod table;
mod two_holders;
mod world;
