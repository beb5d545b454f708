//! The task of one caller's request: makes the attempts that the reducer decides on, and forwards the answer to the
//! caller.

use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderValue};
use boragecove_core::name::Name;
use boragecove_fleet::event::Event;
use boragecove_fleet::notice::{AnsweredRequest, Notice, Start};
use boragecove_fleet::pin::Pin;
use boragecove_fleet::request::{Attempt, Cause, End, Id, Refusal, Step, Timing};
use boragecove_platform::http::{self, AnswerKind};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::caller_response::{self, Head, Part, ResponseSender, Undelivered};
use super::client::{Client, Error, Expiry, Request, Response, Reuse, append};
use super::event_buffer::{self, EventBuffer};
use super::node::{ApplyEvent, Node};
use super::peer_relay::{self, RelayedResponse};
use crate::body;
use crate::clock::Clock;
use crate::memory::{Account, Share};

/// Time between two looks whether there is memory for more of an answer, or for a message.
pub(crate) const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size in bytes of an answer that is read completely.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// How long after the deadline an engine's answer that the deadline has passed may still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(300);

/// The contents of a caller's request, as needed to send it.
#[derive(Debug)]
pub(crate) struct RequestContent {
    /// The caller's attempt id.
    pub(crate) attempt_id: Option<Name>,
    /// The caller's attempt that delivered the first event of the stream that the request resumes.
    pub(crate) resumed_attempt: Option<Name>,
    /// The id of the event after which the stream is to be resumed.
    pub(crate) last_event_id: Option<u64>,
    /// The caller's key. It is dropped once it is known that keys are checked by this system and not by the engines.
    pub(crate) credentials: Vec<HeaderValue>,
    /// The request to send, without the headers that each attempt adds.
    pub(crate) request: Request,
    /// The memory that it holds.
    pub(crate) _share: Share,
}

/// The state of a request's task.
#[derive(Debug)]
pub(crate) struct RequestTask {
    pub(crate) id: Id,
    pub(crate) content: RequestContent,
    pub(crate) response_sender: ResponseSender,
    /// Events of the stream that were not handed on yet.
    pub(crate) undelivered: Undelivered,
    pub(crate) steps: mpsc::UnboundedReceiver<Step>,
    pub(crate) client: Rc<Client>,
    pub(crate) clock: Clock,
    pub(crate) node: Addr<Node>,
    /// Whether the head of an answer was sent to the caller.
    pub(crate) head_sent: bool,
    /// The engine builds that may continue the stream, given the events that were sent to the caller.
    pub(crate) pin: Pin,
    /// Buffers the stream.
    pub(crate) events: EventBuffer,
    /// The complete answer of the last attempt, until the reducer decides whether to forward it.
    pub(crate) answer: Option<Whole>,
    /// The timing of the current attempt's events.
    pub(crate) timing: EventTiming,
    /// The memory that callers make the process hold.
    pub(crate) account: Account,
}

/// Measures the timing of an attempt's events.
#[derive(Debug, Default)]
pub(crate) struct EventTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    /// Number of events after the first.
    count: u32,
    longest_pause: Duration,
    /// Whether the answer is ended by the end of its connection alone.
    unframed: bool,
}

impl EventTiming {
    /// Records `count` events that arrived together.
    fn record(&mut self, now: Instant, count: u32) {
        let pause = self.last.replace(now).map(|last| now.duration_since(last));
        self.count += if pause.is_some() { count } else { count.saturating_sub(1) };
        self.first.get_or_insert(now);
        self.longest_pause = self.longest_pause.max(pause.unwrap_or_default());
    }

    fn summary(&self) -> Timing {
        let span = self.first.zip(self.last).map(|(first, last)| last.duration_since(first));
        let mean_gap = span.filter(|_| self.count > 0).map(|span| span / self.count);
        Timing { longest_pause: self.longest_pause, mean_gap, unframed: self.unframed }
    }
}

/// An engine's answer whose head was received.
#[derive(Debug)]
enum Answer {
    /// Received from the engine.
    Direct(Response),
    /// Relayed by another entry VM.
    Relayed(RelayedResponse),
}

