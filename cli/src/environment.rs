//! What a command takes from its environment when its options do not say.

use std::env;

/// The variable with the address of an entry VM's listener for operators.
pub const ADDRESS: &str = "BORAGECOVE_ADDRESS";
/// The variable with the operators' bearer token.
pub const TOKEN: &str = "BORAGECOVE_TOKEN";
/// The variable with the name of the user.
pub const USER: &str = "USER";

/// The environment of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// From [`ADDRESS`].
    pub address: Option<String>,
    /// From [`TOKEN`].
    pub token: Option<String>,
    /// From [`USER`].
    pub user: Option<String>,
}

impl Environment {
    /// Reads the process's environment; an empty variable counts as absent.
    #[must_use]
    pub fn read() -> Self {
        let variable = |name| env::var(name).ok().filter(|value| !value.is_empty());
        Self { address: variable(ADDRESS), token: variable(TOKEN), user: variable(USER) }
    }
}
