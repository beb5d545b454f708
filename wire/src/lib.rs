//! The typed messages between boragecove's processes and at its edges, and their encodings.
//!
//! Nothing here decides anything: it says what things are called on the wire and turns the
//! types of `boragecove-core` into bytes and back.

pub mod completion;
pub mod document;
pub mod frame;
pub mod header;
pub mod jsonc;
pub mod nearest;
pub mod path;
pub mod platform;
pub mod proof;
