//! The daemon of an entry VM: its edges around the reducer.

pub mod platform;
