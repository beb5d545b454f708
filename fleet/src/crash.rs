//! Requests that crash engines: what is known against each, and which are not sent to engines any more.
//!
//! An engine's end breaks every run there, and one of them may have caused it. A request is known by what it asks, not by
//! its id, since it comes again with another, at any entry VM. One crash convicts nobody: it counts against each run that had
//! not begun to answer, and counts again only if the request was sent anew since. An answer clears it. All entry VMs
//! are told at once, down the trees of [`crate::push`]; who misses that learns of convictions from the hub's frames, or from
//! the lease's row in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::flow::{self, Stage};
use crate::push;
use crate::record::{Record, ms};
use crate::request::{Fingerprint, Id};
use crate::state::State;

/// Crashes, one after the other, that convict a request. A run that merely was beside the cause is sent anew to one of many
/// engines, and is rarely beside it a second time before it answers.
const CRASHES_MAX: u32 = 2;
/// How long what speaks for or against a request is remembered if nothing more comes.
const REMEMBERED: Duration = Duration::from_mins(10);
/// How long a first conviction lasts: engines may be mended meanwhile. After it, one crash convicts.
const CONVICTION: Duration = Duration::from_mins(10);
/// By how much longer each further conviction lasts.
const CONVICTION_GROWTH: u32 = 6;
/// The longest conviction.
const CONVICTION_MAX: Duration = Duration::from_hours(24);
/// Other entry VMs that are asked whether an engine has crashed, at most: some may have gone, or be cut off.
const WITNESSES_MAX: usize = 3;
/// Requests that something is known of, at most: an attacker needs a crash for each.
const CASES_MAX: usize = 256;
/// Runs that wait for the word whether their engine has crashed, at most; and those told of in one message.
const LOSSES_MAX: usize = 64;

/// What an entry VM tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Runs that an engine's crash broke.
    pub suspects: Vec<Suspect>,
    /// What is certain.
    pub verdicts: Vec<Verdict>,
}

impl News {
    /// Verdicts alone.
    pub(crate) const fn of(verdicts: Vec<Verdict>) -> Self {
        Self { suspects: Vec::new(), verdicts }
    }
}

/// A run that an engine's crash broke before its answer began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// What was run.
    pub request: Fingerprint,
    /// Time since it was sent there.
    pub sent: Duration,
    /// Time since it broke.
    pub broke: Duration,
}

/// What is certain of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub request: Fingerprint,
    /// The verdict.
    pub ruling: Ruling,
}

/// Whether a request crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ruling {
    /// It does, and is not sent to any.
    Convicted {
        /// For how much longer.
        left: Duration,
        /// How often it was convicted.
        times: u32,
    },
    /// An engine has answered it.
    Cleared,
}

/// A conviction, as it is kept in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conviction {
    /// The request.
    pub request: Fingerprint,
    /// Until when it holds, by the store's clock, in ms.
    pub until_ms: u64,
    /// How often it was convicted.
    pub times: u32,
}

/// How the port of an engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// A connection can be opened.
    Open,
    /// The connection is refused: the engine's process has ended, or something on the way refuses in its place.
    Closed,
    /// Nothing comes back, as across a partition.
    Silent,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Case {
    /// Crashes that count.
    crashes: u32,
    /// Only runs that were sent after that count.
    since: Time,
    /// How often it was convicted.
    times: u32,
    /// Until when it is not sent to engines.
    convicted_until: Option<Time>,
    /// Whether an engine has answered it, and no crash has counted since.
    cleared: bool,
    /// When all this is forgotten.
    forget_at: Time,
}

impl Case {
    fn is_convicted(&self, now: Time) -> bool {
        self.convicted_until.is_some_and(|until| now < until)
    }

    fn convict(&mut self, now: Time, left: Duration, times: u32) {
        self.times = self.times.max(times);
        self.cleared = false;
        self.convicted_until = Some(now + left);
        self.forget_at = now + left + left.max(REMEMBERED);
    }

