//! `completions`: prints completions for a shell.

use crate::command::SHELLS;
use crate::completion;
use crate::console::Console;
use crate::error::Error;
use crate::options::Options;

/// Prints the script of the shell that is named.
pub(crate) fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let shell = options.operands.first().map(|name| name.to_string_lossy()).unwrap_or_default();
    let script = match shell.as_ref() {
        "bash" => completion::bash(),
        "zsh" => completion::zsh(),
        "fish" => completion::fish(),
        other => {
            let hint = format!("give one of {}", SHELLS.join(", "));
            return Err(Error::usage(format!("there are no completions for '{other}'"), hint));
        }
    };
    console.text(&script)
}
