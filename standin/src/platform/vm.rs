//! The list of virtual machines, which lags behind what was set.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::vm::{Phase, Vm};
use tokio::time::Instant;

/// A VM list. Copies share one content.
#[derive(Clone, Debug)]
pub struct List(Arc<Mutex<History>>);

#[derive(Debug)]
struct History {
    lag: Duration,
    /// What was shown before the oldest of `states`.
    shown: Vec<Vm>,
    /// States with the time they were set, oldest first.
    states: VecDeque<(Instant, Vec<Vm>)>,
}

impl History {
    fn latest(&self) -> Vec<Vm> {
        self.states.back().map_or_else(|| self.shown.clone(), |(_, vms)| vms.clone())
    }

    fn push(&mut self, vms: Vec<Vm>) {
        self.states.push_back((Instant::now(), vms));
    }
}

impl List {
    /// An empty list that lags behind by `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self(Arc::new(Mutex::new(History { lag, shown: Vec::new(), states: VecDeque::new() })))
    }

    /// The list as it shows now.
    #[must_use]
    pub fn get(&self) -> Vec<Vm> {
        let mut history = self.lock();
        let (now, lag) = (Instant::now(), history.lag);
        while history.states.front().is_some_and(|(set, _)| *set + lag <= now) {
            if let Some((_, vms)) = history.states.pop_front() {
                history.shown = vms;
            }
        }
        history.shown.clone()
    }

    /// Sets the whole list.
    pub fn set(&self, vms: Vec<Vm>) {
        self.lock().push(vms);
    }

    /// Adds a machine, in the place of one with its name.
    pub fn put(&self, vm: Vm) {
        let mut history = self.lock();
        let mut vms = history.latest();
        vms.retain(|known| known.name != vm.name);
        vms.push(vm);
        history.push(vms);
    }

    /// Takes a machine off the list.
    pub fn remove(&self, name: &str) {
        let mut history = self.lock();
        let mut vms = history.latest();
        vms.retain(|known| known.name != *name);
        history.push(vms);
    }

    /// Marks a machine as leaving.
    pub fn leave(&self, name: &Name) {
        let mut history = self.lock();
        let mut vms = history.latest();
        for vm in vms.iter_mut().filter(|vm| vm.name == *name) {
            vm.phase = Phase::Leaving;
        }
        history.push(vms);
    }

    /// Sets how far the list lags behind, also for what was set before.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
