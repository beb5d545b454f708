//! The actor that owns the reducer's state. It applies events to the state and executes the resulting effects.

mod calls;
mod messages;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, SpawnHandle};
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::Limits;
use boragecove_fleet::effect::{Effect, Follow};
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::path;
use boragecove_fleet::pin::Pin;
use boragecove_fleet::request::{Arrival, Id, Step};
use boragecove_fleet::state::{Identity, State};
use boragecove_platform::http;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::busy;
use super::caller_response::{ResponseSender, Undelivered};
use super::client::Client;
use super::deferred_reply::DeferredReply;
use super::event_buffer::EventBuffer;
use super::log::Log;
use super::metrics;
use super::refusals::Refusals;
use super::request_task::{EventTiming, RequestContent, RequestTask};
use super::settings::Settings;
use super::transfer::Transfer;
use super::{peers, store_poll};
use crate::clock::Clock;
use crate::connection::Closed;
use crate::memory::{self, Account, REQUEST_BYTES};
use calls::spawn_event;
pub(crate) use calls::store_request;
pub(crate) use messages::{
    DrawCredit, GrantPermit, Probe, QueryOrigin, ReceiveFrame, RelayForPeer, Reserve, StoreOrigins,
};

/// Time between removals of expired connections from the pool, and between two looks at the process's memory.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// The actor of an entry VM. All decisions are made by [`boragecove_fleet::apply`].
#[derive(Debug)]
pub(crate) struct Node {
    state: State,
    clock: Clock,
    settings: Rc<Settings>,
    client: Rc<Client>,
    log: Log,
    steps: FxHashMap<Id, mpsc::UnboundedSender<Step>>,
    last_request_id: u64,
    wake: Option<SpawnHandle>,
    ready: watch::Sender<bool>,
    limits: watch::Sender<Limits>,
    poll_mode: watch::Sender<Option<Follow>>,
    exited: watch::Sender<bool>,
    metrics: metrics::Metrics,
    /// The era last stated by the store.
    era: Option<u64>,
    busy: busy::BusyMeter,
    deferred_replies: Vec<DeferredReply>,
    load: CallerLoad,
}

/// What callers make the process hold, and what was refused for it.
#[derive(Clone, Debug)]
pub(crate) struct CallerLoad {
    /// The memory.
    pub(crate) account: Account,
    /// Requests that were refused before they were read completely.
    pub(crate) refusals: Arc<Refusals>,
    /// Connections that were closed.
    pub(crate) closed: Arc<Closed>,
}

/// Channels from the node to the rest of the process.
#[derive(Debug)]
pub(crate) struct Signals {
    /// Whether the balancer may send requests to this entry VM.
    pub(crate) ready: watch::Sender<bool>,
    /// Limits of callers' requests.
    pub(crate) limits: watch::Sender<Limits>,
    /// Whether the process can exit.
    pub(crate) exited: watch::Sender<bool>,
}

/// An event for the reducer.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyEvent(pub(crate) Event);

/// A caller's request was read.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct OpenRequest {
    pub(crate) arrival: Arrival,
    pub(crate) content: RequestContent,
    pub(crate) response_sender: ResponseSender,
}

/// The settings were reloaded, with this outcome.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Reloaded(pub(crate) String);

/// A call of the hub or the store has ended.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Transferred(pub(crate) Transfer);

