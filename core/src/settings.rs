//! Limits and intervals of a process. They are set once, at its start.

use std::net::SocketAddr;
use std::time::Duration;

/// What the reducer goes by besides the accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this process listens for peers, told to those whose VM list does not show it yet.
    pub address: Option<SocketAddr>,
    /// Requests open at once.
    pub open_max: u32,
    /// Requests waiting at once for one model or service.
    pub queue_max: u32,
    /// Requests of one caller open at once, where no rule says otherwise and callers are named.
    pub caller_open_max: u32,
    /// Tries of one request that may fail in a row, without any progress in between.
    pub attempts_max: u16,
    /// Retries allowed, as a share of recent successes.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share, a second.
    pub retry_floor: f64,
    /// Retries allowed in a row when none were used for long: enough for all that one engine works on.
    pub retry_burst: f64,
    /// Upper bound of the first wait before a retry; it doubles with each.
    pub backoff_base: Duration,
    /// Upper bound of any wait before a retry.
    pub backoff_max: Duration,
    /// Time to the head of an answer, beyond the predicted wait, before a try counts as silent.
    pub first_byte: Duration,
    /// Time between two events of a stream before it counts as silent.
    pub idle: Duration,
    /// Time between reads of the VM list.
    pub list_every: Duration,
    /// Time between reads of the configuration's changes by the one entry VM of a zone that reads most often,
    /// on average.
    pub config_first: Duration,
    /// Time between reads of the configuration's changes by the others, on average.
    pub config_every: Duration,
    /// Time between tries to settle a change whose answer was lost, on average.
    pub settle_every: Duration,
    /// Time after which an operator is told that a change could not be settled.
    pub settle_limit: Duration,
    /// Time between reads of an engine's report by its collector.
    pub poll_every: Duration,
    /// Time between frames to each peer.
    pub heartbeat_every: Duration,
    /// Time without a frame after which a peer is suspected.
    pub suspect_after: Duration,
    /// How long a lease lasts without renewal.
    pub lease_length: Duration,
    /// Time between renewals, and between looks at someone else's lease.
    pub lease_renew: Duration,
    /// Loads a second that the weight store allows, over all zones.
    pub store_rate: f64,
    /// Loads at once that the weight store serves at full speed, over all zones.
    pub store_slots: u32,
    /// Time between placement plans of a lease holder.
    pub plan_every: Duration,
    /// Time that claims wait for others to share a write with.
    pub claim_linger: Duration,
    /// Rows in one write of claims.
    pub claim_batch: usize,
    /// Time between two writes of claims at the least, so that the daemons together stay within what the
    /// platform's table takes.
    pub claim_every: Duration,
    /// How long a claim holds its key.
    pub claim_keep: Duration,
    /// Time between `/ready` turning to 503 and the end of the listener, for the balancer to see it.
    pub balancer_grace: Duration,
    /// Cached prompt blocks that are remembered, over all engines; each takes four bytes.
    pub prefix_blocks: usize,
    /// Records of control decisions kept for operators.
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
