//! Completions of a stand-in engine: text that can be computed, resumption, and each fault.

use std::net::SocketAddr;

use awc::error::{ConnectError, SendRequestError};
use boragecove_core::artifact::Artifact;
use boragecove_standin::engine::answer::Answer;
use boragecove_standin::engine::{Engine, Settings};
use boragecove_standin::fault::{Fault, Kind, Scope};
use boragecove_standin::server::{Running, loopback};
use boragecove_wire::{header, path};
use futures_util::StreamExt;
use serde_json::{Value, json};

const PROMPT: &str = "Who needs water first?";
const TOKENS: u64 = 6;

fn artifact() -> Artifact {
    Artifact { model: "briefing".into(), adapter: None, version: "2".into() }
}

fn expected() -> Answer {
    Answer::new(&artifact(), PROMPT, TOKENS)
}

fn engine(settings: Settings) -> (Engine, Running) {
    let engine = Engine::new(settings);
    assert!(engine.preload(&artifact(), 1_000));
    let running = engine.start(loopback()).expect("a listener");
    (engine, running)
}

fn post(at: SocketAddr, attempt: &str) -> awc::ClientRequest {
    awc::Client::builder()
        .disable_timeout()
        .finish()
        .post(format!("http://{at}{}", path::COMPLETIONS))
        .insert_header((header::ARTIFACT, artifact().to_string()))
        .insert_header((header::ATTEMPT, attempt))
}

fn body(stream: bool) -> Value {
    json!({ "model": "m", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream })
}

/// What a stream brought before it ended: the numbers and texts of its events, and whether it was whole.
#[derive(Debug, Default, PartialEq)]
struct Read {
    numbers: Vec<u64>,
    text: String,
    whole: bool,
}

async fn read<S>(mut answer: awc::ClientResponse<S>, limit: usize) -> Read
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut read = Read::default();
    let mut buffer = String::new();
    while let Some(Ok(bytes)) = answer.next().await {
        buffer.push_str(std::str::from_utf8(&bytes).expect("text"));
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            read.take(event);
            buffer = rest.to_owned();
        }
        if read.numbers.len() >= limit {
            break;
        }
    }
    read
}

impl Read {
    fn take(&mut self, event: &str) {
        let (id, data) = event.split_once('\n').expect("id and data");
        let number = id.strip_prefix("id: ").expect("an id").parse().expect("a number");
        let data = data.strip_prefix("data: ").expect("data");
        if data == "[DONE]" {
            self.whole = number == TOKENS;
            return;
        }
        let data: Value = serde_json::from_str(data).expect("JSON");
        self.numbers.push(number);
        self.text.push_str(data["choices"][0]["text"].as_str().expect("text"));
    }
}

#[actix_web::test]
async fn computed_text() {
    let (engine, running) = engine(Settings::default());
    let mut whole = post(running.address(), "1-1-1").send_json(&body(false)).await.expect("an answer");
    assert_eq!(whole.headers().get(header::ATTEMPT).expect("an echo"), "1-1-1");
    assert!(whole.headers().contains_key("content-length"));
    let whole: Value = whole.json().await.expect("JSON");
    assert_eq!(whole["choices"][0]["text"], expected().text());

    let streamed = post(running.address(), "1-1-2").send_json(&body(true)).await.expect("an answer");
    let streamed = read(streamed, usize::MAX).await;
    assert_eq!(streamed, Read { numbers: (0..TOKENS).collect(), text: expected().text(), whole: true });
    assert_eq!(engine.runs_of(PROMPT), 2);
}

#[actix_web::test]
async fn cut_then_resumed() {
    let (engine, running) = engine(Settings::default());
    engine.faults().add(Fault::next(Kind::Cut(2), Scope::Completion, 1));
    let cut = post(running.address(), "1-1-1").send_json(&body(true)).await.expect("a head");
    let cut = read(cut, usize::MAX).await;
    assert_eq!((cut.numbers.as_slice(), cut.whole), ([0, 1].as_slice(), false));

    let resume = |attempt| {
        post(running.address(), attempt)
            .insert_header((header::RESUME_OF, "1-1-1"))
            .insert_header((header::LAST_EVENT_ID, "1"))
    };
    let rest = resume("1-1-2").send_json(&body(true)).await.expect("an answer");
    let rest = read(rest, usize::MAX).await;
    assert_eq!(cut.text + &rest.text, expected().text());
    assert!(rest.whole);
    assert_eq!(engine.runs_of(PROMPT), 1, "a resumption is not another run");

    engine.faults().add(Fault::next(Kind::Forget, Scope::Completion, 1));
    let gone = resume("1-1-3").send_json(&body(true)).await.expect("an answer");
    assert_eq!(gone.status(), 410);
    assert_eq!(gone.headers().get(header::FORGOTTEN).expect("a header"), "true");
}