/// Collects all metrics in text format.
#[derive(Debug, actix::Message)]
#[rtype(result = "String")]
pub(crate) struct Scrape;

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        store_poll::start(
            &self.settings,
            self.clock,
            &self.client,
            &ctx.address(),
            &self.poll_mode.subscribe(),
        );
        ctx.run_interval(CLEANUP_INTERVAL, |node, _ctx| {
            node.client.close_expired();
            if let Some(resident) = memory::resident_bytes() {
                node.load.account.leave_room(resident);
            }
        });
        self.apply(Event::Wake, ctx);
    }
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        log: Log,
        signals: Signals,
        load: CallerLoad,
    ) -> Self {
        let identity =
            Identity { vm: settings.vm.clone(), zone: settings.zone.clone(), address: settings.listen.peers };
        let state = State::new(identity, settings.fleet.clone(), fastrand::u64(..), clock.now());
        Self {
            state,
            clock,
            client: Client::new(settings.connect),
            log,
            steps: FxHashMap::default(),
            last_request_id: 0,
            wake: None,
            ready: signals.ready,
            limits: signals.limits,
            poll_mode: watch::Sender::new(None),
            exited: signals.exited,
            metrics: metrics::Metrics::default(),
            era: None,
            busy: busy::BusyMeter::default(),
            deferred_replies: Vec::new(),
            load,
            settings: Rc::new(settings),
        }
    }

    /// Applies an event to the state and executes the resulting effects.
    fn apply(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let (label, started) = (event.label(), Instant::now());
        for effect in boragecove_fleet::apply(&mut self.state, now, event) {
            self.execute(now, effect, ctx);
        }
        self.record_step(now, label, started);
    }

    /// Records the duration of a step that has just ended.
    fn record_step(&mut self, now: Time, label: &'static str, started: Instant) {
        let took = started.elapsed();
        self.metrics.record_step(label, took);
        if let Some(interval) = self.busy.record(now, label, took) {
            self.log.busy(now, interval);
        }
    }

    fn execute(&mut self, now: Time, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::Step { request, step } => self.send_step(request, step),
            Effect::Frame { address, frame } => self.send_frame(address, &frame, ctx),
            Effect::Push(push) => self.send_push(push, ctx),
            Effect::Reserve { address, request, ask } => {
                let answer = peers::request_reservation(Rc::clone(&self.client), address, &ask);
                spawn_event(ctx, async move { Event::Granted { request, grant: answer.await } });
            }
            Effect::RequestCredit { address, request, draw } => {
                let answer = peers::request_credit(Rc::clone(&self.client), address, &draw);
                let workspace = draw.workspace;
                spawn_event(ctx, async move {
                    Event::CreditAnswered { request, workspace, credit: answer.await }
                });
            }
            Effect::RequestPermit { address, request, asked, ask } => {
                let answer = peers::request_permit(Rc::clone(&self.client), address, ask);
                spawn_event(
                    ctx,
                    async move { Event::PermitAnswered { request, asked, permit: answer.await } },
                );
            }
            Effect::AnnounceOrigins { address, notes } => {
                actix_rt::spawn(peers::announce_origins(Rc::clone(&self.client), address, notes));
            }
            Effect::QueryOrigin { address, request, stream } => {
                let answer = peers::query_origin(Rc::clone(&self.client), address, stream);
                spawn_event(ctx, async move {
                    Event::OriginAnswered { request, replica: address, answer: answer.await }
                });
            }
            Effect::Lease(call) => self.call_lease(call, ctx),
            Effect::Order(dispatch) => self.send_order(&dispatch, ctx),
            Effect::Report { engine, incarnation, address } => {
                self.request_report(engine, incarnation, address, ctx);
            }
            Effect::Probe { engine, address } => {
                let client = Rc::clone(&self.client);
                spawn_event(ctx, async move {
                    let reach = client.probe(address).await;
                    if reach == Port::Silent {
                        // Open connections may deliver nothing any more either.
                        client.close_idle(address);
                    }
                    Event::Probed { engine, reach }
                });
            }
            Effect::IndirectProbe { address, engine } => {
                let answer = peers::request_probe(Rc::clone(&self.client), address, &engine);
                spawn_event(ctx, async move { Event::ProbedIndirectly { engine, reach: answer.await } });
            }
            Effect::AskPath { vm, address, engine } => {
                let answer = peers::request_probe(Rc::clone(&self.client), address, &engine);
                let by = path::Relay { vm, address };
                spawn_event(ctx, async move { Event::PathSeen { engine, by, reach: answer.await } });
            }
            Effect::Record(record) => {
                self.metrics.record(&record);
                self.log.record(now, &record);
            }
            Effect::Ready(ready) => {
                self.log.readiness(now, ready);
                self.ready.send_replace(ready);
            }
            Effect::Follow(mode) => {
                self.poll_mode.send_replace(mode);
            }
            Effect::Refresh { after, limit } => {
                let (client, store) = (Rc::clone(&self.client), self.settings.store);
                let refresh = store_poll::Refresh { store, clock: self.clock, after, limit };
                spawn_event(ctx, refresh.run(client, ctx.address()));
            }
            Effect::Limit(limits) => self.set_limits(limits),
            Effect::HoldingsChanged(engine) => self.reply_satisfied(now, &engine),
            Effect::WakeAt(at) => self.wake_at(at, ctx),
            Effect::Exit => {
                self.exited.send_replace(true);
            }
        }
    }

    /// Puts the configuration's limits in force. Says so if the largest request can't be held twice, as for relaying it.
    fn set_limits(&self, limits: Limits) {
        let memory_bytes = self.load.account.large_limit();
        if 2 * (limits.body_bytes + REQUEST_BYTES) > memory_bytes {
            let body_bytes = limits.body_bytes;
            tracing::warn!(
                body_bytes,
                memory_bytes,
                "this machine cannot relay the largest requests allowed"
            );
        }
        self.limits.send_replace(limits);
    }

    /// Replies to the frames whose senders' callers can be served by an engine now.
    fn reply_satisfied(&mut self, now: Time, engine: &Name) {
        let Self { deferred_replies, state, .. } = self;
        let is_satisfied = |deferred: &mut DeferredReply| {
            boragecove_fleet::satisfies_frame(state, now, engine, &deferred.frame)
        };
        let satisfied: Vec<DeferredReply> = deferred_replies.extract_if(.., is_satisfied).collect();
        for deferred in satisfied {
            self.send_reply(now, deferred);
        }
    }

    /// Sends the replies that were held back for the longest time allowed.
    fn reply_due(&mut self) {
        let now = self.clock.now();
        let due: Vec<DeferredReply> =
            self.deferred_replies.extract_if(.., |deferred| deferred.is_due(now)).collect();
        for deferred in due {
            self.send_reply(now, deferred);
        }
    }

    fn send_reply(&mut self, now: Time, deferred: DeferredReply) {
        let started = Instant::now();
        let reply = boragecove_fleet::reply_to_frame(&mut self.state, now, &deferred.frame);
        self.record_step(now, "reply", started);
        deferred.send(reply);
    }

    fn send_step(&mut self, request: Id, step: Step) {
        let last = match step {
            Step::Forward | Step::Refuse(_) => true,
            Step::Send(_) | Step::Hold => false,
        };
        if let Some(steps) = self.steps.get(&request) {
            // The request's task may have ended because the caller has disconnected.
            let _ended = steps.send(step);
        }
        if last {
            self.steps.remove(&request);
            self.log.forget(request);
        }
    }

    fn wake_at(&mut self, at: Time, ctx: &mut Context<Self>) {
        if let Some(before) = self.wake.take() {
            ctx.cancel_future(before);
        }
        let wait = at.since(self.clock.now());
        self.wake = Some(ctx.run_later(wait, |node, ctx| node.apply(Event::Wake, ctx)));
    }
}

