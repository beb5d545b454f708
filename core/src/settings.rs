//! Limits and intervals of a process, fixed at its start.

use std::net::SocketAddr;
use std::time::Duration;

/// Parameters of the reducer besides the accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This process's address for peers; frames contain it for receivers whose VM list does not show it yet.
    pub address: Option<SocketAddr>,
    /// Maximum number of open requests.
    pub open_max: u32,
    /// Maximum number of requests waiting for one model or service.
    pub queue_max: u32,
    /// Maximum number of open requests of one caller, if callers are declared and the caller has no limit of
    /// its own.
    pub caller_open_max: u32,
    /// Consecutive attempts of one request that may fail without progress.
    pub attempts_max: u16,
    /// Retry budget, as a share of recent successes.
    pub retry_ratio: f64,
    /// Retries per second allowed in addition to that share.
    pub retry_floor: f64,
    /// Retries allowed at once after a time without any: enough for all requests running on one engine.
    pub retry_burst: f64,
    /// Upper bound of the delay before the first retry; it doubles with each further one.
    pub backoff_base: Duration,
    /// Upper bound of the delay before any retry.
    pub backoff_max: Duration,
    /// Time to the head of an answer, beyond the predicted wait, after which an attempt counts as silent.
    pub first_byte: Duration,
    /// Time without an event after which a stream counts as silent.
    pub idle: Duration,
    /// Time between reads of the VM list.
    pub list_every: Duration,
    /// Mean time between reads of the configuration's changes by the one entry VM of a zone that reads often.
    pub config_first: Duration,
    /// Mean time between reads of the configuration's changes by the other entry VMs of the zone.
    pub config_every: Duration,
    /// Mean time between reads that check whether a change whose answer was lost took effect.
    pub settle_every: Duration,
    /// Time after which an operator is told that the outcome of a change is unknown.
    pub settle_limit: Duration,
    /// Time between reads of an engine's report by its collector.
    pub poll_every: Duration,
    /// Time between frames to each peer.
    pub heartbeat_every: Duration,
    /// Time without a frame after which a peer is suspected.
    pub suspect_after: Duration,
    /// Time until a lease expires without renewal.
    pub lease_length: Duration,
    /// Time between renewals of an own lease, and between reads of another holder's lease.
    pub lease_renew: Duration,
    /// Loads per second that the weight store allows, over all zones.
    pub store_rate: f64,
    /// Concurrent loads that the weight store serves at full speed, over all zones.
    pub store_slots: u32,
    /// Time between two placement plans of a lease holder.
    pub plan_every: Duration,
    /// Time for which a claim waits for others to be written with it.
    pub claim_linger: Duration,
    /// Maximum number of rows in one write of claims.
    pub claim_batch: usize,
    /// Minimum time between two writes of claims, so that all daemons together stay within the capacity of the
    /// platform's table.
    pub claim_every: Duration,
    /// Time for which a claim keeps its idempotency key.
    pub claim_keep: Duration,
    /// Time between `/ready` returning 503 and the end of the listener, for the balancer to notice.
    pub balancer_grace: Duration,
    /// Number of cached prompt blocks remembered over all engines; each takes four bytes.
    pub prefix_blocks: usize,
    /// Number of control decisions kept for operators.
    pub records_kept: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: None,
            open_max: 8_192,
            queue_max: 1_024,
            caller_open_max: 4_096,
            attempts_max: 4,
            retry_ratio: 0.2,
            retry_floor: 2.0,
            retry_burst: 100.0,
            backoff_base: Duration::from_millis(25),
            backoff_max: Duration::from_secs(1),
            first_byte: Duration::from_secs(10),
            idle: Duration::from_secs(2),
            list_every: Duration::from_secs(1),
            config_first: Duration::from_secs(1),
            config_every: Duration::from_secs(10),
            settle_every: Duration::from_millis(250),
            settle_limit: Duration::from_secs(20),
            poll_every: Duration::from_millis(250),
            heartbeat_every: Duration::from_millis(500),
            suspect_after: Duration::from_secs(3),
            lease_length: Duration::from_secs(10),
            lease_renew: Duration::from_secs(3),
            store_rate: 2.0,
            store_slots: 6,
            plan_every: Duration::from_secs(1),
            claim_linger: Duration::from_millis(5),
            claim_batch: 128,
            claim_every: Duration::from_millis(50),
            claim_keep: Duration::from_hours(24),
            balancer_grace: Duration::from_secs(5),
            prefix_blocks: 1 << 18,
            records_kept: 512,
        }
    }
}
