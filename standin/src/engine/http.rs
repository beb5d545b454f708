//! An engine's HTTP interface.

use std::time::Duration;

use actix_web::web::{self, Bytes, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::artifact::{Artifact, Target};
use boragecove_core::engine::{Order, Receipt};
use boragecove_core::id;
use boragecove_core::request::prefix_hashes;
use boragecove_wire::completion::Body;
use boragecove_wire::{header, path};
use serde::Deserialize;

use super::answer::{self, Answer};
use super::attempt::Run;
use super::live::Live;
use super::memory::Work;
use super::seat::Seat;
use super::stream::{self, Shape};
use super::{Engine, load};
use crate::fault::{self, Kind, Scope};
use crate::service::echo;

/// Bytes of a body at most.
const BODY_MAX: usize = 64 << 20;

pub(super) fn routes(config: &mut ServiceConfig, engine: &Engine) {
    fault::routes(config, engine.faults());
    config
        .app_data(web::Data::new(engine.clone()))
        .app_data(web::JsonConfig::default().limit(BODY_MAX))
        .app_data(web::PayloadConfig::new(BODY_MAX))
        .route(path::COMPLETIONS, web::post().to(completion))
        .route(path::CHAT, web::post().to(completion))
        .route(path::ORDERS, web::post().to(order))
        .route(path::REPORT, web::get().to(report))
        .route(path::CACHE, web::get().to(cache))
        .route(path::ATTEMPT, web::delete().to(cancel))
        .service(web::resource(path::KV).route(web::get().to(kv_export)).route(web::put().to(kv_import)));
}

async fn order(request: HttpRequest, engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Order);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    let times = if kind == Some(Kind::Duplicate) { 2 } else { 1 };
    let checks = engine.settings.checks_fences && kind != Some(Kind::IgnoreFences);
    let mut receipt = None;
    for _ in 0..times {
        let (incarnation, (taken, work)) = {
            let mut state = engine.lock();
            let incarnation = state.incarnation;
            if order.meant_for == incarnation {
                (incarnation, state.memory.order(&order, checks))
            } else {
                (incarnation, (Receipt::Restarted, Work::None))
            }
        };
        load::start(&engine, incarnation, work);
        receipt.get_or_insert(taken);
    }
    fault::after(kind, &request, HttpResponse::Ok().json(receipt)).await
}

async fn report(request: HttpRequest, engine: web::Data<Engine>) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Report);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    fault::after(kind, &request, HttpResponse::Ok().json(engine.report())).await
}

#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    from: u64,
}

async fn cache(request: HttpRequest, engine: web::Data<Engine>, since: web::Query<Since>) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Cache);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    if kind == Some(Kind::Forget) {
        engine.lock().cache.lose_events();
    }
    let update = engine.lock().cache.update(&engine.settings.name, since.from);
    fault::after(kind, &request, HttpResponse::Ok().json(update)).await
}

async fn cancel(request: HttpRequest, engine: web::Data<Engine>, attempt: web::Path<String>) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Cancel);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    let Ok(attempt) = attempt.parse::<id::Attempt>() else { return HttpResponse::BadRequest().finish() };
    engine.lock().attempts.forget(attempt);
    fault::after(kind, &request, HttpResponse::NoContent().finish()).await
}

async fn kv_export(
    request: HttpRequest,
    engine: web::Data<Engine>,
    attempt: web::Path<String>,
) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Kv);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    let Ok(attempt) = attempt.parse::<id::Attempt>() else { return HttpResponse::BadRequest().finish() };
    if kind == Some(Kind::Forget) {
        engine.lock().attempts.forget(attempt);
    }
    let kept = engine.lock().attempts.get(attempt).cloned();
    let answer = match kept {
        Some(prompt) => HttpResponse::Ok().body(prompt),
        None => HttpResponse::NotFound().finish(),
    };
    fault::after(kind, &request, answer).await
}

async fn kv_import(request: HttpRequest, engine: web::Data<Engine>, kv: Bytes) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Kv);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    engine.lock().cache.use_blocks(&prefix_hashes(&kv));
    fault::after(kind, &request, HttpResponse::NoContent().finish()).await
}

