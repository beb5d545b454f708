//! One try at one back end: sends it, reads the answer and tells the node what came.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use awc::{Client, ClientResponse};
use boragecove_core::attempt::{Failure, Send};
use boragecove_core::id;
use boragecove_core::time::Time;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;

use super::classify::{self, Verdict};
use super::dial::Closed;
use super::{request, sse};
use crate::callers::content::{self, Content};
use crate::callers::outlet::{Gate, Head};
use crate::node::Node;
use crate::settings::Settings;

/// Time to read what follows an answer's end mark, so that its connection can be used again.
const REST: Duration = Duration::from_secs(1);

/// Bytes that are put together before the node is told of them.
const GATHER_MAX: usize = 16 << 10;

/// A try to be made.
#[derive(Debug)]
pub(crate) struct Job {
    /// What to send.
    pub send: Box<Send>,
    /// The caller's request.
    pub content: Arc<Content>,
    /// The text delivered so far.
    pub delivered: String,
    /// Holds the answer back while the caller's backlog is full.
    pub gate: Arc<Gate>,
    /// When the try was made.
    pub now: Time,
    /// Counts connections that the other side closed.
    pub closed: Closed,
    /// Whom to tell.
    pub node: Addr<Node>,
}

/// What came of a try, told in order.
#[derive(Debug)]
pub(crate) enum Step {
    /// The head of a stream.
    Head {
        /// The attempt that the answer is for.
        echo: Option<id::Attempt>,
        /// The head.
        head: Head,
    },
    /// Events of a stream.
    Events(sse::Batch),
    /// A whole answer.
    Whole {
        /// The attempt that the answer is for.
        echo: Option<id::Attempt>,
        /// Its head.
        head: Head,
        /// Its body.
        body: Bytes,
    },
    /// A whole answer that outgrew the buffer; `More` follows.
    Overflow {
        /// The attempt that the answer is for.
        echo: Option<id::Attempt>,
        /// Its head.
        head: Head,
        /// What has come of its body.
        body: Bytes,
    },
    /// The next bytes of an answer that outgrew the buffer.
    More(Bytes),
    /// An answer that outgrew the buffer is complete.
    Complete,
    /// The answer goes on, or is held back here, with nothing to pass on yet.
    Alive,
    /// The try failed.
    Failed {
        /// The attempt that the answer was for, if there was one.
        echo: Option<id::Attempt>,
        /// How.
        failure: Failure,
    },
}

/// What a node is told of a try. The answer comes once the node has dealt with it.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Progress {
    /// The try.
    pub attempt: id::Attempt,
    /// What came.
    pub step: Step,
}

/// Makes a try and tells the node how it goes, up to its end.
pub(crate) async fn run(job: Job, client: Client, settings: &Settings) {
    let body = request::body(&job.send, &job.content, &job.delivered);
    let head = request::head(&client, &job.send, &job.content, job.now, &settings.peer_secret);
    let response = match head.send_body(body).await {
        Ok(response) => response,
        Err(error) => {
            tracing::debug!(attempt = %job.send.attempt, %error, "try not sent or not answered");
            let failure = classify::sending(&error);
            // A connection that never answered says nothing of another attempt.
            job.tell(Step::Failed { echo: Some(job.send.attempt), failure }).await;
            return;
        }
    };
    let echo = classify::echo(&job.send.destination, job.send.attempt, response.headers());
    let verdict = if is_readable(&response) {
        classify::head(&job.send.destination, response.status(), response.headers())
    } else {
        Verdict::Failed(Failure::Broken)
    };
    let outcome = match verdict {
        Verdict::Stream => stream(&job, echo, response, settings).await,
        Verdict::Whole => whole(&job, echo, response, settings).await,
        Verdict::Failed(failure) => Err(failure),
    };
    if let Err(failure) = outcome {
        job.tell(Step::Failed { echo, failure }).await;
    }
}

/// Whether the library reads an answer's body: it takes one without a length, which ends with its connection, for empty.
fn is_readable(response: &ClientResponse) -> bool {
    let has = |name| response.headers().contains_key(name);
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || has(CONTENT_LENGTH) || has(TRANSFER_ENCODING)
}

impl Job {
    async fn tell(&self, step: Step) {
        let _node_is_gone = self.node.send(Progress { attempt: self.send.attempt, step }).await;
    }

    /// Waits until the caller has room, and says meanwhile that it is not the back end that is silent.
    async fn room(&self, settings: &Settings) {
        while !self.gate.is_open() {
            let wait = tokio::time::timeout(settings.core.idle / 2, self.gate.opened());
            if wait.await.is_err() {
                self.tell(Step::Alive).await;
            }
        }
    }
}

