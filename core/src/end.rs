//! End of a request, and the proof required to report that it was not run.

use std::time::Duration;

use crate::attempt::Failure;
use crate::code::{Code, Outcome, Retry};
use crate::id;

/// Number of attempts of a request, and of those proven not to have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Execution {
    sent: u16,
    disproved: u16,
}

impl Execution {
    /// Records that an attempt is about to be sent. From now on it may have run.
    pub(crate) fn attempt_sent(&mut self) {
        self.sent += 1;
    }

    /// Records that an attempt did not run.
    pub(crate) fn attempt_not_run(&mut self, _evidence: Evidence) {
        self.disproved += 1;
    }

    /// Proof that no back end ran the request: every attempt is proven not to have run.
    pub(crate) fn not_run_proof(self) -> Option<NotRun> {
        (self.sent == self.disproved).then_some(NotRun(()))
    }
}

/// Evidence that one attempt did not run: no byte of it was sent, or the back end answered that it did not
/// run it.
#[derive(Debug)]
pub struct Evidence(());

impl Evidence {
    /// Evidence that follows from a failure, if any.
    pub(crate) const fn of(failure: Failure) -> Option<Self> {
        match failure {
            Failure::Connect | Failure::Refused(_) => Some(Self(())),
            Failure::Broken | Failure::Error | Failure::Foreign | Failure::Forgotten => None,
        }
    }
}

/// Proof that no back end ran a request. Only `Execution::not_run_proof` creates it.
#[derive(Debug)]
pub struct NotRun(());

/// End of a request. A request ends exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    code: Code,
    outcome: Outcome,
    attempt: Option<id::Attempt>,
    retry_after_ms: Option<u64>,
}

impl End {
    /// The answer of `attempt` was delivered completely.
    pub(crate) const fn answered(attempt: id::Attempt) -> Self {
        Self { code: Code::Ok, outcome: Outcome::Answered, attempt: Some(attempt), retry_after_ms: None }
    }

    /// No back end ran the request. `retry_after` is kept only for codes that permit a later retry.
    pub(crate) fn not_run(_proof: &NotRun, code: Code, retry_after: Option<Duration>) -> Self {
        let retry_after_ms = retry_after.filter(|_| code.retry() == Retry::Later);
        let retry_after_ms = retry_after_ms.map(|wait| wait.as_millis() as u64);
        Self { code, outcome: Outcome::NotRun, attempt: None, retry_after_ms }
    }

    /// A back end may have run the request.
    pub(crate) const fn unknown(code: Code) -> Self {
        Self { code, outcome: Outcome::Unknown, attempt: None, retry_after_ms: None }
    }

    /// The request failed with `code`. The outcome is "not run" if that is proven, else "unknown".
    pub(crate) fn failed(exposure: Execution, code: Code, retry_after: Option<Duration>) -> Self {
        match exposure.not_run_proof() {
            Some(proof) => Self::not_run(&proof, code, retry_after),
            None => Self::unknown(code),
        }
    }

    /// Another request holds the idempotency key. `first` is the outcome of that request.
    pub(crate) fn duplicate(code: Code, first: Outcome, retry_after: Option<Duration>) -> Self {
        // The key of a request that was not run is free, so this outcome is not final.
        let outcome = if first == Outcome::NotRun { Outcome::Unknown } else { first };
        let retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
        Self { code, outcome, attempt: None, retry_after_ms }
    }

    /// Result code.
    #[must_use]
    pub const fn code(&self) -> Code {
        self.code
    }

    /// Whether a back end ran the request.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The attempt whose answer the caller gets; `None` if the caller gets an error of the gateway.
    #[must_use]
    pub const fn attempt(&self) -> Option<id::Attempt> {
        self.attempt
    }

    /// Time until the caller should retry, in milliseconds, for a temporary refusal.
    #[must_use]
    pub const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}
