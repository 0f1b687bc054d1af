//! The configuration of the forwarder: environment variables and the configuration file.

mod error;
mod setting_pairs;

pub use error::ConfigError;

use crate::forwarder::messages::endpoint_list::EndpointList;
use crate::interface::Settings;
use crate::settings_reader::{SettingNames, settings_from_pairs};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable with the path of the state folder, which outlives the process.
const STATE_VARIABLE: &str = "BALANCER_STATE";
/// Environment variable that overrides the address for operators. During an upgrade two processes share the
/// configuration file, but cannot share that address.
const ADMIN_VARIABLE: &str = "BALANCER_ADMIN";

/// Limits on the resources of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct ResourceLimits {
    /// Memory, in MiB.
    pub(crate) memory_mb: usize,
    /// Open file descriptors.
    pub(crate) sockets: usize,
    /// Disk space for the files of the state folder, in MB.
    pub(crate) disk_mb: f64,
}

/// The content of the configuration file. Unknown fields are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    /// A hexadecimal number of at most 64 bits.
    seed: String,
    limits: ResourceLimits,
    #[serde(default, rename = "known")]
    known_endpoints: Value,
    settings: Value,
}

/// The configuration of the forwarder.
pub struct Config {
    /// The address for clients, unless a listener is inherited.
    pub(crate) listen: SocketAddr,
    /// The address of the platform, which serves discovery and receives notices.
    pub(crate) discovery: SocketAddr,
    /// The address for operators; `None` if operators are not served.
    pub(crate) admin: Option<SocketAddr>,
    /// The folder of the journal and of the files for upgrades. It outlives the process.
    pub(crate) state_folder: PathBuf,
    /// The seed of the decision module's random numbers.
    pub(crate) seed: u64,
    /// Limits on the resources of the process.
    pub(crate) limits: ResourceLimits,
    /// The endpoint list at the time when the file was written; `None` if it is missing or cannot be parsed.
    pub(crate) known_endpoints: Option<EndpointList>,
    /// The settings of the decision module.
    pub(crate) settings: Settings,
    /// The names that clients and discovery use for what `settings` refers to by index.
    pub(crate) setting_names: SettingNames,
}

impl Config {
    /// Reads the configuration file named by `BALANCER_CONFIG`, and the environment.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`].
    pub fn from_env() -> Result<Self, ConfigError> {
        let mut config = Config::read(&required_path(CONFIG_VARIABLE)?, required_path(STATE_VARIABLE)?)?;
        if let Some(admin) = admin_from_env()? {
            config.admin = Some(admin);
        }
        Ok(config)
    }

    fn read(path: &Path, state_folder: PathBuf) -> Result<Self, ConfigError> {
        let file = ConfigFile::read(path)?;
        let known_endpoints = parse_known_endpoints(file.known_endpoints);
        let (settings, setting_names) = settings_from_pairs(&setting_pairs::flatten(&file.settings))
            .map_err(|source| ConfigError::Settings { path: path.into(), source })?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|source| ConfigError::Seed { path: path.into(), source })?;
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            state_folder,
            seed,
            limits: file.limits,
            known_endpoints,
            settings,
            setting_names,
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

/// Parses the endpoint list of the configuration file. An invalid list is not an error: the forwarder then
/// starts calls only after it has received a list from discovery.
fn parse_known_endpoints(document: Value) -> Option<EndpointList> {
    EndpointList::deserialize(document)
        .inspect_err(|error| eprintln!("configuration: ignoring the known endpoints: {error}"))
        .ok()
}
