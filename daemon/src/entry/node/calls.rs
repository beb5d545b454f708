//! The node's calls of the hub, other entry VMs, engines and the store. They run in the background, and their results
//! come back as events.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, AsyncContext, Context};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Method, Uri};
use boragecove_core::name::Name;
use boragecove_fleet::effect::Dispatch;
use boragecove_fleet::engine::Incarnation;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Frame;
use boragecove_fleet::lease;
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::push::Push;
use boragecove_platform::{engine, http, store};
use bytes::Bytes;
use tokio::time::Instant;

use super::{ApplyEvent, Node, Transferred};
use crate::entry::client::{Answer, Expiry, Request};
use crate::entry::peers;
use crate::entry::transfer::{self, Transfer};

/// Time limit for an engine's answer to an order. It usually takes a few ms; an order without an answer is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the store's answer to a read or write of the lease. It usually takes some ms, and a slower answer is of
/// no use.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size in bytes of an answer of an engine, or of the store to a call about the lease.
const ANSWER_BYTES_MAX: usize = 1 << 20;

impl Node {
    pub(super) fn send_frame(&self, address: SocketAddr, frame: &Frame, ctx: &Context<Self>) {
        let client = Rc::clone(&self.client);
        let sending = peers::send_frame(client, ctx.address(), address, frame, self.settings.frame);
        spawn_event(ctx, async move { Event::Replied(sending.await.map(Box::new)) });
    }

    pub(super) fn send_push(&self, push: Push, ctx: &Context<Self>) {
        let (client, node, bound) =
            (Rc::clone(&self.client), ctx.address(), self.settings.fleet.departure_bound);
        actix_rt::spawn(async move {
            if !peers::send_push(&client, &push, bound).await {
                node.do_send(ApplyEvent(Event::PushFailed(push)));
            }
        });
    }

    pub(super) fn call_lease(&self, call: lease::Call, ctx: &Context<Self>) {
        let (client, address, node) = (Rc::clone(&self.client), self.settings.store, ctx.address());
        spawn_event(ctx, async move {
            let request = store_request(store::lease_call(&call));
            let since = Instant::now();
            let unknown = lease::Answer { store_ms: None, era: None, outcome: lease::Outcome::Unknown };
            let called = client.call(address, request, ANSWER_BYTES_MAX, since + LEASE_TIMEOUT).await;
            node.do_send(Transferred(Transfer::of_short(transfer::Kind::Lease, since, &called)));
            let answer = match called {
                Ok(Answer { status, headers, body }) => {
                    let era = store::era(&headers);
                    store::lease_answer(&call, era, status.as_u16(), &body).unwrap_or_else(|error| {
                        tracing::warn!(%error, "cannot decode the store's answer about the lease");
                        lease::Answer { era, ..unknown }
                    })
                }
                Err(error) => {
                    tracing::debug!(%error, "no answer about the lease");
                    unknown
                }
            };
            Event::Lease(answer)
        });
    }

    pub(super) fn send_order(&self, dispatch: &Dispatch, ctx: &Context<Self>) {
        let client = Rc::clone(&self.client);
        let (name, address) = (dispatch.engine.clone(), dispatch.address);
        let incarnation = dispatch.incarnation;
        let mut headers = http::expect_engine(&dispatch.engine);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body = engine::order(dispatch, &self.settings.vm);
        let request =
            Request { method: Method::POST, target: Uri::from_static(engine::ORDER_PATH), headers, body };
        let node = ctx.address();
        let expiry = Expiry { clock: self.clock, at: dispatch.write_by };
        spawn_event(ctx, async move {
            let until = Instant::now() + ORDER_TIMEOUT;
            let answer = client.call_before(address, request, ANSWER_BYTES_MAX, until, expiry).await;
            let receipt = match answer {
                Ok(answer) => {
                    let from = Start { engine: name.clone(), incarnation };
                    report_notice(&node, from, http::notice(answer.status, &answer.headers));
                    engine::receipt(answer.status.as_u16())
                }
                Err(error) => {
                    tracing::debug!(engine = %name, %error, "no answer to an order");
                    None
                }
            };
            Event::Ordered { engine: name, incarnation, receipt }
        });
    }

    pub(super) fn request_report(
        &self,
        name: Name,
        incarnation: Incarnation,
        address: SocketAddr,
        ctx: &Context<Self>,
    ) {
        let (client, node) = (Rc::clone(&self.client), ctx.address());
        let request = Request {
            method: Method::GET,
            target: Uri::from_static(engine::REPORT_PATH),
            headers: http::expect_engine(&name),
            body: Bytes::new(),
        };
        spawn_event(ctx, async move {
            let until = Instant::now() + REPORT_TIMEOUT;
            let called = client.call(address, request, ANSWER_BYTES_MAX, until).await;
            if let Ok(answer) = &called {
                let from = Start { engine: name.clone(), incarnation };
                report_notice(&node, from, http::notice(answer.status, &answer.headers));
            }
            let report = match called {
                Ok(Answer { status, body, .. }) if status.is_success() => engine::report(&body)
                    .inspect_err(
                        |error| tracing::warn!(engine = %name, %error, "cannot decode the engine's report"),
                    )
                    .ok(),
                Ok(Answer { status, .. }) => {
                    tracing::debug!(engine = %name, %status, "the engine refused to report");
                    None
                }
                Err(error) => {
                    tracing::debug!(engine = %name, %error, "no report from the engine");
                    None
                }
            };
            if let Some(report) = report.as_ref().filter(|report| report.leaving) {
                // A report without an incarnation is taken as one of the incarnation in the engines' table.
                let incarnation = Incarnation(report.incarnation.0.or(incarnation.0));
                let from = Start { engine: name.clone(), incarnation };
                report_notice(&node, from, Notice { leaving: true, ..Notice::default() });
            }
            Event::Reported { engine: name, report }
        });
    }
}

/// The HTTP request for a call of the store.
pub(crate) fn store_request(call: store::Call) -> Request {
    let mut headers = HeaderMap::new();
    let method = if call.body.is_some() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Method::POST
    } else {
        Method::GET
    };
    let target = call.target.parse().unwrap_or_else(|_invalid| Uri::from_static("/"));
    Request { method, target, headers, body: call.body.unwrap_or_default() }
}

/// Reports the notice, if any, in an engine's answer to a call that the node made for itself.
fn report_notice(node: &Addr<Node>, from: Start, notice: Notice) {
    if notice != Notice::default() {
        node.do_send(ApplyEvent(Event::NoticeReceived { from, notice, asked: None }));
    }
}

/// Runs `work` in the background and applies the resulting event.
pub(super) fn spawn_event(ctx: &Context<Node>, work: impl Future<Output = Event> + 'static) {
    let node: Addr<Node> = ctx.address();
    actix_rt::spawn(async move { node.do_send(ApplyEvent(work.await)) });
}
