//! Control under faults: leases, ledgers, the closing of copies and placement, with a few reducers at once.

mod lease_takeover;
mod two_holders;
mod world;
