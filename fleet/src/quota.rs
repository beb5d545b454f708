//! Limits of workspaces, as sums over all entry VMs.
//!
//! The leader gives shares of each limit to a few entry VMs, one in each availability zone (`allocator`). A share fills a bucket there
//! (`bucket`), from which the entry VMs of the zone draw credit: for one request, or for a moment's requests where they get
//! many. So the leader's work grows with workspaces and zones, not with entry VMs; shares outlast a leader that is lost and a
//! zone that is cut off, until [`LEASE`] is over; and whatever fails, what is spent in a time is what the buckets let through,
//! and the little that was drawn ahead before.

pub(crate) mod allocator;
mod bucket;
mod message;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use crate::config::Limit;
use crate::effect::Effect;
use crate::flow::{self, COME_BACK, Stage};
use crate::record::Charge;
use crate::request::Id;
use crate::settings::Settings;
use crate::state::{Identity, State};
use crate::timer::Timer;
use allocator::Allocator;
pub use allocator::{Holder, Lapsed, Outstanding, Unheard};
use bucket::{Bucket, Rate, Size};
pub use message::{Allotment, Credit, Draw, Held, Report, WHOLE};

/// How long a share is held without word of a leader: longer than it takes to find another leader, and than the platform's
/// store is away as a rule.
pub const LEASE: Duration = Duration::from_secs(10);
/// Credit is drawn ahead for this time of a workspace's requests.
const AHEAD: Duration = Duration::from_millis(250);
/// Time after which credit that was not spent is void.
const KEEP: Duration = Duration::from_secs(1);
/// How long an entry VM asks no more for a workspace that has none left, at most.
const SHORT_MAX: Duration = Duration::from_millis(150);
/// Holders that are asked for one request before it is refused for want of credit,
const SHORT_ASKS: usize = 2;
/// and all of them where less than so many requests may come at once: what is left lies with one of them, and callers are few.
const SMALL_BURST: f64 = 10.0;
/// Part of the overage that may come at once; the rest is for what is drawn ahead, and for repeats.
const BURST_PART: f64 = 0.5;
/// Part of the bound's slack that large requests may use.
const DEBT_PART: f64 = 0.5;
/// Time until holders are asked once more, where none could be.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// How long a request waits for a holder that can be asked.
const HOLDER_WAIT: Duration = Duration::from_millis(400);
/// How long a holder that did not answer is not asked.
const SILENT: Duration = Duration::from_secs(1);

/// What a process keeps of limits.
#[derive(Debug)]
pub(crate) struct Quota {
    /// Drawn anew at each start.
    process: u64,
    /// As the leader: who holds what.
    allocator: Option<Allocator>,
    /// What the row of the lease that is taken over says.
    inherited: Outstanding,
    /// Shares held here.
    holdings: BTreeMap<Name, Holding>,
    /// Credit to be spent here.
    purses: FxHashMap<Name, Purse>,
    /// As the leader: which workspaces an entry VM owns a part of.
    owners: Owners,
    /// Questions for credit, by how they were answered.
    draws: BTreeMap<&'static str, u64>,
}

/// A share that is held here.
#[derive(Debug)]
struct Holding {
    parts: u32,
    until: Time,
    bucket: Bucket,
    asked: Rate,
}

/// Credit of a workspace that is to be spent here, and who is asked for more.
#[derive(Debug, Default)]
struct Purse {
    credit: f64,
    until: Time,
    asked: Rate,
    /// Units asked for since the last question.
    unsaid: f64,
    /// Until when nobody is asked, and what callers are told.
    short: Option<(Time, Time)>,
    /// Who owns a part, the own availability zone's first.
    holders: Vec<(Name, SocketAddr)>,
    /// For which list of entry VMs that is so.
    members: u64,
}

/// By entry VM: the workspaces that it owns a part of, each with the number of its owners; among those that the lease's row names,
/// since the next leader goes by that.
#[derive(Debug, Default)]
struct Owners {
    holders: Vec<Holder>,
    config: u64,
    by_vm: FxHashMap<Name, Vec<(Name, usize)>>,
}

/// A question on its way for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Asking {
    /// Who is asked; none while nobody can be.
    holder: Option<Name>,
    /// How many holders were asked before.
    tried: usize,
    /// The shortest time that any of them told, and how many told one.
    short: Option<Duration>,
    shorts: usize,
}

impl Quota {
    /// Of a process that begins.
    pub(crate) fn new(process: u64) -> Self {
        Self {
            // 0 stands for none.
            process: process.max(1),
            allocator: None,
            inherited: Outstanding::default(),
            holdings: BTreeMap::new(),
            purses: FxHashMap::default(),
            owners: Owners::default(),
            draws: BTreeMap::new(),
        }
    }