    /// What is certain of it; none if nothing is.
    fn ruling(&self, now: Time) -> Option<Ruling> {
        match self.convicted_until.filter(|until| now < *until) {
            Some(until) => Some(Ruling::Convicted { left: until.since(now), times: self.times }),
            None => self.cleared.then_some(Ruling::Cleared),
        }
    }
}

/// Runs that broke at an engine, while it is not known whether it has crashed.
#[derive(Clone, Debug, Default)]
struct Loss {
    runs: Vec<Run>,
    /// This entry VM, and others that were asked.
    asked: Vec<Name>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: Fingerprint,
    sent: Time,
    broke: Time,
}

/// What a process knows of requests that crash engines.
#[derive(Debug, Default)]
pub struct Register {
    cases: FxHashMap<Fingerprint, Case>,
    losses: BTreeMap<Name, Loss>,
    /// The hub's digest of what is certain, as it said last.
    hub_digest: u64,
}

impl Register {
    /// Whether a request is not to be sent to engines.
    pub(crate) fn is_convicted(&self, request: Fingerprint, now: Time) -> bool {
        self.cases.get(&request).is_some_and(|case| case.is_convicted(now))
    }

    /// Whether an engine has crashed under a request that none has answered since.
    pub(crate) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.cases.get(&request).is_some_and(|case| case.crashes > 0)
    }

    /// Requests that are not sent to engines.
    #[must_use]
    pub fn convicted(&self, now: Time) -> usize {
        self.cases.values().filter(|case| case.is_convicted(now)).count()
    }

    /// The convictions as they are kept in the store, whose clock shows at most `store_ms` now.
    pub(crate) fn kept(&self, now: Time, store_ms: u64) -> Vec<Conviction> {
        let convicted = self.cases.iter().filter(|(_, case)| case.is_convicted(now));
        let kept = convicted.map(|(request, case)| Conviction {
            request: *request,
            until_ms: store_ms + case.convicted_until.map_or(0, |until| ms(until.since(now))),
            times: case.times,
        });
        kept.collect()
    }

    /// All that is certain.
    fn verdicts(&self, now: Time) -> Vec<Verdict> {
        let ruled = |(request, case): (&Fingerprint, &Case)| {
            case.ruling(now).map(|ruling| Verdict { request: *request, ruling })
        };
        self.cases.iter().filter_map(ruled).collect()
    }

    /// A number that is the same for all who are certain of the same; 0 for nothing.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        let ruled = self.cases.iter().filter_map(|(request, case)| Some((request, case.ruling(now)?)));
        ruled.fold(0, |sum, (request, ruling)| sum ^ request.digest(ruling == Ruling::Cleared))
    }

    /// What another is to be told whose digest this is.
    pub(crate) fn verdicts_beyond(&self, digest: u64, now: Time) -> Vec<Verdict> {
        if digest == self.digest(now) { Vec::new() } else { self.verdicts(now) }
    }

    /// What the hub is to be told.
    pub(crate) fn verdicts_for_hub(&self, now: Time) -> Vec<Verdict> {
        self.verdicts_beyond(self.hub_digest, now)
    }

    /// The hub's digest.
    pub(crate) const fn hear_digest(&mut self, digest: u64) {
        self.hub_digest = digest;
    }

    /// The case of a request; where there are too many, the one that would be forgotten first makes way.
    fn case(&mut self, request: Fingerprint, now: Time) -> &mut Case {
        self.cases.retain(|_, case| now < case.forget_at);
        if self.cases.len() >= CASES_MAX && !self.cases.contains_key(&request) {
            let first = self.cases.iter().min_by_key(|(request, case)| (case.forget_at, **request));
            if let Some(first) = first.map(|(request, _)| *request) {
                self.cases.remove(&first);
            }
        }
        let case = self.cases.entry(request).or_default();
        case.forget_at = case.forget_at.max(now + REMEMBERED);
        case
    }

    /// A crash broke a run that was sent at `sent`. Returns whether that convicts its request.
    fn count(&mut self, request: Fingerprint, sent: Time, broke: Time, now: Time) -> bool {
        let case = self.case(request, now);
        if case.is_convicted(now) || sent < case.since {
            return false;
        }
        case.crashes += 1;
        case.since = broke;
        case.cleared = false;
        if case.crashes < CRASHES_MAX && case.times == 0 {
            return false;
        }
        let left = CONVICTION.saturating_mul(CONVICTION_GROWTH.saturating_pow(case.times));
        let times = case.times + 1;
        case.convict(now, left.min(CONVICTION_MAX), times);
        true
    }

    /// Takes over a verdict. Returns whether it convicts a request that was not convicted.
    fn rule(&mut self, Verdict { request, ruling }: Verdict, now: Time) -> bool {
        let case = self.case(request, now);
        match ruling {
            Ruling::Convicted { left, times } => {
                let new = !case.cleared && !case.is_convicted(now);
                if new {
                    case.convict(now, left.min(CONVICTION_MAX), times);
                }
                new
            }
            Ruling::Cleared => {
                *case = Case { since: now, cleared: true, forget_at: now + REMEMBERED, ..Case::default() };
                false
            }
        }
    }
}

