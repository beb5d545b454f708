//! Paths of the HTTP interfaces, and who serves them.

/// For callers, and at engines: completes a prompt.
pub const COMPLETIONS: &str = "/v1/completions";
/// For callers, and at engines: completes a conversation.
pub const CHAT: &str = "/v1/chat/completions";
/// For callers: lists the models that can be requested.
pub const MODELS: &str = "/v1/models";
/// For callers: calls a plain service; the rest of the path is forwarded to it.
pub const SERVICES: &str = "/v1/services/{name}/{path:.*}";
/// Liveness check of a process.
pub const LIVE: &str = "/live";
/// Readiness check: whether the load balancer may send requests to this process.
pub const READY: &str = "/ready";
/// Metrics in the text format of metrics collectors.
pub const METRICS: &str = "/metrics";

/// At engines: accepts an order (`POST`, JSON of `engine::Order`) and answers with an `engine::Receipt`.
pub const ORDERS: &str = "/engine/orders";
/// At engines: the load report (`GET`, JSON of `engine::Report`).
pub const REPORT: &str = "/engine/report";
/// At engines: changes of the prefix cache (`GET ?from=N`, JSON of `engine::CacheUpdate`).
pub const CACHE: &str = "/engine/cache";
/// At engines: a running attempt (`DELETE` cancels it).
pub const ATTEMPT: &str = "/engine/attempts/{attempt}";
/// At engines: the KV cache of an attempt (`GET` exports it, `PUT` imports it).
pub const KV: &str = "/engine/kv/{attempt}";

/// At the platform: a call of the table (`POST`, JSON of `platform::Call`), answered with a `platform::Reply`.
pub const TABLE: &str = "/table";
/// At the platform: an object (`GET`, `PUT`, `DELETE`).
pub const OBJECT: &str = "/objects/{key:.*}";
/// At the platform: the list of VMs (`GET`, JSON of `vm::Vm`s).
pub const VMS: &str = "/vms";
/// At the stand-in platform only: a VM on the list (`DELETE` removes it).
pub const VM: &str = "/vms/{name}";
/// At the platform, for engines: loads weights (`POST ?mb=N`); the answer comes when they are complete.
pub const WEIGHTS: &str = "/weights";
/// At stand-ins: the faults to inject (`GET`, `PUT`).
pub const FAULTS: &str = "/faults";

/// At entry VMs: a frame from a peer (`POST`, an encoded `frame::Frame`).
pub const FRAME: &str = "/peer/frame";
/// At entry VMs: an operator's query (`POST`, JSON of `operator::Query`).
pub const OPERATOR: &str = "/operator";
