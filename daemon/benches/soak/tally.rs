//! What callers saw, held against what back ends did.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::fleet::Fleet;

/// What a caller was told of a call that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    Answered,
    NotRun,
    Unknown,
}

#[derive(Debug)]
pub struct Tally {
    answered: RefCell<Histogram<u64>>,
    refused: RefCell<BTreeMap<String, u64>>,
    told: RefCell<BTreeMap<String, u64>>,
    wrong: RefCell<Vec<String>>,
    notices: RefCell<Vec<(String, Notice)>>,
    cut: Cell<u64>,
    lost: Cell<u64>,
    unconnected: Cell<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: RefCell::new(Histogram::new(3).expect("three digits are allowed")),
            refused: RefCell::default(),
            told: RefCell::default(),
            wrong: RefCell::default(),
            notices: RefCell::default(),
            cut: Cell::default(),
            lost: Cell::default(),
            unconnected: Cell::default(),
        }
    }
}

impl Tally {
    pub fn answered(&self, took: Duration) {
        self.answered.borrow_mut().saturating_record(took.as_millis() as u64);
    }

    pub fn refused(&self, code: &str) {
        *self.refused.borrow_mut().entry(code.to_owned()).or_default() += 1;
    }

    pub fn told(&self, error: &str) {
        *self.told.borrow_mut().entry(error.to_owned()).or_default() += 1;
    }

    pub fn wrong(&self, what: String) {
        self.wrong.borrow_mut().push(what);
    }

    pub fn noticed(&self, body: String, notice: Notice) {
        self.notices.borrow_mut().push((body, notice));
    }

    pub fn cut(&self) {
        self.cut.set(self.cut.get() + 1);
    }

    pub fn lost(&self) {
        self.lost.set(self.lost.get() + 1);
    }

    pub fn unconnected(&self) {
        self.unconnected.set(self.unconnected.get() + 1);
    }

    /// Prints the figures; true if nothing was cut, doubled, lost or wrong.
    pub fn report(&self, fleet: &Fleet, early_kb: u64) -> bool {
        let answered = self.answered.borrow();
        let mut doubled = 0;
        let mut missing = 0;
        let mut untrue = 0;
        let mut unknown = 0;
        let notices = self.notices.borrow();
        let ran = runs(fleet);
        for (body, notice) in notices.iter() {
            let runs = ran.get(body.as_str()).copied().unwrap_or_default();
            doubled += u64::from(runs > 1);
            missing += u64::from(*notice == Notice::Answered && runs == 0);
            untrue += u64::from(*notice == Notice::NotRun && runs > 0);
            unknown += u64::from(*notice == Notice::Unknown);
        }
        let over = fleet.engines.iter().filter(|engine| engine.peak_mb() > 24_000).count();
        println!("completions answered       {}", answered.len());
        println!(
            "  ms p50 / p99 / max       {} / {} / {}",
            at(&answered, 0.5),
            at(&answered, 0.99),
            answered.max()
        );
        println!("  refused, by code         {:?}", self.refused.borrow());
        println!("  broken off, and told so  {:?}", self.told.borrow());
        println!("  no connection            {}", self.unconnected.get());
        println!("  cut without a word       {}", self.cut.get());
        println!("  not answered in time     {}", self.lost.get());
        println!("  wrong text               {}", self.wrong.borrow().len());
        println!("notices                    {}", notices.len());
        println!("  run more than once       {doubled}");
        println!("  answered and not run     {missing}");
        println!("  told not run, and ran    {untrue}");
        println!("  outcome unknown, told so {unknown}");
        println!("engines over their memory  {over}");
        println!("resident KB early / late   {early_kb} / {}", resident_kb());
        for wrong in self.wrong.borrow().iter().take(3) {
            println!("wrong: {wrong}");
        }
        self.cut.get() + self.lost.get() + doubled + missing + untrue + over as u64 == 0
            && self.wrong.borrow().is_empty()
    }
}

/// How often each notice ran, over all services.
fn runs(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for run in fleet.services.iter().flat_map(boragecove_standin::service::Service::runs) {
        *runs.entry(String::from_utf8_lossy(&run.body).into_owned()).or_default() += 1;
    }
    runs
}

fn at(histogram: &Histogram<u64>, quantile: f64) -> u64 {
    histogram.value_at_quantile(quantile)
}

/// Resident memory of this process, with all its stand-ins, in KB.
pub fn resident_kb() -> u64 {
    const PAGE_KB: u64 = 4;
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()));
    pages.unwrap_or_default() * PAGE_KB
}