impl Handler<ApplyEvent> for Node {
    type Result = ();

    fn handle(&mut self, ApplyEvent(event): ApplyEvent, ctx: &mut Self::Context) {
        if let Event::CallerGone(request) = &event {
            self.steps.remove(request);
            self.log.caller_gone(self.clock.now(), *request);
        }
        self.apply(event, ctx);
    }
}

impl Handler<OpenRequest> for Node {
    type Result = ();

    fn handle(
        &mut self,
        OpenRequest { arrival, mut content, response_sender }: OpenRequest,
        ctx: &mut Self::Context,
    ) {
        let credentials = std::mem::take(&mut content.credentials);
        if !self.state.needs_keys() {
            http::restore_credentials(&mut content.request.headers, credentials);
        }
        self.last_request_id += 1;
        let id = Id(self.last_request_id);
        self.log.received(self.clock.now(), id, &arrival, &content);
        let (sender, steps) = mpsc::unbounded_channel();
        self.steps.insert(id, sender);
        let task = RequestTask {
            id,
            content,
            response_sender,
            undelivered: Undelivered::default(),
            steps,
            client: Rc::clone(&self.client),
            clock: self.clock,
            node: ctx.address(),
            head_sent: false,
            pin: Pin::default(),
            events: EventBuffer::default(),
            answer: None,
            timing: EventTiming::default(),
            account: self.load.account.clone(),
        };
        self.apply(Event::Arrive { request: id, arrival: Box::new(arrival) }, ctx);
        actix_rt::spawn(task.run());
    }
}

impl Handler<Reloaded> for Node {
    type Result = ();

    fn handle(&mut self, Reloaded(outcome): Reloaded, _ctx: &mut Self::Context) {
        self.log.reloaded(self.clock.now(), &outcome);
    }
}

impl Handler<Transferred> for Node {
    type Result = ();

    fn handle(&mut self, Transferred(transfer): Transferred, _ctx: &mut Self::Context) {
        self.metrics.record_transfer(&transfer);
        let other_era = transfer.era.is_some() && transfer.era != self.era;
        self.era = transfer.era.or(self.era);
        if transfer.is_notable() || other_era {
            self.log.transfer(self.clock.now(), transfer);
        }
    }
}

impl Handler<Scrape> for Node {
    type Result = String;

    fn handle(&mut self, _scrape: Scrape, _ctx: &mut Self::Context) -> String {
        let counts = metrics::Counts {
            connections: self.client.opened(),
            suspect_answers: self.client.suspects(),
            lines_dropped: self.log.dropped(),
            load: self.load.clone(),
        };
        self.metrics.encode(&self.state, self.clock.now(), &counts)
    }
}
