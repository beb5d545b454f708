//! Control under faults: leases, ledgers, the closing of copies and placement, with a few reducers at once.

mod lease_takeover;
#[expect(dead_code, reason = "the ledger's tests come next")]
mod world;
