//! The messages between boragecove's processes and at its external interfaces, and their encodings.
//!
//! This crate contains no decisions. It defines the names used on the wire, and converts types of `boragecove-core` to bytes and back.

pub mod completion;
pub mod document;
pub mod frame;
pub mod header;
pub mod jsonc;
pub mod nearest;
pub mod path;
pub mod platform;
pub mod proof;
