//! `boragecove`: the operators' client.

fn main() {}