/// A request's connection broke before its answer began. Whether the engine has crashed is seen by its port: a
/// connection may break for other reasons.
pub(crate) fn lost(state: &mut State, now: Time, id: Id, engine: &Name, sent: Time, out: &mut Vec<Effect>) {
    let Some(request) = state.flows.get(&id).map(|flow| flow.fingerprint) else {
        return;
    };
    // One that has said that it leaves, or that is gone from the list, was expected to end.
    let Some(known) = state.engines.get(engine).filter(|engine| !engine.entry.leaving) else {
        return;
    };
    let runs: usize = state.crashes.losses.values().map(|loss| loss.runs.len()).sum();
    if runs >= LOSSES_MAX {
        return;
    }
    let loss = state.crashes.losses.entry(engine.clone()).or_insert_with(|| {
        out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
        Loss { runs: Vec::new(), asked: vec![state.me.vm.clone()] }
    });
    loss.runs.push(Run { request, sent, broke: now });
}

/// An engine's port was tried from here. A refused connection may be the work of a partition, so that another entry VM is
/// asked for what it sees, on the engine's side of such a partition.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, reach: Reach, out: &mut Vec<Effect>) {
    let alone = state.members.list().iter().all(|member| member.vm == state.me.vm);
    match reach {
        Reach::Closed if alone => confirm(state, now, engine, out),
        Reach::Closed => ask(state, engine, out),
        Reach::Open | Reach::Silent => dismiss(state, engine),
    }
}

/// Another entry VM said how an engine's port answers there; none if it did not answer, or does not know the engine.
pub(crate) fn witnessed(
    state: &mut State,
    now: Time,
    engine: &Name,
    reach: Option<Reach>,
    out: &mut Vec<Effect>,
) {
    match reach {
        Some(Reach::Closed) => confirm(state, now, engine, out),
        Some(Reach::Open | Reach::Silent) => dismiss(state, engine),
        None => ask(state, engine, out),
    }
}

/// Asks the next entry VM; where none is left that answers, nothing is held against the requests.
fn ask(state: &mut State, engine: &Name, out: &mut Vec<Effect>) {
    let Some(loss) = state.crashes.losses.get_mut(engine) else {
        return;
    };
    let zone = state.engines.get(engine).map(|known| &known.entry.zone);
    let witness =
        zone.and_then(|zone| state.members.witness(engine, zone, *zone == state.me.zone, &loss.asked));
    match witness.filter(|_| loss.asked.len() <= WITNESSES_MAX) {
        Some(witness) => {
            loss.asked.push(witness.vm.clone());
            out.push(Effect::Witness { address: witness.address, engine: engine.clone() });
        }
        None => dismiss(state, engine),
    }
}

