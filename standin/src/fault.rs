//! Faults that a stand-in commits on demand: which, on what, how often.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_wire::path;
use serde::{Deserialize, Serialize};

use crate::server::hang_up;

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Does nothing and closes the connection without an answer.
    Drop,
    /// Does what was asked and closes the connection without an answer.
    Lose,
    /// Waits this many milliseconds, then does what was asked.
    Delay(u64),
    /// Does what was asked, and answers this many milliseconds later.
    Late(u64),
    /// Does what was asked twice and answers as it did the first time. Orders, table and services.
    Duplicate,
    /// Answers 503 and does nothing; on completions and services as a refusal.
    Refuse,
    /// Takes the request, does nothing and never answers; the connection stays open.
    Silent,
    /// Sends nothing more after this many events of a stream; the connection stays open.
    Stall(u64),
    /// Closes the connection after this many events of a stream.
    Cut(u64),
    /// Has forgotten: an attempt to be resumed, its KV cache, or the cache events so far.
    Forget,
    /// Answers with the id of another attempt.
    Foreign,
    /// Takes an order whatever its fencing number.
    IgnoreFences,
}

/// What a fault is committed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Everything.
    #[default]
    Any,
    /// Completions, whole and streamed.
    Completion,
    /// Cancelling an attempt.
    Cancel,
    /// Orders to an engine.
    Order,
    /// Load reports.
    Report,
    /// Cache events.
    Cache,
    /// Export and import of KV cache.
    Kv,
    /// Calls of a plain service.
    Service,
    /// The table.
    Table,
    /// Objects.
    Object,
    /// The VM list.
    Vms,
    /// The weight store.
    Weights,
}

/// One fault and how often it is committed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What is done wrong.
    pub kind: Kind,
    /// On what.
    #[serde(default)]
    pub on: Scope,
    /// Requests in its scope that pass first.
    #[serde(default)]
    pub skip: u32,
    /// Times it is committed; none: until it is taken back.
    #[serde(default)]
    pub times: Option<u32>,
    /// The share of requests it is committed on, from 0 to 1.
    #[serde(default = "whole")]
    pub share: f64,
    /// Seed of the draw that `share` needs.
    #[serde(default)]
    pub seed: u64,
}

const fn whole() -> f64 {
    1.0
}

impl Fault {
    /// Commits `kind` on everything in `on` until it is taken back.
    #[must_use]
    pub const fn always(kind: Kind, on: Scope) -> Self {
        Self { kind, on, skip: 0, times: None, share: 1.0, seed: 0 }
    }

    /// Commits `kind` on the next `times` requests in `on`.
    #[must_use]
    pub const fn next(kind: Kind, on: Scope, times: u32) -> Self {
        Self { times: Some(times), ..Self::always(kind, on) }
    }
}

/// A fault with the state of its draw.
#[derive(Debug)]
struct Armed {
    fault: Fault,
    rng: fastrand::Rng,
}

impl Armed {
    fn new(fault: Fault) -> Self {
        Self { fault, rng: fastrand::Rng::with_seed(fault.seed) }
    }

    /// Whether it is committed now on a request in `scope`.
    fn strikes(&mut self, scope: Scope) -> bool {
        if self.fault.on != Scope::Any && self.fault.on != scope {
            return false;
        }
        if self.fault.times == Some(0) {
            return false;
        }
        if self.fault.skip > 0 {
            self.fault.skip -= 1;
            return false;
        }
        if self.fault.share < 1.0 && self.rng.f64() >= self.fault.share {
            return false;
        }
        if let Some(times) = &mut self.fault.times {
            *times -= 1;
        }
        true
    }
}

/// The faults of one stand-in. Copies share them.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Vec<Armed>>>);

impl Faults {
    /// The faults as they stand, with what is left of their counts.
    #[must_use]
    pub fn list(&self) -> Vec<Fault> {
        self.lock().iter().map(|armed| armed.fault).collect()
    }

    /// Puts these in the place of all others.
    pub fn set(&self, faults: impl IntoIterator<Item = Fault>) {
        *self.lock() = faults.into_iter().map(Armed::new).collect();
    }

    /// Adds one. Of several that fit a request, the first added is committed.
    pub fn add(&self, fault: Fault) {
        self.lock().push(Armed::new(fault));
    }

    /// Takes all back.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// The fault to commit on a request in `scope`, if any.
    #[must_use]
    pub fn strike(&self, scope: Scope) -> Option<Kind> {
        self.lock().iter_mut().find_map(|armed| armed.strikes(scope).then_some(armed.fault.kind))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Armed>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Commits what a fault does before the request is carried out. An answer ends the request there.
pub(crate) async fn before(kind: Option<Kind>, request: &HttpRequest) -> Option<HttpResponse> {
    match kind? {
        Kind::Drop => {
            hang_up(request);
            Some(HttpResponse::ServiceUnavailable().finish())
        }
        Kind::Refuse => Some(HttpResponse::ServiceUnavailable().finish()),
        Kind::Silent => std::future::pending().await,
        Kind::Delay(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            None
        }
        _ => None,
    }
}

/// Commits what a fault does once the request was carried out.
pub(crate) async fn after(kind: Option<Kind>, request: &HttpRequest, answer: HttpResponse) -> HttpResponse {
    match kind {
        Some(Kind::Lose) => hang_up(request),
        Some(Kind::Late(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
        _ => {}
    }
    answer
}

/// The `/faults` path.
pub(crate) fn routes(config: &mut ServiceConfig, faults: &Faults) {
    config
        .app_data(web::Data::new(faults.clone()))
        .service(web::resource(path::FAULTS).route(web::get().to(shown)).route(web::put().to(replaced)));
}

async fn shown(faults: web::Data<Faults>) -> HttpResponse {
    HttpResponse::Ok().json(faults.list())
}

async fn replaced(faults: web::Data<Faults>, body: web::Json<Vec<Fault>>) -> HttpResponse {
    faults.set(body.into_inner());
    HttpResponse::Ok().json(faults.list())
}
