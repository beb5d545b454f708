//! The operators' client against a real entry VM: what it applies is served, and what it shows is so.

mod deployment;

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;

use boragecove_cli::console::Console;
use boragecove_cli::environment::Environment;
use boragecove_cli::error::Class;
use boragecove_core::operator::{Engine, Member, Model, Status};
use deployment::Deployment;
use serde::de::DeserializeOwned;

struct Run {
    class: Class,
    out: String,
    err: String,
}

impl Run {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {} {}", self.out, self.err))
    }
}

async fn boragecove(deployment: &Deployment, line: &[&str]) -> Run {
    let environment = Environment {
        address: Some(deployment.node.operators.to_string()),
        token: Some("operators".to_owned()),
        user: Some("astrid".to_owned()),
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut console = Console { out: &mut out, err: &mut err };
    let class = boragecove_cli::run(line.iter().map(OsString::from), environment, &mut console).await;
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    Run { class, out: text(out), err: text(err) }
}

/// A file with an inventory of these models, of so many MB each.
struct File(PathBuf);

impl File {
    fn new(name: &str, models: &[(&str, u64)]) -> Self {
        let model = |(name, mb): &(&str, u64)| {
            format!(
                r#"{{ "name": "{name}", "group": "brief-writer", "versions": [{{ "name": "1", "memory_mb": {mb} }}] }}"#
            )
        };
        let models: Vec<String> = models.iter().map(model).collect();
        let text = format!(
            r#"// For a test.
{{ "inventory": {{
  "groups": [{{ "name": "brief-writer", "kind": "engine", "memory_mb": 24000, "slots": 8, "checks_fences": true }}],
  "models": [{}]
}} }}"#,
            models.join(", ")
        );
        let path = std::env::temp_dir().join(format!("boragecove-{}-{name}.jsonc", std::process::id()));
        fs::write(&path, text).expect("written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _gone_already = fs::remove_file(&self.0);
    }
}

#[actix_rt::test]
async fn applied_and_served() {
    let deployment = Deployment::small().await;
    let before: Status = boragecove(&deployment, &["status", "-o", "json"]).await.json();
    let file = File::new("served", &[("briefing", 9_000), ("notice", 2_000)]);
    let run = boragecove(&deployment, &["apply", file.path(), "--note", "notices", "--wait"]).await;
    assert_eq!(run.class, Class::Done, "{}{}", run.out, run.err);
    assert!(run.out.contains("+ inventory.models[notice]"), "{}", run.out);
    assert!(run.out.contains("- inventory.services[lookup]"), "{}", run.out);
    assert!(run.err.contains("2 of 2 artifacts reachable"), "{}", run.err);

    let models: Vec<Model> = boragecove(&deployment, &["models", "-o", "json"]).await.json();
    assert!(models.iter().any(|model| model.artifact.model == "notice" && model.copies.len() == 1));
    let engines: Vec<Engine> = boragecove(&deployment, &["engines", "-o", "json"]).await.json();
    assert_eq!((engines.len(), engines[0].reserved_mb), (1, 11_000));
    let status: Status = boragecove(&deployment, &["status", "-o", "json"]).await.json();
    assert_eq!((status.engines, status.config), (1, before.config + 1));
    let members: Vec<Member> = boragecove(&deployment, &["members", "-o", "json"]).await.json();
    assert_eq!((members.len(), members[0].config), (1, before.config + 1));
    let history = boragecove(&deployment, &["history"]).await.out;
    assert!(history.lines().nth(1).is_some_and(|line| line.ends_with("notices")), "{history}");
    let moves = boragecove(&deployment, &["moves"]).await.out;
    assert!(moves.contains("load notice@1 on engine-1"), "{moves}");
}

#[actix_rt::test]
async fn model_explained() {
    let deployment = Deployment::small().await;
    let answers = async || deployment.complete("rest in the shade", 4, false).await.status() == 200;
    deployment.until("a first answer", answers).await;
    let explained = boragecove(&deployment, &["models", "--explain", "briefing"]).await.out;
    let lines: Vec<&str> = explained.lines().collect();
    assert_eq!(
        lines[..2],
        [
            "briefing@1: 9000 MB on engines of group brief-writer in any zone; copies at the least: 1; like most others when memory is short",
            "this entry VM decides for zone zone-1",
        ],
    );
    assert!(lines[2].starts_with("engine-1: a copy is ready, with "), "{explained}");
    assert!(
        explained.ends_with("s ago: load briefing@1 on engine-1, because no copy was certain\n"),
        "{explained}"
    );
    let report = boragecove(&deployment, &["report"]).await.out;
    assert!(report.contains("     0  ok") && report.contains("engine-1      24000         9000"), "{report}");
    let unknown = boragecove(&deployment, &["models", "--explain", "briefing@9"]).await;
    assert_eq!(unknown.class, Class::Refused, "{}", unknown.err);
    assert!(unknown.err.contains("declares no 'briefing@9'"), "{}", unknown.err);
}

#[actix_rt::test]
async fn changes_refused() {
    let deployment = Deployment::small().await;
    let first = File::new("first", &[("briefing", 9_000), ("notice", 2_000)]);
    let large = File::new("large", &[("briefing", 9_000), ("digest", 16_000)]);
    let run = boragecove(&deployment, &["apply", large.path()]).await;
    assert_eq!(run.class, Class::Refused, "{}", run.err);
    assert!(run.err.contains("602 does_not_fit"), "{}", run.err);
    assert!(run.err.contains("need 25000 MB, 1 engines hold 24000 MB"), "{}", run.err);

    let run = boragecove(&deployment, &["apply", first.path(), "--dry-run"]).await;
    assert_eq!(run.class, Class::Done, "{}", run.err);
    assert_eq!(boragecove(&deployment, &["apply", first.path()]).await.class, Class::Done);
    let second = File::new("second", &[("briefing", 9_000)]);
    let late = boragecove(&deployment, &["apply", second.path(), "--base", "1"]).await;
    assert_eq!(late.class, Class::Conflict, "{}", late.err);
    assert!(late.err.contains("version 2 is in force"), "{}", late.err);

    let stranger = boragecove(&deployment, &["status", "--token", "guessed"]).await;
    assert_eq!(stranger.class, Class::Refused, "{}", stranger.err);
    let callers = deployment.node.callers.to_string();
    let foreign = boragecove(&deployment, &["status", "--address", &callers]).await;
    assert_eq!(foreign.class, Class::Unavailable, "{}", foreign.err);
    assert!(foreign.err.contains("not that for callers"), "{}", foreign.err);
}

#[actix_rt::test]
async fn backend_drained() {
    let deployment = Deployment::small().await;
    let answers = async || deployment.complete("rest in the shade", 4, false).await.status() == 200;
    deployment.until("a first answer", answers).await;
    let unknown = boragecove(&deployment, &["drain", "engine-9"]).await;
    assert_eq!(unknown.class, Class::Refused, "{}", unknown.err);
    assert_eq!(boragecove(&deployment, &["drain", "engine-1"]).await.class, Class::Done);
    let engines = boragecove(&deployment, &["engines"]).await.out;
    assert!(engines.contains("leaving"), "{engines}");
    assert_eq!(boragecove(&deployment, &["drain", "engine-1", "--undo"]).await.class, Class::Done);
    deployment.until("an answer again", answers).await;
}
