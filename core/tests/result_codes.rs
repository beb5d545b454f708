//! docs/CODES.md agrees with the result codes of the code.

use boragecove_core::code::{Code, Outcome};

const PAGE: &str = include_str!("../../docs/CODES.md");

fn rows() -> Vec<Vec<String>> {
    let cells = |line: &str| line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
    let is_row = |line: &&str| line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit());
    PAGE.lines().filter(is_row).map(cells).collect()
}

#[test]
fn page_complete() {
    let rows = rows();
    let advice = "regenerate the page: boragecove codes --output markdown > docs/CODES.md";
    assert_eq!(rows.len(), Code::ALL.len(), "{advice}");
    for (code, row) in Code::ALL.iter().zip(rows) {
        let outcomes: Vec<&str> = code.outcomes().iter().map(|outcome| outcome.as_str()).collect();
        let expected = [
            code.number().to_string(),
            code.status().to_string(),
            outcomes.join(" or "),
            code.retry().as_str().to_owned(),
            format!("`{}`", code.label()),
            code.meaning().to_owned(),
        ];
        assert_eq!(row, expected, "{advice}");
    }
}

#[test]
fn codes_distinct() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} before {}", pair[0], pair[1]);
    }
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
        assert_eq!(Code::ALL.iter().filter(|other| other.label() == code.label()).count(), 1, "{code}");
        let is_answer = code.outcomes().contains(&Outcome::Answered);
        assert_eq!(is_answer, code.status() == 200, "{code}");
    }
}