/// The engine has not crashed, as far as can be seen.
fn dismiss(state: &mut State, engine: &Name) {
    state.crashes.losses.remove(engine);
}

/// The engine has crashed under the runs that broke there.
fn confirm(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(loss) = state.crashes.losses.remove(engine) else {
        return;
    };
    let suspect =
        |run: &Run| Suspect { request: run.request, sent: now.since(run.sent), broke: now.since(run.broke) };
    let suspects: Vec<Suspect> = loss.runs.iter().map(suspect).collect();
    for suspect in &suspects {
        take_suspect(state, now, *suspect, Some(engine), out);
    }
    push::tell(state, News { suspects, verdicts: Vec::new() }, out);
}

/// An engine answered a request: it did not crash under it.
pub(crate) fn answered(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let against = state.crashes.is_suspected(request) || state.crashes.is_convicted(request, now);
    if !against {
        return;
    }
    let verdict = Verdict { request, ruling: Ruling::Cleared };
    take_verdict(state, now, verdict, out);
    push::tell(state, News::of(vec![verdict]), out);
}

/// Another entry VM told what it knows.
pub(crate) fn told(state: &mut State, now: Time, news: News, out: &mut Vec<Effect>) {
    for suspect in news.suspects {
        take_suspect(state, now, suspect, None, out);
    }
    for verdict in news.verdicts {
        take_verdict(state, now, verdict, out);
    }
}

/// The store keeps these convictions; its clock shows `store_ms`.
pub(crate) fn recall(
    state: &mut State,
    now: Time,
    kept: &[Conviction],
    store_ms: u64,
    out: &mut Vec<Effect>,
) {
    for Conviction { request, until_ms, times } in kept.iter().filter(|kept| kept.until_ms > store_ms) {
        let left = Duration::from_millis(until_ms - store_ms);
        let ruling = Ruling::Convicted { left, times: *times };
        take_verdict(state, now, Verdict { request: *request, ruling }, out);
    }
}

fn take_suspect(
    state: &mut State,
    now: Time,
    suspect: Suspect,
    engine: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    let Suspect { request, sent, broke } = suspect;
    let convicts = state.crashes.count(request, now - sent, now - broke, now);
    note(state, request, if convicts { "convicted" } else { "suspected" }, engine, out);
    if convicts {
        enforce(state, now, request, out);
    }
}

fn take_verdict(state: &mut State, now: Time, verdict: Verdict, out: &mut Vec<Effect>) {
    let convicts = state.crashes.rule(verdict, now);
    match verdict.ruling {
        Ruling::Cleared => note(state, verdict.request, "cleared", None, out),
        Ruling::Convicted { .. } if convicts => {
            note(state, verdict.request, "told", None, out);
            enforce(state, now, verdict.request, out);
        }
        Ruling::Convicted { .. } => {}
    }
}

/// Ends the requests under way that are like one which was just convicted, but for those that an engine has begun to
/// answer.
fn enforce(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let begun = |stage: &Stage| matches!(stage, Stage::Sent { begun: true, .. });
    let like = state.flows.iter().filter(|(_, flow)| flow.fingerprint == request && !begun(&flow.stage));
    let mut like: Vec<Id> = like.map(|(id, _)| *id).collect();
    like.sort_unstable();
    for id in like {
        flow::give_up(state, now, id, Code::CrashesBackends, None, out);
    }
}

fn note(
    state: &State,
    request: Fingerprint,
    label: &'static str,
    engine: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    let crashes = state.crashes.cases.get(&request).map_or(0, |case| case.crashes);
    let fingerprint = request.to_string();
    out.push(Effect::Record(Record::Crash { fingerprint, state: label, engine: engine.cloned(), crashes }));
}
