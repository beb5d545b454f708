//! A stand-in plain service: echoes what it is sent and counts what it ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{self, Bytes, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_wire::header;

use crate::fault::{self, Faults, Kind, Scope};
use crate::server::{self, Running};

/// How a stand-in service behaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Time that a call takes.
    pub work: Duration,
}

/// A stand-in service. Copies share one content.
#[derive(Clone, Debug)]
pub struct Service {
    settings: Settings,
    faults: Faults,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    draining: bool,
    runs: Vec<Run>,
    bodies: BTreeMap<Bytes, u32>,
}

/// A call that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Method and path.
    pub call: String,
    /// The attempt's id as text, if one came along.
    pub attempt: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Service {
    /// A service that has run nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, faults: Faults::default(), state: Arc::default() }
    }

    /// The faults it commits.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What it ran, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// How often it ran a call with this body.
    #[must_use]
    pub fn runs_of(&self, body: &[u8]) -> u32 {
        self.lock().bodies.get(body).copied().unwrap_or_default()
    }

    /// Refuses new calls as leaving, or takes them again.
    pub fn drain(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Serves it over HTTP.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let service = self.clone();
        server::start(listen, move |config| routes(config, &service))
    }

    fn run(&self, request: &HttpRequest, body: &Bytes) {
        let attempt = request.headers().get(header::ATTEMPT).and_then(|value| value.to_str().ok());
        let run = Run {
            call: format!("{} {}", request.method(), request.path()),
            attempt: attempt.map(str::to_owned),
            body: body.clone(),
        };
        let mut state = self.lock();
        *state.bodies.entry(body.clone()).or_default() += 1;
        state.runs.push(run);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of a body at most.
const BODY_MAX: usize = 64 << 20;

fn routes(config: &mut ServiceConfig, service: &Service) {
    fault::routes(config, &service.faults);
    config
        .app_data(web::Data::new(service.clone()))
        .app_data(web::PayloadConfig::new(BODY_MAX))
        .default_service(web::route().to(call));
}

async fn call(request: HttpRequest, service: web::Data<Service>, body: Bytes) -> HttpResponse {
    if service.lock().draining {
        return refuse("leaving");
    }
    let kind = service.faults.strike(Scope::Service);
    if kind == Some(Kind::Refuse) {
        return refuse("busy");
    }
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    service.run(&request, &body);
    if kind == Some(Kind::Duplicate) {
        service.run(&request, &body);
    }
    if !service.settings.work.is_zero() {
        tokio::time::sleep(service.settings.work).await;
    }
    let mut answer = HttpResponse::Ok();
    if let Some(attempt) = echo(&request, kind) {
        answer.insert_header((header::ATTEMPT, attempt));
    }
    if let Some(media) = request.headers().get("content-type") {
        answer.insert_header(("content-type", media));
    }
    fault::after(kind, &request, answer.body(body)).await
}

fn refuse(reason: &'static str) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header((header::REFUSAL, reason)).finish()
}

/// The id that an answer carries: the request's own, unless a fault wants another's.
pub(crate) fn echo(request: &HttpRequest, kind: Option<Kind>) -> Option<String> {
    let own = request.headers().get(header::ATTEMPT)?.to_str().ok()?;
    if kind == Some(Kind::Foreign) {
        return Some(FOREIGN.to_owned());
    }
    Some(own.to_owned())
}

/// An attempt id that no entry VM draws.
const FOREIGN: &str = "ffffffffffffffff-1-1";
