//! What is known of each request under which engines have crashed, and when it is quarantined.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::parts::{Charge, Parts, STRIKES_SUSPECT, View};
use super::{Entry, Kept, Status, Suspect};
use crate::record::ms;
use crate::request::{Fingerprint, Id};

/// Crashes, one after the other, after which a request is quarantined. A run that merely was beside the cause is sent anew to one of many
/// engines, and is rarely beside it a second time before it answers.
const CRASHES_MAX: u32 = 2;
/// Model engines that crash under a request at once after which it is quarantined, although it was sent to none of them since the
/// first crash.
/// Calls of plain services are left out: a popular one runs at many engines, and all may fail together.
const BURST_MAX: usize = 3;
/// How long what speaks for or against a request is remembered if nothing more comes.
pub(super) const REMEMBERED: Duration = Duration::from_mins(10);
/// How long a first quarantine lasts: engines may be mended meanwhile. After it, one crash is enough.
const QUARANTINE: Duration = Duration::from_mins(10);
/// By how much longer each further quarantine lasts.
const QUARANTINE_GROWTH: u32 = 6;
/// The longest quarantine.
pub(super) const QUARANTINE_MAX: Duration = Duration::from_hours(24);
/// Answers that ended with their connections that are kept, and for how long: the next request finds out whether the engine is there.
const CLOSED_MAX: usize = 256;
const CLOSED_KEPT: Duration = Duration::from_secs(2);
/// Requests that something is known of, at most: an attacker needs a crash for each.
const CASES_MAX: usize = 256;

/// What is known of a request, or of a part of prompts.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Crashes that count.
    crashes: u32,
    /// Model engines that have crashed under it.
    engines: Vec<Name>,
    /// Only runs that were sent after that count.
    since: Time,
    /// How often it was quarantined.
    times: u32,
    /// Until when it is not sent to engines.
    quarantined_until: Option<Time>,
    /// When what speaks against it began.
    basis: Time,
    /// When an engine answered it; none if it did not, or a crash has counted since.
    cleared: Option<Time>,
    /// When all this is forgotten.
    forget_at: Time,
}

impl Case {
    fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    fn quarantine(&mut self, now: Time, left: Duration, times: u32) {
        self.times = self.times.max(times);
        self.cleared = None;
        self.quarantined_until = Some(now + left);
        self.forget_at = now + left + left.max(REMEMBERED);
    }

    /// What is certain of it; none if nothing is.
    fn status(&self, now: Time) -> Option<Status> {
        match self.quarantined_until.filter(|until| now < *until) {
            Some(until) => Some(Status::Quarantined { left: until.since(now), times: self.times }),
            None if self.cleared.is_some() && now < self.forget_at => {
                Some(Status::Cleared { left: self.forget_at.since(now) })
            }
            None => None,
        }
    }
}

/// Runs that broke at an engine, while it is not known whether it has crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Loss {
    pub(super) runs: Vec<Run>,
    /// This entry VM, and others that were asked.
    pub(super) asked: Vec<Name>,
    /// Whether one of those finds the engine's port closed too, while another is still asked whether it reaches it.
    pub(super) agreed: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: Id,
    pub(super) request: Fingerprint,
    pub(super) parts: Arc<[Fingerprint]>,
    /// Whether its answer had begun.
    pub(super) begun: bool,
    pub(super) sent: Time,
    pub(super) broke: Time,
}

/// Whether an answer ended too long ago to be the work of a crash that is found now.
fn is_stale(run: &Run, now: Time) -> bool {
    now.since(run.broke) > CLOSED_KEPT
}

/// How long the quarantine lasts that is the `times`th.
fn length(times: u32) -> Duration {
    QUARANTINE.saturating_mul(QUARANTINE_GROWTH.saturating_pow(times.saturating_sub(1))).min(QUARANTINE_MAX)
}

/// What a process knows of requests that crash engines.
#[derive(Debug, Default)]
pub struct Register {
    cases: FxHashMap<Fingerprint, Case>,
    pub(super) parts: Parts,
    /// Whether a look at accused parts is due.
    judging: bool,
    pub(super) losses: BTreeMap<Name, Loss>,
    /// Runs whose answers ended with their connections, and their engines.
    closed: VecDeque<(Name, Run)>,
    /// The hub's digest of what is certain, as it said last.
    hub_digest: u64,
}

impl Register {
    /// Whether a request is not to be sent to engines.
    pub(crate) fn is_quarantined(&self, request: Fingerprint, now: Time) -> bool {
        self.cases.get(&request).is_some_and(|case| case.is_quarantined(now))
    }

