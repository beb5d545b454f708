//! Numbered result codes of requests and of operators' calls.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a back end ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer of a back end was delivered to the caller.
    Answered,
    /// No back end ran the request.
    NotRun,
    /// A back end may have run the request.
    Unknown,
}

impl Outcome {
    /// Value in the `Boragecove-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $retry:ident, $counter:literal, $meaning:literal;)*) => {
        /// A result code. The hundreds digit gives the area: 0 success, 1 the request itself, 2 the caller,
        /// 3 capacity and deadlines, 4 back ends, 5 the platform, 6 configuration and operators' calls, 9
        /// the daemon.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All codes, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// HTTP status of the response.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Whether and how the caller may try again.
            #[must_use]
            pub const fn retry(self) -> Retry {
                match self { $(Self::$name => Retry::$retry),* }
            }

            /// Value of the `code` label of the request counter.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => $counter),* }
            }

            /// Description of the code in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning),* }
            }

            /// Returns the code with this number.
            #[must_use]
            pub fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)* _ => None }
            }
        }
    };
}

/// Whether a caller may send the same request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Retry {
    /// The request succeeded.
    Done,
    /// Only after the request has been changed.
    Changed,
    /// Yes, after the time in `Retry-After`.
    Later,
    /// Only if the request is idempotent, since the first may have run.
    Idempotent,
}

impl Retry {
    /// Text in docs/CODES.md.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "nothing to retry",
            Self::Changed => "only once changed",
            Self::Later => "yes, after `Retry-After`",
            Self::Idempotent => "only if idempotent",
        }
    }
}

codes! {
    Ok = 0, 200, Done, "ok", "A back end's answer was passed on whole.";
    Malformed = 100, 400, Changed, "malformed", "The request's body or a header could not be read.";
    BodyTooLarge = 101, 413, Changed, "body_too_large", "The body is over the limit.";
    ReadTimeout = 102, 408, Later, "read_timeout", "The request did not arrive whole within the time limit.";
    UnknownModel = 103, 404, Changed, "unknown_model", "No such model, version or adapter is in the inventory.";
    UnknownService = 104, 404, Changed, "unknown_service", "No such service is in the inventory.";
    UnknownPath = 105, 404, Changed, "unknown_path", "There is nothing at this path.";
    KeyReused = 106, 422, Changed, "key_reused", "The idempotency key was used before with another request.";
    HeadersTooLarge = 107, 431, Changed, "headers_too_large", "The headers are over the limit.";
    TooManyHops = 108, 508, Later, "too_many_hops", "The request was passed on by too many entry VMs.";
    CrashesBackends = 109, 400, Changed, "crashes_backends", "Back ends crashed while they ran this request; it is not sent to any for now.";
    Unauthenticated = 200, 401, Changed, "unauthenticated", "The bearer token is missing or not known.";
    Forbidden = 201, 403, Changed, "forbidden", "The caller may not reach this model or service.";
    CallerLimit = 202, 429, Later, "caller_limit", "The caller has too many requests open.";
    OverQuota = 203, 429, Later, "over_quota", "The caller's workspace has asked for more than its limit.";
    KeyUnproven = 204, 503, Later, "key_unproven", "Whether the key still holds cannot be told for now.";
    QuotaUnknown = 205, 503, Later, "quota_unknown", "What is left of the workspace's limit cannot be told for now.";
    QueueFull = 300, 503, Later, "queue_full", "The queue for this model or service is full.";
    EntryFull = 301, 503, Later, "entry_full", "The entry VM has too many requests open, or no memory for another.";
    DeadlineUnreachable = 302, 503, Later, "deadline_unreachable", "It could not be answered before its deadline.";
    DeadlinePassed = 303, 504, Idempotent, "deadline_passed", "Its deadline passed before it was answered.";
    Preempted = 304, 503, Later, "preempted", "A more urgent request took its place in the queue.";
    CallerGone = 305, 499, Idempotent, "caller_gone", "The caller closed the connection.";
    NoBackend = 400, 503, Later, "no_backend", "No back end that could answer is known.";
    RetriesSpent = 401, 503, Later, "retries_spent", "Every try was refused, or the retry budget is spent.";
    BackendFailed = 402, 502, Idempotent, "backend_failed", "The back end failed after the request was sent to it.";
    BackendSilent = 403, 504, Idempotent, "backend_silent", "The back end did not answer in time.";
    BackendRefused = 404, 503, Later, "backend_refused", "The back end refused the request without running it.";
    Interrupted = 405, 502, Idempotent, "interrupted", "The answer broke off and could not be resumed.";
    Duplicate = 406, 409, Changed, "duplicate", "A request with this idempotency key ran before; it was not run again.";
    InProgress = 407, 409, Later, "in_progress", "A request with this idempotency key may still be running.";
    BuildGone = 408, 503, Later, "build_gone", "No back end runs the software that began the stream; it may be begun anew.";
    OriginUnknown = 409, 503, Later, "origin_unknown", "Which software began the stream cannot be told; it may be begun anew.";
    CrashSuspected = 410, 503, Later, "crash_suspected", "Back ends crashed while they ran requests like this one; whether it was the cause is being tried out.";
    PlatformDown = 500, 503, Later, "platform_down", "The platform's table does not answer, and this needs it.";
    Conflict = 600, 409, Changed, "conflict", "Another change was accepted first.";
    InvalidConfiguration = 601, 422, Changed, "invalid_configuration", "The configuration contradicts itself.";
    DoesNotFit = 602, 422, Changed, "does_not_fit", "The inventory does not fit into the accelerators there are.";
    UnknownVm = 603, 404, Changed, "unknown_vm", "No such VM is known.";
    NotAccepted = 604, 503, Later, "not_accepted", "The change was not accepted: the platform does not answer.";
    Unsettled = 605, 504, Idempotent, "unsettled", "Whether the change was accepted is not known; ask again by its operation id.";
    Stopping = 900, 503, Later, "stopping", "The entry VM is shutting down.";
    NotReady = 901, 503, Later, "not_ready", "The entry VM has no configuration yet.";
    Internal = 902, 500, Idempotent, "internal", "A fault of the daemon itself.";
}

impl Code {
    /// Outcomes that are possible with this code. The `Boragecove-Outcome` header gives the actual one.
    #[must_use]
    pub const fn outcomes(self) -> &'static [Outcome] {
        match self.retry() {
            Retry::Done => &[Outcome::Answered],
            Retry::Changed | Retry::Later => &[Outcome::NotRun],
            Retry::Idempotent => &[Outcome::NotRun, Outcome::Unknown],
        }
    }

    /// Number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.label())
    }
}
