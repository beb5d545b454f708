//! `boragecoved`: the daemon of an entry VM.

fn main() {}
