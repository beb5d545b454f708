//! A small deployment over real sockets: a platform, engines and services as stand-ins, one entry VM.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, ClientResponse};
use boragecove_core::artifact::Artifact;
use boragecove_core::config::Document;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Service, Version};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::settings as core;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_daemon::node::{self, Running};
use boragecove_daemon::settings::{self, Settings};
use boragecove_standin::engine::{self, Engine};
use boragecove_standin::server::loopback;
use boragecove_standin::{platform, service};
use serde_json::Value;

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);

pub struct Deployment {
    pub platform: platform::Platform,
    pub engines: Vec<Engine>,
    pub engine_servers: Vec<boragecove_standin::server::Running>,
    pub service: service::Service,
    pub node: Running,
    pub client: Client,
}

pub fn artifact() -> Artifact {
    Artifact { model: "briefing".into(), adapter: None, version: "1".into() }
}

/// Settings with which the parts of a test act quickly.
pub fn quick() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        operator_token: "operators".into(),
        peer_secret: "peers".into(),
        core: core::Settings {
            list_every: ms(20),
            poll_every: ms(20),
            heartbeat_every: ms(50),
            suspect_after: ms(500),
            lease_renew: ms(50),
            lease_length: ms(500),
            plan_every: ms(20),
            config_every: ms(100),
            idle: ms(200),
            first_byte: ms(500),
            balancer_grace: ms(50),
            ..core::Settings::default()
        },
        ..Settings::default()
    }
}

impl Deployment {
    /// A deployment with `engines` engines, all started, and a configuration in force.
    pub async fn start(engines: &[engine::Settings], settings: Settings) -> Self {
        let platform = platform::Platform::new(platform::Settings::default());
        let at = platform.start(loopback()).expect("a platform").address();
        let service = service::Service::new(service::Settings::default());
        let service_at = service.start(loopback()).expect("a service").address();
        platform.vms().put(vm("lookup-1", service_at, Role::Backend("gateway".into())));
        let (mut stands, mut servers) = (Vec::new(), Vec::new());
        for each in engines {
            let stand = Engine::new(each.clone());
            let server = stand.start(loopback()).expect("an engine");
            platform.vms().put(vm(&each.name, server.address(), Role::Backend("brief-writer".into())));
            stands.push(stand);
            servers.push(server);
        }
        let settings =
            Settings { platform: settings::Platform { table: at, objects: at, vms: at }, ..settings };
        let node = node::start(&settings, settings.source()).expect("a node");
        platform.vms().put(vm(&settings.vm, node.peers, Role::Entry));
        let deployment = Self {
            platform,
            engines: stands,
            engine_servers: servers,
            service,
            node,
            client: Client::builder().disable_timeout().finish(),
        };
        deployment.apply(document()).await;
        deployment
    }

    /// A deployment with one engine as it comes.
    pub async fn small() -> Self {
        Self::start(&[engine("engine-1")], quick()).await
    }

    async fn apply(&self, document: Document) {
        let apply = Apply { document, base: None, who: "test".into(), note: Name::default(), dry_run: false };
        let query = Query::Apply(Box::new(apply));
        loop {
            match self.node.ask(query.clone()).await.expect("an answer") {
                Answer::Applied(_) => break,
                Answer::Error(refusal) => eprintln!("not yet: {refusal:?}"),
                other => panic!("{other:?}"),
            }
            tokio::time::sleep(LOOK).await;
        }
        self.until("ready", async || self.get("/ready").await.0 == 200).await;
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node.callers)
    }

    /// Status and text of an answer.
    pub async fn get(&self, path: &str) -> (u16, String) {
        let mut response = self.client.get(self.url(path)).send().await.expect("an answer");
        let text = response.body().limit(1 << 24).await.expect("a body");
        (response.status().as_u16(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Sends a completion and returns the response once its head is there.
    pub async fn complete(&self, prompt: &str, tokens: u32, stream: bool) -> ClientResponse {
        let body = serde_json::json!({
            "model": "briefing", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let request = self.client.post(self.url("/v1/completions"));
        request.send_json(&body).await.expect("an answer")
    }

    /// Waits for a condition.
    pub async fn until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let wait = async {
            while !condition().await {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("waited in vain: {what}"));
    }
}

pub fn engine(name: &str) -> engine::Settings {
    engine::Settings { name: name.into(), ..engine::Settings::default() }
}

pub fn header<'a>(response: &'a ClientResponse, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The text that a stream's events carry, and whether it came to its end mark.
pub async fn read_stream(response: &mut ClientResponse) -> (String, bool) {
    let body = response.body().limit(1 << 26).await.expect("a body");
    let body = String::from_utf8_lossy(&body);
    let mut text = String::new();
    let mut done = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let json: Value = serde_json::from_str(data).expect("JSON");
        text.push_str(json["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, done)
}

pub fn vm(name: &str, address: SocketAddr, role: Role) -> Vm {
    Vm { name: name.into(), zone: "zone-1".into(), address, role, phase: Phase::Live }
}

fn document() -> Document {
    let engines = Group {
        name: "brief-writer".into(),
        kind: Kind::Engine,
        memory_mb: 24_000,
        slots: 8,
        checks_fences: true,
    };
    let services =
        Group { name: "gateway".into(), kind: Kind::Service, memory_mb: 0, slots: 64, checks_fences: false };
    let model = Model {
        name: "briefing".into(),
        group: "brief-writer".into(),
        versions: vec![Version { name: "1".into(), memory_mb: 9_000 }],
        adapters: Vec::new(),
    };
    let service = Service { name: "lookup".into(), group: "gateway".into(), idempotent: false };
    Document {
        inventory: Inventory {
            groups: vec![engines, services],
            models: vec![model],
            services: vec![service],
        },
        ..Document::default()
    }
}