    /// Questions for credit, by how they were answered.
    pub(crate) const fn draws(&self) -> &BTreeMap<&'static str, u64> {
        &self.draws
    }

    /// Workspaces of whose limits shares are held here.
    pub(crate) fn held(&self, now: Time) -> usize {
        self.holdings.values().filter(|holding| holding.until > now).count()
    }

    /// What this process tells the leader.
    pub(crate) fn report(&mut self, now: Time) -> Report {
        self.holdings.retain(|_, holding| holding.until > now);
        let held = self.holdings.iter().map(|(workspace, holding)| Held {
            workspace: workspace.clone(),
            parts: holding.parts,
            asked_per_s: holding.asked.per_s(now).round(),
        });
        Report { process: self.process, shares: held.collect() }
    }

    /// Parts of a workspace's limit that are held here.
    pub(crate) fn parts(&self, now: Time, workspace: &str) -> u32 {
        self.holdings.get(workspace).filter(|holding| holding.until > now).map_or(0, |holding| holding.parts)
    }
}

impl Purse {
    /// Takes credit for a request, if there is enough.
    fn spend(&mut self, now: Time, cost: f64) -> bool {
        let enough = self.until > now && self.credit >= cost;
        if enough {
            self.credit -= cost;
        }
        enough
    }

    /// Takes in credit that was given, and no more than `most` altogether.
    fn put(&mut self, now: Time, units: f64, most: f64) {
        let left = if self.until > now { self.credit } else { 0.0 };
        self.credit = (left + units).min(most);
        self.until = now + KEEP;
    }
}

impl Holding {
    /// How fast its bucket fills.
    fn size(&self, limit: &Limit, settings: &Settings) -> Size {
        size(limit, settings).part(f64::from(self.parts) / f64::from(WHOLE))
    }
}

/// The bucket of a whole limit. Where the platform counts in windows, a burst is there anew in each of them: it is spread over the
/// window, so that whoever asks steadily gets all that a window may hold, and what may come at once is a part of the
/// overage.
fn size(limit: &Limit, settings: &Settings) -> Size {
    let debt = settings.quota_slack * DEBT_PART;
    let window_s = settings.quota_window.as_secs_f64();
    if window_s <= 0.0 {
        return Size { per_s: limit.per_s, burst: limit.burst, debt };
    }
    let in_window = limit.per_s * window_s + limit.burst;
    Size { per_s: in_window / window_s, burst: in_window * settings.quota_overage * BURST_PART, debt }
}

fn limit_of(state: &State, workspace: &str) -> Option<Limit> {
    state.routes.workspace(workspace)?.limit
}

/// Other routes and workspaces are in force: what is kept of workspaces that are gone goes too.
pub(crate) fn configured(state: &mut State) {
    let State { quota, routes, .. } = state;
    quota.purses.retain(|workspace, _| routes.workspace(workspace).is_some());
}

/// The lease's row names these: they own what there is.
fn name(state: &mut State, holders: &[Holder]) {
    let config = state.config.as_ref().map_or(0, |config| config.version);
    let known = &state.quota.owners;
    if known.config == config && known.holders == holders {
        return;
    }
    let mut by_vm: FxHashMap<Name, Vec<(Name, usize)>> =
        holders.iter().map(|holder| (holder.vm.clone(), Vec::new())).collect();
    for workspace in state.routes.limited() {
        let owners = allocator::owners(&workspace.name, holders);
        for owner in &owners {
            by_vm.entry(owner.clone()).or_default().push((workspace.name.clone(), owners.len()));
        }
    }
    state.quota.owners = Owners { holders: holders.to_vec(), config, by_vm };
}

/// This process is about to take over the lease: its row has to name whom the leaders before may have given shares.
pub(crate) fn inherit(state: &mut State, outstanding: &Outstanding) {
    state.quota.inherited = outstanding.clone();
}

/// What the lease's row is to say of shares: whoever is not named there gets none.
pub(crate) fn outstanding(state: &State, now: Time, ms: impl Fn(Time) -> u64) -> Outstanding {
    let holders = holders(state);
    if let Some(allocator) = &state.quota.allocator {
        return allocator.outstanding(now, holders, ms);
    }
    // What the leader before said has to be heard by the next one too, should this one be lost at once.
    let Outstanding { holders: before, mut unheard, lapsed } = state.quota.inherited.clone();
    let until_ms = ms(now + LEASE);
    unheard.extend(before.into_iter().map(|holder| Unheard { vm: holder.vm, until_ms }));
    Outstanding { holders, unheard, lapsed }
}

