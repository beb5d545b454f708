//! Evidence for and against each request under which engines have crashed, and the state of its quarantine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::parts::{Charge, Parts, STRIKES_SUSPECT, View};
use super::{Quarantine, Status, Suspect, Verdict};
use crate::record::ms;
use crate::request::{Fingerprint, Id};

/// Number of consecutive crashes after which a request is quarantined. A run that did not cause the crash is
/// sent again to one of many engines, and is rarely hit by a second crash before it is answered.
const CRASHES_MAX: u32 = 2;
/// Number of model engines that crash under a request at once after which it is quarantined, although it was
/// sent to none of them after the first crash. Calls to plain HTTP backend servers do not count here: a popular
/// call runs at many of them, and all may fail together.
const BURST_MAX: usize = 3;
/// Time for which evidence for or against a request is remembered if none is added.
pub(super) const REMEMBERED: Duration = Duration::from_mins(10);
/// Duration of the first quarantine: engines may be repaired meanwhile. After it, one crash suffices for the
/// next.
const QUARANTINE: Duration = Duration::from_mins(10);
/// Factor by which each further quarantine lasts longer.
const QUARANTINE_GROWTH: u32 = 6;
/// Maximum duration of a quarantine.
pub(super) const QUARANTINE_MAX: Duration = Duration::from_hours(24);
/// Maximum number of stored answers that ended with their connections, and the time for which they are stored:
/// the next request to the engine shows whether the engine still runs.
const CLOSED_MAX: usize = 256;
const CLOSED_KEPT: Duration = Duration::from_secs(2);
/// Maximum number of requests that are tracked: an attacker needs a crash for each.
const CASES_MAX: usize = 256;

/// Evidence about a request or a part of prompts, and its quarantine.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Number of crashes that count.
    crashes: u32,
    /// Model engines that have crashed under the request.
    engines: Vec<Name>,
    /// Only crashes of runs that were sent after this time count.
    since: Time,
    /// Number of times it was quarantined.
    times: u32,
    /// End of the quarantine.
    quarantined_until: Option<Time>,
    /// Time from which the evidence for the quarantine dates.
    basis: Time,
    /// When an engine answered it successfully; none if no engine did, or if a crash has counted since.
    cleared: Option<Time>,
    /// When this record expires.
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

    /// Whether it is quarantined or cleared; none if neither.
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

/// Runs that broke at an engine that may have crashed, until that is decided.
#[derive(Clone, Debug, Default)]
pub(super) struct Loss {
    pub(super) runs: Vec<Run>,
    /// This entry VM, and the others that were asked for a probe.
    pub(super) asked: Vec<Name>,
    /// Whether one of those found the engine's port closed, while another entry VM is still asked whether it
    /// reaches the engine.
    pub(super) agreed: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: Id,
    pub(super) request: Fingerprint,
    pub(super) parts: Arc<[Fingerprint]>,
    /// Whether the answer had begun.
    pub(super) begun: bool,
    pub(super) sent: Time,
    pub(super) broke: Time,
}

/// Whether an answer ended too long ago for a crash that is found now to have ended it.
fn is_stale(run: &Run, now: Time) -> bool {
    now.since(run.broke) > CLOSED_KEPT
}

/// Duration of the quarantine number `times`.
fn length(times: u32) -> Duration {
    QUARANTINE.saturating_mul(QUARANTINE_GROWTH.saturating_pow(times.saturating_sub(1))).min(QUARANTINE_MAX)
}

/// Register of requests and shared parts of prompts under which engines have crashed.
#[derive(Debug, Default)]
pub struct Register {
    cases: FxHashMap<Fingerprint, Case>,
    pub(super) parts: Parts,
    /// Whether the timer for the evaluation of quarantine candidates is set.
    judging: bool,
    pub(super) losses: BTreeMap<Name, Loss>,
    /// Runs whose answers ended with their connections, each with its engine.
    closed: VecDeque<(Name, Run)>,
    /// The hub's last digest of its quarantined and cleared requests.
    hub_digest: u64,
}