impl Answer {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Direct(response) => response.status(),
            Self::Relayed(relayed) => relayed.status(),
        }
    }

    const fn headers(&self) -> &HeaderMap {
        match self {
            Self::Direct(response) => response.headers(),
            Self::Relayed(relayed) => relayed.headers(),
        }
    }

    /// Whether bytes that belong to no request were in front of the answer. A relay passes no promise on then.
    const fn follows_stray_bytes(&self) -> bool {
        match self {
            Self::Direct(response) => response.follows_stray_bytes(),
            Self::Relayed(_) => false,
        }
    }

    /// Whether the answer is ended by the end of its connection alone.
    fn is_unframed(&self) -> bool {
        let has = |name| self.headers().contains_key(name);
        !has(header::CONTENT_LENGTH) && !has(header::TRANSFER_ENCODING)
    }

    /// The next bytes of the body; none at its end.
    async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        match self {
            Self::Direct(response) => response.chunk().await,
            Self::Relayed(relayed) => relayed.chunk().await,
        }
    }

    /// The complete body, of at most `limit` bytes. `share` holds it. While there is no memory, the engine's answer is read
    /// no further.
    async fn read_all(&mut self, limit: usize, share: &mut Share) -> Result<Bytes, Error> {
        let announced = body::announced(self.headers()).map_or(0, |length| length as usize).min(limit);
        hold(share, announced).await;
        let mut body = BytesMut::with_capacity(announced);
        while let Some(bytes) = self.chunk().await? {
            let room = body.capacity() - body.len();
            if bytes.len() > room && body.len() + bytes.len() <= limit {
                let more = bytes.len().max(body.len().min(limit - body.len()));
                hold(share, more).await;
                body.reserve(more);
            }
            append(&mut body, &bytes, limit)?;
        }
        Ok(body.freeze())
    }
}

/// Waits until there is memory for more bytes. Callers that do not read their answers are closed meanwhile.
async fn hold(share: &mut Share, bytes: usize) {
    while share.grow(bytes).is_err() {
        tokio::time::sleep(MEMORY_CHECK_INTERVAL).await;
    }
}

/// A complete answer.
#[derive(Debug)]
pub(crate) enum Whole {
    /// Nothing of it was sent to the caller yet.
    Held(Head, caller_response::Whole),
    /// A stream, all events of which were sent to the caller.
    Streamed,
}

/// What happened first during an attempt.
enum Outcome {
    Ended(End),
    Step(Step),
    CallerGone,
}

impl RequestTask {
    /// Handles the request to its end.
    pub(crate) async fn run(mut self) {
        let mut next = self.next_step().await;
        loop {
            match next {
                Some(Step::Send(attempt)) => next = self.attempt(attempt).await,
                Some(Step::Hold) => next = self.next_step().await,
                Some(Step::Forward) => return self.forward_answer().await,
                Some(Step::Refuse(refusal)) => return self.refuse(&refusal).await,
                None => return self.node.do_send(ApplyEvent(Event::CallerGone(self.id))),
            }
        }
    }

    /// The reducer's next step; none if the caller has disconnected.
    async fn next_step(&mut self) -> Option<Step> {
        let caller = self.response_sender.clone();
        tokio::select! {
            step = self.steps.recv() => step,
            () = caller.closed() => None,
        }
    }

    /// Makes an attempt and returns the next step; none if the caller has disconnected.
    async fn attempt(&mut self, attempt: Attempt) -> Option<Step> {
        let number = attempt.number;
        let outcome = match self.await_time(&attempt).await {
            Some(outcome) => outcome,
            None => self.exchange_unless_ended(attempt).await,
        };
        // The caller may wait long for the next attempt.
        self.events.discard_partial();
        match outcome {
            Outcome::Step(step) => Some(step),
            Outcome::CallerGone => None,
            Outcome::Ended(end) => {
                self.node.do_send(ApplyEvent(Event::Ended {
                    request: self.id,
                    attempt: number,
                    end,
                    events: self.timing.summary(),
                }));
                self.next_step().await
            }
        }
    }

    /// Waits for the time of an attempt. Returns how the attempt ended before that, with nothing sent; none if it is to be
    /// made.
    async fn await_time(&mut self, attempt: &Attempt) -> Option<Outcome> {
        let caller = self.response_sender.clone();
        tokio::select! {
            // The order matters: an attempt that is withdrawn as its time comes is not made.
            biased;
            step = self.steps.recv() => Some(match step {
                Some(Step::Hold) => Outcome::Ended(End::Withheld),
                Some(step) => Outcome::Step(step),
                None => Outcome::CallerGone,
            }),
            () = caller.closed() => Some(Outcome::CallerGone),
            () = tokio::time::sleep_until(self.clock.instant(attempt.at)) => None,
        }
    }

