//! Repeats: sendings of requests beyond the first. All entry VMs together may make only so many in any
//! window, so each keeps to its share.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use crate::settings::Settings;

/// Part of the allowance that is used: what is counted elsewhere may be counted a little later than here.
const USED: f64 = 0.75;
/// Slices in which a window is counted.
const SLICES: u32 = 20;

/// Requests and repeats of one process, by service.
#[derive(Debug, Default)]
pub struct Budget {
    services: FxHashMap<Name, Window>,
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<Slice>,
}

#[derive(Debug)]
struct Slice {
    from: Time,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// A request for a service came from a caller.
    pub(crate) fn request(&mut self, now: Time, service: &Name, settings: &Settings) {
        self.slice(now, service, settings).requests += 1;
    }

    /// Takes a repeat if this process's share allows one.
    pub(crate) fn repeat(&mut self, now: Time, service: &Name, nodes: u32, settings: &Settings) -> bool {
        let allowed = self.allows(now, service, nodes, settings);
        if allowed {
            self.slice(now, service, settings).repeats += 1;
        }
        allowed
    }

    /// The requests and the repeats in the window.
    pub(crate) fn counted(&mut self, now: Time, service: &Name, settings: &Settings) -> (u32, u32) {
        let window = settings.repeat_window;
        self.slice(now, service, settings);
        let slices = &self.services[service].slices;
        let counted = slices.iter().filter(|slice| now.since(slice.from) <= window);
        counted.fold((0, 0), |(all, again), slice| (all + slice.requests, again + slice.repeats))
    }

    /// Whether this process's share allows a repeat.
    pub(crate) fn allows(&mut self, now: Time, service: &Name, nodes: u32, settings: &Settings) -> bool {
        let (requests, repeats) = self.counted(now, service, settings);
        let slack = settings.repeat_slack / f64::from(nodes.max(1));
        let allowed = USED * settings.repeat_ratio.mul_add(f64::from(requests), slack);
        f64::from(repeats + 1) <= allowed
    }

    /// How long until a repeat may be allowed again, at most.
    pub(crate) fn pause(settings: &Settings) -> Duration {
        settings.repeat_window / SLICES
    }

    fn slice(&mut self, now: Time, service: &Name, settings: &Settings) -> &mut Slice {
        let slices = &mut self.services.entry(service.clone()).or_default().slices;
        let length = settings.repeat_window / SLICES;
        while slices.front().is_some_and(|slice| now.since(slice.from) > settings.repeat_window + length) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| now.since(slice.from) >= length) {
            slices.push_back(Slice { from: now, requests: 0, repeats: 0 });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
