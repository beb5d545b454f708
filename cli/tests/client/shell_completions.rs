//! Completions and help name every command and option.

use boragecove_cli::command::{ALL, COMMON, SHELLS};
use boragecove_cli::environment::Environment;
use boragecove_cli::error::Class;

use crate::fake::run;

#[actix_rt::test]
async fn everything_named() {
    for shell in SHELLS {
        let script = run(&["completions", shell], Environment::default()).await;
        assert_eq!(script.class, Class::Done);
        for spec in ALL {
            assert!(script.out.contains(spec.name), "{shell}: {}", spec.name);
            for flag in spec.flags.iter().chain(COMMON) {
                let long = if *shell == "fish" { "-l " } else { "--" };
                assert!(script.out.contains(&format!("{long}{}", flag.long)), "{shell}: {}", flag.long);
            }
        }
    }
}

/// Whether single quotes are open at the end of a line of shell.
fn is_open(line: &str) -> bool {
    let (mut open, mut escaped) = (false, false);
    for letter in line.chars() {
        match letter {
            _ if escaped => escaped = false,
            '\\' if !open => escaped = true,
            '\'' => open = !open,
            _ => {}
        }
    }
    open
}

#[actix_rt::test]
async fn quotes_closed() {
    for shell in SHELLS {
        let script = run(&["completions", shell], Environment::default()).await;
        for line in script.out.lines() {
            assert!(!is_open(line), "{shell}: {line}");
        }
    }
}

#[actix_rt::test]
async fn help_complete() {
    let program = run(&["--help"], Environment::default()).await;
    for spec in ALL {
        assert!(program.out.contains(spec.summary), "{}", spec.name);
        let own = run(&[spec.name, "-h"], Environment::default()).await;
        assert!(own.out.starts_with(&format!("Usage: boragecove {} [OPTION...]", spec.name)), "{}", own.out);
        for flag in spec.all_flags() {
            assert!(own.out.contains(flag.help), "{}: {}", spec.name, flag.long);
        }
    }
}
