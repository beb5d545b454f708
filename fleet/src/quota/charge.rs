//! Charging requests to the credit of their workspace, which is drawn from the holders of shares.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::bucket::Rate;
use super::message::{Credit, Draw};
use super::{capacity, draw, limit_of};
use crate::effect::Effect;
use crate::flow::{self, RETRY_AFTER, Stage};
use crate::record::Charge;
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// Credit is drawn in advance for this time of a workspace's requests.
const PREFETCH_SPAN: Duration = Duration::from_millis(250);
/// Unspent credit expires after this time.
const CREDIT_VALID_FOR: Duration = Duration::from_secs(1);
/// Longest time for which no holder is asked after a workspace ran out of credit.
const REFUSAL_CACHED_MAX: Duration = Duration::from_millis(150);
/// Number of holders with insufficient credit after which a request is refused.
const INSUFFICIENT_MAX: usize = 2;
/// If the workspace can get fewer than this many requests of the same cost at once, all holders are asked
/// instead: the remaining credit may be with any one of them, and such callers are few.
const FEW_REQUESTS: f64 = 10.0;
/// Pause before holders are asked again if none could be reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a request waits for a holder that can be reached.
const HOLDER_WAIT: Duration = Duration::from_millis(400);
/// How long a holder that did not answer is not asked again.
const SILENT_HOLDER_SKIPPED: Duration = Duration::from_secs(1);

/// Credit of a workspace at this entry VM, and the holders that it is drawn from.
#[derive(Debug, Default)]
pub(super) struct Balance {
    credit: f64,
    until: Time,
    /// Rate of units spent here; it determines how much credit is drawn in advance.
    spent: Rate,
    /// Units requested by callers since the last draw.
    unreported_demand: f64,
    /// After a refusal: until when no holder is asked, and when callers are told to retry.
    refused_until: Option<(Time, Time)>,
    /// Owners of shares of the limit, beginning with the one in the local availability zone.
    holders: Vec<(Name, SocketAddr)>,
    /// Version of the list of entry VMs that `holders` was computed from.
    members: u64,
}

/// Progress of drawing credit for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Pending {
    /// The holder being asked; `None` while none can be reached.
    holder: Option<Name>,
    /// Number of holders asked before.
    tried: usize,
    /// Shortest retry-after reported by a holder, and the number of holders that reported one.
    wait: Option<Duration>,
    waits: usize,
}

/// Result of a draw.
pub(crate) struct Answer {
    pub(crate) workspace: Name,
    /// `None` if the holder could not be reached.
    pub(crate) credit: Option<Credit>,
}

impl Balance {
    /// Unspent credit at `now`.
    fn left(&self, now: Time) -> f64 {
        if self.until > now { self.credit } else { 0.0 }
    }

    /// Credit to keep for later requests. It is bounded so that all entry VMs together keep no more than is
    /// admitted in `PREFETCH_SPAN`.
    fn prefetch(&self, now: Time) -> f64 {
        self.spent.per_s(now) * PREFETCH_SPAN.as_secs_f64()
    }

    /// Spends credit for a request, if there is enough.
    fn spend(&mut self, now: Time, cost: f64) -> bool {
        if self.left(now) < cost {
            return false;
        }
        self.credit -= cost;
        self.spent.add(now, cost);
        self.trim(now);
        true
    }

    /// Adds drawn credit.
    fn put(&mut self, now: Time, units: f64) {
        self.credit = self.left(now) + units;
        self.until = now + CREDIT_VALID_FOR;
    }

    /// Drops credit beyond what is kept for later requests.
    fn trim(&mut self, now: Time) {
        self.credit = self.left(now).min(self.prefetch(now));
    }
}

/// Charges a request to its workspace, or starts drawing credit for it. Returns true if the request may
/// proceed now; otherwise its fate is decided later.
pub(crate) fn charge(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    if burst_max(state, &workspace).is_some_and(|most| cost > most) {
        // The request costs more than the limit ever admits at once.
        flow::give_up(state, now, id, Code::OverQuota, None, out);
        return false;
    }
    let balance = state.quota.balances.entry(workspace).or_default();
    balance.unreported_demand += cost;
    let refusal = balance.refused_until.filter(|(until, _)| *until > now);
    if balance.spend(now, cost) {
        mark_charged(state, id);
        return true;
    }
    if let Some((_, retry_at)) = refusal {
        flow::give_up(state, now, id, Code::OverQuota, Some(retry_at.since(now)), out);
        return false;
    }
    ask(state, now, id, &Pending::default(), out)
}

