//! The table of commands, from which parsing, help and completions come.

use crate::flag::{self, Flag};

/// Which command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Command {
    /// Make documents the configuration in force.
    Apply,
    /// Print the configuration in force.
    Get,
    /// Compare documents with the configuration in force.
    Diff,
    /// List the latest changes of the configuration.
    History,
    /// Show the deployment in short.
    #[default]
    Status,
    /// List artifacts and where they are.
    Models,
    /// List engines.
    Engines,
    /// List entry VMs.
    Members,
    /// List decisions of control.
    Moves,
    /// Sum up what needs attention.
    Report,
    /// Take a back end out of use.
    Drain,
    /// Explain result codes.
    Codes,
    /// Print completions for a shell.
    Completions,
}

/// What a command takes besides options.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operands {
    /// Nothing.
    None,
    /// One or more files.
    Files,
    /// One backend server's VM name.
    Backend,
    /// A result code, or nothing for all.
    Code,
    /// A shell.
    Shell,
}

/// The shells that completions are made for.
pub const SHELLS: &[&str] = &["bash", "zsh", "fish"];

impl Operands {
    /// Its form in the help; empty for none.
    #[must_use]
    pub const fn usage(self) -> &'static str {
        match self {
            Self::None => "",
            Self::Files => "FILE...",
            Self::Backend => "BACKEND",
            Self::Code => "[N]",
            Self::Shell => "SHELL",
        }
    }

    /// The least and the most operands.
    #[must_use]
    pub const fn bounds(self) -> (usize, usize) {
        match self {
            Self::None => (0, 0),
            Self::Files => (1, usize::MAX),
            Self::Backend | Self::Shell => (1, 1),
            Self::Code => (0, 1),
        }
    }
}

/// One command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Which one.
    pub command: Command,
    /// Its name.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// What it takes besides options.
    pub operands: Operands,
    /// The options of its own.
    pub flags: &'static [Flag],
}

const fn spec(command: Command, name: &'static str, summary: &'static str) -> Spec {
    Spec { command, name, summary, operands: Operands::None, flags: &[] }
}

/// The options of every command.
pub const COMMON: &[Flag] =
    &[flag::ADDRESS, flag::TOKEN, flag::OUTPUT, flag::DEADLINE, flag::HELP, flag::VERSION];

/// All commands, in the order of the help.
pub const ALL: &[Spec] = &[
    Spec {
        operands: Operands::Files,
        flags: &[flag::DRY_RUN, flag::BASE, flag::WHO, flag::NOTE, flag::WAIT, flag::TIMEOUT],
        ..spec(Command::Apply, "apply", "make inventory and rules documents the configuration in force")
    },
    spec(Command::Get, "get", "print the configuration in force"),
    Spec {
        operands: Operands::Files,
        ..spec(Command::Diff, "diff", "compare documents with the configuration in force")
    },
    spec(Command::History, "history", "list the latest changes of the configuration"),
    spec(Command::Status, "status", "show the deployment in short"),
    Spec { flags: &[flag::EXPLAIN], ..spec(Command::Models, "models", "list artifacts and where they are") },
    spec(Command::Engines, "engines", "list engines, their memory and load"),
    spec(Command::Members, "members", "list entry VMs"),
    spec(Command::Moves, "moves", "list the latest decisions of control"),
    spec(Command::Report, "report", "sum up status, unreachable models, memory and refused requests"),
    Spec {
        operands: Operands::Backend,
        flags: &[flag::UNDO],
        ..spec(Command::Drain, "drain", "take a backend server out of use, or back into it")
    },
    Spec { operands: Operands::Code, ..spec(Command::Codes, "codes", "explain result codes") },
    Spec {
        operands: Operands::Shell,
        ..spec(Command::Completions, "completions", "print completions for a shell")
    },
];

impl Command {
    /// Its row of the table.
    #[must_use]
    pub fn spec(self) -> Spec {
        let found = ALL.iter().copied().find(|spec| spec.command == self);
        found.unwrap_or_else(|| spec(self, "", ""))
    }
}

impl Spec {
    /// All its options: its own, then the common ones.
    pub fn all_flags(&self) -> impl Iterator<Item = &'static Flag> + use<> {
        self.flags.iter().chain(COMMON)
    }
}
