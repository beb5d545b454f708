//! The help texts, made from the table of commands.

use std::fmt::Write;

use crate::command::{self, Command, Operands};
use crate::environment;
use crate::error::Class;
use crate::flag::{Flag, Value};
use crate::table::Table;

/// What each exit code says.
const EXITS: &[(Class, &str)] = &[
    (Class::Done, "done"),
    (Class::Internal, "a fault of the client or the daemon"),
    (Class::Usage, "the command line cannot be understood"),
    (Class::Refused, "refused: a document, a name or the token"),
    (Class::Conflict, "another change was accepted first"),
    (Class::Unavailable, "no entry VM or platform answers; nothing was changed"),
    (Class::Unsettled, "whether the change was accepted is not known"),
    (Class::Pending, "accepted, and not yet in line when the wait was over"),
];

/// The help of the program.
#[must_use]
pub fn program() -> String {
    let mut text = "Usage: boragecove COMMAND [OPTION...]\n\nCommands:\n".to_owned();
    let mut commands = Table::plain();
    for spec in command::ALL {
        let usage = spec.operands.usage();
        commands.row([format!("  {}", [spec.name, usage].join(" ").trim_end()), spec.summary.to_owned()]);
    }
    text.push_str(&commands.to_string());
    text.push_str("\nOptions of every command:\n");
    text.push_str(&flags(command::COMMON.iter()));
    let (address, token) = (environment::ADDRESS, environment::TOKEN);
    let _infallible = write!(text, "\n{address} and {token} stand in for --address and --token.\n\n");
    text.push_str("Exit codes:\n");
    let mut exits = Table::plain();
    for (class, meaning) in EXITS {
        exits.row([format!("  {}", *class as u8), (*meaning).to_owned()]);
    }
    text.push_str(&exits.to_string());
    text
}

/// The help of one command.
#[must_use]
pub fn command(command: Command) -> String {
    let spec = command.spec();
    let operands = match spec.operands {
        Operands::None => String::new(),
        operands => format!(" {}", operands.usage()),
    };
    let mut text = format!("Usage: boragecove {} [OPTION...]{operands}\n\n", spec.name);
    let mut summary = spec.summary.chars();
    text.extend(summary.next().map(|first| first.to_ascii_uppercase()));
    text.push_str(summary.as_str());
    text.push_str(".\n\nOptions:\n");
    text.push_str(&flags(spec.all_flags()));
    text
}

fn flags(flags: impl Iterator<Item = &'static Flag>) -> String {
    let mut table = Table::plain();
    for flag in flags {
        let short = flag.short.map_or_else(|| "   ".to_owned(), |short| format!("-{short},"));
        let value = match flag.value {
            Value::None => String::new(),
            Value::Text(word) => format!(" {word}"),
            Value::Choice(words) => format!(" {}", words.join("|")),
        };
        table.row([format!("  {short} --{}{value}", flag.long), flag.help.to_owned()]);
    }
    table.to_string()
}
