//! `apply` and `diff`: what is sent, shown and waited for.

use boragecove_cli::error::Class;
use boragecove_core::code::Code;

use crate::fake::{Fake, Mood, example};

#[actix_rt::test]
async fn examples_applied() {
    let fake = Fake::start();
    let (inventory, rules) = (example("varmevakt/inventory.jsonc"), example("varmevakt/rules.jsonc"));
    let run = fake.run(&["apply", &inventory, &rules, "--note", "first"]).await;
    assert_eq!(run.class, Class::Done, "{}", run.err);
    assert!(run.out.contains("+ inventory.models[resident-brief]"), "{}", run.out);
    assert!(run.out.ends_with("accepted as version 7\n"), "{}", run.out);
    let sent = fake.state.lock().expect("not poisoned").applies[0].clone();
    assert_eq!((sent.base, sent.who.as_str(), sent.note.as_str()), (Some(6), "astrid", "first"));
    assert_eq!(sent.document.inventory.models.len(), 12);

    let again = fake.run(&["apply", &inventory]).await;
    assert_eq!(again.out, "no changes: version 7 stays in force\n");
    let rules = example("swanbourne/rules.jsonc");
    let diff = fake.run(&["diff", &rules]).await;
    assert!(diff.out.contains("- rules.callers[duty-nurses]"), "{}", diff.out);
    assert!(diff.out.contains("~ rules.weights.moves  0.5 -> 20.0"), "{}", diff.out);
    assert!(!diff.out.contains("inventory"), "{}", diff.out);
    assert_eq!(fake.state.lock().expect("not poisoned").applies.len(), 1);
    fake.stop().await;
}

#[actix_rt::test]
async fn dry_run() {
    let fake = Fake::start();
    let run = fake.run(&["apply", &example("swanbourne/inventory.jsonc"), "--dry-run", "-o", "json"]).await;
    assert_eq!(run.class, Class::Done, "{}", run.err);
    let report: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!((&report["version"], &report["dry_run"]), (&7.into(), &true.into()));
    let models = report["changes"].as_array().expect("changes").iter();
    let added = models.filter(|change| change["path"].as_str().is_some_and(|path| path.contains("models[")));
    assert_eq!(added.count(), 35);
    assert_eq!(fake.state.lock().expect("not poisoned").version, 6);
    fake.stop().await;
}

#[actix_rt::test]
async fn progress_shown() {
    let fake = Fake::start();
    let run = fake.run(&["apply", &example("varmevakt/inventory.jsonc"), "--wait"]).await;
    assert_eq!(run.class, Class::Done, "{}", run.err);
    let lines: Vec<&str> = run.err.lines().collect();
    assert_eq!(
        lines,
        [
            "version 7 in force on 1 of 2 entry VMs; 1 of 3 artifacts reachable; 1 moves under way",
            "version 7 in force on 2 of 2 entry VMs; 2 of 3 artifacts reachable; 1 moves under way",
            "version 7 in force on 2 of 2 entry VMs; 3 of 3 artifacts reachable; 1 moves under way",
        ]
    );
    fake.stop().await;
}

#[actix_rt::test]
async fn wait_over() {
    let fake = Fake::start();
    fake.state.lock().expect("not poisoned").mood = Mood::Stuck;
    let file = example("varmevakt/inventory.jsonc");
    let run = fake.run(&["apply", &file, "--wait", "--timeout", "1ms", "-o", "json"]).await;
    assert_eq!(run.class, Class::Pending);
    assert!(run.err.contains("not in force on entry-2; 2 artifacts not reachable"), "{}", run.err);
    let report: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!((&report["version"], &report["in_line"]), (&7.into(), &false.into()));
    fake.stop().await;
}

#[actix_rt::test]
async fn race_lost() {
    let fake = Fake::start();
    let run = fake.run(&["apply", &example("varmevakt/inventory.jsonc"), "--base", "5"]).await;
    assert_eq!(run.class, Class::Conflict);
    assert!(run.err.contains("600 conflict"), "{}", run.err);
    assert!(run.err.contains("hint: version 6 is in force: run `boragecove diff`"), "{}", run.err);
    fake.stop().await;
}

#[actix_rt::test]
async fn answer_lost() {
    let fake = Fake::start();
    let file = example("varmevakt/inventory.jsonc");
    for (mood, class, part) in [
        (Mood::Deaf, Class::Unsettled, "closed before the answer\nhint: run `boragecove history`"),
        (Mood::Mute, Class::Done, "accepted as version 7"),
    ] {
        fake.state.lock().expect("not poisoned").mood = mood;
        let run = fake.run(&["apply", &file]).await;
        assert_eq!(run.class, class, "{}", run.err);
        assert!(format!("{}{}", run.out, run.err).contains(part), "{}{}", run.out, run.err);
    }
    let again = fake.run(&["apply", &file, "--base", "6"]).await;
    assert_eq!(again.class, Class::Conflict, "a repeat is never accepted twice: {}", again.err);
    assert_eq!(fake.state.lock().expect("not poisoned").version, 7);
    fake.stop().await;
}

#[actix_rt::test]
async fn place_taken() {
    let fake = Fake::start();
    fake.state.lock().expect("not poisoned").mood = Mood::Beaten;
    let run = fake.run(&["apply", &example("varmevakt/inventory.jsonc")]).await;
    assert_eq!(run.class, Class::Conflict, "{}", run.err);
    assert!(run.err.contains("another change stands in its place"), "{}", run.err);
    fake.stop().await;
}

#[actix_rt::test]
async fn refusal_shown() {
    let fake = Fake::start();
    fake.state.lock().expect("not poisoned").mood = Mood::Refusing(Code::DoesNotFit);
    let run = fake.run(&["apply", &example("varmevakt/inventory.jsonc"), "-o", "json"]).await;
    assert_eq!((run.class, run.out.as_str()), (Class::Refused, ""));
    let report: serde_json::Value = serde_json::from_str(&run.err).expect("JSON");
    let error = &report["error"];
    assert_eq!((&error["code"], &error["exit"]), (&602.into(), &3.into()));
    assert_eq!(error["reasons"][0], "as the test wants it");
    assert_eq!(error["hint"], "mend the test");
    fake.stop().await;
}
