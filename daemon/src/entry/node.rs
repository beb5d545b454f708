//! The actor that owns the reducer's state: turns what happens into events and carries effects out.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, MessageResult, ResponseFuture, SpawnHandle};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::Limits;
use boragecove_fleet::effect::{Dispatch, Effect, Follow};
use boragecove_fleet::engine::Incarnation;
use boragecove_fleet::engine::Reach;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::lease;
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::push;
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::{Arrival, Id, Step};
use boragecove_fleet::schedule::{Ask, Grant};
use boragecove_fleet::state::{Identity, State};
use boragecove_platform::{engine, front, store};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::busy;
use super::client::{Answer, Client, Request};
use super::events::Events;
use super::held::{HOLD, Held};
use super::log::Log;
use super::metrics;
use super::outlet::Outlet;
use super::relay::{Content, Relay, Timing};
use super::settings::Settings;
use super::transfer::{self, Transfer};
use super::{follow, peers};
use crate::clock::Clock;

/// Time for an engine to answer an order; it takes a few ms, and one without an answer is sent again.
const ORDER_CALL: Duration = Duration::from_millis(200);
/// Time for an engine to report.
const REPORT_CALL: Duration = Duration::from_millis(500);
/// Time for the store to answer a call about the lease: it takes some ms, and a slow one is as good as none.
const LEASE_CALL: Duration = Duration::from_millis(500);
/// Bytes of an answer of an engine or of the store about the lease, at most.
const ANSWER_MAX: usize = 1 << 20;
/// Time between looks for connections that will not be used again.
const TIDY_EVERY: Duration = Duration::from_secs(1);

/// One entry VM's process. It decides nothing: [`boragecove_fleet::apply`] does.
#[derive(Debug)]
pub(crate) struct Node {
    state: State,
    clock: Clock,
    settings: Rc<Settings>,
    client: Rc<Client>,
    log: Log,
    steps: FxHashMap<Id, mpsc::UnboundedSender<Step>>,
    drawn: u64,
    wake: Option<SpawnHandle>,
    ready: watch::Sender<bool>,
    limits: watch::Sender<Limits>,
    follow: watch::Sender<Option<Follow>>,
    exited: watch::Sender<bool>,
    metrics: metrics::Metrics,
    busy: busy::Load,
    held: Vec<Held>,
}

/// What the node tells the rest of its process.
#[derive(Debug)]
pub(crate) struct Signals {
    /// Whether the balancer may send requests here.
    pub(crate) ready: watch::Sender<bool>,
    /// What callers may send.
    pub(crate) limits: watch::Sender<Limits>,
    /// Whether nothing is left to do.
    pub(crate) exited: watch::Sender<bool>,
}

/// Something happened.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Feed(pub(crate) Event);

/// A caller's request was read.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Open {
    pub(crate) arrival: Arrival,
    pub(crate) content: Content,
    pub(crate) outlet: Outlet,
}

/// The settings were read again, with this outcome.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Reloaded(pub(crate) String);

/// The hub or the store answered, or did not.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Transferred(pub(crate) Transfer);

/// Another entry VM sent a frame. The answer may be held for a moment.
#[derive(Debug, actix::Message)]
#[rtype(result = "Option<Reply>")]
pub(crate) struct Hear(pub(crate) Frame);

/// Another entry VM asks for a place in the schedule of an engine.
#[derive(Debug, actix::Message)]
#[rtype(result = "Grant")]
pub(crate) struct Place(pub(crate) Ask);

/// Another entry VM asks for credit of a workspace's limit.
#[derive(Debug, actix::Message)]
#[rtype(result = "Credit")]
pub(crate) struct Spend(pub(crate) Draw);

/// Another entry VM asks how the port of an engine answers here.
#[derive(Debug, actix::Message)]
#[rtype(result = "Option<Reach>")]
pub(crate) struct Try(pub(crate) Name);

/// All metrics in their text format.
#[derive(Debug, actix::Message)]
#[rtype(result = "String")]
pub(crate) struct Scrape;

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        follow::start(&self.settings, self.clock, &self.client, &ctx.address(), &self.follow.subscribe());
        ctx.run_interval(TIDY_EVERY, |node, _ctx| node.client.tidy());
        self.feed(Event::Wake, ctx);
    }
}

