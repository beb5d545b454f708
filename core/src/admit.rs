//! Admission control: decides whether a request is accepted, for which caller and at which priority.

use std::time::Duration;

use crate::catalog::Catalog;
use crate::code::Code;
use crate::flow::Lane;
use crate::queue::Ticket;
use crate::request::{Arrival, Subject};
use crate::route::Work;
use crate::rules::{Caller, Priority};
use crate::state::State;
use crate::time::Time;

/// Default retry-after of a refusal.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest and longest retry-after of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Name of all callers if the configuration lists none.
const ANONYMOUS: &str = "anonymous";
/// Maximum number of entry VMs that may have forwarded a request before this one.
const HOPS_MAX: u8 = 1;
/// Number of requested tokens that cost one unit of a caller's share.
const TOKENS_PER_UNIT: u32 = 64;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The model or service requested.
    pub work: Work,
    /// Properties by which the request is queued.
    pub ticket: Ticket,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    /// Result code.
    pub code: Code,
    /// Time until the caller should retry.
    pub retry_after: Duration,
}

impl From<Code> for Refused {
    fn from(code: Code) -> Self {
        Self { code, retry_after: RETRY_AFTER }
    }
}

/// Admits or refuses a request. A request that cannot be answered before its deadline is refused at once.
pub(crate) fn admit(state: &State, now: Time, arrival: &Arrival) -> Result<Admitted, Refused> {
    if state.drain.is_stopping() {
        return Err(Code::Stopping.into());
    }
    if state.config.version == 0 {
        return Err(Code::NotReady.into());
    }
    if arrival.hops > HOPS_MAX {
        return Err(Code::TooManyHops.into());
    }
    let catalog = &state.config.catalog;
    let caller = arrival.token_sha256.as_deref().and_then(|token| catalog.caller(token));
    if caller.is_none() && !catalog.allows_any_caller() {
        return Err(Code::Unauthenticated.into());
    }
    let (work, idempotent) = subject(catalog, caller, &arrival.subject)?;
    let ticket = ticket(arrival, caller, due(state, now, arrival, &work));
    limits(state, &work, &ticket, caller)?;
    if now >= arrival.deadline {
        return Err(Code::DeadlineUnreachable.into());
    }
    if let Some(lane) = state.flow.lanes.get(&work) {
        in_time(lane, now, &ticket)?;
    }
    Ok(Admitted { work, ticket, idempotent: arrival.idempotent.unwrap_or(idempotent) })
}

fn subject(catalog: &Catalog, caller: Option<&Caller>, subject: &Subject) -> Result<(Work, bool), Code> {
    let (name, work, idempotent) = match subject {
        Subject::Model(target) => {
            let entry = catalog.resolve(target).ok_or(Code::UnknownModel)?;
            (&target.model, Work::Artifact(entry.artifact.clone()), true)
        }
        Subject::Service(name) => {
            let service = catalog.services.get(name).ok_or(Code::UnknownService)?;
            (name, Work::Service(name.clone()), service.idempotent)
        }
    };
    let reaches = caller.is_none_or(|caller| caller.reach.is_empty() || caller.reach.contains(name));
    if reaches { Ok((work, idempotent)) } else { Err(Code::Forbidden) }
}

/// Latest time to send a request to meet the first-token target.
fn due(state: &State, now: Time, arrival: &Arrival, work: &Work) -> Time {
    let target = Duration::from_millis(state.config.document.rules.weights.first_token_ms.into());
    let head = state.flow.lanes.get(work).and_then(|lane| lane.head_latency.mean()).unwrap_or_default();
    (now + target.saturating_sub(head)).min(arrival.deadline)
}

fn ticket(arrival: &Arrival, caller: Option<&Caller>, due: Time) -> Ticket {
    let most_urgent = caller.map_or(Priority::default(), |caller| caller.priority);
    let priority = arrival.priority.map_or(most_urgent, |asked| asked.max(most_urgent));
    let cost = match arrival.subject {
        Subject::Model(_) => arrival.max_tokens.div_ceil(TOKENS_PER_UNIT).max(1),
        Subject::Service(_) => 1,
    };
    Ticket {
        request: arrival.id,
        caller: caller.map_or_else(|| ANONYMOUS.into(), |caller| caller.name.clone()),
        weight: caller.map_or(1, |caller| caller.weight),
        priority,
        due,
        deadline: arrival.deadline,
        cost,
    }
}

/// Percentage of `open_max` up to which requests of a priority are admitted. The rest is reserved for more
/// urgent ones.
const fn part(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 100,
        Priority::High => 95,
        Priority::Normal => 90,
        Priority::Deferrable => 70,
    }
}

fn limits(state: &State, work: &Work, ticket: &Ticket, caller: Option<&Caller>) -> Result<(), Refused> {
    let open_max = state.settings.open_max as usize;
    if state.flow.open() * 100 >= open_max * part(ticket.priority) {
        return Err(Code::EntryFull.into());
    }
    let Some(caller) = caller else {
        return Ok(());
    };
    let limit = caller.open_limit.unwrap_or(state.settings.caller_open_max);
    if state.flow.open_by_caller(&caller.name) < limit {
        return Ok(());
    }
    let pace = state.flow.lanes.get(work).and_then(|lane| lane.latency.mean());
    let retry_after = pace.map_or(RETRY_AFTER, |pace| clamp(pace / limit.max(1)));
    Err(Refused { code: Code::CallerLimit, retry_after })
}

/// Refuses a request whose expected wait exceeds its deadline. There is no estimate while no attempt is
/// open, for example while the model is being loaded; the request is then admitted.
fn in_time(lane: &Lane, now: Time, ticket: &Ticket) -> Result<(), Refused> {
    let Some(wait) = lane.expected_wait(lane.queue.ahead(ticket.priority)) else {
        return Ok(());
    };
    let needed = wait + lane.latency.lower_bound();
    let left = ticket.deadline.since(now);
    if needed <= left {
        return Ok(());
    }
    Err(Refused { code: Code::DeadlineUnreachable, retry_after: clamp(needed.saturating_sub(left)) })
}

/// Refusal of a request that found the queue full. The retry-after is the expected time to serve half of
/// the queue.
pub(crate) fn queue_full(lane: &Lane) -> Refused {
    let wait = lane.expected_wait(lane.queue.len() / 2);
    Refused { code: Code::QueueFull, retry_after: wait.map_or(RETRY_AFTER, clamp) }
}

/// Retry-after of a preempted request: the expected time to serve all waiting requests.
pub(crate) fn preempted_retry_after(lane: &Lane) -> Duration {
    lane.expected_wait(lane.queue.len()).map_or(RETRY_AFTER, clamp)
}

fn clamp(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