#[actix_web::test]
async fn continued_elsewhere() {
    let (_engine, running) = engine(Settings::default());
    let go_on = |text: String| {
        let mut body = body(true);
        body["continuation"] = text.into();
        post(running.address(), "1-1-2").insert_header((header::LAST_EVENT_ID, "2")).send_json(&body)
    };
    let rest = read(go_on(expected().until(3)).await.expect("an answer"), usize::MAX).await;
    assert_eq!(rest.numbers, [3, 4, 5]);
    assert_eq!(expected().until(3) + &rest.text, expected().text());
    let wrong = go_on("another text".to_owned()).await.expect("an answer");
    assert_eq!(wrong.status(), 400);
}

#[actix_web::test]
async fn stall_frees_slot() {
    let (engine, running) = engine(Settings { slots: 1, ..Settings::default() });
    engine.faults().add(Fault::next(Kind::Stall(3), Scope::Completion, 1));
    let silent = post(running.address(), "1-1-1").send_json(&body(true)).await.expect("a head");
    assert_eq!(read(silent, 3).await.numbers, [0, 1, 2]);
    let resumed = post(running.address(), "1-1-2")
        .insert_header((header::RESUME_OF, "1-1-1"))
        .insert_header((header::LAST_EVENT_ID, "2"))
        .send_json(&body(true))
        .await
        .expect("an answer");
    assert_eq!(read(resumed, usize::MAX).await.numbers, [3, 4, 5]);
}

#[actix_web::test]
async fn nothing_or_lost() {
    let (engine, running) = engine(Settings::default());
    for (kind, runs) in [(Kind::Drop, 0), (Kind::Lose, 1)] {
        engine.faults().set([Fault::next(kind, Scope::Completion, 1)]);
        let answer = post(running.address(), "1-1-1").send_json(&body(false)).await;
        assert!(
            matches!(answer, Err(SendRequestError::Connect(ConnectError::Disconnected))),
            "{kind:?}: {answer:?}"
        );
        assert_eq!(engine.runs_of(PROMPT), runs, "{kind:?}");
    }
    engine.faults().set([Fault::next(Kind::Foreign, Scope::Completion, 1)]);
    let foreign = post(running.address(), "1-1-4").send_json(&body(false)).await.expect("an answer");
    assert_ne!(foreign.headers().get(header::ATTEMPT).expect("an echo"), "1-1-4");
}

#[actix_web::test]
async fn refusals() {
    let (engine, running) = engine(Settings { slots: 1, queue: 0, ..Settings::default() });
    let refusal = |answer: &awc::ClientResponse<_>| {
        let reason = answer.headers().get(header::REFUSAL).expect("a reason");
        (answer.status().as_u16(), reason.to_str().expect("text").to_owned())
    };
    let missing = post(running.address(), "1-1-1")
        .insert_header((header::ARTIFACT, "briefing:none@1"))
        .send_json(&body(false));
    assert_eq!(refusal(&missing.await.expect("an answer")), (404, "not-loaded".to_owned()));
    engine.faults().set([Fault::next(Kind::Stall(1), Scope::Completion, 1)]);
    let _busy = post(running.address(), "1-1-2").send_json(&body(true)).await.expect("a head");
    let full = post(running.address(), "1-1-3").send_json(&body(false)).await.expect("an answer");
    assert_eq!(refusal(&full), (503, "busy".to_owned()));
    engine.drain(true);
    let leaving = post(running.address(), "1-1-4").send_json(&body(false)).await.expect("an answer");
    assert_eq!(refusal(&leaving), (503, "leaving".to_owned()));
    assert_eq!(engine.runs_of(PROMPT), 1);
}

#[actix_web::test]
async fn faults_path() {
    let (engine, running) = engine(Settings::default());
    let url = format!("http://{}{}", running.address(), path::FAULTS);
    let faults = json!([{ "kind": { "delay": 1 }, "on": "completion", "times": 1 }, { "kind": "refuse" }]);
    let client = awc::Client::default();
    let set = client.put(&url).send_json(&faults).await.expect("an answer");
    assert!(set.status().is_success());
    assert_eq!(
        engine.faults().list(),
        [Fault::next(Kind::Delay(1), Scope::Completion, 1), Fault::always(Kind::Refuse, Scope::Any)]
    );
    let delayed = post(running.address(), "1-1-1").send_json(&body(false)).await.expect("an answer");
    assert_eq!(delayed.status(), 200);
    let refused = post(running.address(), "1-1-2").send_json(&body(false)).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    let left: Vec<Fault> = client.get(&url).send().await.expect("an answer").json().await.expect("JSON");
    assert_eq!(left.first().and_then(|fault| fault.times), Some(0));
}

#[actix_web::test]
async fn seeded_share() {
    let draws = || {
        let faults = boragecove_standin::fault::Faults::default();
        faults.add(Fault { share: 0.5, seed: 7, ..Fault::always(Kind::Drop, Scope::Any) });
        (0..64).map(|_| faults.strike(Scope::Order).is_some()).collect::<Vec<_>>()
    };
    let first = draws();
    assert_eq!(first, draws(), "the same seed, the same faults");
    assert!((16..48).contains(&first.iter().filter(|hit| **hit).count()));
}