impl Node {
    pub(crate) fn new(settings: Settings, clock: Clock, log: Log, signals: Signals) -> Self {
        let me =
            Identity { vm: settings.vm.clone(), zone: settings.zone.clone(), address: settings.listen.peers };
        let state = State::new(me, settings.fleet.clone(), fastrand::u64(..), clock.now());
        Self {
            state,
            clock,
            client: Client::new(settings.connect),
            log,
            steps: FxHashMap::default(),
            drawn: 0,
            wake: None,
            ready: signals.ready,
            limits: signals.limits,
            follow: watch::Sender::new(None),
            exited: signals.exited,
            metrics: metrics::Metrics::default(),
            busy: busy::Load::default(),
            held: Vec::new(),
            settings: Rc::new(settings),
        }
    }

    /// Gives an event to the reducer and carries out what it wants.
    fn feed(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let (what, began) = (event.label(), Instant::now());
        for effect in boragecove_fleet::apply(&mut self.state, now, event) {
            self.carry(now, effect, ctx);
        }
        self.was_busy(now, what, began);
    }

    /// Counts the time that a step took since it began.
    fn was_busy(&mut self, now: Time, what: &'static str, began: Instant) {
        let took = began.elapsed();
        self.metrics.stepped(what, took);
        if let Some(interval) = self.busy.took(now, what, took) {
            self.log.busy(now, interval);
        }
    }