/// Entry VMs to which this one gives shares as the leader.
fn holders(state: &State) -> Vec<Holder> {
    if state.routes.limited().next().is_none() {
        return Vec::new();
    }
    let Identity { vm, zone, .. } = state.me.clone();
    let others = state.members.list().iter().filter(|member| member.vm != vm);
    let others = others.map(|member| Holder { vm: member.vm.clone(), zone: member.zone.clone() });
    others.chain([Holder { vm: vm.clone(), zone }]).collect()
}

/// The lease was taken with a row that names these. The one before was over at `over`; `at` turns the store's times into the
/// process's own.
pub(crate) fn begin(state: &mut State, now: Time, named: &[Holder], over: Time, at: impl Fn(u64) -> Time) {
    let before = std::mem::take(&mut state.quota.inherited);
    state.quota.allocator = Some(Allocator::new(&before, over, at));
    name(state, named);
    renew_own(state, now);
}

/// The lease was renewed with a row that names these.
pub(crate) fn renewed(state: &mut State, named: &[Holder]) {
    if state.quota.allocator.is_some() {
        name(state, named);
    }
}

/// The lease is over.
pub(crate) fn end(state: &mut State) {
    state.quota.allocator = None;
}

/// As the leader: what an entry VM may hold from now on. None if this is no leader, or if it cannot be said yet.
pub(crate) fn allot(
    state: &mut State,
    now: Time,
    vm: &Name,
    number: u64,
    report: &Report,
) -> Option<Vec<Allotment>> {
    state.lease.holds(now)?;
    let Quota { allocator, owners, .. } = &mut state.quota;
    // One that the row does not name yet keeps what it holds.
    let owned = owners.by_vm.get(vm).map(Vec::as_slice);
    allocator.as_mut()?.renew(now, vm, number, report, owned)
}

/// The leader allots to itself.
pub(crate) fn renew_own(state: &mut State, now: Time) {
    let report = state.quota.report(now);
    let (vm, number) = (state.me.vm.clone(), state.hub.next_number());
    if let Some(allotments) = allot(state, now, &vm, number, &report) {
        hold(state, now, now, allotments);
    }
}

/// The leader has answered a frame that was sent then: these shares are held, and no others.
pub(crate) fn hold(state: &mut State, now: Time, sent: Time, allotments: Vec<Allotment>) {
    let mut before = std::mem::take(&mut state.quota.holdings);
    for Allotment { workspace, parts } in allotments {
        let new = || Holding { parts, until: sent, bucket: Bucket::new(now), asked: Rate::default() };
        let mut holding = before.remove(&workspace).unwrap_or_else(new);
        if let Some(limit) = limit_of(state, &workspace) {
            let size = holding.size(&limit, &state.settings);
            holding.bucket.settle(now, holding.until, size);
        }
        holding.parts = parts;
        holding.until = holding.until.max(sent + LEASE);
        state.quota.holdings.insert(workspace, holding);
    }
}

/// Answers a question for credit.
pub(crate) fn draw(state: &mut State, now: Time, draw: &Draw) -> Credit {
    let Some(limit) = limit_of(state, &draw.workspace) else {
        return Credit::NotHere;
    };
    let Some(holding) = state.quota.holdings.get_mut(&draw.workspace) else {
        return Credit::NotHere;
    };
    let size = holding.size(&limit, &state.settings);
    holding.bucket.settle(now, holding.until, size);
    if holding.until <= now {
        return Credit::NotHere;
    }
    holding.asked.add(now, draw.asked);
    match holding.bucket.take(draw.cost, draw.ahead, size) {
        Ok(given) => Credit::Given(given),
        Err(wait) => Credit::Short(wait),
    }
}

/// Takes what a request counts from its workspace's credit, or asks for some. True if it may go on now; else what becomes of
/// it follows.
pub(crate) fn charge(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    let purse = state.quota.purses.entry(workspace).or_default();
    purse.asked.add(now, cost);
    purse.unsaid += cost;
    let short = purse.short.filter(|(until, _)| *until > now);
    if purse.spend(now, cost) {
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
    let purse = state.quota.purses.get(&workspace.name).filter(|purse| purse.until > now);
    Some(Charge {
        workspace: workspace.name.clone(),
        cost: flow.cost,
        limit_per_s: workspace.limit.map(|limit| limit.per_s),
        credit: purse.map_or(0.0, |purse| purse.credit.round()),
    })
}

/// Asks the next holder for credit. True if this process is one, and had it.
fn ask(state: &mut State, now: Time, id: Id, asking: &Asking, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    let Some((holder, address)) = next_holder(state, now, &workspace, asking.tried) else {
        nobody(state, now, id, asking, out);
        return false;
    };
    let Some(purse) = state.quota.purses.get_mut(&workspace) else {
        return true;
    };
    let ahead = purse.asked.per_s(now) * AHEAD.as_secs_f64();
    let ahead = if ahead < cost { 0.0 } else { ahead };
    let asked = std::mem::take(&mut purse.unsaid);
    let question = Draw { workspace, cost, ahead, asked };
    let mine = holder == state.me.vm;
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Charging(Asking { holder: Some(holder), ..asking.clone() });
    }
    if mine {
        let credit = draw(state, now, &question);
        return drawn(state, now, id, &question.workspace, Some(credit), out);
    }
    out.push(Effect::Draw { address, request: id, draw: question });
    false
}

