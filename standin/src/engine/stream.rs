//! Answers on their way: whole, or as numbered server-sent events.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use boragecove_wire::header;
use futures_util::stream;
use tokio::time::Instant;

use super::answer::Answer;
use super::live::Live;
use super::seat::Seat;
use crate::fault::Kind;
use crate::server::hang_up;

/// The JSON that an answer comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// That of a completion.
    Text,
    /// That of a chat completion.
    Chat,
}

impl Shape {
    const fn whole(self) -> (&'static str, &'static str) {
        match self {
            Self::Text => ("text_completion", "\"text\":"),
            Self::Chat => ("chat.completion", "\"message\":{\"role\":\"assistant\",\"content\":"),
        }
    }

    const fn piece(self) -> (&'static str, &'static str) {
        match self {
            Self::Text => ("text_completion", "\"text\":"),
            Self::Chat => ("chat.completion.chunk", "\"delta\":{\"content\":"),
        }
    }

    const fn close(self) -> &'static str {
        match self {
            Self::Text => "",
            Self::Chat => "}",
        }
    }
}

/// An answer being made.
pub(super) struct Job {
    pub(super) seat: Seat,
    pub(super) answer: Answer,
    pub(super) shape: Shape,
    /// The first event to send.
    pub(super) from: u64,
    pub(super) live: Live,
    /// Blocks of the prompt that the cache did not hold.
    pub(super) misses: usize,
    pub(super) kind: Option<Kind>,
    pub(super) request: HttpRequest,
}

/// An answer that broke off.
fn broken() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl Job {
    /// Makes the whole answer, then sends it.
    pub(super) async fn whole(mut self, echo: Option<String>) -> HttpResponse {
        match self.kind {
            Some(Kind::Cut(_)) => hang_up(&self.request),
            Some(Kind::Stall(_)) => self.live.wait().await,
            _ => {}
        }
        let tokens = self.answer.length().saturating_sub(self.from) as u32;
        let time = self.prompt_time() + self.seat.engine.settings.token * tokens.saturating_sub(1);
        if !self.wait_until(Instant::now() + time).await {
            hang_up(&self.request);
            return HttpResponse::ServiceUnavailable().finish();
        }
        self.count(tokens);
        let text =
            (self.from..self.answer.length()).map(|offset| self.answer.piece(offset)).collect::<String>();
        let (object, open) = self.shape.whole();
        let close = self.shape.close();
        let body = format!(
            "{{\"id\":\"completion\",\"object\":\"{object}\",\"choices\":[{{\"index\":0,{open}\"{text}\"{close},\
             \"finish_reason\":\"length\"}}],\"usage\":{{\"completion_tokens\":{tokens}}}}}"
        );
        let mut answer = HttpResponse::Ok();
        with_echo(&mut answer, echo).content_type("application/json").body(body)
    }

    /// Sends the answer as it is made.
    pub(super) fn stream(self, echo: Option<String>) -> HttpResponse {
        let due = Instant::now() + self.prompt_time();
        let next = self.from;
        let events = stream::unfold(Some(Position { job: self, next, due }), |position| async {
            let mut position = position?;
            match position.event().await {
                Ok((bytes, last)) => Some((Ok(bytes), (!last).then_some(position))),
                Err(error) => Some((Err(error), None)),
            }
        });
        let mut answer = HttpResponse::Ok();
        with_echo(&mut answer, echo).content_type("text/event-stream").streaming(events)
    }

    fn prompt_time(&self) -> Duration {
        let settings = &self.seat.engine.settings;
        settings.first_token + settings.block * self.misses as u32
    }

    fn count(&self, tokens: u32) {
        self.seat.engine.lock().attempts.count_tokens(Instant::now(), tokens);
    }

    /// Waits; false if the answer was broken off before.
    async fn wait_until(&mut self, due: Instant) -> bool {
        if self.live.broken() {
            return false;
        }
        if due <= Instant::now() {
            return true;
        }
        tokio::select! {
            biased;
            () = self.live.wait() => false,
            () = tokio::time::sleep_until(due) => true,
        }
    }
}

/// How far a stream is.
struct Position {
    job: Job,
    /// The number of the next event.
    next: u64,
    /// When it is due.
    due: Instant,
}

impl Position {
    /// The next event's bytes, and whether it is the last.
    async fn event(&mut self) -> io::Result<(Bytes, bool)> {
        self.fault().await?;
        if !self.job.wait_until(self.due).await {
            return Err(broken());
        }
        let number = self.next;
        if number >= self.job.answer.length() {
            return Ok((Bytes::from(format!("id: {number}\ndata: [DONE]\n\n")), true));
        }
        self.next += 1;
        self.due += self.job.seat.engine.settings.token;
        self.job.count(1);
        Ok((self.render(number), false))
    }

    fn render(&self, number: u64) -> Bytes {
        let (object, open) = self.job.shape.piece();
        let (text, close) = (self.job.answer.piece(number), self.job.shape.close());
        let mut event = String::with_capacity(EVENT_BYTES);
        let _infallible = write!(
            event,
            "id: {number}\ndata: {{\"id\":\"completion\",\"object\":\"{object}\",\"choices\":[{{\"index\":0,\
             {open}\"{text}\"{close},\"finish_reason\":null}}]}}\n\n"
        );
        Bytes::from(event)
    }

    async fn fault(&mut self) -> io::Result<()> {
        let sent = self.next - self.job.from;
        match self.job.kind {
            Some(Kind::Cut(after)) if sent >= after => {
                // What was sent goes out when this yields.
                tokio::task::yield_now().await;
                hang_up(&self.job.request);
                Err(broken())
            }
            Some(Kind::Stall(after)) if sent >= after => {
                self.job.live.wait().await;
                Err(broken())
            }
            _ => Ok(()),
        }
    }
}

/// Room for one event's text.
const EVENT_BYTES: usize = 192;

/// Adds the attempt's id, if there is one.
pub(super) fn with_echo(answer: &mut HttpResponseBuilder, echo: Option<String>) -> &mut HttpResponseBuilder {
    if let Some(echo) = echo {
        answer.insert_header((header::ATTEMPT, echo));
    }
    answer
}
