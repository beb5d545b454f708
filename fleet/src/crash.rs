//! Requests that crash engines: what is known against each, and which are not sent to engines any more.
//!
//! An engine's end breaks every run there, and one of them may have caused it. A request is known by what it asks, not by
//! its id, since it comes again with another, at any entry VM. One crash puts nothing in quarantine: it counts against each run that had
//! not begun to answer, and counts again only if the request was sent anew since; only a prompt that ends three engines at
//! once is quarantined without that. A success clears it. All entry VMs are told at once, down the trees of [`crate::push`];
//! who misses that learns what is quarantined from the hub's frames, or from the lease's row in the store.
//!
//! No two requests need be alike for one cause to crash engine after engine: crashes are held against the parts that prompts
//! share as well, by rules of their own (`parts`). A quarantined part keeps all requests that hold it from engines.

mod parts;
mod register;
mod shared;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Reach;
use crate::flow::{self, Flow, Stage};
use crate::push;
use crate::record::Record;
use crate::request::{Fingerprint, Id};
use crate::state::State;

pub use register::Register;
pub(crate) use shared::{began, clear_due, is_sound, judge, shared, writes};

use register::{Loss, QUARANTINE_MAX, REMEMBERED, Run};

/// Other entry VMs that are asked whether an engine has crashed, at most: some may have gone, or be cut off.
const PROBERS_MAX: usize = 3;
/// An answer that has been written for so long went well: an engine that a part of the prompt ends is gone sooner.
const SOUND_AFTER: Duration = Duration::from_millis(300);
/// Runs that wait for the word whether their engine has crashed, at most; and those told of in one message.
const LOSSES_MAX: usize = 64;

/// What an entry VM tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Runs that an engine's crash broke.
    pub suspects: Vec<Suspect>,
    /// What is certain.
    pub entries: Vec<Entry>,
}

impl News {
    /// What is certain alone.
    pub(crate) const fn of(entries: Vec<Entry>) -> Self {
        Self { suspects: Vec::new(), entries }
    }
}

/// A run that an engine's crash broke before its answer began, or just after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// What was run.
    pub request: Fingerprint,
    /// The engine, if it runs models.
    pub engine: Option<Name>,
    /// Time since it was sent there.
    pub sent: Duration,
    /// Time since it broke.
    pub broke: Duration,
    /// What its prompt shares with others.
    #[serde(default)]
    pub parts: Arc<[Fingerprint]>,
    /// Whether its answer had begun, just before.
    #[serde(default)]
    pub begun: bool,
}

/// What is certain of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub request: Fingerprint,
    /// Whether it crashes engines.
    pub status: Status,
}

/// Whether a request crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It does, and is not sent to any.
    Quarantined {
        /// For how much longer.
        left: Duration,
        /// How often it was quarantined.
        times: u32,
    },
    /// An engine has run it to a success.
    Cleared {
        /// For how much longer older news of a quarantine is not believed.
        left: Duration,
    },
}

/// A quarantined request, as it is kept in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The request.
    pub request: Fingerprint,
    /// Until when it holds, by the store's clock, in ms.
    pub until_ms: u64,
    /// How often it was quarantined.
    pub times: u32,
}

/// A run that broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lost<'a> {
    pub(crate) engine: &'a Name,
    pub(crate) sent: Time,
    /// Whether its answer had begun.
    pub(crate) begun: bool,
}

/// Whether a run that broke may have ended its engine; `begun`: when its answer began.
pub(crate) fn is_suspect(now: Time, begun: Option<Time>) -> bool {
    begun.is_none_or(|begun| now.since(begun) < SOUND_AFTER)
}

/// A request's connection broke before its answer began, or just after. Whether the engine has crashed is seen by its port: a
/// connection may break for other reasons.
pub(crate) fn lost(state: &mut State, now: Time, id: Id, run: Lost<'_>, out: &mut Vec<Effect>) {
    let Lost { engine, sent, begun } = run;
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let (request, parts) = (flow.fingerprint, Arc::clone(&flow.parts));
    // One that has said that it leaves, or that is gone from the list, was expected to end.
    let Some(known) = state.engines.get(engine).filter(|engine| !engine.leaves()) else {
        return;
    };
    let runs: usize = state.crashes.losses.values().map(|loss| loss.runs.len()).sum();
    if runs >= LOSSES_MAX {
        return;
    }
    let loss = state.crashes.losses.entry(engine.clone()).or_insert_with(|| {
        out.push(Effect::Probe { engine: engine.clone(), address: known.entry.address });
        Loss { asked: vec![state.me.vm.clone()], ..Loss::default() }
    });
    loss.runs.push(Run { id, request, parts, begun, sent, broke: now });
}

