//! What requests count is taken from credit, which an entry VM draws from the holders of shares.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::bucket::Rate;
use super::message::{Credit, Draw};
use super::{draw, limit_of, size};
use crate::effect::Effect;
use crate::flow::{self, COME_BACK, Stage};
use crate::record::Charge;
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// Credit is drawn ahead for this time of a workspace's requests.
const AHEAD: Duration = Duration::from_millis(250);
/// Time after which credit that was not spent is void.
const KEEP: Duration = Duration::from_secs(1);
/// How long an entry VM asks no more for a workspace that has none left, at most.
const SHORT_MAX: Duration = Duration::from_millis(150);
/// Holders that are asked for one request before it is refused for want of credit,
const SHORT_ASKS: usize = 2;
/// and all of them where less than so many like it may come at once: what is left lies with one of them, and callers are few.
const FEW: f64 = 10.0;
/// Time until holders are asked once more, where none could be.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// How long a request waits for a holder that can be asked.
const HOLDER_WAIT: Duration = Duration::from_millis(400);
/// How long a holder that did not answer is not asked.
const SILENT: Duration = Duration::from_secs(1);

/// Credit of a workspace that is to be spent here, and who is asked for more.
#[derive(Debug, Default)]
pub(super) struct Balance {
    credit: f64,
    until: Time,
    /// What requests are let in here: as much is drawn ahead for.
    spent: Rate,
    /// Units asked for since the last question.
    unsaid: f64,
    /// Until when nobody is asked, and what callers are told.
    short: Option<(Time, Time)>,
    /// Who owns a part, the own availability zone's first.
    holders: Vec<(Name, SocketAddr)>,
    /// For which list of entry VMs that is so.
    members: u64,
}

/// A question on its way for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Asking {
    /// Who is asked; none while nobody can be.
    holder: Option<Name>,
    /// How many holders were asked before.
    tried: usize,
    /// The shortest wait that any of them told, and how many told one.
    wait: Option<Duration>,
    waits: usize,
}

/// What came of a question.
pub(crate) struct Answer {
    pub(crate) workspace: Name,
    /// None if the holder could not be reached.
    pub(crate) credit: Option<Credit>,
}

impl Balance {
    /// Credit that is there.
    fn left(&self, now: Time) -> f64 {
        if self.until > now { self.credit } else { 0.0 }
    }

    /// Credit that is kept for the requests to come: all entry VMs together keep no more than is let in in that time.
    fn ahead(&self, now: Time) -> f64 {
        self.spent.per_s(now) * AHEAD.as_secs_f64()
    }

    /// Takes credit for a request, if there is enough.
    fn spend(&mut self, now: Time, cost: f64) -> bool {
        if self.left(now) < cost {
            return false;
        }
        self.credit -= cost;
        self.spent.add(now, cost);
        self.trim(now);
        true
    }

    /// Takes in credit that was given.
    fn put(&mut self, now: Time, units: f64) {
        self.credit = self.left(now) + units;
        self.until = now + KEEP;
    }

    /// Leaves no more credit than is kept for the requests to come.
    fn trim(&mut self, now: Time) {
        self.credit = self.left(now).min(self.ahead(now));
    }
}

/// Takes what a request counts from its workspace's credit, or asks for some. True if it may go on now; else what becomes of
/// it follows.
pub(crate) fn charge(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    if at_once(state, &workspace).is_some_and(|most| cost > most) {
        // It will never be let in.
        flow::give_up(state, now, id, Code::OverQuota, None, out);
        return false;
    }
    let balance = state.quota.balances.entry(workspace).or_default();
    balance.unsaid += cost;
    let short = balance.short.filter(|(until, _)| *until > now);
    if balance.spend(now, cost) {
        charged(state, id);
        return true;
    }
    if let Some((_, back)) = short {
        flow::give_up(state, now, id, Code::OverQuota, Some(back.since(now)), out);
        return false;
    }
    ask(state, now, id, &Asking::default(), out)
}

/// The workspace whose limit a request counts for, and what it counts.
fn cost(state: &State, id: Id) -> Option<(Name, f64)> {
    let flow = state.flows.get(&id)?;
    let workspace = flow.workspace.as_ref().filter(|_| flow.cost > 0.0)?;
    Some((workspace.name.clone(), flow.cost))
}

/// What a request counts, and for whose limit, to be logged.
pub(crate) fn account(state: &State, now: Time, id: Id) -> Option<Charge> {
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

/// Asks the next holder for credit. True if this process is one, and had it.
fn ask(state: &mut State, now: Time, id: Id, asking: &Asking, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    // Something may have come in for another request meanwhile.
    if spend(state, now, id, &workspace) {
        return true;
    }
    let Some((holder, address)) = next_holder(state, now, &workspace, asking.tried) else {
        nobody(state, now, id, asking, out);
        return false;
    };
    let Some(balance) = state.quota.balances.get_mut(&workspace) else {
        return true;
    };
    let ahead = balance.ahead(now);
    let ahead = if ahead < cost { 0.0 } else { ahead };
    let asked = std::mem::take(&mut balance.unsaid);
    let missing = cost - balance.left(now);
    let question = Draw { workspace, cost: missing, ahead, asked };
    let mine = holder == state.me.vm;
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Charging(Asking { holder: Some(holder), ..asking.clone() });
    }
    if mine {
        let credit = draw(state, now, &question);
        let answer = Answer { workspace: question.workspace, credit: Some(credit) };
        return drawn(state, now, id, answer, out);
    }
    out.push(Effect::Draw { address, request: id, draw: question });
    false
}

/// The holder of a part to be asked after `tried` others.
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
    let mut answering = balance.holders.iter().filter(|(vm, _)| !members.is_silent(vm, now));
    answering.nth(tried).cloned()
}

