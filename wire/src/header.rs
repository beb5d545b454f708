//! Names of the HTTP headers that are not part of HTTP itself, in lower case.

/// In every response to a caller: the request's id.
pub const REQUEST: &str = "boragecove-request";
/// In every response to a caller: the number of the result code.
pub const CODE: &str = "boragecove-code";
/// In every response to a caller: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "boragecove-outcome";
/// From a caller: `true` or `false`, whether the request may run more than once.
pub const IDEMPOTENT: &str = "boragecove-idempotent";
/// From a caller: `urgent`, `high`, `normal` or `deferrable`.
pub const PRIORITY: &str = "boragecove-priority";
/// From a caller and to backend servers: milliseconds from now until the answer is no longer of use.
pub const DEADLINE_MS: &str = "boragecove-deadline-ms";
/// From a caller: the key under which requests run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// To and from backend servers: the attempt's id.
pub const ATTEMPT: &str = "boragecove-attempt";
/// To engines: the artifact to run on, as `model[:adapter]@version`.
pub const ARTIFACT: &str = "boragecove-artifact";
/// To engines: the attempt whose answer is to be resumed after `last-event-id`.
pub const RESUME_OF: &str = "boragecove-resume-of";
/// To engines: the number of the last stream event received, as server-sent events define it.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// From backend servers that did not run a request: `busy`, `leaving`, `not-loaded` or `late`.
pub const REFUSAL: &str = "boragecove-refusal";
/// From engines: the attempt to resume is no longer known.
pub const FORGOTTEN: &str = "boragecove-forgotten";
/// Between entry VMs: the number of entry VMs that a request has passed through.
pub const HOPS: &str = "boragecove-hops";
/// From an entry VM that accepted a frame: the newest frame version that it reads.
pub const FRAME_VERSION: &str = "boragecove-frame-version";
/// Between entry VMs: proof that the sender knows the shared secret, as lower-case hex.
pub const PROOF: &str = "boragecove-proof";
