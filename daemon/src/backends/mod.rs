//! The edge towards model engines and plain services.

pub(crate) mod classify;
pub(crate) mod control;
pub(crate) mod dial;
pub(crate) mod exchange;
pub(crate) mod pool;
pub(crate) mod request;
pub(crate) mod sse;
