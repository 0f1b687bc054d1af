//! The configuration of the forwarder: environment variables and the configuration file.

mod error;
mod setting_pairs;

pub use error::ConfigError;

use crate::forwarder::messages::endpoint_list::EndpointList;
use crate::interface::Settings;
use crate::settings_reader::{SettingNames, settings_from};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs};

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Names the directory that outlasts the process.
const STATE_VARIABLE: &str = "BALANCER_STATE";
/// Overrides the address for operators, since processes may share the file but not the address.
const ADMIN_VARIABLE: &str = "BALANCER_ADMIN";

/// Bounds on the resources of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct ResourceLimits {
    /// Memory, in MiB.
    pub(crate) memory_mb: usize,
    /// Open file descriptors.
    pub(crate) sockets: usize,
    /// Disk space for the journal, in MB.
    pub(crate) disk_mb: f64,
}

/// The form of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    /// Hexadecimal.
    seed: String,
    limits: ResourceLimits,
    #[serde(default, rename = "known")]
    known_endpoints: Value,
    settings: Value,
}

/// The configuration of the forwarder.
pub struct Config {
    /// Where clients connect, unless a listener is inherited.
    pub(crate) listen: SocketAddr,
    /// The address of discovery and of the receiver of notices.
    pub(crate) discovery: SocketAddr,
    /// Where operators connect, if anywhere.
    pub(crate) admin: Option<SocketAddr>,
    /// The directory that outlasts the process.
    pub(crate) state: PathBuf,
    /// The seed of the decision module's random numbers.
    pub(crate) seed: u64,
    /// Bounds on the resources of the process.
    pub(crate) limits: ResourceLimits,
    /// The endpoint list that this forwarder had last, if it had one.
    pub(crate) known: Option<EndpointList>,
    /// The settings of the decision module.
    pub(crate) settings: Settings,
    /// The names of what the settings number.
    pub(crate) names: SettingNames,
}

impl Config {
    /// Reads the configuration file named by `BALANCER_CONFIG`, and the environment.
    ///
    /// # Errors
    ///
    /// A variable is missing or invalid, or the file cannot be read, parsed or understood.
    pub fn from_env() -> Result<Self, ConfigError> {
        let mut config = Config::read(&required_path(CONFIG_VARIABLE)?, required_path(STATE_VARIABLE)?)?;
        if let Some(admin) = admin_from_env()? {
            config.admin = Some(admin);
        }
        Ok(config)
    }

    fn read(path: &Path, state: PathBuf) -> Result<Self, ConfigError> {
        let file = ConfigFile::read(path)?;
        let known = parse_known_endpoints(file.known_endpoints);
        let (settings, names) = settings_from(&setting_pairs::flatten(&file.settings))
            .map_err(|source| ConfigError::Settings { path: path.into(), source })?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|source| ConfigError::Seed { path: path.into(), source })?;
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            state,
            seed,
            limits: file.limits,
            known,
            settings,
            names,
        })
    }
}

impl ConfigFile {
    fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = fs::read(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
        serde_json::from_slice(&text).map_err(|source| ConfigError::Parse { path: path.into(), source })
    }
}

fn required_path(name: &'static str) -> Result<PathBuf, ConfigError> {
    env::var_os(name).map(PathBuf::from).ok_or(ConfigError::MissingVariable { name })
}

fn admin_from_env() -> Result<Option<SocketAddr>, ConfigError> {
    let Some(address) = env::var(ADMIN_VARIABLE).ok().filter(|address| !address.is_empty()) else {
        return Ok(None);
    };
    let parsed = address.parse();
    parsed.map(Some).map_err(|source| ConfigError::AdminAddress { variable: ADMIN_VARIABLE, source })
}

/// An old endpoint list lets the forwarder send calls before discovery is reached, but it can do without one.
fn parse_known_endpoints(document: Value) -> Option<EndpointList> {
    EndpointList::deserialize(document)
        .inspect_err(|error| eprintln!("configuration: no known endpoints: {error}"))
        .ok()
}
