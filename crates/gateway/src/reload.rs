//! Reload of the configuration files on SIGHUP, without interrupting service. Settings of the discovery service, the
//! paged REST protocol, membership and leases take effect at once; all other changes take effect when the gateway
//! restarts.

use crate::client::paged_rest::RestService;
use crate::cluster::Cluster;
use crate::config::{self, Config, ConfigFileError};
use crate::discovery;
use crate::signals::SignalStream;
use crate::state::State;
use larchfall_operator_config::OperatorConfig;
use larchfall_policy::time::Duration;
use may::sync::mpsc;
use slog::{info, warn};
use std::io;
use std::sync::Arc;

/// Number of times to read the files before the reload is given up and the current configuration stays in effect. The
/// files may be read while they are still being written.
const MAX_READ_ATTEMPTS: usize = 5;
/// Pause after a failed attempt to read the files.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Paths of the configuration files with which the gateway was started.
#[derive(Clone)]
pub struct ConfigFiles {
    /// Path of the platform's configuration.
    pub config: String,
    /// Path of the operator's configuration; `None` if there is none.
    pub operator_config: Option<String>,
}

/// Contents of both files. The contents and the error are boxed, because a channel reserves space for many messages at
/// once on the small stack of a coroutine.
struct LoadedConfig {
    config: Box<Config>,
    operator_config: Box<OperatorConfig>,
}

#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    #[error(transparent)]
    OperatorConfig(#[from] larchfall_operator_config::ReadError),
    #[error("cannot start the thread that reads the configuration files: {0}")]
    ThreadStart(io::Error),
    #[error("the thread that reads the configuration files panicked")]
    ThreadPanicked,
}

/// Reloads the configuration files and applies the changes to the running gateway.
pub struct Reloader {
    /// State of the gateway.
    pub state: Arc<State>,
    /// The paged REST protocol; `None` if it is disabled.
    pub service: Option<Arc<RestService>>,
    /// Membership and leases; `None` if they are disabled.
    pub cluster: Option<Arc<Cluster>>,
    /// Paths of the files to read.
    pub files: ConfigFiles,
    /// Random seed of the discovery client's reconnect delays.
    pub seed: u64,
}

impl Reloader {
    /// Reloads the files on each SIGHUP until no more signals can arrive.
    pub fn run(&self, mut signal: SignalStream) {
        while signal.wait() {
            // The files are validated against each other, so either both take effect or neither.
            if let Some(loaded) = self.load_with_retries() {
                self.apply(loaded);
            }
        }
    }

    fn load_with_retries(&self) -> Option<LoadedConfig> {
        for attempt in 1..=MAX_READ_ATTEMPTS {
            match load_on_separate_thread(&self.files) {
                Ok(loaded) => return Some(loaded),
                Err(error) => {
                    warn!(self.state.log, "configuration rejected"; "try" => attempt, "reason" => error.to_string());
                }
            }
            self.state.sleep(READ_RETRY_DELAY);
        }
        None
    }

    fn apply(&self, loaded: LoadedConfig) {
        let LoadedConfig { config, operator_config } = loaded;
        let OperatorConfig { paged_rest, membership, leases, .. } = *operator_config;
        if let Some((service, paged_rest)) = self.service.as_ref().zip(paged_rest) {
            service.reload(paged_rest);
        }
        if let Some((cluster, membership)) = self.cluster.as_ref().zip(membership) {
            cluster.reload(&self.state, membership.settings, leases);
        }
        for event in &config.endpoint_list {
            discovery::apply_event(&self.state, event);
        }
        info!(self.state.log, "configuration reloaded"; "discovery" => config.discovery.to_string());
        // A new discovery client is started at once instead of redirecting the current client, because the old service
        // may keep the current client's connection open without sending anything.
        discovery::start_client(&self.state, config.discovery, self.seed);
    }
}

/// Loads the files on a separate thread, so that neither disk I/O nor the parsing of a long endpoint list blocks the
/// only worker thread.
fn load_on_separate_thread(files: &ConfigFiles) -> Result<LoadedConfig, Box<ReloadError>> {
    let (sender, receiver) = mpsc::channel();
    let files = files.clone();
    std::thread::Builder::new()
        .spawn(move || {
            let _ = sender.send(load(&files).map_err(Box::new));
        })
        .map_err(|error| Box::new(ReloadError::ThreadStart(error)))?;
    receiver.recv().unwrap_or_else(|_| Err(Box::new(ReloadError::ThreadPanicked)))
}

fn load(files: &ConfigFiles) -> Result<LoadedConfig, ReloadError> {
    let config = Box::new(config::read(&files.config)?);
    let operator_config = match &files.operator_config {
        Some(path) => larchfall_operator_config::read(path, &config.settings.names)?,
        None => OperatorConfig::default(),
    };
    Ok(LoadedConfig { config, operator_config: Box::new(operator_config) })
}
