//! The two files that most commands read: the configuration and the operator's own settings.

use super::arguments::FilePaths;
use crate::config::{self, Config, ConfigFileError};
use larchfall_operator_config::{OperatorConfig, ReadError};

/// The environment's name for the configuration file, where the command line names none.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// Both files, read and checked.
pub struct LoadedFiles {
    /// Where the configuration was found.
    pub config_path: String,
    /// The configuration.
    pub config: Config,
    /// The operator's own settings, where the command line names a file of them.
    pub operator_config: Option<OperatorFile>,
}

/// The operator's own settings and where they were found.
pub struct OperatorFile {
    /// The file.
    pub path: String,
    /// What it says.
    pub config: OperatorConfig,
}

/// Why the files were rejected.
#[derive(Debug, thiserror::Error)]
pub enum FilesError {
    /// Neither the command line nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set NODE_CONFIG")]
    NoConfig,
    /// The configuration can't be read, or is wrong.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The operator's own settings can't be read, or are wrong.
    #[error(transparent)]
    OperatorConfig(#[from] ReadError),
}

impl FilePaths {
    /// Reads the configuration, then the operator's settings, which are checked against it.
    pub fn load(self) -> Result<LoadedFiles, FilesError> {
        let config_path =
            self.config.or_else(|| std::env::var(CONFIG_VARIABLE).ok()).ok_or(FilesError::NoConfig)?;
        let config = config::read(&config_path)?;
        let operator_config = match self.operator_config {
            Some(path) => {
                let config = larchfall_operator_config::read(&path, &config.settings.names)?;
                Some(OperatorFile { path, config })
            }
            None => None,
        };
        Ok(LoadedFiles { config_path, config, operator_config })
    }
}
