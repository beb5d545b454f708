//! A fake of an entry VM's listener for operators, and a way to run the client against it.

use std::ffi::OsString;
use std::sync::{Arc, Mutex};

use actix_web::dev::ServerHandle;
use actix_web::http::header::AUTHORIZATION;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use boragecove_cli::console::Console;
use boragecove_cli::environment::Environment;
use boragecove_cli::error::Class;
use boragecove_core::artifact::Artifact;
use boragecove_core::audit::{Cause, Decision, Record};
use boragecove_core::code::Code;
use boragecove_core::config::{Change, Document};
use boragecove_core::engine::{Role, Stage};
use boragecove_core::id;
use boragecove_core::operator::{
    Answer, Applied, Apply, Counts, Ended, Engine, Held, Member, Model, Query, Refusal, Status,
};
use boragecove_core::time::Time;
use boragecove_core::vm::Phase;
use boragecove_wire::path;

/// The bearer token that the fake asks for.
pub const TOKEN: &str = "operators";

/// What the fake does with the next changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// Accepts them.
    #[default]
    Willing,
    /// Accepts them, and gets no further than the first look.
    Stuck,
    /// Accepts them and cuts the connection before it answers.
    Mute,
    /// Cuts the connection without having taken them.
    Deaf,
    /// Accepts another one in their place and cuts the connection.
    Beaten,
    /// Refuses them with this code.
    Refusing(Code),
}

/// The fake's state.
#[derive(Debug, Default)]
pub struct State {
    /// The version in force.
    pub version: u64,
    /// The document in force.
    pub document: Document,
    /// What it does with changes.
    pub mood: Mood,
    /// Times that the status was asked for; each brings one more entry VM into line.
    pub looks: u64,
    /// Changes that were sent.
    pub applies: Vec<Apply>,
}

/// A running fake.
pub struct Fake {
    pub state: Arc<Mutex<State>>,
    address: String,
    handle: ServerHandle,
}

/// How a command ended.
#[derive(Debug)]
pub struct Run {
    pub class: Class,
    pub out: String,
    pub err: String,
}

impl Fake {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State { version: 6, ..State::default() }));
        let shared = web::Data::from(Arc::clone(&state));
        let server = HttpServer::new(move || {
            let limit = web::PayloadConfig::new(8 << 20);
            App::new().app_data(shared.clone()).app_data(limit).route(path::OPERATOR, web::post().to(answer))
        });
        let server = server.workers(1).disable_signals().bind("127.0.0.1:0").expect("a free port");
        let address = server.addrs()[0].to_string();
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Self { state, address, handle }
    }

    /// Runs a command line against the fake.
    pub async fn run(&self, line: &[&str]) -> Run {
        let environment = Environment {
            address: Some(self.address.clone()),
            token: Some(TOKEN.to_owned()),
            user: Some("astrid".to_owned()),
        };
        run(line, environment).await
    }

    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

/// Runs a command line.
pub async fn run(line: &[&str], environment: Environment) -> Run {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut console = Console { out: &mut out, err: &mut err };
    let class = boragecove_cli::run(line.iter().map(OsString::from), environment, &mut console).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    Run { class, out: text(out), err: text(err) }
}

/// The path of an example's file.
pub fn example(file: &str) -> String {
    format!("{}/../examples/{file}", env!("CARGO_MANIFEST_DIR"))
}

async fn answer(request: HttpRequest, state: web::Data<Mutex<State>>, body: web::Bytes) -> HttpResponse {
    let wanted = format!("Bearer {TOKEN}");
    if request.headers().get(AUTHORIZATION).is_none_or(|given| given != wanted.as_str()) {
        return HttpResponse::Unauthorized().finish();
    }
    let query = serde_json::from_slice(&body).expect("a question");
    let mut state = state.lock().expect("not poisoned");
    match state.ask(query) {
        Some(answer) => HttpResponse::Ok().json(answer),
        // The body never comes to its promised end: the connection is cut.
        None => HttpResponse::Ok().no_chunking(100).streaming(futures_util::stream::iter([Err::<
            web::Bytes,
            std::io::Error,
        >(
            std::io::Error::other("cut"),
        )])),
    }
}