/// Nobody else can be asked for a request's credit.
fn nobody(state: &mut State, now: Time, id: Id, asking: &Asking, out: &mut Vec<Effect>) {
    if let Some(wait) = asking.wait {
        refuse(state, now, id, wait, out);
        return;
    }
    let waited = state.flows.get(&id).map_or(Duration::MAX, |flow| now.since(flow.arrived));
    if waited >= HOLDER_WAIT {
        flow::give_up(state, now, id, Code::QuotaUnknown, Some(COME_BACK), out);
        return;
    }
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Charging(Asking { holder: None, tried: 0, ..asking.clone() });
        state.timers.set(now + ASK_AGAIN, Timer::Charge(id));
    }
}

/// A workspace has no credit left for a request.
fn refuse(state: &mut State, now: Time, id: Id, wait: Duration, out: &mut Vec<Effect>) {
    if let Some((workspace, _)) = cost(state, id)
        && let Some(balance) = state.quota.balances.get_mut(&workspace)
    {
        // What others gave for it is no more than they had left for now, and others may want it there.
        balance.trim(now);
        balance.short = Some((now + wait.min(SHORT_MAX), now + wait));
    }
    flow::give_up(state, now, id, Code::OverQuota, Some(wait), out);
}

/// Holders are to be asked once more.
pub(crate) fn again(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    let Some(Stage::Charging(asking)) = state.flows.get(&id).map(|flow| flow.stage.clone()) else {
        return;
    };
    if asking.holder.is_none() && ask(state, now, id, &asking, out) {
        flow::dispatch(state, now, id, true, out);
    }
}

/// A holder answered, or did not.
pub(crate) fn answered(state: &mut State, now: Time, id: Id, answer: Answer, out: &mut Vec<Effect>) {
    if drawn(state, now, id, answer, out) {
        flow::dispatch(state, now, id, true, out);
    }
}

/// Units of a workspace's limit that can come at once, over all holders; none where there is no limit.
fn at_once(state: &State, workspace: &Name) -> Option<f64> {
    Some(size(&limit_of(state, workspace)?, &state.settings).at_once())
}

/// Whether a request is a large part of what its workspace may ask for at once.
fn is_large_part(state: &State, id: Id) -> bool {
    let most = cost(state, id).and_then(|(workspace, cost)| Some((at_once(state, &workspace)?, cost)));
    most.is_some_and(|(most, cost)| most < cost * FEW)
}

/// Takes over what a holder said. True if the request may go on.
fn drawn(state: &mut State, now: Time, id: Id, answer: Answer, out: &mut Vec<Effect>) -> bool {
    let Answer { workspace, credit } = answer;
    *state.quota.draws.entry(credit.map_or("silent", Credit::label)).or_default() += 1;
    if let Some(Credit::Given(units)) = credit {
        keep(state, now, &workspace, units);
    }
    let Some(Stage::Charging(mut asking)) = state.flows.get(&id).map(|flow| flow.stage.clone()) else {
        trim(state, now, &workspace);
        return false;
    };
    match credit {
        Some(Credit::Given(_)) if spend(state, now, id, &workspace) => return true,
        // It counts more than one holder ever has.
        Some(Credit::Given(_)) => {
            asking.wait.get_or_insert_with(|| time_for_the_rest(state, now, id));
            asking.tried += 1;
        }
        Some(Credit::Short(wait)) => {
            asking.wait = Some(asking.wait.map_or(wait, |least| least.min(wait)));
            asking.waits += 1;
            if asking.waits >= SHORT_ASKS && !is_large_part(state, id) {
                refuse(state, now, id, wait.min(asking.wait.unwrap_or(wait)), out);
                return false;
            }
            asking.tried += 1;
        }
        Some(Credit::NotHere) => asking.tried += 1,
        // It is left out from now on, so that the next one stands in its place.
        None => {
            if let Some(holder) = &asking.holder {
                state.members.suspect(holder, now + SILENT);
            }
        }
    }
    ask(state, now, id, &asking, out)
}

/// Time in which all holders together get what a request lacks.
fn time_for_the_rest(state: &State, now: Time, id: Id) -> Duration {
    let Some((workspace, cost)) = cost(state, id) else {
        return SHORT_MAX;
    };
    let left = state.quota.balances.get(&workspace).map_or(0.0, |balance| balance.left(now));
    let limit = limit_of(state, &workspace);
    limit.map_or(SHORT_MAX, |limit| size(&limit, &state.settings).time_for(cost - left))
}

/// A request that credit was asked for is no more: what came of that is kept for others, within bounds.
fn trim(state: &mut State, now: Time, workspace: &Name) {
    if let Some(balance) = state.quota.balances.get_mut(workspace) {
        balance.trim(now);
    }
}

/// Credit is there to be spent.
fn keep(state: &mut State, now: Time, workspace: &Name, units: f64) {
    let balance = state.quota.balances.entry(workspace.clone()).or_default();
    balance.put(now, units);
    balance.short = None;
}

/// Spends a request's credit, if there is enough.
fn spend(state: &mut State, now: Time, id: Id, workspace: &Name) -> bool {
    let cost = state.flows.get(&id).map_or(0.0, |flow| flow.cost);
    let spent = state.quota.balances.get_mut(workspace).is_some_and(|balance| balance.spend(now, cost));
    if spent {
        charged(state, id);
    }
    spent
}

/// A request's credit was spent.
fn charged(state: &mut State, id: Id) {
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Waiting;
        flow.charged = flow.workspace.as_ref().map(|workspace| workspace.name.clone());
    }
}

/// A request ends that no engine has had: its credit is there for the next one.
pub(crate) fn refund(state: &mut State, now: Time, id: Id) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let cost = flow.cost;
    let Some(workspace) = flow.charged.take() else {
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
