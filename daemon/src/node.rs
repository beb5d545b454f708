//! The actor that owns the reducer's state: turns what happens into events and carries effects out.

mod carry;
mod message;
mod open;
mod progress;
mod running;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, Addr, AsyncContext, Context, SpawnHandle};
use boragecove_core::event::Event;
use boragecove_core::operator::Answer;
use boragecove_core::state::{Identity, State};
use boragecove_core::time::Time;
use boragecove_core::{effect, id};
use rustc_hash::FxHashMap;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;

use crate::backends::pool::Pools;
use crate::callers::Shared;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers;
use crate::platform::{Platform, Source};
use crate::settings::Settings;

pub(crate) use message::Submit;
pub use message::{Ask, Ended, Feed, Gone, Scrape, Stop};
use open::Open;
pub use running::{Failed, Running, start};

/// One entry VM's daemon. It decides nothing: [`boragecove_core::apply`] does.
#[derive(Debug)]
pub struct Node {
    state: State,
    clock: Clock,
    settings: Rc<Settings>,
    shared: Arc<Shared>,
    requests: FxHashMap<id::Request, Open>,
    exchanges: FxHashMap<id::Attempt, Exchange>,
    asks: FxHashMap<id::Ask, oneshot::Sender<Answer>>,
    asked: u64,
    pools: Pools,
    control: Pools,
    platform: Platform,
    peers: peers::Sender,
    metrics: Metrics,
    wake: Option<SpawnHandle>,
    exited: watch::Sender<bool>,
}

/// A try that is open at a back end.
#[derive(Debug)]
struct Exchange {
    task: AbortHandle,
    address: SocketAddr,
    /// Whether its back end is told when it is given up.
    tell: bool,
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.feed(Event::Wake, ctx);
    }
}

impl Node {
    fn new(
        settings: Settings,
        source: Source,
        clock: Clock,
        shared: Arc<Shared>,
        exited: watch::Sender<bool>,
    ) -> Self {
        let me = Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: shared.incarnation(),
        };
        let state = State::new(me, settings.core.clone(), fastrand::u64(..), clock.now());
        Self {
            state,
            clock,
            shared,
            requests: FxHashMap::default(),
            exchanges: FxHashMap::default(),
            asks: FxHashMap::default(),
            asked: 0,
            pools: Pools::new(settings.timeouts),
            control: Pools::new(settings.timeouts),
            platform: Platform::new(source),
            peers: peers::Sender::new(&settings),
            metrics: Metrics::default(),
            wake: None,
            exited,
            settings: Rc::new(settings),
        }
    }

    /// Gives an event to the reducer and returns what is to be done.
    fn decide(&mut self, now: Time, event: Event) -> Vec<effect::Effect> {
        boragecove_core::apply(&mut self.state, now, event)
    }

    /// Gives an event to the reducer and carries out what it wants.
    fn feed(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        for effect in self.decide(now, event) {
            self.carry(now, effect, ctx);
        }
    }
}

/// Runs `work` beside the node and feeds the event that comes of it.
fn later(ctx: &Context<Node>, work: impl Future<Output = Event> + 'static) {
    let node: Addr<Node> = ctx.address();
    actix_rt::spawn(async move { node.do_send(Feed(work.await)) });
}
