//! Which builds of each service's software have served, and since when that is known without a gap.
//!
//! A service that has had one build alone for as long as a stream can last needs no word on who began which stream. That is certain only by what is
//! known of the engines' table as of late, and only if nobody else can have begun a stream at a build that is not known here yet. So a build gets no
//! streams that may be resumed until its first entry has been known for longer ([`settling`]) than what anybody goes by here may be old
//! ([`fresh`]).

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::frame;
use crate::state::State;

/// How old what is known of the engines' table may be where it is to be certain which builds serve.
pub(crate) fn fresh(state: &State) -> Duration {
    state.settings.departure.word() + frame::pace(state) * 2
}

/// How long a build must have been known before it is given streams that may be resumed: the bounds of two entry VMs that count a different
/// number of others may differ.
pub(crate) fn settling(state: &State) -> Duration {
    fresh(state) * 2
}

/// The builds of all services.
#[derive(Debug, Default)]
pub(crate) struct History {
    services: BTreeMap<Name, BTreeMap<Option<Name>, Span>>,
    /// From when on nothing is missing here; none before the table is known.
    known: Option<Known>,
    /// Up to when that holds.
    until: Time,
    /// When the table was first known here.
    began: Option<Time>,
    /// What another process knew then, until the table is known here.
    inherited: Option<(Report, Time)>,
}

/// From when on something is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    Ever,
    From(Time),
}

/// A build's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    /// Its engines that are listed.
    engines: u32,
    /// Since when there are any, as far as is known.
    first: Time,
    /// When there were any last.
    last: Time,
    /// Whether they were there when the table was first read here, and may have been for long.
    found: bool,
}

/// What another process may take over of this.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// For how long nothing is missing, in ms; none for ever.
    pub known_ms: Option<u64>,
    /// Up to how many ms before now that holds.
    pub age_ms: u64,
    /// The builds.
    pub builds: Vec<Seen>,
}

/// A build of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The service.
    pub service: Name,
    /// The build; none for engines that do not say one.
    pub build: Option<Name>,
    /// Since when it has engines, in ms before now.
    pub first_ms: u64,
    /// When it had any last, in ms before now; 0 if it has.
    pub last_ms: u64,
}

impl Report {
    /// The same, so much later.
    fn aged(&self, by: Duration) -> Self {
        let by_ms = by.as_millis() as u64;
        let aged = |seen: &Seen| Seen {
            first_ms: seen.first_ms + by_ms,
            // One that had engines then may have lost them since.
            last_ms: if seen.last_ms > 0 { seen.last_ms + by_ms } else { 0 },
            ..seen.clone()
        };
        Self {
            known_ms: self.known_ms.map(|known_ms| known_ms + by_ms),
            age_ms: self.age_ms + by_ms,
            builds: self.builds.iter().map(aged).collect(),
        }
    }
}

impl History {
    /// An engine of this build is listed. Returns whether it is the first one there, beside others.
    pub(crate) fn put(&mut self, now: Time, service: &Name, build: Option<&Name>) -> bool {
        let began = *self.began.get_or_insert(now);
        let builds = self.services.entry(service.clone()).or_default();
        let span =
            builds.entry(build.cloned()).or_insert(Span { engines: 0, first: now, last: now, found: false });
        let is_first = span.engines == 0;
        if is_first {
            span.first = now;
            span.found = began == now;
        }
        span.engines += 1;
        span.last = now;
        is_first && builds.len() > 1
    }

    /// An engine of this build is not listed any more.
    pub(crate) fn remove(&mut self, now: Time, service: &Name, build: Option<&Name>) {
        let builds = self.services.get_mut(service);
        if let Some(span) = builds.and_then(|builds| builds.get_mut(&build.cloned())) {
            span.engines = span.engines.saturating_sub(1);
            span.last = now;
        }
    }

    /// All that the store had taken of the table by `at` is known. `before`: up to when that was known until now.
    pub(crate) fn confirmed(&mut self, at: Time, before: Option<Time>, settling: Duration) {
        // A build that came and went within that time got no streams that may be resumed.
        let gap = before.is_some_and(|before| at.since(before) >= settling);
        self.until = at;
        if gap || self.known.is_none() {
            self.known = Some(Known::From(at));
        }
        if let Some((report, then)) = self.inherited.take() {
            self.inherit(at, &report, at.since(then), settling);
        }
    }