/// A request's answer ended with its connection just after it had begun. That is an answer, and an engine that crashes may leave the same: it
/// counts if the engine is found to have crashed.
pub(crate) fn closed(state: &mut State, now: Time, id: Id, run: Lost<'_>, begun: Option<Time>) {
    let Lost { engine, sent, .. } = run;
    let Some(flow) = state.flows.get(&id).filter(|_| is_suspect(now, begun)) else {
        return;
    };
    let run =
        Run { id, request: flow.fingerprint, parts: Arc::clone(&flow.parts), begun: true, sent, broke: now };
    state.crashes.close(engine, run, now);
}

/// An engine's port was tried from here. A refused connection may be the work of a partition, so that another entry VM is
/// asked for what it sees, on the engine's side of such a partition.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, reach: Reach, out: &mut Vec<Effect>) {
    let alone = state.members.is_alone(&state.me.vm);
    if reach == Reach::Closed && state.engines.get(engine).is_some_and(|known| !known.leaves()) {
        state.crashes.reopen(engine, &state.me.vm, now);
    }
    match reach {
        Reach::Closed if alone => confirm(state, now, engine, out),
        Reach::Closed => ask(state, engine, out),
        Reach::Open | Reach::Silent => dismiss(state, engine),
    }
}

/// Another entry VM said how an engine's port answers there; none if it did not answer, or does not know the engine.
pub(crate) fn probed_indirectly(
    state: &mut State,
    now: Time,
    engine: &Name,
    reach: Option<Reach>,
    out: &mut Vec<Effect>,
) {
    match reach {
        Some(Reach::Closed) => agree(state, now, engine, out),
        Some(Reach::Open | Reach::Silent) => dismiss(state, engine),
        None => ask(state, engine, out),
    }
}

/// Another entry VM finds the engine's port closed too. Some may have lost the same engines and no others: one that is asked for a way there has to
/// say so first, which takes no longer.
fn agree(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let asking = state.engines.get(engine).is_some_and(|known| known.path.is_asking());
    match state.crashes.losses.get_mut(engine) {
        Some(loss) if asking => loss.agreed = true,
        Some(_) | None => confirm(state, now, engine, out),
    }
}

/// Another entry VM said whether it reaches an engine.
pub(crate) fn path_seen(
    state: &mut State,
    now: Time,
    engine: &Name,
    reach: Option<Reach>,
    out: &mut Vec<Effect>,
) {
    let agreed = state.crashes.losses.get(engine).is_some_and(|loss| loss.agreed);
    match reach {
        Some(Reach::Open) => dismiss(state, engine),
        Some(Reach::Closed | Reach::Silent) | None if agreed => confirm(state, now, engine, out),
        Some(Reach::Closed | Reach::Silent) | None => {}
    }
}

