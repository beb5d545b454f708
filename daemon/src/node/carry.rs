//! Carries effects out.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::{AsyncContext, Context};
use boragecove_core::attempt::{Destination, Failure, Resume, Send};
use boragecove_core::effect::Effect;
use boragecove_core::end::End;
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Exchange, Node, later};
use crate::backends::control;
use crate::backends::exchange::{self, Job};
use crate::logs;

impl Node {
    pub(super) fn carry(&mut self, now: Time, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::Send(send) => self.send(now, send, ctx),
            Effect::Cancel(attempt) => self.cancel(attempt),
            Effect::Release(attempt) => self.release(attempt),
            Effect::Commit(attempt) => {
                if let Some(open) = self.requests.get_mut(&attempt.request) {
                    open.commit();
                }
            }
            Effect::End { request, end } => self.end(now, request, end),
            Effect::CloseConnections(address) => {
                self.pools.retire(address);
                self.control.retire(address);
            }
            Effect::Poll { engine, address, cache_from } => self.poll(engine, address, cache_from, ctx),
            Effect::Order { engine, address, order } => {
                let (client, limit) = (self.control.client(address), self.settings.timeouts.control);
                later(ctx, control::order(client, engine, address, order, limit));
            }
            Effect::ListVms => {
                let vms = Rc::clone(&self.platform.vms);
                later(ctx, async move { vms.list().await.map_or(Event::VmListFailed, Event::VmsListed) });
            }
            Effect::Table { op, call } => {
                let table = Rc::clone(&self.platform.table);
                later(ctx, async move { Event::TableAnswered { op, reply: table.call(call).await } });
            }
            Effect::SendFrame { peer, address, frame } => {
                self.peers.tell(peer, address, frame, ctx.address());
            }
            Effect::Answer { ask, answer } => {
                if let Some(waiting) = self.asks.remove(&ask) {
                    let _operator_is_gone = waiting.send(*answer);
                }
            }
            Effect::Record(record) => logs::record(&record),
            Effect::Ready(ready) => self.shared.set_ready(ready),
            Effect::WakeAt(at) => self.wake_at(now, at, ctx),
            Effect::Exit => {
                self.exited.send_replace(true);
            }
            // Delivered where the event was read; anywhere else there is nothing to deliver.
            Effect::Deliver { .. } => {}
        }
    }

    fn wake_at(&mut self, now: Time, at: Time, ctx: &mut Context<Self>) {
        if let Some(earlier) = self.wake.take() {
            ctx.cancel_future(earlier);
        }
        self.wake = Some(ctx.run_later(at.since(now), |node, ctx| {
            node.wake = None;
            node.feed(Event::Wake, ctx);
        }));
    }

    fn send(&mut self, now: Time, send: Box<Send>, ctx: &mut Context<Self>) {
        let attempt = send.attempt;
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        open.tries.push(attempt);
        if open.times.sent.is_none() {
            open.times.sent = Some(now);
            self.metrics.wait(now.since(open.times.arrived));
        }
        let delivered = match send.resume {
            Resume::Continue { .. } => open.delivered().map(str::to_owned),
            Resume::Start | Resume::Same { .. } => Some(String::new()),
        };
        let Some(delivered) = delivered else {
            // What was delivered is not kept any more, so no engine can go on from there.
            later(ctx, async move { Event::Failed { attempt, failure: Failure::Error } });
            return;
        };
        if send.new_connection {
            self.pools.retire(send.address);
        }
        let (address, tell) = (send.address, matches!(send.destination, Destination::Engine(_)));
        let client = self.pools.client(address);
        let job = Job {
            content: Arc::clone(&open.content),
            delivered,
            gate: open.outlet.gate(),
            now,
            closed: self.pools.closed(),
            node: ctx.address(),
            send,
        };
        let settings = Rc::clone(&self.settings);
        let task = actix_rt::spawn(async move { exchange::run(job, client, &settings).await });
        self.exchanges.insert(attempt, Exchange { task: task.abort_handle(), address, tell });
    }

    fn release(&mut self, attempt: id::Attempt) {
        if let Some(exchange) = self.exchanges.remove(&attempt) {
            exchange.task.abort();
        }
    }

    fn cancel(&mut self, attempt: id::Attempt) {
        let Some(exchange) = self.exchanges.remove(&attempt) else {
            return;
        };
        exchange.task.abort();
        if exchange.tell {
            let client = self.control.client(exchange.address);
            let limit = self.settings.timeouts.control;
            actix_rt::spawn(control::cancel(client, exchange.address, attempt, limit));
        }
    }

    fn end(&mut self, now: Time, request: id::Request, end: End) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        if let Some(last) = open.tries.last() {
            self.cancel(*last);
        }
        logs::request(request, &open.tries, &open.times.spans(now), &end);
        open.end(end);
    }

    fn poll(&mut self, engine: Name, address: SocketAddr, cache_from: u64, ctx: &mut Context<Self>) {
        let (client, limit) = (self.control.client(address), self.settings.timeouts.control);
        later(ctx, control::report(client.clone(), engine, address, limit));
        let node = ctx.address();
        actix_rt::spawn(async move {
            if let Some(event) = control::cache(client, address, cache_from, limit).await {
                node.do_send(super::Feed(event));
            }
        });
    }
}
