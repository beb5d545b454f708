//! Retries granted by the hub, and their record in the lease row.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::window::Window;
use super::{Count, POOL_PART, PermitRequest, SLACK_PART, counted, reserve, slice};
use crate::settings::Settings;

/// Part of a service's allowance that is open to less urgent requests while more urgent ones also ask.
const LESS_URGENT_PART: f64 = 0.75;
/// Number of parts of the window by which the lease row stores the age of counts.
const AGES: u32 = 4;

/// Record of retries in the lease row, for the next hub.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Services for which anything was counted.
    pub services: Vec<Account>,
    /// Number of retries that may have been granted for each service not listed.
    pub others: u32,
}

/// Counts of one service within the window; index `i` holds what was counted `i` quarters of the window
/// ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of requests.
    pub requests: Vec<u32>,
    /// Number of retries that may have been granted.
    pub given: Vec<u32>,
}

impl Counts {
    /// Adds `beyond` granted retries to each service.
    pub(super) fn plus(mut self, beyond: u32) -> Self {
        self.others = self.others.saturating_add(beyond);
        for account in &mut self.services {
            match account.given.first_mut() {
                Some(last) => *last = last.saturating_add(beyond),
                None => account.given.push(beyond),
            }
        }
        self
    }
}

/// Length of one age step in the lease row.
fn age(settings: &Settings) -> Duration {
    counted(settings) / AGES
}

/// The hub's counts, by service.
#[derive(Debug)]
pub(super) struct Pool {
    services: BTreeMap<u32, Service>,
    /// When this process became the hub.
    began: Time,
    /// Retries that earlier hubs may have granted for each service that is not in `services`.
    others: u32,
}

#[derive(Debug, Default)]
struct Service {
    requests: Window,
    given: Window,
    /// Retries granted since the row in the store was composed (`unwritten`), and since the last row was
    /// composed, written or not (`unproposed`).
    unwritten: u32,
    unproposed: u32,
    /// The most urgent rank that asked lately, and when it last asked.
    urgent: Option<(u8, Time)>,
}

impl Pool {
    /// Starts with the counts of the lease row. Without a row, all services count as exhausted, because
    /// earlier grants are unknown.
    pub(super) fn new(now: Time, before: Option<Counts>, settings: &Settings) -> Self {
        let before = before.unwrap_or(Counts { services: Vec::new(), others: u32::MAX });
        let mut pool = Self { services: BTreeMap::new(), began: now, others: before.others };
        for account in before.services {
            let age = age(settings);
            let service = Service {
                // The row stores ages in steps and may have been written one lease length ago. Requests
                // count as the oldest and grants as the youngest that this allows.
                requests: Window::aged(now, &account.requests, age, age + settings.lease_length),
                given: Window::aged(now, &account.given, age, Duration::ZERO),
                ..Service::default()
            };
            pool.services.insert(account.service, service);
        }
        pool
    }

    fn service(&mut self, service: u32, settings: &Settings) -> &mut Service {
        let Self { services, began, others } = self;
        services.entry(service).or_insert_with(|| {
            let mut new = Service::default();
            new.given.add(*began, *others, settings);
            new
        })
    }

    /// Adds request counts reported by an entry VM.
    pub(super) fn told(&mut self, now: Time, asked: &[Count], settings: &Settings) {
        for asked in asked {
            self.service(asked.service, settings).requests.add(now, asked.requests, settings);
        }
    }

    /// Grants a retry if one is available, and returns whether it did.
    pub(super) fn give(&mut self, now: Time, ask: PermitRequest, settings: &Settings) -> bool {
        let service = self.service(ask.service, settings);
        let allowed = service.allowed(now, settings) * service.part(now, ask.rank, settings);
        let given = service.given(now, settings);
        if f64::from(given.saturating_add(1)) > allowed || service.unwritten >= reserve(settings) {
            return false;
        }
        service.given.add(now, 1, settings);
        service.unwritten += 1;
        service.unproposed += 1;
        true
    }

    /// A lease row is being composed.
    pub(super) fn propose(&mut self) {
        self.services.values_mut().for_each(|service| service.unproposed = 0);
    }

    /// Counts for a lease row.
    pub(super) fn spent(&self, now: Time, settings: &Settings) -> Counts {
        let age = age(settings);
        let account = |(service, counts): (&u32, &Service)| Account {
            service: *service,
            requests: counts.requests.by_age(now, age),
            given: counts.given.by_age(now, age),
        };
        let services = self.services.iter().map(account);
        let lapsed = now.since(self.began) > counted(settings);
        // A service without counts is covered by `others` and can be left out, once no grant of an earlier
        // hub counts any more.
        let is_blank = |account: &Account| account.requests.is_empty() && account.given.is_empty();
        Counts {
            services: services.filter(|account| !lapsed || !is_blank(account)).collect(),
            others: if lapsed { 0 } else { self.others },
        }
    }

    /// The row that was composed last is in the store.
    pub(super) fn written(&mut self) {
        self.services.values_mut().for_each(|service| service.unwritten = service.unproposed);
    }
}

impl Service {
    /// Number of retries that may be granted within the window.
    fn allowed(&self, now: Time, settings: &Settings) -> f64 {
        let requests = f64::from(self.requests.sum(now, settings.repeat_window));
        (settings.repeat_ratio * POOL_PART).mul_add(requests, settings.repeat_slack * SLACK_PART)
    }

    /// Number of retries that can arrive within the window starting now, or have arrived within the one
    /// ending now.
    fn given(&self, now: Time, settings: &Settings) -> u32 {
        // A slice counts in full while any part of it lies in the window.
        self.given.sum(now, counted(settings) + slice(settings))
    }

    /// Part of the allowance that a request of this rank may use.
    fn part(&mut self, now: Time, rank: u8, settings: &Settings) -> f64 {
        let lapsed = |at: Time| now.since(at) > settings.repeat_window;
        match self.urgent {
            Some((most, at)) if most < rank && !lapsed(at) => LESS_URGENT_PART,
            Some(_) | None => {
                self.urgent = Some((rank, now));
                1.0
            }
        }
    }
}
