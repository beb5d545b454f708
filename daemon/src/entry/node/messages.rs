//! Messages of other entry VMs, and how the node answers them.

use std::rc::Rc;

use actix::{AsyncContext, Handler, MessageResult, ResponseFuture};
use boragecove_core::name::Name;
use boragecove_fleet::budget::{self, Permit};
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::pin::{Announcement, Origin};
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::Stream;
use boragecove_fleet::schedule::{Grant, ReservationRequest};
use tokio::sync::{mpsc, oneshot};

use super::Node;
use super::calls::spawn_event;
use crate::entry::deferred_reply::{DEFER_MAX, DeferredReply};
use crate::entry::peer_relay::{Part, RelayTask, RelayedRequest};
use crate::memory::Share;

/// A frame of another entry VM. The reply may be held back for a moment.
#[derive(Debug, actix::Message)]
#[rtype(result = "Option<Reply>")]
pub(crate) struct ReceiveFrame(pub(crate) Frame);

/// A request of another entry VM for a reservation in an engine's schedule.
#[derive(Debug, actix::Message)]
#[rtype(result = "Grant")]
pub(crate) struct Reserve(pub(crate) ReservationRequest);

/// A request of another entry VM for credit from a workspace's limit.
#[derive(Debug, actix::Message)]
#[rtype(result = "Credit")]
pub(crate) struct DrawCredit(pub(crate) Draw);

/// A request of another entry VM for a permit to retry a request.
#[derive(Debug, actix::Message)]
#[rtype(result = "Permit")]
pub(crate) struct GrantPermit(pub(crate) budget::PermitRequest);

/// Origins of streams, sent by another entry VM.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct StoreOrigins(pub(crate) Vec<Announcement>);

/// A query of another entry VM for the origin of a stream.
#[derive(Debug, actix::Message)]
#[rtype(result = "Option<Origin>")]
pub(crate) struct QueryOrigin(pub(crate) Stream);

/// A request of another entry VM to probe an engine's port.
#[derive(Debug, actix::Message)]
#[rtype(result = "Option<Port>")]
pub(crate) struct Probe(pub(crate) Name);

/// A request to relay for another entry VM.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct RelayForPeer {
    pub(crate) relayed: RelayedRequest,
    /// The memory that it holds.
    pub(crate) share: Share,
    /// Receives the response.
    pub(crate) parts: mpsc::Sender<Part>,
}

impl Handler<Reserve> for Node {
    type Result = MessageResult<Reserve>;

    fn handle(&mut self, Reserve(request): Reserve, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::grant(&mut self.state, self.clock.now(), &request))
    }
}

impl Handler<DrawCredit> for Node {
    type Result = MessageResult<DrawCredit>;

    fn handle(&mut self, DrawCredit(draw): DrawCredit, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::credit(&mut self.state, self.clock.now(), &draw))
    }
}

impl Handler<GrantPermit> for Node {
    type Result = MessageResult<GrantPermit>;

    fn handle(&mut self, GrantPermit(request): GrantPermit, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::permit(&mut self.state, self.clock.now(), request))
    }
}

impl Handler<StoreOrigins> for Node {
    type Result = ();

    fn handle(&mut self, StoreOrigins(announcements): StoreOrigins, _ctx: &mut Self::Context) {
        boragecove_fleet::store_origins(&mut self.state, self.clock.now(), announcements);
    }
}

impl Handler<QueryOrigin> for Node {
    type Result = MessageResult<QueryOrigin>;

    fn handle(&mut self, QueryOrigin(stream): QueryOrigin, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::stream_origin(&self.state, stream))
    }
}

impl Handler<Probe> for Node {
    type Result = ResponseFuture<Option<Port>>;

    fn handle(&mut self, Probe(engine): Probe, _ctx: &mut Self::Context) -> Self::Result {
        let ports = boragecove_fleet::reachability_check(&self.state, self.clock.now(), &engine);
        let client = Rc::clone(&self.client);
        Box::pin(async move {
            let ports = ports?;
            let reach = client.probe(ports.address).await;
            let Some(control) = ports.control.filter(|_| reach != Port::Open) else {
                return Some(reach);
            };
            (client.probe(control).await == Port::Open).then_some(reach)
        })
    }
}

impl Handler<RelayForPeer> for Node {
    type Result = ();

    fn handle(&mut self, RelayForPeer { relayed, share, parts }: RelayForPeer, ctx: &mut Self::Context) {
        let now = self.clock.now();
        match boragecove_fleet::relay_request(
            &mut self.state,
            now,
            &relayed.engine,
            relayed.incarnation,
            relayed.build.as_ref(),
        ) {
            Ok(address) => {
                let (client, clock) = (Rc::clone(&self.client), self.clock);
                let task = RelayTask { client, clock, address, relayed, share, parts };
                spawn_event(ctx, async move {
                    task.run().await;
                    Event::RelayEnded
                });
            }
            Err(denial) => {
                // The channel has room for the first part. This fails only if the other entry VM has disconnected.
                let _disconnected = parts.try_send(Part::Denied(denial));
            }
        }
    }
}

impl Handler<ReceiveFrame> for Node {
    type Result = ResponseFuture<Option<Reply>>;

    fn handle(&mut self, ReceiveFrame(frame): ReceiveFrame, ctx: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        self.apply(Event::FrameReceived(Box::new(frame.clone())), ctx);
        let (sender, answer) = oneshot::channel();
        let defers = boragecove_fleet::defers_reply(&self.state, now, &frame);
        let deferred = DeferredReply::new(now, frame, sender);
        if defers {
            self.deferred_replies.push(deferred);
            ctx.run_later(DEFER_MAX, |node, _ctx| node.reply_due());
        } else {
            self.send_reply(now, deferred);
        }
        Box::pin(async move { answer.await.ok() })
    }
}
