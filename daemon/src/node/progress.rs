//! What comes of a try: told to the reducer, and passed on as it says.

use std::ops::Range;

use actix::Context;
use boragecove_core::attempt::Failure;
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::time::Time;
use bytes::Bytes;

use super::Node;
use crate::backends::exchange::Step;
use crate::backends::sse;
use crate::callers::outlet::Head;

impl Node {
    pub(super) fn progress(&mut self, attempt: id::Attempt, step: Step, ctx: &mut Context<Self>) {
        if !self.exchanges.contains_key(&attempt) {
            return;
        }
        match step {
            Step::Head { echo, head } => self.head(attempt, echo, head, Bytes::new(), ctx),
            Step::Events(batch) => self.events(attempt, &batch, ctx),
            Step::Whole { echo, head, body } => {
                self.head(attempt, echo, head, body, ctx);
                self.finished(attempt, 0, ctx);
            }
            Step::Overflow { echo, head, body } => {
                self.head(attempt, echo, head, body, ctx);
                self.feed(Event::BufferExceeded(attempt), ctx);
            }
            Step::More(bytes) => {
                if let Some(open) = self.requests.get(&attempt.request) {
                    open.more(bytes);
                }
                self.feed(Event::Progress(attempt), ctx);
            }
            Step::Complete => self.finished(attempt, 0, ctx),
            Step::Alive => self.feed(Event::Progress(attempt), ctx),
            Step::Failed { echo, failure } => self.failed(attempt, echo, failure, ctx),
        }
    }

    fn head(
        &mut self,
        attempt: id::Attempt,
        echo: Option<id::Attempt>,
        head: Head,
        body: Bytes,
        ctx: &mut Context<Self>,
    ) {
        if let Some(open) = self.requests.get_mut(&attempt.request).filter(|_| echo == Some(attempt)) {
            open.take(head, body);
        }
        self.feed(Event::Head { attempt, echo }, ctx);
    }

    fn finished(&mut self, attempt: id::Attempt, length: u64, ctx: &mut Context<Self>) {
        if self.exchanges.remove(&attempt).is_none() {
            return;
        }
        if let Some(open) = self.requests.get_mut(&attempt.request) {
            open.length = length;
        }
        self.feed(Event::Finished { attempt, length }, ctx);
    }

    fn failed(
        &mut self,
        attempt: id::Attempt,
        echo: Option<id::Attempt>,
        failure: Failure,
        ctx: &mut Context<Self>,
    ) {
        self.exchanges.remove(&attempt);
        let failure = match echo {
            Some(echo) if echo == attempt => failure,
            Some(_) => Failure::Foreign,
            // Nothing shows that a refusal without the id is one of this try.
            None => Failure::Error,
        };
        self.feed(Event::Failed { attempt, failure }, ctx);
    }

    fn events(&mut self, attempt: id::Attempt, batch: &sse::Batch, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let mut ready = 0..0;
        for event in &batch.events {
            for effect in self.decide(now, Event::Chunk { attempt, offset: event.offset }) {
                if effect == (Effect::Deliver { attempt, offset: event.offset }) {
                    self.keep(attempt, &batch.bytes[event.data.clone()]);
                    if ready.end != event.raw.start {
                        self.deliver(now, attempt, batch, &ready);
                        ready.start = event.raw.start;
                    }
                    ready.end = event.raw.end;
                    continue;
                }
                self.deliver(now, attempt, batch, &ready);
                ready = 0..0;
                self.carry(now, effect, ctx);
            }
        }
        self.deliver(now, attempt, batch, &ready);
        if let Some(length) = batch.done {
            self.finished(attempt, length, ctx);
        }
    }

    fn keep(&mut self, attempt: id::Attempt, data: &[u8]) {
        if let Some(open) = self.requests.get_mut(&attempt.request) {
            open.keep(data, self.settings.limits.kept);
        }
    }

    fn deliver(&mut self, now: Time, attempt: id::Attempt, batch: &sse::Batch, ready: &Range<usize>) {
        if ready.is_empty() {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        match open.deliver(batch.bytes.slice(ready.clone()), now) {
            Some(gap) => self.metrics.gap(gap),
            None => self.metrics.first(now.since(open.times.arrived)),
        }
    }
}