impl State {
    fn ask(&mut self, query: Query) -> Option<Answer> {
        Some(match query {
            Query::Apply(apply) => return self.apply(*apply),
            Query::Config => {
                Answer::Config { version: self.version, document: Arc::new(self.document.clone()) }
            }
            Query::History => Answer::History(vec![Change {
                version: 6,
                op: id::Op { by: id::Incarnation(0xa1), seq: 8 },
                who: "astrid".into(),
                at: Time::from_millis(1_790_000_000_123),
                note: "heatwave".into(),
                delta: None,
            }]),
            Query::Status => Answer::Status(Box::new(self.status())),
            Query::Models => Answer::Models(vec![model()]),
            Query::Explain(name) if name == "staff-notice" => {
                Answer::Explanation(vec!["on engine-a: the only one with room".into()])
            }
            Query::Explain(_) => refusal(Code::UnknownModel),
            Query::Engines => Answer::Engines(vec![engine()]),
            Query::Members => Answer::Members(self.members()),
            Query::Moves => Answer::Moves(vec![record()]),
            Query::Counts => Answer::Counts(Counts {
                ended: vec![Ended { code: Code::QueueFull, count: 17 }],
                retried: Vec::new(),
            }),
            Query::Drain { backend, .. } if backend == "engine-a" => Answer::Done,
            Query::Drain { .. } => refusal(Code::UnknownVm),
        })
    }

    fn apply(&mut self, apply: Apply) -> Option<Answer> {
        self.applies.push(apply.clone());
        if let Mood::Refusing(code) = self.mood {
            return Some(refusal(code));
        }
        if apply.base.is_some_and(|base| base != self.version) {
            return Some(refusal(Code::Conflict));
        }
        let op = id::Op { by: id::Incarnation(0xa1), seq: 9 };
        let applied = Answer::Applied(Applied { version: self.version + 1, op });
        if apply.dry_run {
            return Some(applied);
        }
        if self.mood == Mood::Deaf {
            return None;
        }
        self.version += 1;
        if self.mood == Mood::Beaten {
            return None;
        }
        self.document = apply.document;
        (self.mood != Mood::Mute).then_some(applied)
    }

    fn status(&mut self) -> Status {
        self.looks = if self.mood == Mood::Stuck { 1 } else { self.looks + 1 };
        Status {
            vm: "entry-1".into(),
            zone: "hall-a".into(),
            ready: true,
            config: self.version,
            lease_holder: Some("entry-2".into()),
            table_up: true,
            open: 12,
            queued: 3,
            artifacts: 3,
            reachable: u32::try_from(self.looks.min(3)).expect("small"),
            engines: 1,
            moves_under_way: 1,
        }
    }

    fn members(&self) -> Vec<Member> {
        let member = |n: u64| Member {
            name: format!("entry-{n}").into(),
            zone: "hall-a".into(),
            alive: n < 3,
            leaving: n == 3,
            config: if n <= self.looks { self.version } else { self.version - 1 },
            heard_ms: (n < 3).then_some(420 * n),
        };
        (1..=3).map(member).collect()
    }
}

fn refusal(code: Code) -> Answer {
    Answer::Error(Refusal {
        code,
        reasons: vec!["as the test wants it".into()],
        hint: "mend the test".into(),
        version: Some(6),
    })
}

fn artifact() -> Artifact {
    Artifact { model: "staff-notice".into(), adapter: Some("kitchen\u{1b}[2J".into()), version: "2".into() }
}

fn model() -> Model {
    Model {
        artifact: artifact(),
        memory_mb: 180,
        copies: vec![Held { engine: "engine-a".into(), stage: Stage::Loading }],
        zones: vec!["hall-b".into()],
        demand: 1.25,
        waiting: 2,
    }
}

fn engine() -> Engine {
    Engine {
        name: "engine-a".into(),
        group: "brief-writer".into(),
        zone: "hall-a".into(),
        phase: Phase::Live,
        role: Role::Both,
        memory_mb: 81_920,
        reserved_mb: 58_000,
        running: 4,
        waiting: 0,
        report_age_ms: Some(250),
        copies: 2,
        suspected: false,
    }
}

fn record() -> Record {
    let order = id::Order { by: id::Incarnation(1), seq: 1 };
    Record {
        at: Time::from_millis(1_790_000_000_123),
        config: 3,
        vm: "entry-2".into(),
        zone: "hall-a".into(),
        act: Decision::Load { order, engine: "engine-a".into(), artifact: artifact() },
        cause: Cause::Demand,
    }
}