/// The holder of a part to be asked after `tried` others.
fn next_holder(state: &mut State, now: Time, workspace: &Name, tried: usize) -> Option<(Name, SocketAddr)> {
    let version = state.members.version();
    let purse = state.quota.purses.entry(workspace.clone()).or_default();
    if purse.members != version {
        let owners = state.members.owners(workspace);
        let rotated = owners.iter().position(|owner| owner.zone == state.me.zone).unwrap_or_default();
        let (others, first) = (owners.iter().take(rotated), owners.iter().skip(rotated));
        purse.holders = first.chain(others).map(|owner| (owner.vm.clone(), owner.address)).collect();
        purse.members = version;
    }
    let members = &state.members;
    let mut answering = purse.holders.iter().filter(|(vm, _)| !members.is_silent(vm, now));
    answering.nth(tried).cloned()
}

/// Nobody else can be asked for a request's credit.
fn nobody(state: &mut State, now: Time, id: Id, asking: &Asking, out: &mut Vec<Effect>) {
    if let Some(wait) = asking.short {
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
        && let Some(purse) = state.quota.purses.get_mut(&workspace)
    {
        purse.short = Some((now + wait.min(SHORT_MAX), now + wait));
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
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    id: Id,
    workspace: &Name,
    credit: Option<Credit>,
    out: &mut Vec<Effect>,
) {
    if drawn(state, now, id, workspace, credit, out) {
        flow::dispatch(state, now, id, true, out);
    }
}

/// Whether a request is a large part of its workspace's limit.
fn is_small(state: &State, id: Id) -> bool {
    let limit = cost(state, id).and_then(|(workspace, cost)| Some((limit_of(state, &workspace)?, cost)));
    limit.is_some_and(|(limit, cost)| size(&limit, &state.settings).burst < cost * SMALL_BURST)
}

/// Takes over what a holder said. True if the request may go on.
fn drawn(
    state: &mut State,
    now: Time,
    id: Id,
    workspace: &Name,
    credit: Option<Credit>,
    out: &mut Vec<Effect>,
) -> bool {
    *state.quota.draws.entry(credit.map_or("silent", Credit::label)).or_default() += 1;
    if let Some(Credit::Given(units)) = credit {
        keep(state, now, workspace, units);
    }
    let Some(Stage::Charging(mut asking)) = state.flows.get(&id).map(|flow| flow.stage.clone()) else {
        return false;
    };
    match credit {
        Some(Credit::Given(_)) => return spend(state, now, id, &asking, out),
        Some(Credit::Short(wait)) => {
            asking.short = Some(asking.short.map_or(wait, |short| short.min(wait)));
            asking.shorts += 1;
            if asking.shorts >= SHORT_ASKS && !is_small(state, id) {
                refuse(state, now, id, wait.min(asking.short.unwrap_or(wait)), out);
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

/// Credit is there to be spent.
fn keep(state: &mut State, now: Time, workspace: &Name, units: f64) {
    let purse = state.quota.purses.entry(workspace.clone()).or_default();
    purse.put(now, units, f64::INFINITY);
    purse.short = None;
}

/// Spends a request's credit; others may have spent what was given for it.
fn spend(state: &mut State, now: Time, id: Id, asking: &Asking, out: &mut Vec<Effect>) -> bool {
    let Some((workspace, cost)) = cost(state, id) else {
        return true;
    };
    if state.quota.purses.get_mut(&workspace).is_some_and(|purse| purse.spend(now, cost)) {
        charged(state, id);
        return true;
    }
    ask(state, now, id, asking, out)
}

/// A request's credit was spent.
fn charged(state: &mut State, id: Id) {
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Waiting;
        flow.charged = true;
    }
}

/// A request ends that no engine has had: its credit is there for the next one.
pub(crate) fn refund(state: &mut State, now: Time, id: Id) {
    let Some((workspace, cost)) = cost(state, id) else {
        return;
    };
    if !state.flows.get_mut(&id).is_some_and(|flow| std::mem::take(&mut flow.charged)) {
        return;
    }
    let Some(purse) = state.quota.purses.get_mut(&workspace) else {
        return;
    };
    // No more than what is drawn ahead: what is given back later than that would be spent beside what has come in since.
    let most = purse.asked.per_s(now) * AHEAD.as_secs_f64() + cost;
    purse.put(now, cost, most);
}
