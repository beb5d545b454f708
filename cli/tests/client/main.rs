//! The operators' client, run in this process against a small fake of an entry VM.

mod apply_changes;
mod codes_page;
mod examples_fit;
mod exit_classes;
mod fake;
mod shell_completions;
mod shown_results;
