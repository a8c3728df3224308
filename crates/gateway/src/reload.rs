//! SIGHUP: both files are read again while the gateway serves on. What they say of the discovery service, membership and
//! leases takes effect; the rest is how this gateway was started, and changes with the next start.

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

/// Whoever replaces the file may still be writing it: it is read this often before the old one is kept.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(100);

/// The files that a gateway was started with.
#[derive(Clone)]
pub struct ConfigFiles {
    /// The configuration.
    pub config: String,
    /// The operator's own settings.
    pub operator_config: Option<String>,
}

/// Both files as they were read. They and the error are on the heap: a channel reserves space for many results at once,
/// on a coroutine's small stack.
struct ReadFiles {
    config: Box<Config>,
    operator_config: Box<OperatorConfig>,
}

#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    #[error(transparent)]
    OperatorConfig(#[from] larchfall_operator_config::ReadError),
    #[error("{0}")]
    Thread(io::Error),
    #[error("the thread that reads it panicked")]
    Panicked,
}

/// What a reload changes.
pub struct Reloader {
    /// The gateway itself.
    pub state: Arc<State>,
    /// The paged REST protocol, where it is on.
    pub service: Option<Arc<RestService>>,
    /// Membership and leases, where they are on.
    pub cluster: Option<Arc<Cluster>>,
    /// What is read again.
    pub files: ConfigFiles,
    /// Seed of the discovery client's pauses.
    pub seed: u64,
}

impl Reloader {
    /// Reloads at each SIGHUP, for as long as the gateway runs.
    pub fn run(&self, mut signal: SignalStream) {
        while signal.wait() {
            // Both files or neither: each is checked against the other.
            if let Some(read) = self.read_with_retries() {
                self.apply(read);
            }
        }
    }

    fn read_with_retries(&self) -> Option<ReadFiles> {
        for attempt in 1..=TRIES {
            match read_on_own_thread(&self.files) {
                Ok(read) => return Some(read),
                Err(error) => {
                    warn!(self.state.log, "configuration rejected"; "try" => attempt, "reason" => error.to_string());
                }
            }
            self.state.sleep(PAUSE);
        }
        None
    }

    fn apply(&self, read: ReadFiles) {
        let ReadFiles { config, operator_config } = read;
        let OperatorConfig { paged_rest, membership, leases, .. } = *operator_config;
        if let Some((service, paged_rest)) = self.service.as_ref().zip(paged_rest) {
            service.reload(paged_rest);
        }
        if let Some((cluster, membership)) = self.cluster.as_ref().zip(membership) {
            cluster.reload(&self.state, membership.settings, leases);
        }
        for event in &config.known {
            discovery::apply_event(&self.state, event);
        }
        info!(self.state.log, "configuration reloaded"; "discovery" => config.discovery.to_string());
        // A client of its own, at once: the old discovery service may stay silent and hold its connection open.
        discovery::start_client(&self.state, config.discovery, self.seed);
    }
}

/// Neither the disk nor a long list may hold up the one worker.
fn read_on_own_thread(files: &ConfigFiles) -> Result<ReadFiles, Box<ReloadError>> {
    let (done, result) = mpsc::channel();
    let files = files.clone();
    std::thread::Builder::new()
        .spawn(move || {
            let _ = done.send(read(&files).map_err(Box::new));
        })
        .map_err(|error| Box::new(ReloadError::Thread(error)))?;
    result.recv().unwrap_or_else(|_| Err(Box::new(ReloadError::Panicked)))
}

fn read(files: &ConfigFiles) -> Result<ReadFiles, ReloadError> {
    let config = Box::new(config::read(&files.config)?);
    let operator_config = match &files.operator_config {
        Some(path) => larchfall_operator_config::read(path, &config.settings.names)?,
        None => OperatorConfig::default(),
    };
    Ok(ReadFiles { config, operator_config: Box::new(operator_config) })
}
