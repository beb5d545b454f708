//! A stand-in service: echoes, counts what it ran, commits faults.

use boragecove_standin::fault::{Fault, Kind, Scope};
use boragecove_standin::server::loopback;
use boragecove_standin::service::{Service, Settings};
use boragecove_wire::header;

#[actix_web::test]
async fn counted_runs() {
    let service = Service::new(Settings::default());
    let at = service.start(loopback()).expect("a listener").address();
    let client = awc::Client::default();
    let call = |body: &'static str| {
        client.post(format!("http://{at}/alerts/7")).insert_header((header::ATTEMPT, "1-1-1")).send_body(body)
    };
    let mut answer = call("one").await.expect("an answer");
    assert_eq!(answer.headers().get(header::ATTEMPT).expect("an echo"), "1-1-1");
    assert_eq!(answer.body().await.expect("bytes"), "one");
    assert_eq!(service.runs()[0].call, "POST /alerts/7");

    let cases = [(Kind::Drop, 0), (Kind::Refuse, 0), (Kind::Lose, 1), (Kind::Duplicate, 2)];
    for (kind, runs) in cases {
        let body = serde_json::to_string(&kind).expect("JSON").leak();
        service.faults().set([Fault::next(kind, Scope::Service, 1)]);
        let answered = call(body).await.ok().map(|answer| answer.status().as_u16());
        assert_eq!(service.runs_of(body.as_bytes()), runs, "{kind:?}");
        assert_eq!(answered.is_some(), matches!(kind, Kind::Refuse | Kind::Duplicate), "{kind:?}");
    }
    service.drain(true);
    let leaving = call("late").await.expect("an answer");
    assert_eq!(leaving.headers().get(header::REFUSAL).expect("a reason"), "leaving");
    assert_eq!(service.runs_of(b"late"), 0);
}
