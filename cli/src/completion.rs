//! Completions for shells, made from the table of commands.

use std::fmt::Write;

use crate::command::{ALL, COMMON, Operands, SHELLS, Spec};
use crate::flag::{Flag, Value};

/// The words that an operand may be; none for a free one.
fn words(operands: Operands) -> &'static [&'static str] {
    match operands {
        Operands::Shell => SHELLS,
        Operands::None | Operands::Files | Operands::Backend | Operands::Code => &[],
    }
}

fn names() -> Vec<&'static str> {
    ALL.iter().map(|spec| spec.name).collect()
}

fn long(flag: &Flag) -> String {
    format!("--{}", flag.long)
}

/// The text as one word of any of the shells.
fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', r"'\''"))
}

/// The options of all commands, each once.
fn every_flag() -> Vec<&'static Flag> {
    let mut flags: Vec<&Flag> = COMMON.iter().collect();
    for flag in ALL.iter().flat_map(|spec| spec.flags) {
        if !flags.iter().any(|known| known.id == flag.id) {
            flags.push(flag);
        }
    }
    flags
}

/// A script for bash.
#[must_use]
pub fn bash() -> String {
    let mut text = "\
_boragecove() {
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]} command= each
    COMPREPLY=()
    for each in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do
        case $each in
"
    .to_owned();
    let _infallible = writeln!(text, "            {}) command=$each; break ;;", names().join("|"));
    text.push_str("        esac\n    done\n    case $before in\n");
    for flag in every_flag() {
        match flag.value {
            Value::None => {}
            Value::Text(_) => {
                let _infallible = writeln!(text, "        {}) return ;;", long(flag));
            }
            Value::Choice(choices) => {
                let short = flag.short.map(|short| format!("|-{short}")).unwrap_or_default();
                let _infallible = writeln!(
                    text,
                    "        {}{short}) COMPREPLY=($(compgen -W '{}' -- \"$word\")); return ;;",
                    long(flag),
                    choices.join(" ")
                );
            }
        }
    }
    text.push_str("    esac\n    case $command in\n");
    for spec in ALL {
        let mut offered: Vec<String> = spec.all_flags().map(long).collect();
        offered.extend(words(spec.operands).iter().map(|word| (*word).to_owned()));
        let files = if spec.operands == Operands::Files { " -f" } else { "" };
        let _infallible = writeln!(
            text,
            "        {}) COMPREPLY=($(compgen{files} -W '{}' -- \"$word\")) ;;",
            spec.name,
            offered.join(" ")
        );
    }
    let common: Vec<String> = COMMON.iter().map(long).collect();
    let _infallible = writeln!(
        text,
        "        *) COMPREPLY=($(compgen -W '{} {}' -- \"$word\")) ;;\n    esac\n}}\ncomplete -F _boragecove boragecove",
        names().join(" "),
        common.join(" ")
    );
    text
}

/// A script for zsh.
#[must_use]
pub fn zsh() -> String {
    let mut text = "#compdef boragecove\n_boragecove() {\n    local -a commands\n    commands=(\n".to_owned();
    for spec in ALL {
        let _infallible = writeln!(text, "        {}", quoted(&format!("{}:{}", spec.name, spec.summary)));
    }
    text.push_str("    )\n    local -a common\n    common=(\n");
    for flag in COMMON {
        let _infallible = writeln!(text, "        {}", zsh_flag(flag));
    }
    text.push_str(
        "    )\n    local curcontext=\"$curcontext\" state line\n    typeset -A opt_args\n    _arguments -C $common '1:command:->command' '*::argument:->argument'\n    \
         case $state in\n        command) _describe command commands ;;\n        argument)\n            \
         case $words[1] in\n",
    );
    for spec in ALL {
        let _infallible = writeln!(text, "                {})", spec.name);
        let mut line = "                    _arguments $common".to_owned();
        for flag in spec.flags {
            let _infallible = write!(line, " {}", zsh_flag(flag));
        }
        line.push_str(&zsh_operands(spec));
        let _infallible = writeln!(text, "{line} ;;");
    }
    text.push_str("            esac ;;\n    esac\n}\n_boragecove \"$@\"\n");
    text
}

fn zsh_flag(flag: &Flag) -> String {
    let value = match flag.value {
        Value::None => String::new(),
        Value::Text(word) => format!(":{}: ", word.replace(':', "\\:")),
        Value::Choice(choices) => format!(":{}:({})", flag.long, choices.join(" ")),
    };
    quoted(&format!("{}[{}]{value}", long(flag), flag.help))
}

fn zsh_operands(spec: &Spec) -> String {
    match spec.operands {
        Operands::None => String::new(),
        Operands::Files => " '*:file:_files'".to_owned(),
        Operands::Backend => " '1:backend: '".to_owned(),
        Operands::Code => " '1:code: '".to_owned(),
        Operands::Shell => format!(" '1:shell:({})'", SHELLS.join(" ")),
    }
}

/// A script for fish.
#[must_use]
pub fn fish() -> String {
    let mut text = "complete -c boragecove -f\n".to_owned();
    for spec in ALL {
        let _infallible = writeln!(
            text,
            "complete -c boragecove -n __fish_use_subcommand -a {} -d {}",
            spec.name,
            quoted(spec.summary)
        );
    }
    for flag in COMMON {
        let _infallible = writeln!(text, "complete -c boragecove{}", fish_flag(flag));
    }
    for spec in ALL {
        let within = format!("complete -c boragecove -n '__fish_seen_subcommand_from {}'", spec.name);
        for flag in spec.flags {
            let _infallible = writeln!(text, "{within}{}", fish_flag(flag));
        }
        if spec.operands == Operands::Files {
            let _infallible = writeln!(text, "{within} -F");
        }
        for word in words(spec.operands) {
            let _infallible = writeln!(text, "{within} -a {word}");
        }
    }
    text
}

fn fish_flag(flag: &Flag) -> String {
    let short = flag.short.map(|short| format!(" -s {short}")).unwrap_or_default();
    let value = match flag.value {
        Value::None => String::new(),
        Value::Text(_) => " -r".to_owned(),
        Value::Choice(choices) => format!(" -r -a '{}'", choices.join(" ")),
    };
    format!(" -l {}{short}{value} -d {}", flag.long, quoted(flag.help))
}
