//! One caller: a request at a time, checked against what the engine must have answered.

use std::rc::Rc;
use std::time::Duration;

use awc::{Client, ClientResponse};
use boragecove_standin::engine::answer::Answer;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::fleet::{Fleet, MODELS, artifact};
use crate::tally::{Notice, Tally};

/// Time a caller gives an answer.
const DEADLINE: Duration = Duration::from_secs(30);
/// Of so many requests, one is a call of the plain service that must not run twice.
const NOTICE_EVERY: u64 = 4;
/// Tokens of a completion.
const TOKENS: u64 = 40;
const BODY_MAX: usize = 1 << 20;
/// Wait after a refusal.
const PAUSE: Duration = Duration::from_millis(200);

pub async fn call(n: u64, fleet: Rc<Fleet>, tally: Rc<Tally>, end: Instant) {
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        if round % NOTICE_EVERY == 0 {
            notice(n, round, &fleet, &tally).await;
        } else {
            completion(n, round, &fleet, &tally).await;
        }
    }
}

/// Sends a completion until it is answered or its time is over.
async fn completion(n: u64, round: u64, fleet: &Fleet, tally: &Tally) {
    let model = n.wrapping_mul(31).wrapping_add(round) % MODELS as u64;
    let prompt = format!("caller {n} round {round}");
    let wanted = Answer::new(&artifact(model), &prompt, TOKENS).text();
    let body = serde_json::json!({
        "model": format!("model-{model}"), "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let started = Instant::now();
    while started.elapsed() < DEADLINE {
        let url = format!("http://{}/v1/completions", fleet.callers(n + round));
        let Ok(mut response) = client().post(url).send_json(&body).await else {
            tally.unconnected();
            fleet.explain(model).await;
            sleep(PAUSE).await;
            continue;
        };
        if response.status() != 200 {
            tally.refused(header(&response, "boragecove-code"));
            sleep(PAUSE).await;
            continue;
        }
        match read(&mut response).await {
            Read::Whole(text) if text == wanted => return tally.answered(started.elapsed()),
            Read::Whole(text) => return tally.wrong(format!("got {text:?}, wanted {wanted:?}")),
            Read::Told(error) => tally.told(&error),
            Read::Cut => tally.cut(),
        }
    }
    tally.lost();
    eprintln!("soak: model-{model} was not answered in time; asked {} s ago", started.elapsed().as_secs());
}

/// Calls the plain service once; what was said of it is checked at the end against what ran.
async fn notice(n: u64, round: u64, fleet: &Fleet, tally: &Tally) {
    let body = format!("notice {n} {round}");
    let url = format!("http://{}/v1/services/notice/send", fleet.callers(n + round));
    let outcome = match client().post(url).send_body(body.clone()).await {
        Ok(response) => match header(&response, "boragecove-outcome") {
            "answered" => Notice::Answered,
            "not-run" => Notice::NotRun,
            _ => Notice::Unknown,
        },
        Err(_no_answer) => Notice::Unknown,
    };
    tally.noticed(body, outcome);
}

/// How a stream was read.
enum Read {
    /// To its end mark.
    Whole(String),
    /// To an explicit error.
    Told(String),
    /// It ended without either.
    Cut,
}

async fn read(response: &mut ClientResponse) -> Read {
    let Ok(body) = response.body().limit(BODY_MAX).await else {
        return Read::Cut;
    };
    let body = String::from_utf8_lossy(&body);
    let mut text = String::new();
    let mut error = false;
    for line in body.lines() {
        if line == "event: error" {
            error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if error {
            return Read::Told(data.to_owned());
        }
        if data == "[DONE]" {
            return Read::Whole(text);
        }
        let piece: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(piece["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Read::Cut
}

fn client() -> Client {
    Client::builder().timeout(DEADLINE).finish()
}

fn header<'a>(response: &'a ClientResponse, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
