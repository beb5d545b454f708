//! Where a command writes: results to one side, progress and errors to the other.

use std::fmt;
use std::io::{self, Write};

use serde::Serialize;

use crate::error::Error;
use crate::table::printable;

/// The two streams of a command.
pub struct Console<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and errors.
    pub err: &'a mut dyn Write,
}

impl fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Console").finish_non_exhaustive()
    }
}

impl Console<'_> {
    /// Writes a line of the result.
    ///
    /// # Errors
    ///
    /// If the stream cannot be written to.
    pub fn line(&mut self, text: impl fmt::Display) -> Result<(), Error> {
        Ok(writeln!(self.out, "{}", printable(&text.to_string()))?)
    }

    /// Writes a result that ends its own lines.
    ///
    /// # Errors
    ///
    /// If the stream cannot be written to.
    pub fn text(&mut self, text: &str) -> Result<(), Error> {
        Ok(self.out.write_all(text.as_bytes())?)
    }

    /// Writes a line of progress.
    ///
    /// # Errors
    ///
    /// If the stream cannot be written to.
    pub fn progress(&mut self, text: impl fmt::Display) -> Result<(), Error> {
        Ok(writeln!(self.err, "{}", printable(&text.to_string()))?)
    }

    /// Writes the result as JSON.
    ///
    /// # Errors
    ///
    /// If the stream cannot be written to.
    pub fn json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        serde_json::to_writer_pretty(&mut self.out, value).map_err(io::Error::from)?;
        Ok(writeln!(self.out)?)
    }
}