    /// Nothing served before this process began.
    pub(crate) const fn is_first(&mut self) {
        self.known = Some(Known::Ever);
    }

    /// Whether a build has been known for long enough to begin streams there that may be resumed.
    pub(crate) fn is_settled(
        &self,
        now: Time,
        service: &Name,
        build: Option<&Name>,
        settling: Duration,
    ) -> bool {
        let span = self.services.get(service).and_then(|builds| builds.get(&build.cloned()));
        span.is_some_and(|span| now.since(span.first) >= settling)
    }

    /// Whether any build of a service that has engines has not been known for that long.
    pub(crate) fn is_settling(&self, now: Time, service: &Name, settling: Duration) -> bool {
        let mut spans = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        spans.any(|span| span.engines > 0 && now.since(span.first) < settling)
    }

    /// The only build that has served in this time, if nothing is missing from then on.
    pub(crate) fn only(&self, now: Time, service: &Name, life: Duration) -> Option<&Name> {
        let known = match self.known? {
            Known::Ever => true,
            Known::From(from) => now.since(from) >= life,
        };
        let served = |span: &Span| span.engines > 0 || now.since(span.last) < life;
        let builds = self.services.get(service)?;
        let mut served = builds.iter().filter(|(_, span)| served(span)).map(|(build, _)| build.as_ref());
        let only = served.next()??;
        (known && served.next().is_none()).then_some(only)
    }

    /// Forgets builds that have not served in this time.
    pub(crate) fn prune(&mut self, now: Time, life: Duration) {
        for builds in self.services.values_mut() {
            builds.retain(|_, span| span.engines > 0 || now.since(span.last) < life);
        }
    }

    /// What another process may take over; none before anything is known.
    pub(crate) fn report(&self, now: Time) -> Option<Report> {
        let known_ms = match (self.known, &self.inherited) {
            (Some(Known::Ever), _) => None,
            (Some(Known::From(from)), _) => Some(now.since(from).as_millis() as u64),
            // Whoever comes next is to go on from there.
            (None, Some((report, then))) => return Some(report.aged(now.since(*then))),
            (None, None) => return None,
        };
        let seen = |service: &Name, build: &Option<Name>, span: &Span| Seen {
            service: service.clone(),
            build: build.clone(),
            first_ms: now.since(span.first).as_millis() as u64,
            last_ms: if span.engines > 0 { 0 } else { now.since(span.last).as_millis() as u64 },
        };
        let all = self.services.iter();
        let builds =
            all.flat_map(|(service, builds)| builds.iter().map(|(build, span)| seen(service, build, span)));
        let age_ms = now.since(self.until).as_millis() as u64;
        Some(Report { known_ms, age_ms, builds: builds.collect() })
    }

    /// Takes over what another process knew `age` ago, if nothing can have been missed between.
    pub(crate) fn inherit(&mut self, now: Time, report: &Report, age: Duration, settling: Duration) {
        let from = match self.known {
            Some(Known::From(from)) => from,
            Some(Known::Ever) => return,
            None => {
                self.inherited = Some((report.clone(), now - age));
                return;
            }
        };
        for seen in &report.builds {
            self.merge(now, seen);
        }
        let until = now - age - Duration::from_millis(report.age_ms);
        if from.since(until) >= settling {
            return;
        }
        let theirs = report.known_ms.map_or(Known::Ever, |ms| Known::From(now - Duration::from_millis(ms)));
        self.known = Some(theirs.min(Known::From(from)));
    }

    fn merge(&mut self, now: Time, seen: &Seen) {
        let first = now - Duration::from_millis(seen.first_ms);
        let last = now - Duration::from_millis(seen.last_ms);
        let builds = self.services.entry(seen.service.clone()).or_default();
        let span = builds.entry(seen.build.clone()).or_insert(Span { engines: 0, first, last, found: false });
        if span.found && seen.last_ms == 0 {
            span.first = span.first.min(first);
        }
        span.last = span.last.max(last);
    }
}