    fn carry(&mut self, now: Time, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::Step { request, step } => self.step(request, step),
            Effect::Frame { address, frame } => self.frame(address, &frame, ctx),
            Effect::Push { address, message } => self.push(address, message, ctx),
            Effect::Ask { address, request, ask } => {
                let asking = peers::ask(Rc::clone(&self.client), address, &ask);
                later(ctx, async move { Event::Granted { request, grant: asking.await } });
            }
            Effect::Draw { address, request, draw } => {
                let asking = peers::draw(Rc::clone(&self.client), address, &draw);
                let workspace = draw.workspace;
                later(ctx, async move { Event::Drawn { request, workspace, credit: asking.await } });
            }
            Effect::Lease(call) => self.lease(call, ctx),
            Effect::Order(dispatch) => self.order(&dispatch, ctx),
            Effect::Report { engine, incarnation, address } => {
                self.report(engine, incarnation, address, ctx);
            }
            Effect::Probe { engine, address } => {
                let client = Rc::clone(&self.client);
                later(ctx, async move {
                    let reach = client.reach(address).await;
                    Event::Probed { engine, reach }
                });
            }
            Effect::IndirectProbe { address, engine } => {
                let asking = peers::probe(Rc::clone(&self.client), address, &engine);
                later(ctx, async move { Event::ProbedIndirectly { engine, reach: asking.await } });
            }
            Effect::Record(record) => {
                self.metrics.take(&record);
                self.log.record(now, &record);
            }
            Effect::Ready(ready) => {
                self.log.readiness(now, ready);
                self.ready.send_replace(ready);
            }
            Effect::Follow(how) => {
                self.follow.send_replace(how);
            }
            Effect::Limit(limits) => {
                self.limits.send_replace(limits);
            }
            Effect::Changed(engine) => self.answer_met(now, &engine),
            Effect::WakeAt(at) => self.wake_at(at, ctx),
            Effect::Exit => {
                self.exited.send_replace(true);
            }
        }
    }

    /// Answers the frames whose senders' callers wait for what an engine has now.
    fn answer_met(&mut self, now: Time, engine: &Name) {
        let Self { held, state, .. } = self;
        let meets = |held: &mut Held| boragecove_fleet::meets(state, now, engine, &held.frame);
        let met: Vec<Held> = held.extract_if(.., meets).collect();
        for held in met {
            self.answer(now, held);
        }
    }

    /// Answers the frames that were held for long enough.
    fn answer_due(&mut self) {
        let now = self.clock.now();
        let due: Vec<Held> = self.held.extract_if(.., |held| held.is_due(now)).collect();
        for held in due {
            self.answer(now, held);
        }
    }

    fn answer(&mut self, now: Time, held: Held) {
        let began = Instant::now();
        let reply = boragecove_fleet::reply(&mut self.state, now, &held.frame);
        self.was_busy(now, "reply", began);
        held.answer(reply);
    }

    fn step(&mut self, request: Id, step: Step) {
        let last = !matches!(step, Step::Send(_));
        if let Some(steps) = self.steps.get(&request) {
            // A relay that is gone has said so.
            let _gone = steps.send(step);
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
        self.wake = Some(ctx.run_later(wait, |node, ctx| node.feed(Event::Wake, ctx)));
    }

    fn frame(&self, address: SocketAddr, frame: &Frame, ctx: &Context<Self>) {
        let client = Rc::clone(&self.client);
        let sending = peers::send(client, ctx.address(), address, frame, self.settings.frame);
        later(ctx, async move { Event::Replied(sending.await.map(Box::new)) });
    }

    fn push(&self, address: SocketAddr, message: Box<push::Message>, ctx: &Context<Self>) {
        let (client, node) = (Rc::clone(&self.client), ctx.address());
        actix_rt::spawn(async move {
            if !peers::push(&client, address, &message).await {
                node.do_send(Feed(Event::Missed(message)));
            }
        });
    }

    fn lease(&self, call: lease::Call, ctx: &Context<Self>) {
        let (client, address, node) = (Rc::clone(&self.client), self.settings.store, ctx.address());
        later(ctx, async move {
            let request = store_request(store::lease(&call));
            let since = Instant::now();
            let unknown = lease::Answer { store_ms: None, outcome: lease::Outcome::Unknown };
            let called = client.call(address, request, ANSWER_MAX, since + LEASE_CALL).await;
            node.do_send(Transferred(Transfer::of_short(transfer::Kind::Lease, since, &called)));
            let answer = match called {
                Ok(Answer { status, body, .. }) => store::leased(&call, status.as_u16(), &body)
                    .unwrap_or_else(|error| {
                        tracing::warn!(%error, "the store's answer about the lease");
                        unknown
                    }),
                Err(error) => {
                    tracing::debug!(%error, "no answer about the lease");
                    unknown
                }
            };
            Event::Lease(answer)
        });
    }

    fn order(&self, dispatch: &Dispatch, ctx: &Context<Self>) {
        let client = Rc::clone(&self.client);
        let (name, address) = (dispatch.engine.clone(), dispatch.address);
        let incarnation = dispatch.incarnation;
        let mut headers = front::meant_for(&dispatch.engine);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body = engine::order(dispatch, &self.settings.vm);
        let request =
            Request { method: Method::POST, target: Uri::from_static(engine::ORDER_PATH), headers, body };
        let node = ctx.address();
        later(ctx, async move {
            let until = Instant::now() + ORDER_CALL;
            let receipt = match client.call(address, request, ANSWER_MAX, until).await {
                Ok(answer) => {
                    let from = Start { engine: name.clone(), incarnation };
                    tell_notice(&node, from, answer.status, &answer.headers);
                    engine::receipt(answer.status.as_u16())
                }
                Err(error) => {
                    tracing::debug!(engine = %name, %error, "order not answered");
                    None
                }
            };
            Event::Ordered { engine: name, incarnation, receipt }
        });
    }

    fn report(&self, name: Name, incarnation: Incarnation, address: SocketAddr, ctx: &Context<Self>) {
        let (client, node) = (Rc::clone(&self.client), ctx.address());
        let request = Request {
            method: Method::GET,
            target: Uri::from_static(engine::REPORT_PATH),
            headers: front::meant_for(&name),
            body: Bytes::new(),
        };
        later(ctx, async move {
            let until = Instant::now() + REPORT_CALL;
            let called = client.call(address, request, ANSWER_MAX, until).await;
            if let Ok(answer) = &called {
                let from = Start { engine: name.clone(), incarnation };
                tell_notice(&node, from, answer.status, &answer.headers);
            }
            let report = match called {
                Ok(Answer { status, body, .. }) if status.is_success() => engine::report(&body)
                    .inspect_err(|error| tracing::warn!(engine = %name, %error, "report not read"))
                    .ok(),
                Ok(Answer { status, .. }) => {
                    tracing::debug!(engine = %name, %status, "report refused");
                    None
                }
                Err(error) => {
                    tracing::debug!(engine = %name, %error, "no report");
                    None
                }
            };
            Event::Reported { engine: name, report }
        });
    }
}