/// What the headers of a try say.
struct Try {
    attempt: Option<id::Attempt>,
    artifact: Option<Artifact>,
    deadline: Option<Duration>,
    resume_of: Option<id::Attempt>,
    /// The next event that is wanted.
    from: u64,
}

impl Try {
    fn read(request: &HttpRequest) -> Self {
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let last: Option<u64> = text(header::LAST_EVENT_ID).and_then(|value| value.parse().ok());
        Self {
            attempt: text(header::ATTEMPT).and_then(|value| value.parse().ok()),
            artifact: text(header::ARTIFACT).and_then(parse_artifact),
            deadline: text(header::DEADLINE_MS)
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
            resume_of: text(header::RESUME_OF).and_then(|value| value.parse().ok()),
            from: last.map_or(0, |last| last + 1),
        }
    }
}

fn parse_artifact(text: &str) -> Option<Artifact> {
    let target: Target = text.parse().ok()?;
    Some(Artifact { model: target.model, adapter: target.adapter, version: target.version? })
}

async fn completion(request: HttpRequest, engine: web::Data<Engine>, body: Bytes) -> HttpResponse {
    let kind = engine.faults.strike(Scope::Completion);
    let echo = echo(&request, kind);
    if kind == Some(Kind::Refuse) {
        return refuse(503, "busy", echo);
    }
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    let body = match Body::read(&body) {
        Ok(body) => body,
        Err(error) => return malformed(&error.to_string(), echo),
    };
    let head = Try::read(&request);
    let Some(artifact) = head.artifact.clone() else { return malformed("no artifact", echo) };
    if let Some(attempt) = head.resume_of {
        if kind == Some(Kind::Forget) {
            engine.lock().attempts.forget(attempt);
        }
        let mut state = engine.lock();
        if state.attempts.get(attempt).is_none() {
            return forgotten(echo);
        }
        state.attempts.release(attempt);
    }
    let prompt = body.prompt().into_owned();
    let answer = Answer::new(&artifact, &prompt, answer::length(body.max_tokens));
    if body.continuation.as_ref().is_some_and(|given| *given != answer.until(head.from)) {
        return malformed("the continuation is not what was answered so far", echo);
    }
    let mut live = Live::begin(&engine, head.attempt);
    let seat = tokio::select! {
        biased;
        () = live.wait() => return HttpResponse::ServiceUnavailable().finish(),
        seat = Seat::take(&engine, &artifact, head.deadline) => seat,
    };
    let seat = match seat {
        Ok(seat) => seat,
        Err((status, reason)) => return refuse(status, reason, echo),
    };
    let blocks = prefix_hashes(prompt.as_bytes());
    let run =
        Run { attempt: head.attempt, artifact, prompt, from: head.from, resumed: head.resume_of.is_some() };
    let misses = {
        let mut state = engine.lock();
        state.attempts.run(run);
        state.cache.use_blocks(&blocks)
    };
    let shape = if request.path() == path::CHAT { Shape::Chat } else { Shape::Text };
    let job =
        stream::Job { seat, live, answer, shape, from: head.from, misses, kind, request: request.clone() };
    let answer = if body.stream { job.stream(echo) } else { job.whole(echo).await };
    fault::after(kind, &request, answer).await
}

fn refuse(status: u16, reason: &'static str, echo: Option<String>) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
    let mut answer = HttpResponse::build(status);
    answer.insert_header((header::REFUSAL, reason));
    stream::with_echo(&mut answer, echo).finish()
}

fn forgotten(echo: Option<String>) -> HttpResponse {
    let mut answer = HttpResponse::Gone();
    answer.insert_header((header::FORGOTTEN, "true"));
    stream::with_echo(&mut answer, echo).finish()
}

fn malformed(reason: &str, echo: Option<String>) -> HttpResponse {
    let mut answer = HttpResponse::BadRequest();
    stream::with_echo(&mut answer, echo).json(serde_json::json!({ "error": { "message": reason } }))
}