    /// Makes an attempt until it has ended, another step is due or the caller has disconnected.
    async fn exchange_unless_ended(&mut self, attempt: Attempt) -> Outcome {
        let caller = self.response_sender.clone();
        let mut steps = std::mem::replace(&mut self.steps, mpsc::unbounded_channel().1);
        let outcome = {
            let exchange = self.exchange(attempt);
            tokio::pin!(exchange);
            loop {
                tokio::select! {
                    biased;
                    step = steps.recv() => match step {
                        // The engine may have the request already: the attempt goes on.
                        Some(Step::Hold) => {}
                        Some(step) => break Outcome::Step(step),
                        None => break Outcome::CallerGone,
                    },
                    () = caller.closed() => break Outcome::CallerGone,
                    end = &mut exchange => break Outcome::Ended(end),
                }
            }
        };
        self.steps = steps;
        outcome
    }

    /// Sends the request to an engine and reads its answer.
    async fn exchange(&mut self, attempt: Attempt) -> End {
        self.answer = None;
        self.timing = EventTiming::default();
        if !self.pin.allows(attempt.build.as_ref()) {
            // When the attempt was decided on, the reducer did not know yet that events of another build were sent.
            return End::Withheld;
        }
        let now = self.clock.now();
        let asked = AnsweredRequest { request: self.id, sent_at: now };
        let left = attempt.deadline.since(now);
        let mut request = self.content.request.clone();
        let resume_after = self.events.last().or(self.content.last_event_id);
        http::set_attempt_headers(&mut request.headers, &attempt, left, resume_after);
        let until = Instant::now() + left + DEADLINE_GRACE;
        let by = attempt.send_by.map_or(attempt.write_by, |by| by.min(attempt.write_by));
        let expiry = Expiry { clock: self.clock, at: by };
        let response = match self.send(&attempt, request, until, expiry).await {
            Ok(response) => response,
            Err(error) => return self.failed_attempt(&attempt, &error),
        };
        let kind = self.classify(&attempt, &response);
        self.report_notice(&attempt, &response, kind, asked);
        match kind {
            AnswerKind::Success if attempt.streams => self.forward_stream(&attempt, response).await,
            AnswerKind::Success => self.read_answer(&attempt, response, End::Done).await,
            AnswerKind::Failure => self.read_answer(&attempt, response, End::Failed).await,
            AnswerKind::Refused(cause) => {
                // The connection can be reused once the answer was read.
                let _read = self.read_answer(&attempt, response, End::Refused(cause)).await;
                self.answer = None;
                End::Refused(cause)
            }
            AnswerKind::Foreign | AnswerKind::Broken => End::Broken,
        }
    }

    /// Classifies an answer. One that promises that the request did not run is believed only where nothing else was
    /// received in front of it.
    fn classify(&self, attempt: &Attempt, response: &Answer) -> AnswerKind {
        let id = self.content.attempt_id.as_deref();
        match http::classify_answer(response.status(), response.headers(), &attempt.engine, id) {
            AnswerKind::Refused(_) if response.follows_stray_bytes() => AnswerKind::Broken,
            kind => kind,
        }
    }

    /// Reports the state that an answer states about its engine, at once, because the body may take long.
    fn report_notice(&self, attempt: &Attempt, response: &Answer, kind: AnswerKind, asked: AnsweredRequest) {
        // An answer of another engine has no notice of this one.
        if matches!(kind, AnswerKind::Foreign | AnswerKind::Refused(Cause::Replaced)) {
            return;
        }
        let from = Start { engine: attempt.engine.clone(), incarnation: attempt.incarnation };
        let notice = http::notice(response.status(), response.headers());
        // If the engine is known to have a limit, an empty notice ends it.
        if attempt.limited || notice != Notice::default() {
            let asked = (kind != AnswerKind::Broken).then_some(asked);
            self.node.do_send(ApplyEvent(Event::NoticeReceived { from, notice, asked }));
        }
    }

    /// Sends the request directly, or through another entry VM.
    async fn send(
        &self,
        attempt: &Attempt,
        request: Request,
        until: Instant,
        expiry: Expiry,
    ) -> Result<Answer, Error> {
        match &attempt.relay {
            None => {
                let reuse = Reuse::of_attempt(attempt.number, self.content.attempt_id.is_some());
                let answer = self.client.send_on(reuse, attempt.address, request, until, expiry);
                answer.await.map(Answer::Direct)
            }
            Some(relay) => {
                let copy = self.account.share();
                let answer =
                    peer_relay::send(&self.client, relay.address, attempt, request, copy, until, expiry);
                answer.await.map(Answer::Relayed)
            }
        }
    }

