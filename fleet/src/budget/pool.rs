//! Retries granted by the hub, and their record in the lease row.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::window::Window;
use super::{Count, POOL_PART, PermitRequest, SLACK_PART, arrival_window, reserve, slice_length};
use crate::settings::Settings;

/// Part of a service's allowance that is open to less urgent requests while more urgent ones also ask.
const LESS_URGENT_PART: f64 = 0.75;
/// Number of parts of the window by which the lease row stores the age of counts.
const AGE_STEPS: u32 = 4;

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
    pub(super) fn with_granted(mut self, beyond: u32) -> Self {
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
fn age_step(settings: &Settings) -> Duration {
    arrival_window(settings) / AGE_STEPS
}

/// The hub's counts, by service.
#[derive(Debug)]
pub(super) struct Pool {
    services: BTreeMap<u32, Service>,
    /// When this process became the hub.
    started: Time,
    /// Retries that earlier hubs may have granted for each service that is not in `services`.
    others: u32,
}

#[derive(Debug, Default)]
struct Service {
    requests: Window,
    granted: Window,
    /// Retries granted since the row in the store was composed (`granted_since_stored`), and since the last
    /// row was composed, written or not (`granted_since_filled`).
    granted_since_stored: u32,
    granted_since_filled: u32,
    /// The most urgent rank that asked lately, and when it last asked.
    most_urgent: Option<(u8, Time)>,
}

impl Pool {
    /// Starts with the counts of the lease row. Without a row, all services count as exhausted, because
    /// earlier grants are unknown.
    pub(super) fn new(now: Time, previous: Option<Counts>, settings: &Settings) -> Self {
        let previous = previous.unwrap_or(Counts { services: Vec::new(), others: u32::MAX });
        let mut pool = Self { services: BTreeMap::new(), started: now, others: previous.others };
        for account in previous.services {
            let age = age_step(settings);
            let service = Service {
                // The row stores ages in steps and may have been written one lease length ago. Requests
                // count as the oldest and grants as the youngest that this allows.
                requests: Window::from_ages(now, &account.requests, age, age + settings.lease_length),
                granted: Window::from_ages(now, &account.given, age, Duration::ZERO),
                ..Service::default()
            };
            pool.services.insert(account.service, service);
        }
        pool
    }

    fn service(&mut self, service: u32, settings: &Settings) -> &mut Service {
        let Self { services, started, others } = self;
        services.entry(service).or_insert_with(|| {
            let mut created = Service::default();
            created.granted.add(*started, *others, settings);
            created
        })
    }

    /// Adds request counts reported by an entry VM.
    pub(super) fn add_requests(&mut self, now: Time, counts: &[Count], settings: &Settings) {
        for counts in counts {
            self.service(counts.service, settings).requests.add(now, counts.requests, settings);
        }
    }

    /// Grants a retry if one is available, and returns whether it did.
    pub(super) fn grant(&mut self, now: Time, request: PermitRequest, settings: &Settings) -> bool {
        let service = self.service(request.service, settings);
        let allowed = service.allowed(now, settings) * service.allowed_part(now, request.rank, settings);
        let granted = service.granted(now, settings);
        if f64::from(granted.saturating_add(1)) > allowed || service.granted_since_stored >= reserve(settings)
        {
            return false;
        }
        service.granted.add(now, 1, settings);
        service.granted_since_stored += 1;
        service.granted_since_filled += 1;
        true
    }

    /// A lease row is being composed.
    pub(super) fn fill_row(&mut self) {
        self.services.values_mut().for_each(|service| service.granted_since_filled = 0);
    }

    /// Counts for a lease row.
    pub(super) fn row_counts(&self, now: Time, settings: &Settings) -> Counts {
        let step = age_step(settings);
        let to_account = |(service, counts): (&u32, &Service)| Account {
            service: *service,
            requests: counts.requests.by_age(now, step),
            given: counts.granted.by_age(now, step),
        };
        let services = self.services.iter().map(to_account);
        let expired = now.since(self.started) > arrival_window(settings);
        // A service without counts is covered by `others` and can be left out, once no grant of an earlier
        // hub counts any more.
        let is_blank = |account: &Account| account.requests.is_empty() && account.given.is_empty();
        Counts {
            services: services.filter(|account| !expired || !is_blank(account)).collect(),
            others: if expired { 0 } else { self.others },
        }
    }

    /// The row that was composed last is in the store.
    pub(super) fn row_written(&mut self) {
        self.services
            .values_mut()
            .for_each(|service| service.granted_since_stored = service.granted_since_filled);
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
    fn granted(&self, now: Time, settings: &Settings) -> u32 {
        // A slice counts in full while any part of it lies in the window.
        self.granted.sum(now, arrival_window(settings) + slice_length(settings))
    }

    /// Part of the allowance that a request of this rank may use.
    fn allowed_part(&mut self, now: Time, rank: u8, settings: &Settings) -> f64 {
        let is_expired = |at: Time| now.since(at) > settings.repeat_window;
        match self.most_urgent {
            Some((rank_before, at)) if rank_before < rank && !is_expired(at) => LESS_URGENT_PART,
            Some(_) | None => {
                self.most_urgent = Some((rank, now));
                1.0
            }
        }
    }
}
