//! Ids of requests, attempts, orders and operations, unique across entry VMs and restarts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Malformed;

/// Incarnation of a process: a number chosen at its start, so that a restarted process has another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

macro_rules! sequence {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name {
            /// Incarnation of the process that assigned the id.
            pub by: Incarnation,
            /// Sequence number within that process, from 1.
            pub seq: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}-{:x}", self.by, self.seq)
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(s: &str) -> Result<Self, Malformed> {
                let malformed = || Malformed::new(stringify!($name), s);
                let (by, seq) = s.split_once('-').ok_or_else(malformed)?;
                let by = u64::from_str_radix(by, 16).map_err(|_bad| malformed())?;
                let seq = u64::from_str_radix(seq, 16).map_err(|_bad| malformed())?;
                Ok(Self { by: Incarnation(by), seq })
            }
        }
    };
}

sequence!(
    /// Id of a request, assigned by the entry VM that received it.
    Request
);
sequence!(
    /// Id of an order to a model engine. Engines treat a repeated id as the same order.
    Order
);
sequence!(
    /// Id of an operation on the platform. The answer carries the same id.
    Op
);
sequence!(
    /// Id of an operator's query that waits for its answer.
    Ask
);

/// Id of one attempt of a request at a back end. Back ends echo it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: Request,
    /// Number of the attempt within the request, from 1.
    pub n: u16,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.n)
    }
}

impl FromStr for Attempt {
    type Err = Malformed;

    fn from_str(s: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed::new("Attempt", s);
        let (request, n) = s.rsplit_once('-').ok_or_else(malformed)?;
        let n = n.parse().map_err(|_bad| malformed())?;
        Ok(Self { request: request.parse()?, n })
    }
}