    /// The end of an attempt without an answer, or whose answer broke off.
    fn failed_attempt(&self, attempt: &Attempt, error: &Error) -> End {
        tracing::debug!(request = %self.id, engine = %attempt.engine, %error, "attempt failed");
        match error {
            Error::Expired => End::Withheld,
            Error::Unsent(_) => End::Unsent,
            Error::Lost(_) => End::Lost,
            Error::InvalidResponse(_) | Error::TimedOut | Error::BodyTimedOut { .. } => End::Broken,
        }
    }

    /// Reads a complete answer and keeps it until the reducer decides whether to forward it.
    async fn read_answer(&mut self, attempt: &Attempt, mut response: Answer, end: End) -> End {
        let head = Head { status: response.status(), headers: http::response_headers(response.headers()) };
        self.timing.unframed = response.is_unframed();
        let mut share = self.account.share();
        match response.read_all(ANSWER_BYTES_MAX, &mut share).await {
            Ok(bytes) => {
                let whole = caller_response::Whole { bytes, share: Some(share) };
                self.answer = Some(Whole::Held(head, whole));
                end
            }
            Err(error) => self.failed_attempt(attempt, &error),
        }
    }

    /// Forwards a stream, event by event.
    async fn forward_stream(&mut self, attempt: &Attempt, mut response: Answer) -> End {
        let head = Head { status: response.status(), headers: http::response_headers(response.headers()) };
        self.timing.unframed = response.is_unframed();
        loop {
            match response.chunk().await {
                Ok(Some(bytes)) => {
                    if self.events.is_overlong_with(&bytes) {
                        return End::Broken;
                    }
                    let growth = self.events.growth(bytes.len());
                    hold(self.events.share(&self.account), growth).await;
                    let complete = self.events.push(&bytes);
                    if !complete.is_empty() {
                        self.take_events(attempt, &complete);
                        // It would hold the events' memory twice while the caller reads.
                        drop(complete);
                        self.send_head(&head).await;
                        self.undelivered.deliver(&self.response_sender).await;
                    }
                }
                Ok(None) if self.events.has_partial() => return End::Lost,
                // An empty answer that is ended by its connection alone can't be distinguished from a broken one.
                Ok(None) if self.timing.unframed && self.timing.first.is_none() => return End::Lost,
                Ok(None) => {
                    self.send_head(&head).await;
                    self.undelivered.deliver(&self.response_sender).await;
                    self.answer = Some(Whole::Streamed);
                    return End::Done;
                }
                Err(error) => return self.failed_attempt(attempt, &error),
            }
        }
    }

    /// Takes complete events to be forwarded. The next attempt goes on after them.
    fn take_events(&mut self, attempt: &Attempt, complete: &Bytes) {
        self.timing.record(Instant::now(), event_buffer::count_events(complete));
        let build = attempt.build.clone();
        self.pin.events_from(build.as_ref());
        self.node.do_send(ApplyEvent(Event::Began { request: self.id, build }));
        self.undelivered.push(complete);
        self.events.hand_over(complete, self.undelivered.share(&self.account));
    }

    /// Sends the head of a stream to the caller, unless an earlier attempt's head was sent.
    async fn send_head(&mut self, head: &Head) {
        if self.head_sent {
            return;
        }
        if let Ok(permit) = self.response_sender.reserve().await {
            permit.send(Part::Head(head.clone()));
            self.head_sent = true;
        }
    }

    async fn forward_answer(mut self) {
        let part = match self.answer.take() {
            // The head of an earlier attempt was sent, so this answer can't be.
            Some(Whole::Held(..)) if self.head_sent => return,
            Some(Whole::Held(head, whole)) => Part::Complete(head, whole),
            Some(Whole::Streamed) => Part::End,
            // Without its end, the caller can tell that the answer broke off.
            None => return,
        };
        let _caller_gone = self.response_sender.send(part).await;
    }

    async fn refuse(self, refusal: &Refusal) {
        // The channel is dropped without the end of the body, so the caller can tell that the answer broke off.
        if self.head_sent {
            return;
        }
        let status = StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = http::refusal_headers(refusal, self.content.attempt_id.as_deref());
        let body = Bytes::from(format!("{} {}\n", refusal.code.number(), refusal.code.meaning()));
        let _caller_gone =
            self.response_sender.send(Part::Complete(Head { status, headers }, body.into())).await;
    }
}
