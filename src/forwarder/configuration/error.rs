//! Errors of reading the configuration.

use crate::key_value::FieldError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why the forwarder's configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("the environment variable {name} is not set")]
    MissingVariable {
        /// The name of the variable.
        name: &'static str,
    },
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The configuration file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The configuration file is not JSON of the expected form.
    #[error("cannot parse {path}: {source}")]
    Parse {
        /// The configuration file.
        path: PathBuf,
        /// The cause, with its line and column in the file.
        source: serde_json::Error,
    },
    /// The address for operators in the environment variable cannot be parsed.
    #[error("{variable}: {source}")]
    AdminAddress {
        /// The name of the environment variable.
        variable: &'static str,
        /// The cause.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("{path}: seed: {source}")]
    Seed {
        /// The configuration file.
        path: PathBuf,
        /// The cause.
        source: ParseIntError,
    },
    /// A setting is missing or invalid.
    #[error("{path}: settings: {source}")]
    Settings {
        /// The configuration file.
        path: PathBuf,
        /// The cause, with the path of the setting within `settings`.
        source: FieldError,
    },
}