    /// What keeps a request with these parts from engines: itself, or one of them.
    pub(crate) fn bars(&self, request: Fingerprint, parts: &[Fingerprint], now: Time) -> Option<Fingerprint> {
        let all = std::iter::once(&request).chain(parts);
        all.copied().find(|of| self.is_quarantined(*of, now))
    }

    /// Whether one of these parts is suspected.
    pub(crate) fn suspects(&self, parts: &[Fingerprint]) -> bool {
        parts.iter().any(|part| self.parts.strikes(*part) >= STRIKES_SUSPECT)
    }

    /// Whether an engine has crashed under a request that none has answered since.
    pub(crate) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.cases.get(&request).is_some_and(|case| case.crashes > 0)
    }

    /// Requests that are not sent to engines.
    #[must_use]
    pub fn quarantined(&self, now: Time) -> usize {
        self.cases.values().filter(|case| case.is_quarantined(now)).count()
    }

    /// Parts of prompts under which engines have crashed, and that nothing is certain of.
    #[must_use]
    pub fn parts_known(&self) -> usize {
        self.parts.len()
    }

    /// What is quarantined, as it is kept in the store, whose clock shows at most `store_ms` now.
    pub(crate) fn kept(&self, now: Time, store_ms: u64) -> Vec<Kept> {
        let quarantined = self.cases.iter().filter(|(_, case)| case.is_quarantined(now));
        let kept = quarantined.map(|(request, case)| Kept {
            request: *request,
            until_ms: store_ms + case.quarantined_until.map_or(0, |until| ms(until.since(now))),
            times: case.times,
        });
        kept.collect()
    }

    /// What is certain of this.
    pub(super) fn entry(&self, request: Fingerprint, now: Time) -> Option<Entry> {
        let status = self.cases.get(&request)?.status(now)?;
        Some(Entry { request, status })
    }

    /// All that is certain.
    fn entries(&self, now: Time) -> Vec<Entry> {
        let known = |(request, case): (&Fingerprint, &Case)| {
            case.status(now).map(|status| Entry { request: *request, status })
        };
        self.cases.iter().filter_map(known).collect()
    }

    /// A number that is the same for all who are certain of the same; 0 for nothing.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        let known = self.cases.iter().filter_map(|(request, case)| Some((request, case.status(now)?)));
        let cleared = |status| matches!(status, Status::Cleared { .. });
        known.fold(0, |sum, (request, status)| sum ^ request.digest(cleared(status)))
    }

    /// What another is to be told whose digest this is.
    pub(crate) fn entries_beyond(&self, digest: u64, now: Time) -> Vec<Entry> {
        if digest == self.digest(now) { Vec::new() } else { self.entries(now) }
    }

    /// What the hub is to be told.
    pub(crate) fn entries_for_hub(&self, now: Time) -> Vec<Entry> {
        self.entries_beyond(self.hub_digest, now)
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
        self.cases.entry(request).or_default()
    }

    /// A crash broke a run. Returns whether its request is quarantined by that.
    pub(super) fn count(&mut self, suspect: &Suspect, now: Time) -> bool {
        let case = self.case(suspect.request, now);
        let again = now - suspect.sent >= case.since;
        if case.is_quarantined(now) || (case.cleared.is_some() && !again) {
            return false;
        }
        if case.crashes == 0 {
            case.basis = now - suspect.broke;
        }
        case.forget_at = case.forget_at.max(now + REMEMBERED);
        if let Some(engine) = suspect.engine.as_ref().filter(|engine| !case.engines.contains(engine)) {
            case.engines.push(engine.clone());
        }
        case.cleared = None;
        if again {
            case.crashes += 1;
            case.since = now - suspect.broke;
        }
        let relapse = again && case.times > 0;
        if case.crashes < CRASHES_MAX && case.engines.len() < BURST_MAX && !relapse {
            return false;
        }
        let times = case.times + 1;
        case.quarantine(now, length(times), times);
        true
    }

    /// Keeps a run whose answer ended with its connection.
    pub(super) fn close(&mut self, engine: &Name, run: Run, now: Time) {
        while self.closed.len() >= CLOSED_MAX
            || self.closed.front().is_some_and(|(_, run)| is_stale(run, now))
        {
            self.closed.pop_front();
        }
        self.closed.push_back((engine.clone(), run));
    }

    /// An engine's port is closed: answers that ended with their connections there may have broken off.
    pub(super) fn reopen(&mut self, engine: &Name, me: &Name, now: Time) {
        if !self.losses.contains_key(engine)
            && self.closed.iter().any(|(of, run)| of == engine && !is_stale(run, now))
        {
            self.losses.insert(engine.clone(), Loss { asked: vec![me.clone()], ..Loss::default() });
        }
    }

    /// An engine has crashed: the runs there whose answers had just ended with their connections.
    pub(super) fn take_closed(&mut self, engine: &Name, now: Time) -> Vec<Run> {
        let (here, left) = self.closed.drain(..).partition(|(of, _)| of == engine);
        self.closed = left;
        let here: VecDeque<(Name, Run)> = here;
        here.into_iter().map(|(_, run)| run).filter(|run| !is_stale(run, now)).collect()
    }

    /// Holds crashes against what the prompts of the runs there share with others, and accuses whatever has enough against it. Returns whether
    /// that is to be judged from now on. `nodes`: entry VMs that there are.
    pub(super) fn strike(&mut self, suspects: &[Suspect], now: Time, nodes: usize) -> bool {
        let Self { cases, parts, .. } = self;
        let convicted = |of: Fingerprint| cases.get(&of).is_some_and(|case| case.is_quarantined(now));
        let relapsed = |of: Fingerprint| cases.get(&of).is_some_and(|case| case.times > 0);
        let view = View { now, nodes, convicted: &convicted, relapsed: &relapsed };
        let mut struck = BTreeSet::new();
        for suspect in suspects {
            let Some(engine) = &suspect.engine else { continue };
            parts.strike(suspect, engine, &view);
            struck.extend(suspect.parts.iter().filter(|part| !convicted(**part)));
        }
        for part in struck {
            parts.accuse(part, &view);
        }
        let begins = parts.has_accused() && !self.judging;
        self.judging |= begins;
        begins
    }

    /// Quarantines the accused part with most against it of which no answer has been heard for `time`; none if there is none.
    pub(super) fn convict(&mut self, time: Duration, now: Time, nodes: usize) -> Option<Fingerprint> {
        let Self { cases, parts, .. } = self;
        let convicted = |of: Fingerprint| cases.get(&of).is_some_and(|case| case.is_quarantined(now));
        let relapsed = |of: Fingerprint| cases.get(&of).is_some_and(|case| case.times > 0);
        let view = View { now, nodes, convicted: &convicted, relapsed: &relapsed };
        let Charge { part, since, .. } = parts.ripe(time, &view)?;
        parts.convict(part);
        let case = self.case(part, now);
        case.basis = since;
        let times = case.times + 1;
        case.quarantine(now, length(times), times);
        Some(part)
    }

    /// Whether any part is still accused; if not, judging is over.
    pub(super) fn goes_on(&mut self) -> bool {
        self.judging = self.parts.has_accused();
        self.judging
    }

    /// Whether a quarantine of this is wrong if an answer that began at `at` went well.
    pub(super) fn is_refuted(&self, of: Fingerprint, at: Time, now: Time) -> bool {
        self.cases.get(&of).is_some_and(|case| case.is_quarantined(now) && at > case.basis)
    }

    /// Takes over what another knows. Returns whether that quarantines a request that was not.
    pub(super) fn learn(&mut self, Entry { request, status }: Entry, now: Time) -> bool {
        let case = self.case(request, now);
        match status {
            Status::Quarantined { left, times } => {
                let began = now - length(times).saturating_sub(left);
                let new = case.cleared.is_none_or(|cleared| cleared < began) && !case.is_quarantined(now);
                if new {
                    case.basis = began;
                    case.quarantine(now, left.min(QUARANTINE_MAX), times);
                    self.parts.convict(request);
                }
                new
            }
            Status::Cleared { left } => {
                let left = left.min(REMEMBERED);
                let at = now - REMEMBERED.saturating_sub(left);
                // It ends for all at the same time: to be told of it again does not prolong it. One who missed the crashes
                // that came after an answer may still tell of that.
                if case.cleared.is_none() && !(case.is_quarantined(now) && at <= case.basis) {
                    *case = Case { since: now, cleared: Some(at), forget_at: now + left, ..Case::default() };
                }
                self.parts.clear(request, at);
                false
            }
        }
    }

    /// Crashes that count against a request.
    pub(super) fn crashes(&self, request: Fingerprint) -> u32 {
        let parts = self.parts.strikes(request) as u32;
        self.cases.get(&request).map_or(0, |case| case.crashes).max(parts)
    }
}