/// The workspace that a request is charged to, and its cost.
fn cost(state: &State, id: Id) -> Option<(Name, f64)> {
    let flow = state.flows.get(&id)?;
    let workspace = flow.workspace.as_ref().filter(|_| flow.cost > 0.0)?;
    Some((workspace.name.clone(), flow.cost))
}

/// Charge of a request, for the log.
pub(crate) fn charge_record(state: &State, now: Time, id: Id) -> Option<Charge> {
    let flow = state.flows.get(&id)?;
    let workspace = flow.workspace.as_ref()?;
    let balance = state.quota.balances.get(&workspace.name).filter(|balance| balance.until > now);
    Some(Charge {
        workspace: workspace.name.clone(),
        cost: flow.cost,
        limit_per_s: workspace.limit.map(|limit| limit.per_s),
        credit: balance.map_or(0.0, |balance| balance.credit.round()),
    })
}

/// Asks the next holder for credit. Returns true if the request may proceed now, as when this process is
/// the holder and has credit.
fn ask(state: &mut State, now: Time, id: Id, pending: &Pending, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    // Credit may have arrived for another request in the meantime.
    if spend(state, now, id, &workspace) {
        return true;
    }
    let Some((holder, address)) = next_holder(state, now, &workspace, pending.tried) else {
        no_holder_left(state, now, id, pending, out);
        return false;
    };
    let Some(balance) = state.quota.balances.get_mut(&workspace) else {
        return true;
    };
    let prefetch = balance.prefetch(now);
    let prefetch = if prefetch < cost { 0.0 } else { prefetch };
    let demand = std::mem::take(&mut balance.unreported_demand);
    let missing = cost - balance.left(now);
    let request = Draw { workspace, cost: missing, prefetch, demand };
    let is_local = holder == state.me.vm;
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Charging(Pending { holder: Some(holder), ..pending.clone() });
    }
    if is_local {
        let credit = draw(state, now, &request);
        let answer = Answer { workspace: request.workspace, credit: Some(credit) };
        return apply_answer(state, now, id, answer, out);
    }
    out.push(Effect::RequestCredit { address, request: id, draw: request });
    false
}

/// The reachable holder to ask after `tried` others.
fn next_holder(state: &mut State, now: Time, workspace: &Name, tried: usize) -> Option<(Name, SocketAddr)> {
    let version = state.members.version();
    let balance = state.quota.balances.entry(workspace.clone()).or_default();
    if balance.members != version {
        let owners = state.members.owners(workspace);
        let rotated = owners.iter().position(|owner| owner.zone == state.me.zone).unwrap_or_default();
        let (others, first) = (owners.iter().take(rotated), owners.iter().skip(rotated));
        balance.holders = first.chain(others).map(|owner| (owner.vm.clone(), owner.address)).collect();
        balance.members = version;
    }
    let members = &state.members;
    let mut reachable = balance.holders.iter().filter(|(vm, _)| !members.is_silent(vm, now));
    reachable.nth(tried).cloned()
}

/// Handles the case that no further holder can be asked.
fn no_holder_left(state: &mut State, now: Time, id: Id, pending: &Pending, out: &mut Vec<Effect>) {
    if let Some(wait) = pending.wait {
        refuse(state, now, id, wait, out);
        return;
    }
    let waited = state.flows.get(&id).map_or(Duration::MAX, |flow| now.since(flow.arrived));
    if waited >= HOLDER_WAIT {
        flow::give_up(state, now, id, Code::QuotaUnknown, Some(RETRY_AFTER), out);
        return;
    }
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Charging(Pending { holder: None, tried: 0, ..pending.clone() });
        state.timers.set(now + RETRY_INTERVAL, Timer::QuotaRetry(id));
    }
}

/// Refuses a request because its workspace has no credit left.
fn refuse(state: &mut State, now: Time, id: Id, wait: Duration, out: &mut Vec<Effect>) {
    if let Some((workspace, _)) = cost(state, id)
        && let Some(balance) = state.quota.balances.get_mut(&workspace)
    {
        // Partial credit collected for this request must not be withheld from other entry VMs.
        balance.trim(now);
        balance.refused_until = Some((now + wait.min(REFUSAL_CACHED_MAX), now + wait));
    }
    flow::give_up(state, now, id, Code::OverQuota, Some(wait), out);
}

/// Asks the holders again after a pause.
pub(crate) fn retry_draw(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(Stage::Charging(pending)) = state.flows.get(&id).map(|flow| flow.stage.clone()) else {
        return;
    };
    if pending.holder.is_none() && ask(state, now, id, &pending, out) {
        flow::dispatch(state, now, id, true, out);
    }
}

