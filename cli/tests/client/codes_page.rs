//! The page of result codes is the one that the client writes.

use boragecove_cli::environment::Environment;

use crate::fake::run;

#[actix_rt::test]
async fn page_written() {
    let written = run(&["codes", "-o", "markdown"], Environment::default()).await.out;
    assert_eq!(
        include_str!("../../../docs/CODES.md"),
        written,
        "write it anew: boragecove codes --output markdown > docs/CODES.md"
    );
}

#[actix_rt::test]
async fn one_explained() {
    let by_number = run(&["codes", "600", "-o", "json"], Environment::default()).await.out;
    let by_label = run(&["codes", "conflict", "-o", "json"], Environment::default()).await.out;
    assert_eq!(by_number, by_label);
    let codes: Vec<serde_json::Value> = serde_json::from_str(&by_number).expect("JSON");
    assert_eq!((codes.len(), &codes[0]["number"], &codes[0]["status"]), (1, &600.into(), &409.into()));
}
