//! The history of the builds of each service's software, and since when it is complete.
//!
//! If only one build of a service has served for as long as a stream can last, that build began all of the service's streams, and no origins need
//! to be stored. That conclusion needs a recent copy of the engines' table, and no other entry VM may have begun a stream at a build that is not
//! known here yet. A build therefore gets no resumable streams until its first entry has been known for longer ([`settling_time`]) than the age
//! that a copy of the table may have for this conclusion ([`staleness_max`]).

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::frame;
use crate::state::State;

/// The largest age of the known state of the engines' table at which it is certain which builds serve.
pub(crate) fn staleness_max(state: &State) -> Duration {
    state.settings.departure_bound.relayed_age_max() + frame::own_frame_interval(state) * 2
}

/// How long a build must have been known before it gets resumable streams. This is twice [`staleness_max`], because that bound differs between entry
/// VMs that count different numbers of members.
pub(crate) fn settling_time(state: &State) -> Duration {
    staleness_max(state) * 2
}

/// The builds of all services, with the times at which they served.
#[derive(Debug, Default)]
pub(crate) struct History {
    services: BTreeMap<Name, BTreeMap<Option<Name>, Span>>,
    /// Since when this is complete; none before the table has been read.
    complete_since: Option<Since>,
    /// Up to when this is complete.
    complete_until: Time,
    /// When the table was first read.
    first_read: Option<Time>,
    /// The report of another process and its time, until the table has been read.
    inherited: Option<(Report, Time)>,
}

/// The time since which the history is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Since {
    Always,
    Time(Time),
}

/// The time during which a build has had engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    /// Number of its engines in the table.
    engines: u32,
    /// Since when it has had engines, as far as is known.
    first: Time,
    /// When it last had engines.
    last: Time,
    /// Whether it had engines when the table was first read. If so, it may have had them long before `first`.
    listed_at_start: bool,
}

/// The history in the form in which another process may take it over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// For how long the history is complete, in ms; none if it is complete from the beginning of the deployment.
    pub known_ms: Option<u64>,
    /// Age of the history, in ms: changes since then are missing.
    pub age_ms: u64,
    /// The builds.
    pub builds: Vec<Seen>,
}

/// A build of a service in a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The service.
    pub service: Name,
    /// The build; none for engines whose rows name no build.
    pub build: Option<Name>,
    /// Time since it first had engines, in ms.
    pub first_ms: u64,
    /// Time since it last had engines, in ms; 0 if it has any.
    pub last_ms: u64,
}

impl Report {
    /// The same report after a further time `by`.
    fn aged(&self, by: Duration) -> Self {
        let by_ms = by.as_millis() as u64;
        let aged = |seen: &Seen| Seen {
            first_ms: seen.first_ms + by_ms,
            // A build that had engines then may have lost them at any time since: 0 keeps it as one that may serve.
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
    /// Adds an engine of this build. Returns whether it is the build's first one, of a service that has had other builds.
    pub(crate) fn put(&mut self, now: Time, service: &Name, build: Option<&Name>) -> bool {
        let first_read = *self.first_read.get_or_insert(now);
        let builds = self.services.entry(service.clone()).or_default();
        let span = builds.entry(build.cloned()).or_insert(Span {
            engines: 0,
            first: now,
            last: now,
            listed_at_start: false,
        });
        let is_first = span.engines == 0;
        if is_first {
            span.first = now;
            span.listed_at_start = first_read == now;
        }
        span.engines += 1;
        span.last = now;
        is_first && builds.len() > 1
    }

    /// Removes an engine of this build.
    pub(crate) fn remove(&mut self, now: Time, service: &Name, build: Option<&Name>) {
        let builds = self.services.get_mut(service);
        if let Some(span) = builds.and_then(|builds| builds.get_mut(&build.cloned())) {
            span.engines = span.engines.saturating_sub(1);
            span.last = now;
        }
    }

    /// Records that the table has been read as it was at `at`. `before` is the time up to which it was known until now.
    pub(crate) fn confirm(&mut self, at: Time, before: Option<Time>, settling: Duration) {
        // A build that came and went within a shorter gap cannot have got any resumable streams.
        let gap = before.is_some_and(|before| at.since(before) >= settling);
        self.complete_until = at;
        if gap || self.complete_since.is_none() {
            self.complete_since = Some(Since::Time(at));
        }
        if let Some((report, then)) = self.inherited.take() {
            self.inherit(at, &report, at.since(then), settling);
        }
    }

    /// Marks the history as complete from the beginning, since nothing served before this process started.
    pub(crate) const fn mark_complete(&mut self) {
        self.complete_since = Some(Since::Always);
    }

    /// Whether a build has been known for long enough to get resumable streams.
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

    /// Whether any build of a service that has engines has been known for a shorter time than `settling`.
    pub(crate) fn is_settling(&self, now: Time, service: &Name, settling: Duration) -> bool {
        let mut spans = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        spans.any(|span| span.engines > 0 && now.since(span.first) < settling)
    }

    /// The only build of a service that has served within `lifetime`, if the history of that time is complete.
    pub(crate) fn only_build(&self, now: Time, service: &Name, lifetime: Duration) -> Option<&Name> {
        let is_complete = match self.complete_since? {
            Since::Always => true,
            Since::Time(from) => now.since(from) >= lifetime,
        };
        let served = |span: &Span| span.engines > 0 || now.since(span.last) < lifetime;
        let builds = self.services.get(service)?;
        let mut served = builds.iter().filter(|(_, span)| served(span)).map(|(build, _)| build.as_ref());
        let only = served.next()??;
        (is_complete && served.next().is_none()).then_some(only)
    }

    /// Forgets builds that have not served within `lifetime`.
    pub(crate) fn prune(&mut self, now: Time, lifetime: Duration) {
        for builds in self.services.values_mut() {
            builds.retain(|_, span| span.engines > 0 || now.since(span.last) < lifetime);
        }
    }

    /// The history as another process may take it over; none before any is known.
    pub(crate) fn report(&self, now: Time) -> Option<Report> {
        let known_ms = match (self.complete_since, &self.inherited) {
            (Some(Since::Always), _) => None,
            (Some(Since::Time(from)), _) => Some(now.since(from).as_millis() as u64),
            // The next process can continue from the inherited report.
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
        let age_ms = now.since(self.complete_until).as_millis() as u64;
        Some(Report { known_ms, age_ms, builds: builds.collect() })
    }

    /// Takes over the report that another process made `age` ago. It extends this history back in time if no build can have got
    /// resumable streams in the gap between them.
    pub(crate) fn inherit(&mut self, now: Time, report: &Report, age: Duration, settling: Duration) {
        let from = match self.complete_since {
            Some(Since::Time(from)) => from,
            Some(Since::Always) => return,
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
        let inherited_since =
            report.known_ms.map_or(Since::Always, |ms| Since::Time(now - Duration::from_millis(ms)));
        self.complete_since = Some(inherited_since.min(Since::Time(from)));
    }

    fn merge(&mut self, now: Time, seen: &Seen) {
        let first = now - Duration::from_millis(seen.first_ms);
        let last = now - Duration::from_millis(seen.last_ms);
        let builds = self.services.entry(seen.service.clone()).or_default();
        let span = builds.entry(seen.build.clone()).or_insert(Span {
            engines: 0,
            first,
            last,
            listed_at_start: false,
        });
        if span.listed_at_start && seen.last_ms == 0 {
            span.first = span.first.min(first);
        }
        span.last = span.last.max(last);
    }
}