/// Asks the next entry VM; where none is left that answers, nothing is held against the requests.
fn ask(state: &mut State, engine: &Name, out: &mut Vec<Effect>) {
    let Some(loss) = state.crashes.losses.get_mut(engine) else {
        return;
    };
    let zone = state.engines.get(engine).map(|known| &known.entry.zone);
    let prober =
        zone.and_then(|zone| state.members.prober(engine, zone, *zone == state.me.zone, &loss.asked));
    match prober.filter(|_| loss.asked.len() <= PROBERS_MAX) {
        Some(prober) => {
            loss.asked.push(prober.vm.clone());
            out.push(Effect::IndirectProbe { address: prober.address, engine: engine.clone() });
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
    let Some(mut loss) = state.crashes.losses.remove(engine) else {
        return;
    };
    loss.runs.extend(state.crashes.take_closed(engine, now));
    let service = state.engines.get(engine).map(|known| &known.entry.service);
    let runs_models = service.is_some_and(|service| state.pool(service).is_some());
    let suspect = |run: &Run| Suspect {
        request: run.request,
        engine: runs_models.then(|| engine.clone()),
        sent: now.since(run.sent),
        broke: now.since(run.broke),
        parts: Arc::clone(&run.parts),
        begun: run.begun,
    };
    let suspects: Vec<Suspect> = loss.runs.iter().map(suspect).collect();
    for (run, suspect) in loss.runs.iter().zip(&suspects) {
        take_suspect(state, now, suspect, Some((run.id, engine)), out);
    }
    shared::strike(state, now, &suspects);
    push::tell_crashes(state, News { suspects, entries: Vec::new() }, out);
}

/// A request is refused since it is like one that was quarantined.
pub(crate) fn refused(state: &State, id: Id, request: Fingerprint, out: &mut Vec<Effect>) {
    note(state, request, "refused", Some(id), None, out);
}

/// An engine ran a request to a success: it does not crash engines. A failure says nothing, since an engine may fail a request
/// before it runs it.
pub(crate) fn answered(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let against = state.crashes.is_suspected(request) || state.crashes.is_quarantined(request, now);
    if !against {
        return;
    }
    let entry = Entry { request, status: Status::Cleared { left: REMEMBERED } };
    state.crashes.learn(entry, now);
    note(state, request, "cleared", None, None, out);
    push::tell_crashes(state, News::of(vec![entry]), out);
}

/// Another entry VM told what it knows.
pub(crate) fn told(state: &mut State, now: Time, news: News, out: &mut Vec<Effect>) {
    for suspect in &news.suspects {
        take_suspect(state, now, suspect, None, out);
    }
    shared::strike(state, now, &news.suspects);
    for entry in news.entries {
        take_entry(state, now, entry, out);
    }
}

/// The store keeps these quarantined requests; its clock shows `store_ms`.
pub(crate) fn recall(state: &mut State, now: Time, kept: &[Kept], store_ms: u64, out: &mut Vec<Effect>) {
    for Kept { request, until_ms, times } in kept.iter().filter(|kept| kept.until_ms > store_ms) {
        // The store's clock may be another's since it came back from a copy.
        let left = Duration::from_millis(until_ms - store_ms).min(QUARANTINE_MAX);
        let status = Status::Quarantined { left, times: *times };
        take_entry(state, now, Entry { request: *request, status }, out);
    }
}

/// `own`: the run here and its engine; none if another entry VM tells.
fn take_suspect(
    state: &mut State,
    now: Time,
    suspect: &Suspect,
    own: Option<(Id, &Name)>,
    out: &mut Vec<Effect>,
) {
    if suspect.begun {
        return;
    }
    let request = suspect.request;
    let quarantines = state.crashes.count(suspect, now);
    let label = if quarantines { "quarantined" } else { "suspected" };
    let (id, engine) = own.unzip();
    // Whoever saw the crash notes each run that it broke; the others note what they send to no engine from now on.
    if own.is_some() || quarantines {
        note(state, request, label, id, engine, out);
    }
    if quarantines {
        enforce(state, now, request, out);
    }
}

fn take_entry(state: &mut State, now: Time, entry: Entry, out: &mut Vec<Effect>) {
    let before = state.crashes.is_quarantined(entry.request, now);
    let begins = state.crashes.learn(entry, now);
    match entry.status {
        Status::Cleared { .. } if before => note(state, entry.request, "cleared", None, None, out),
        Status::Quarantined { .. } if begins => {
            note(state, entry.request, "told", None, None, out);
            enforce(state, now, entry.request, out);
        }
        Status::Cleared { .. } | Status::Quarantined { .. } => {}
    }
}

/// Ends the requests under way that are like one which was just quarantined, but for those that an engine has begun to
/// answer.
fn enforce(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let begun = |stage: &Stage| matches!(stage, Stage::Sent { begun: true, .. });
    let holds = |flow: &Flow| flow.fingerprint == request || flow.parts.contains(&request);
    let like = state.flows.iter().filter(|(_, flow)| holds(flow) && !begun(&flow.stage));
    let mut like: Vec<Id> = like.map(|(id, _)| *id).collect();
    like.sort_unstable();
    for id in like {
        refused(state, id, request, out);
        flow::give_up(state, now, id, Code::CrashesBackends, None, out);
    }
}

fn note(
    state: &State,
    request: Fingerprint,
    label: &'static str,
    id: Option<Id>,
    engine: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    let crashes = state.crashes.crashes(request);
    let (fingerprint, engine) = (request.to_string(), engine.cloned());
    let request = id.map(|id| id.0);
    out.push(Effect::Record(Record::Crash { request, fingerprint, state: label, engine, crashes }));
}
