//! Paths of the HTTP interfaces.

/// Callers: a completion of a prompt. Also an engine's.
pub const COMPLETIONS: &str = "/v1/completions";
/// Callers: a completion of a conversation. Also an engine's.
pub const CHAT: &str = "/v1/chat/completions";
/// Callers: the models that may be asked for.
pub const MODELS: &str = "/v1/models";
/// Callers: a plain service; the rest of the path goes on to it.
pub const SERVICES: &str = "/v1/services/{name}/{path:.*}";
/// Whether the process lives.
pub const LIVE: &str = "/live";
/// Whether the balancer may send requests here.
pub const READY: &str = "/ready";
/// Metrics, in the text format that collectors of them read.
pub const METRICS: &str = "/metrics";

/// Engines: takes an order (`POST`, JSON of `engine::Order`), answers an `engine::Receipt`.
pub const ORDERS: &str = "/engine/orders";
/// Engines: the load report (`GET`, JSON of `engine::Report`).
pub const REPORT: &str = "/engine/report";
/// Engines: changes of the prefix cache (`GET ?from=N`, JSON of `engine::CacheUpdate`).
pub const CACHE: &str = "/engine/cache";
/// Engines: an attempt under way (`DELETE` cancels it).
pub const ATTEMPT: &str = "/engine/attempts/{attempt}";
/// Engines: an attempt's KV cache (`GET` exports it, `PUT` imports it).
pub const KV: &str = "/engine/kv/{attempt}";

/// Platform: the table (`POST`, JSON of `platform::Call`), answers a `platform::Reply`.
pub const TABLE: &str = "/table";
/// Platform: an object (`GET`, `PUT`, `DELETE`).
pub const OBJECT: &str = "/objects/{key:.*}";
/// Platform: the list of VMs (`GET`, JSON of `vm::Vm`s).
pub const VMS: &str = "/vms";
/// Stand-in platform: a machine on the list (`DELETE` takes it off).
pub const VM: &str = "/vms/{name}";
/// Platform, for engines: fetches weights (`POST ?mb=N`), answers when they are all there.
pub const WEIGHTS: &str = "/weights";
/// Stand-ins: faults to commit (`GET`, `PUT`).
pub const FAULTS: &str = "/faults";

/// Entry VMs: a frame from a peer (`POST`, an encoded `frame::Frame`).
pub const FRAME: &str = "/peer/frame";
/// Entry VMs: a question from an operator (`POST`, JSON of `operator::Query`).
pub const OPERATOR: &str = "/operator";