impl Register {
    /// Whether a request is quarantined.
    pub(crate) fn is_quarantined(&self, request: Fingerprint, now: Time) -> bool {
        self.cases.get(&request).is_some_and(|case| case.is_quarantined(now))
    }

    /// The quarantined fingerprint that blocks a request: its own, or that of one of its parts.
    pub(crate) fn blocked_by(
        &self,
        request: Fingerprint,
        parts: &[Fingerprint],
        now: Time,
    ) -> Option<Fingerprint> {
        let all = std::iter::once(&request).chain(parts);
        all.copied().find(|of| self.is_quarantined(*of, now))
    }

    /// Whether one of these parts is suspected.
    pub(crate) fn has_suspected_part(&self, parts: &[Fingerprint]) -> bool {
        parts.iter().any(|part| self.parts.strikes(*part) >= STRIKES_SUSPECT)
    }

    /// Whether an engine has crashed under a request and none has answered it since.
    pub(crate) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.cases.get(&request).is_some_and(|case| case.crashes > 0)
    }

    /// Number of quarantined requests and parts.
    #[must_use]
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.cases.values().filter(|case| case.is_quarantined(now)).count()
    }

    /// Number of parts of prompts for which evidence of crashes is stored.
    #[must_use]
    pub fn tracked_parts(&self) -> usize {
        self.parts.len()
    }

    /// Quarantined requests and parts in the form of the lease's row. `store_ms` is the latest time that the
    /// store's clock can show now.
    pub(crate) fn stored_quarantines(&self, now: Time, store_ms: u64) -> Vec<Quarantine> {
        let quarantined = self.cases.iter().filter(|(_, case)| case.is_quarantined(now));
        let kept = quarantined.map(|(request, case)| Quarantine {
            request: *request,
            until_ms: store_ms + case.quarantined_until.map_or(0, |until| ms(until.since(now))),
            times: case.times,
        });
        kept.collect()
    }

    /// The verdict on a request or part, if there is one.
    pub(super) fn entry(&self, request: Fingerprint, now: Time) -> Option<Verdict> {
        let status = self.cases.get(&request)?.status(now)?;
        Some(Verdict { request, status })
    }

    /// All verdicts.
    fn entries(&self, now: Time) -> Vec<Verdict> {
        let known = |(request, case): (&Fingerprint, &Case)| {
            case.status(now).map(|status| Verdict { request: *request, status })
        };
        self.cases.iter().filter_map(known).collect()
    }

    /// Digest of all verdicts, equal for all entry VMs with the same verdicts; 0 if there is none.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        let known = self.cases.iter().filter_map(|(request, case)| Some((request, case.status(now)?)));
        let cleared = |status| matches!(status, Status::Cleared { .. });
        known.fold(0, |sum, (request, status)| sum ^ request.digest(cleared(status)))
    }

    /// Verdicts for another entry VM with this digest: all of them, or none if the digest is equal to the own
    /// one.
    pub(crate) fn verdicts_unless_equal(&self, digest: u64, now: Time) -> Vec<Verdict> {
        if digest == self.digest(now) { Vec::new() } else { self.entries(now) }
    }

    /// Verdicts that the hub may lack.
    pub(crate) fn verdicts_for_hub(&self, now: Time) -> Vec<Verdict> {
        self.verdicts_unless_equal(self.hub_digest, now)
    }

    /// Stores the hub's digest.
    pub(crate) const fn set_hub_digest(&mut self, digest: u64) {
        self.hub_digest = digest;
    }

    /// Returns the record of a request. If there are too many, the one that expires first is evicted.
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

    /// Counts a crash against the request of a broken run. Returns whether that quarantines the request.
    pub(super) fn count(&mut self, suspect: &Suspect, now: Time) -> bool {
        let case = self.case(suspect.request, now);
        let again = now - suspect.sent_ago >= case.since;
        if case.is_quarantined(now) || (case.cleared.is_some() && !again) {
            return false;
        }
        if case.crashes == 0 {
            case.basis = now - suspect.broken_ago;
        }
        case.forget_at = case.forget_at.max(now + REMEMBERED);
        if let Some(engine) = suspect.engine.as_ref().filter(|engine| !case.engines.contains(engine)) {
            case.engines.push(engine.clone());
        }
        case.cleared = None;
        if again {
            case.crashes += 1;
            case.since = now - suspect.broken_ago;
        }
        let relapse = again && case.times > 0;
        if case.crashes < CRASHES_MAX && case.engines.len() < BURST_MAX && !relapse {
            return false;
        }
        let times = case.times + 1;
        case.quarantine(now, length(times), times);
        true
    }

    /// Stores a run whose answer ended with its connection.
    pub(super) fn close(&mut self, engine: &Name, run: Run, now: Time) {
        while self.closed.len() >= CLOSED_MAX
            || self.closed.front().is_some_and(|(_, run)| is_stale(run, now))
        {
            self.closed.pop_front();
        }
        self.closed.push_back((engine.clone(), run));
    }

    /// Begins to suspect a crash if the port of an engine is closed at which answers have just ended with their
    /// connections.
    pub(super) fn reopen(&mut self, engine: &Name, me: &Name, now: Time) {
        if !self.losses.contains_key(engine)
            && self.closed.iter().any(|(of, run)| of == engine && !is_stale(run, now))
        {
            self.losses.insert(engine.clone(), Loss { asked: vec![me.clone()], ..Loss::default() });
        }
    }

    /// Removes and returns the runs at a crashed engine whose answers had just ended with their connections.
    pub(super) fn take_closed(&mut self, engine: &Name, now: Time) -> Vec<Run> {
        let (here, left) = self.closed.drain(..).partition(|(of, _)| of == engine);
        self.closed = left;
        let here: VecDeque<(Name, Run)> = here;
        here.into_iter().map(|(_, run)| run).filter(|run| !is_stale(run, now)).collect()
    }

    /// Counts crashes against the shared parts of the prompts of the broken runs; those with sufficient
    /// evidence become quarantine candidates. Returns whether the periodic evaluation of candidates is to
    /// begin. `nodes`: number of entry VMs.
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

    /// Quarantines the candidate with the strongest evidence, if it has been one for `time`, and returns it.
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

    /// Whether any candidate is left; if none is, the periodic evaluation ends.
    pub(super) fn goes_on(&mut self) -> bool {
        self.judging = self.parts.has_accused();
        self.judging
    }

    /// Whether a successful answer that began at `at` refutes a quarantine.
    pub(super) fn is_refuted(&self, of: Fingerprint, at: Time, now: Time) -> bool {
        self.cases.get(&of).is_some_and(|case| case.is_quarantined(now) && at > case.basis)
    }

    /// Takes over a verdict of another entry VM. Returns whether that quarantines a request that was not
    /// quarantined.
    pub(super) fn learn(&mut self, Verdict { request, status }: Verdict, now: Time) -> bool {
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
                // A cleared state ends at the same time at all entry VMs: receiving it again does not prolong
                // it. An entry VM that missed the crashes after an answer may still send it.
                if case.cleared.is_none() && !(case.is_quarantined(now) && at <= case.basis) {
                    *case = Case { since: now, cleared: Some(at), forget_at: now + left, ..Case::default() };
                }
                self.parts.clear(request, at);
                false
            }
        }
    }

    /// Number of crashes that count against a request or part.
    pub(super) fn crashes(&self, request: Fingerprint) -> u32 {
        let parts = self.parts.strikes(request) as u32;
        self.cases.get(&request).map_or(0, |case| case.crashes).max(parts)
    }
}