async fn stream(
    job: &Job,
    echo: Option<id::Attempt>,
    response: ClientResponse,
    settings: &Settings,
) -> Result<(), Failure> {
    job.tell(Step::Head { echo, head: caller_head(&response) }).await;
    let mut answer = Answer::new(response, job);
    let mut parser = sse::Parser::default();
    while let Some(chunk) = answer.next().await? {
        let batch = parser.push(chunk);
        if batch.broken {
            return Err(Failure::Broken);
        }
        let done = batch.done.is_some();
        let step = if batch.events.is_empty() && !done { Step::Alive } else { Step::Events(batch) };
        job.tell(step).await;
        if done {
            answer.rest().await;
            return Ok(());
        }
        job.room(settings).await;
    }
    Err(Failure::Broken)
}

async fn whole(
    job: &Job,
    echo: Option<id::Attempt>,
    response: ClientResponse,
    settings: &Settings,
) -> Result<(), Failure> {
    let head = caller_head(&response);
    let mut answer = Answer::new(response, job);
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next().await? {
        body.extend_from_slice(&chunk);
        if body.len() > settings.limits.answer {
            job.tell(Step::Overflow { echo, head, body: body.freeze() }).await;
            return pass_on(job, answer, settings).await;
        }
        if answer.left != Some(0) {
            job.tell(Step::Alive).await;
        }
    }
    job.tell(Step::Whole { echo, head, body: body.freeze() }).await;
    Ok(())
}

async fn pass_on(job: &Job, mut answer: Answer, settings: &Settings) -> Result<(), Failure> {
    job.room(settings).await;
    while let Some(chunk) = answer.next().await? {
        job.tell(Step::More(chunk)).await;
        job.room(settings).await;
    }
    job.tell(Step::Complete).await;
    Ok(())
}

/// The body of an answer, up to the length that its head gives.
struct Answer {
    response: ClientResponse,
    left: Option<usize>,
    state: State,
    closed: Closed,
}

/// How far an answer was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Over,
    Broken,
}

impl Answer {
    fn new(response: ClientResponse, job: &Job) -> Self {
        let length =
            response.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        Self { response, left: length, state: State::Open, closed: job.closed.clone() }
    }

    /// All the bytes that are there, at most about [`GATHER_MAX`]; none at the end, which is an error if
    /// it comes too early.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let bytes = poll_fn(|cx| self.gather(cx)).await;
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(bytes.len());
        }
        match self.state {
            _ if !bytes.is_empty() => Ok(Some(bytes)),
            State::Broken => Err(Failure::Broken),
            State::Open | State::Over if self.left.unwrap_or(0) > 0 => Err(Failure::Broken),
            State::Open | State::Over => Ok(None),
        }
    }

    /// Puts together what one read brought: the library hands out each chunk of the transfer by itself.
    fn gather(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        let mut first = Bytes::new();
        let mut all = BytesMut::new();
        while self.state == State::Open && all.len() < GATHER_MAX {
            match self.poll(cx) {
                Poll::Ready(Some(chunk)) if first.is_empty() => first = chunk,
                Poll::Ready(Some(chunk)) => {
                    if all.is_empty() {
                        all.extend_from_slice(&first);
                    }
                    all.extend_from_slice(&chunk);
                }
                Poll::Ready(None) => {}
                Poll::Pending if first.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready(if all.is_empty() { first } else { all.freeze() })
    }

    /// The next chunk; none once the answer is over or broken.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let closed = self.closed.count();
        let chunk = ready!(Pin::new(&mut self.response).poll_next(cx));
        match chunk {
            Some(Ok(chunk)) => return Poll::Ready(Some(chunk)),
            Some(Err(_lost)) => self.state = State::Broken,
            // An answer in chunks has an end mark of its own: the connection's end is not it.
            None if self.left.is_none() && self.closed.count() != closed => self.state = State::Broken,
            None => self.state = State::Over,
        }
        Poll::Ready(None)
    }

    /// Reads what follows the end mark.
    async fn rest(mut self) {
        let read = async { while let Ok(Some(_)) = self.next().await {} };
        let _too_long = tokio::time::timeout(REST, read).await;
    }
}

fn caller_head(response: &ClientResponse) -> Head {
    let headers = response.headers().iter().filter(|(name, _)| content::goes_on(name));
    Head { status: response.status(), headers: headers.map(|(n, v)| (n.clone(), v.clone())).collect() }
}
