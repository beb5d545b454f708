//! What the node is told and asked by its edges.

use actix::{Context, Handler, Message, ResponseFuture};
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::operator::{Answer, Query};
use boragecove_core::request::Arrival;
use thiserror::Error;
use tokio::sync::oneshot;

use super::Node;
use super::open::Open;
use crate::backends::exchange::Progress;
use crate::callers::content::Content;
use crate::callers::outlet::Outlet;

/// A caller's request that was read.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    /// What the reducer sees of it.
    pub arrival: Arrival,
    /// What goes to back ends.
    pub content: Content,
    /// The way to the caller.
    pub outlet: Outlet,
}

/// A caller closed the connection before its request ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Gone(pub id::Request);

/// Something happened at an edge.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Feed(pub Event);

/// The process is to stop, cutting nothing.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// The node ended before it answered.
#[derive(Debug, Error)]
#[error("the entry VM ended before it answered")]
pub struct Ended;

/// An operator's question.
#[derive(Debug, Message)]
#[rtype(result = "Result<Answer, Ended>")]
pub struct Ask(pub Query);

/// Asks for the metrics in their text format.
#[derive(Debug, Message)]
#[rtype(result = "String")]
pub struct Scrape;

impl Handler<Submit> for Node {
    type Result = ();

    fn handle(&mut self, msg: Submit, ctx: &mut Context<Self>) {
        let Submit { arrival, content, outlet } = msg;
        let open = Open::new(&arrival, content, outlet, self.clock.now());
        self.requests.insert(arrival.id, open);
        self.feed(Event::Arrive(Box::new(arrival)), ctx);
    }
}

impl Handler<Gone> for Node {
    type Result = ();

    fn handle(&mut self, Gone(request): Gone, ctx: &mut Context<Self>) {
        if self.requests.contains_key(&request) {
            self.feed(Event::CallerGone(request), ctx);
        }
    }
}

impl Handler<Feed> for Node {
    type Result = ();

    fn handle(&mut self, Feed(event): Feed, ctx: &mut Context<Self>) {
        self.feed(event, ctx);
    }
}

impl Handler<Stop> for Node {
    type Result = ();

    fn handle(&mut self, Stop: Stop, ctx: &mut Context<Self>) {
        tracing::info!(vm = %self.settings.vm, "stopping");
        self.feed(Event::Stop, ctx);
    }
}

impl Handler<Progress> for Node {
    type Result = ();

    fn handle(&mut self, msg: Progress, ctx: &mut Context<Self>) {
        self.progress(msg.attempt, msg.step, ctx);
    }
}

impl Handler<Ask> for Node {
    type Result = ResponseFuture<Result<Answer, Ended>>;

    fn handle(&mut self, Ask(query): Ask, ctx: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.asked += 1;
        let ask = id::Ask { by: self.state.identity().incarnation, seq: self.asked };
        self.asks.insert(ask, sender);
        self.feed(Event::QueryReceived { ask, query: Box::new(query) }, ctx);
        Box::pin(async move { receiver.await.map_err(|_dropped| Ended) })
    }
}

impl Handler<Scrape> for Node {
    type Result = String;

    fn handle(&mut self, Scrape: Scrape, ctx: &mut Context<Self>) -> String {
        let status = self.ask_now(Query::Status, ctx);
        let engines = self.ask_now(Query::Engines, ctx);
        self.metrics.encode(self.state.counters(), &self.shared, status.as_ref(), engines.as_ref())
    }
}

impl Node {
    /// Asks the reducer something that it answers at once.
    fn ask_now(&mut self, query: Query, ctx: &mut Context<Self>) -> Option<Answer> {
        let (sender, mut receiver) = oneshot::channel();
        self.asked += 1;
        let ask = id::Ask { by: self.state.identity().incarnation, seq: self.asked };
        self.asks.insert(ask, sender);
        self.feed(Event::QueryReceived { ask, query: Box::new(query) }, ctx);
        receiver.try_recv().ok()
    }
}
