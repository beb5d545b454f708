//! Identifiers that a process draws for what it starts: unique across entry VMs and restarts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Malformed;

/// One life of one daemon process. Drawn at start; a restarted process has another.
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
            /// The process that drew it.
            pub by: Incarnation,
            /// Its number within that process, from 1.
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
    /// A caller's request, as taken by one entry VM.
    Request
);
sequence!(
    /// An order to a model engine. Engines treat a repeated id as the same order.
    Order
);
sequence!(
    /// An operation on the platform: its answer carries the same id.
    Op
);
sequence!(
    /// A question from an operator that waits for its answer.
    Ask
);

/// One try of a request at one back end. Back ends echo it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request this is a try of.
    pub request: Request,
    /// Its number within the request, from 1.
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