/// Handles a holder's answer or its absence.
pub(crate) fn draw_answered(state: &mut State, now: Time, id: Id, answer: Answer, out: &mut Vec<Effect>) {
    if apply_answer(state, now, id, answer, out) {
        flow::dispatch(state, now, id, true, out);
    }
}

/// Most units of a workspace's limit that can be spent at once over all holders; `None` without a limit.
fn burst_max(state: &State, workspace: &Name) -> Option<f64> {
    Some(capacity(&limit_of(state, workspace)?, &state.settings).burst_max())
}

/// Whether the request costs a large part of what its workspace can spend at once.
fn is_large_part(state: &State, id: Id) -> bool {
    let most = cost(state, id).and_then(|(workspace, cost)| Some((burst_max(state, &workspace)?, cost)));
    most.is_some_and(|(most, cost)| most < cost * FEW_REQUESTS)
}

/// Applies a holder's answer. Returns true if the request may proceed.
fn apply_answer(state: &mut State, now: Time, id: Id, answer: Answer, out: &mut Vec<Effect>) -> bool {
    let Answer { workspace, credit } = answer;
    *state.quota.draws.entry(credit.map_or("silent", Credit::label)).or_default() += 1;
    if let Some(Credit::Granted(units)) = credit {
        add_credit(state, now, &workspace, units);
    }
    let Some(Stage::Charging(mut pending)) = state.flows.get(&id).map(|flow| flow.stage.clone()) else {
        trim(state, now, &workspace);
        return false;
    };
    match credit {
        Some(Credit::Granted(_)) if spend(state, now, id, &workspace) => return true,
        // The request costs more than one holder ever has at once.
        Some(Credit::Granted(_)) => {
            pending.wait.get_or_insert_with(|| time_for_the_rest(state, now, id));
            pending.tried += 1;
        }
        Some(Credit::Insufficient(wait)) => {
            pending.wait = Some(pending.wait.map_or(wait, |least| least.min(wait)));
            pending.waits += 1;
            if pending.waits >= INSUFFICIENT_MAX && !is_large_part(state, id) {
                refuse(state, now, id, wait.min(pending.wait.unwrap_or(wait)), out);
                return false;
            }
            pending.tried += 1;
        }
        Some(Credit::NotHolder) => pending.tried += 1,
        // The silent holder is skipped from now on, so the same index leads to the next one.
        None => {
            if let Some(holder) = &pending.holder {
                state.members.mark_silent(holder, now + SILENT_HOLDER_SKIPPED);
            }
        }
    }
    ask(state, now, id, &pending, out)
}

/// Time in which all holders together gain the credit that the request lacks.
fn time_for_the_rest(state: &State, now: Time, id: Id) -> Duration {
    let Some((workspace, cost)) = cost(state, id) else {
        return REFUSAL_CACHED_MAX;
    };
    let left = state.quota.balances.get(&workspace).map_or(0.0, |balance| balance.left(now));
    let limit = limit_of(state, &workspace);
    limit.map_or(REFUSAL_CACHED_MAX, |limit| capacity(&limit, &state.settings).time_to_fill(cost - left))
}

/// The request that credit was drawn for has ended; its credit is kept for later requests within the usual
/// bound.
fn trim(state: &mut State, now: Time, workspace: &Name) {
    if let Some(balance) = state.quota.balances.get_mut(workspace) {
        balance.trim(now);
    }
}

/// Adds drawn credit to the workspace's balance.
fn add_credit(state: &mut State, now: Time, workspace: &Name, units: f64) {
    let balance = state.quota.balances.entry(workspace.clone()).or_default();
    balance.put(now, units);
    balance.refused_until = None;
}

/// Spends credit for a request, if there is enough.
fn spend(state: &mut State, now: Time, id: Id, workspace: &Name) -> bool {
    let cost = state.flows.get(&id).map_or(0.0, |flow| flow.cost);
    let spent = state.quota.balances.get_mut(workspace).is_some_and(|balance| balance.spend(now, cost));
    if spent {
        mark_charged(state, id);
    }
    spent
}

/// Marks a request as charged.
fn mark_charged(state: &mut State, id: Id) {
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Waiting;
        flow.charged_workspace = flow.workspace.as_ref().map(|workspace| workspace.name.clone());
    }
}

/// Returns the credit of a request that ends without having reached an engine.
pub(crate) fn refund(state: &mut State, now: Time, id: Id) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let cost = flow.cost;
    let Some(workspace) = flow.charged_workspace.take() else {
        if let Some(workspace) = flow.workspace.as_ref().map(|workspace| workspace.name.clone()) {
            trim(state, now, &workspace);
        }
        return;
    };
    let Some(balance) = state.quota.balances.get_mut(&workspace) else {
        return;
    };
    balance.put(now, cost);
    balance.trim(now);
}
