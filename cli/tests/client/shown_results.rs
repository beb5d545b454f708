//! Results as tables for people and as JSON for programs.

use boragecove_cli::error::Class;
use boragecove_core::config::Document;
use boragecove_core::operator::{Engine, Member, Model, Status};

use crate::fake::{Fake, example};

#[actix_rt::test]
async fn tables_aligned() {
    let fake = Fake::start();
    for (line, expected) in [
        (
            vec!["members"],
            "ENTRY VM  ZONE    STATE   VERSION  LAST HEARD\n\
             entry-1   hall-a  live          5      420 ms\n\
             entry-2   hall-a  live          5      840 ms\n\
             entry-3   hall-a  silent        5       never\n",
        ),
        (
            vec!["models"],
            "ARTIFACT                    MEMORY MB  COPIES IN THE ZONE  OTHER ZONES  REQUESTS/S  WAITING\n\
             staff-notice:kitchen\u{fffd}[2J@2        180  engine-a (loading)  hall-b              1.2        2\n",
        ),
        (
            vec!["history"],
            "VERSION  AT                        WHO     OPERATION           NOTE\n      \
             6  2026-09-21T14:13:20.123Z  astrid  00000000000000a1-8  heatwave\n",
        ),
        (
            vec!["engines"],
            "ENGINE    GROUP         ZONE    STATE  ROLE  MEMORY MB  RESERVED MB  RUNNING  WAITING  COPIES  REPORT AGE\n\
             engine-a  brief-writer  hall-a  live   both      81920        58000        4        0       2      250 ms\n",
        ),
        (
            vec!["status"],
            "entry VM           entry-1 in hall-a\n\
             requests           taken\n\
             configuration      version 6\n\
             lease of the zone  held by entry-2\n\
             platform's table   answers\n\
             open               12 requests, 3 of them waiting\n\
             artifacts          3 declared, 1 reachable\n\
             engines            1 in the zone, 1 orders under way\n",
        ),
        (vec!["models", "--explain", "staff-notice"], "on engine-a: the only one with room\n"),
        (vec!["drain", "engine-a", "--undo"], "engine-a is in use again\n"),
    ] {
        let run = fake.run(&line).await;
        assert_eq!(run.class, Class::Done, "{}", run.err);
        assert_eq!(run.out, expected, "{line:?}");
    }
    let moves = fake.run(&["moves"]).await;
    assert!(moves.out.contains("entry-2     load staff-notice:kitchen"), "{}", moves.out);
    assert!(moves.out.ends_with("demand grew\n"), "{}", moves.out);
    assert_eq!(moves.err, "note: these are the records of entry-1; entry-2 decides for zone hall-a now\n");
    fake.stop().await;
}

#[actix_rt::test]
async fn none_in_force() {
    let fake = Fake::start();
    fake.state.lock().expect("not poisoned").version = 0;
    let run = fake.run(&["get"]).await;
    assert!(run.out.starts_with("// Version 0."), "{}", run.out);
    assert_eq!(run.err, "note: no configuration is in force at this entry VM\n");
    fake.stop().await;
}

#[actix_rt::test]
async fn report_shown() {
    let fake = Fake::start();
    let run = fake.run(&["report"]).await;
    assert_eq!(run.class, Class::Done, "{}", run.err);
    assert!(run.out.contains("\nUnreachable artifacts\n  none\n"), "hall-b holds it: {}", run.out);
    assert!(run.out.contains("\n  engine-a      81920        58000    23920          70\n"), "{}", run.out);
    assert!(run.out.contains("\n   300  queue_full        17  The queue for"), "{}", run.out);
    assert!(run.out.ends_with("followed by another\n  none\n"), "{}", run.out);
    fake.stop().await;
}

#[actix_rt::test]
async fn json_read() {
    let fake = Fake::start();
    let json = async |command: &str| fake.run(&[command, "--output", "json"]).await.out;
    let status: Status = serde_json::from_str(&json("status").await).expect("a status");
    assert_eq!((status.open, status.queued), (12, 3));
    let models: Vec<Model> = serde_json::from_str(&json("models").await).expect("models");
    assert_eq!(models[0].artifact.model, "staff-notice");
    let engines: Vec<Engine> = serde_json::from_str(&json("engines").await).expect("engines");
    assert_eq!(engines[0].reserved_mb, 58_000);
    let members: Vec<Member> = serde_json::from_str(&json("members").await).expect("members");
    assert_eq!(members.len(), 3);
    for command in ["moves", "history"] {
        let list: Vec<serde_json::Value> = serde_json::from_str(&json(command).await).expect("a list");
        assert_eq!(list.len(), 1, "{command}");
    }
    fake.stop().await;
}

#[actix_rt::test]
async fn form_kept() {
    let fake = Fake::start();
    let files = [example("swanbourne/inventory.jsonc"), example("swanbourne/rules.jsonc")];
    let applied = fake.run(&["apply", &files[0], &files[1]]).await;
    assert_eq!(applied.class, Class::Done, "{}", applied.err);
    let got = fake.run(&["get"]).await;
    assert!(got.out.starts_with("// Version 7. Apply changes to it with --base 7.\n"), "{}", got.out);
    let part = boragecove_wire::document::read("got", &got.out).expect("what get prints, apply reads");
    let mut read = Document::default();
    part.overlay(&mut read);
    assert_eq!(read, fake.state.lock().expect("not poisoned").document);
    fake.stop().await;
}
