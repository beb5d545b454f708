//! The repeats that the leader gives, and what the row of the lease says of them.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::window::Window;
use super::{Ask, Asked, POOL_PART, SLACK_PART, counted, reserve, slice};
use crate::settings::Settings;

/// Part of a service's allowance that the less urgent may use while more urgent requests ask too.
const LESS_URGENT_PART: f64 = 0.75;
/// Parts of the window by which the row of the lease tells when something was counted.
const AGES: u32 = 4;

/// What the row of the lease says of repeats, for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// The services that it has counted anything of.
    pub services: Vec<Account>,
    /// Repeats that may have been given of each other service.
    pub others: u32,
}

/// What was counted of a service in the window, by how many quarters of it ago that was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// A hash of the service's name.
    pub service: u32,
    /// Requests.
    pub requests: Vec<u32>,
    /// Repeats that may have been given.
    pub given: Vec<u32>,
}

impl Spent {
    /// The same with so many more repeats of each service.
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

/// One of the ages that the row tells.
fn age(settings: &Settings) -> Duration {
    counted(settings) / AGES
}

/// The leader's counts, by service.
#[derive(Debug)]
pub(super) struct Pool {
    services: BTreeMap<u32, Service>,
    /// When the lease was taken.
    began: Time,
    /// What leaders before may have given of each service that is not counted yet.
    others: u32,
}

#[derive(Debug, Default)]
struct Service {
    requests: Window,
    given: Window,
    /// Repeats that were given since the row in the store was composed, and since one was composed last.
    unwritten: u32,
    unproposed: u32,
    /// The most urgent rank that asked, and when it did last.
    urgent: Option<(u8, Time)>,
}

impl Pool {
    /// Of a leader that begins; nothing is known of those before where no row says it.
    pub(super) fn new(now: Time, before: Option<Spent>, settings: &Settings) -> Self {
        let before = before.unwrap_or(Spent { services: Vec::new(), others: u32::MAX });
        let mut pool = Self { services: BTreeMap::new(), began: now, others: before.others };
        for account in before.services {
            let age = age(settings);
            let service = Service {
                // Each is as old as its age may be, and the row may have been written as long ago as a lease lasts.
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

    /// An entry VM tells of its requests.
    pub(super) fn told(&mut self, now: Time, asked: &[Asked], settings: &Settings) {
        for asked in asked {
            self.service(asked.service, settings).requests.add(now, asked.requests, settings);
        }
    }

    /// Gives a repeat if there is one. Returns whether there was.
    pub(super) fn give(&mut self, now: Time, ask: Ask, settings: &Settings) -> bool {
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

    /// A row is composed.
    pub(super) fn propose(&mut self) {
        self.services.values_mut().for_each(|service| service.unproposed = 0);
    }

    /// What a row is to say.
    pub(super) fn spent(&self, now: Time, settings: &Settings) -> Spent {
        let age = age(settings);
        let account = |(service, counts): (&u32, &Service)| Account {
            service: *service,
            requests: counts.requests.by_age(now, age),
            given: counts.given.by_age(now, age),
        };
        let services = self.services.iter().map(account);
        let lapsed = now.since(self.began) > counted(settings);
        // One of which nothing is counted is one of the others, unless more may have been given of those.
        let is_blank = |account: &Account| account.requests.is_empty() && account.given.is_empty();
        Spent {
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
    /// Repeats that may be given in the window.
    fn allowed(&self, now: Time, settings: &Settings) -> f64 {
        let requests = f64::from(self.requests.sum(now, settings.repeat_window));
        (settings.repeat_ratio * POOL_PART).mul_add(requests, settings.repeat_slack * SLACK_PART)
    }

    /// Repeats that may arrive in the window that begins now, or have in the one that ends now.
    fn given(&self, now: Time, settings: &Settings) -> u32 {
        // A slice counts whole as long as any of it does.
        self.given.sum(now, counted(settings) + slice(settings))
    }

    /// The part of the allowance that a request of this rank may use.
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