/// A call of the store as a request.
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

/// Tells the node what an engine's answer says of the engine, if it says anything.
pub(crate) fn tell_notice(node: &Addr<Node>, from: Start, status: StatusCode, headers: &HeaderMap) {
    let notice = front::notice(status, headers);
    if notice != Notice::default() {
        node.do_send(Feed(Event::Noticed { from, notice }));
    }
}

/// Runs `work` beside the node and feeds the event that comes of it.
fn later(ctx: &Context<Node>, work: impl Future<Output = Event> + 'static) {
    let node: Addr<Node> = ctx.address();
    actix_rt::spawn(async move { node.do_send(Feed(work.await)) });
}

impl Handler<Feed> for Node {
    type Result = ();

    fn handle(&mut self, Feed(event): Feed, ctx: &mut Self::Context) {
        if let Event::Gone(request) = &event {
            self.steps.remove(request);
            self.log.gone(self.clock.now(), *request);
        }
        self.feed(event, ctx);
    }
}

impl Handler<Open> for Node {
    type Result = ();

    fn handle(&mut self, Open { arrival, mut content, outlet }: Open, ctx: &mut Self::Context) {
        let credentials = std::mem::take(&mut content.credentials);
        if !self.state.needs_keys() {
            front::restore_credentials(&mut content.request.headers, credentials);
        }
        self.drawn += 1;
        let id = Id(self.drawn);
        self.log.received(self.clock.now(), id, &arrival, content.caller_id.as_ref());
        let (sender, steps) = mpsc::unbounded_channel();
        self.steps.insert(id, sender);
        let relay = Relay {
            id,
            content,
            outlet,
            steps,
            client: Rc::clone(&self.client),
            clock: self.clock,
            node: ctx.address(),
            begun: false,
            events: Events::default(),
            held: None,
            timing: Timing::default(),
        };
        self.feed(Event::Arrive { request: id, arrival: Box::new(arrival) }, ctx);
        actix_rt::spawn(relay.run());
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
        self.metrics.transferred(&transfer);
        if transfer.is_notable() {
            self.log.transferred(self.clock.now(), transfer);
        }
    }
}

impl Handler<Place> for Node {
    type Result = MessageResult<Place>;

    fn handle(&mut self, Place(ask): Place, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::grant(&mut self.state, self.clock.now(), &ask))
    }
}

impl Handler<Spend> for Node {
    type Result = MessageResult<Spend>;

    fn handle(&mut self, Spend(draw): Spend, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(boragecove_fleet::credit(&mut self.state, self.clock.now(), &draw))
    }
}

impl Handler<Try> for Node {
    type Result = ResponseFuture<Option<Reach>>;

    fn handle(&mut self, Try(engine): Try, _ctx: &mut Self::Context) -> Self::Result {
        let address = self.state.address_of(&engine);
        let client = Rc::clone(&self.client);
        Box::pin(async move {
            match address {
                Some(address) => Some(client.reach(address).await),
                None => None,
            }
        })
    }
}

impl Handler<Hear> for Node {
    type Result = ResponseFuture<Option<Reply>>;

    fn handle(&mut self, Hear(frame): Hear, ctx: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        self.feed(Event::Framed(Box::new(frame.clone())), ctx);
        let (sender, answer) = oneshot::channel();
        let awaits = boragecove_fleet::awaits(&self.state, now, &frame);
        let held = Held::new(now, frame, sender);
        if awaits {
            self.held.push(held);
            ctx.run_later(HOLD, |node, _ctx| node.answer_due());
        } else {
            self.answer(now, held);
        }
        Box::pin(async move { answer.await.ok() })
    }
}

impl Handler<Scrape> for Node {
    type Result = String;

    fn handle(&mut self, _scrape: Scrape, _ctx: &mut Self::Context) -> String {
        let counts = metrics::Counts { connections: self.client.opened(), lines_dropped: self.log.dropped() };
        self.metrics.encode(&self.state, self.clock.now(), counts)
    }
}
