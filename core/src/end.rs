//! How a request ended, and the proof that it takes to say that it was not run.

use std::time::Duration;

use crate::attempt::Failure;
use crate::code::{Code, Outcome, Retry};
use crate::id;

/// What the tries of a request, taken together, may have done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    sent: u16,
    disproved: u16,
}

impl Exposure {
    /// A try is about to be sent: from now on it may have run.
    pub(crate) fn send(&mut self) {
        self.sent += 1;
    }

    /// A try certainly did not run.
    pub(crate) fn disprove(&mut self, _evidence: Evidence) {
        self.disproved += 1;
    }

    /// Proof that no back end ran the request, if there is one.
    pub(crate) fn proof(self) -> Option<NotRun> {
        (self.sent == self.disproved).then_some(NotRun(()))
    }
}

/// Evidence that one try did not run: no byte of it left, or the back end itself said so.
#[derive(Debug)]
pub struct Evidence(());

impl Evidence {
    /// The evidence that lies in how a try failed, if there is any.
    pub(crate) const fn of(failure: Failure) -> Option<Self> {
        match failure {
            Failure::Connect | Failure::Refused(_) => Some(Self(())),
            Failure::Broken | Failure::Error | Failure::Foreign | Failure::Forgotten => None,
        }
    }
}

/// Proof that no back end ran a request. Only `Exposure::proof` makes one.
#[derive(Debug)]
pub struct NotRun(());

/// How a request ended; it ends once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    code: Code,
    outcome: Outcome,
    attempt: Option<id::Attempt>,
    retry_after_ms: Option<u64>,
}

impl End {
    /// The answer of `attempt` was passed on whole.
    pub(crate) const fn answered(attempt: id::Attempt) -> Self {
        Self { code: Code::Ok, outcome: Outcome::Answered, attempt: Some(attempt), retry_after_ms: None }
    }

    /// No back end ran it. A caller that may come back is told when.
    pub(crate) fn not_run(_proof: &NotRun, code: Code, retry_after: Option<Duration>) -> Self {
        let retry_after_ms = retry_after.filter(|_| code.retry() == Retry::Later);
        let retry_after_ms = retry_after_ms.map(|wait| wait.as_millis() as u64);
        Self { code, outcome: Outcome::NotRun, attempt: None, retry_after_ms }
    }

    /// A back end may have run it.
    pub(crate) const fn unknown(code: Code) -> Self {
        Self { code, outcome: Outcome::Unknown, attempt: None, retry_after_ms: None }
    }

    /// Ends with `code`: not run where `exposure` proves it, else unknown.
    pub(crate) fn failed(exposure: Exposure, code: Code, retry_after: Option<Duration>) -> Self {
        match exposure.proof() {
            Some(proof) => Self::not_run(&proof, code, retry_after),
            None => Self::unknown(code),
        }
    }

    /// Another request under the same idempotency key holds it: the outcome is that request's.
    pub(crate) fn repeated(code: Code, first: Outcome, retry_after: Option<Duration>) -> Self {
        // Where the first was not run, its key would be free.
        let outcome = if first == Outcome::NotRun { Outcome::Unknown } else { first };
        let retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
        Self { code, outcome, attempt: None, retry_after_ms }
    }

    /// The result code.
    #[must_use]
    pub const fn code(&self) -> Code {
        self.code
    }

    /// Whether a back end ran it.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The attempt whose answer the caller gets; none for an error of our own.
    #[must_use]
    pub const fn attempt(&self) -> Option<id::Attempt> {
        self.attempt
    }

    /// When to come back, for a refusal that will pass, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}
