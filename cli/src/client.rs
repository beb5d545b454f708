//! Asks an entry VM's listener for operators.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use boragecove_core::code::Code;
use boragecove_core::operator::{Answer, Query, Refusal};
use boragecove_wire::path;

use crate::environment;
use crate::error::Error;
use crate::options::Options;

/// Time for a question, if none is given.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time for a change, if none is given: longer than an entry VM tries to settle one with the platform.
const CHANGE_DEADLINE: Duration = Duration::from_secs(30);
/// The longest answer that is taken, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// One entry VM, as asked by operators.
pub struct Client {
    http: awc::Client,
    address: SocketAddr,
    token: Option<String>,
    deadline: Option<Duration>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.address)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// A client for the address that the options name.
    ///
    /// # Errors
    ///
    /// If they name none, or something that is no address.
    pub fn new(options: &Options) -> Result<Self, Error> {
        let hint = format!("give --address IP:PORT or set {}", environment::ADDRESS);
        let Some(address) = &options.address else {
            return Err(Error::usage("no entry VM is named", hint));
        };
        let bare = address.strip_prefix("http://").unwrap_or(address).trim_end_matches('/');
        let address = bare.parse().map_err(|_bad: std::net::AddrParseError| {
            Error::usage(format!("'{address}' is no IP address with a port"), hint)
        })?;
        let http = awc::Client::builder().disable_timeout().finish();
        Ok(Self { http, address, token: options.token.clone(), deadline: options.deadline })
    }

    /// Asks, and returns the answer that is no error.
    ///
    /// # Errors
    ///
    /// If the daemon refuses, does not answer in time, or cannot be reached.
    pub async fn ask(&self, query: &Query) -> Result<Answer, Error> {
        let default = if matches!(query, Query::Apply(_)) { CHANGE_DEADLINE } else { DEADLINE };
        let deadline = self.deadline.unwrap_or(default);
        let answered = timeout(deadline, self.exchange(query)).await;
        let answer = answered.unwrap_or_else(|_elapsed| {
            Err(self.lost(format!("nothing came within {} ms", deadline.as_millis())))
        })?;
        match answer {
            Answer::Error(refusal) => Err(Error::Refused(refusal)),
            other => Ok(other),
        }
    }

    /// The error for an answer to another question.
    #[must_use]
    pub fn mismatched(&self) -> Error {
        Error::Foreign { address: self.address.to_string(), status: StatusCode::OK.as_u16() }
    }

    async fn exchange(&self, query: &Query) -> Result<Answer, Error> {
        let mut request = self.http.post(format!("http://{}{}", self.address, path::OPERATOR));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = request.send_json(query).await;
        let mut response = sent.map_err(|error| self.failed(&error))?;
        let status = response.status();
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.map_err(|error| self.lost(error.to_string()))?;
        match serde_json::from_slice(&body) {
            Ok(answer) => Ok(answer),
            Err(_foreign) if status == StatusCode::UNAUTHORIZED => Ok(Answer::Error(Refusal {
                code: Code::Unauthenticated,
                reasons: Vec::new(),
                hint: "".into(),
                version: None,
            })),
            Err(_foreign) if status.is_server_error() => self.broken(status),
            Err(_foreign) => {
                Err(Error::Foreign { address: self.address.to_string(), status: status.as_u16() })
            }
        }
    }

    fn broken(&self, status: StatusCode) -> Result<Answer, Error> {
        Err(self.lost(format!("HTTP status {status}")))
    }

    fn failed(&self, error: &SendRequestError) -> Error {
        match error {
            // So the library calls a connection that was open and is closed before the answer is whole.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                self.lost("the connection was closed before the answer".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => {
                Error::Unreachable { address: self.address.to_string(), reason: error.to_string() }
            }
            _ => self.lost(error.to_string()),
        }
    }

    fn lost(&self, reason: String) -> Error {
        Error::Lost { address: self.address.to_string(), reason }
    }
}
