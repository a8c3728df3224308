//! Loads the two files that most commands read: the configuration and the operator's own settings.

use super::arguments::FilePaths;
use crate::config::{self, Config, ConfigFileError};
use larchfall_operator_config::{OperatorConfig, ReadError};

/// Environment variable with the path of the configuration, read if the command line has no `--config`.
const CONFIG_PATH_VARIABLE: &str = "NODE_CONFIG";

/// Both files, read and validated.
pub struct LoadedFiles {
    /// Path of the configuration.
    pub config_path: String,
    /// The validated configuration.
    pub config: Config,
    /// The operator's own settings; `None` if the command line has no `--site`.
    pub operator_config: Option<OperatorFile>,
}

/// The operator's own settings with the path of their file.
pub struct OperatorFile {
    /// Path of the file.
    pub path: String,
    /// The validated settings of the file.
    pub config: OperatorConfig,
}

/// Why the files could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum FilesError {
    /// Neither `--config` nor the environment variable `NODE_CONFIG` names a configuration.
    #[error("no configuration: give --config FILE or set NODE_CONFIG")]
    NoConfig,
    /// The configuration could not be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The operator's own settings could not be read or are invalid.
    #[error(transparent)]
    OperatorConfig(#[from] ReadError),
}

impl FilePaths {
    /// Loads the configuration, then the operator's settings, which are validated against its names.
    pub fn load(self) -> Result<LoadedFiles, FilesError> {
        let config_path =
            self.config.or_else(|| std::env::var(CONFIG_PATH_VARIABLE).ok()).ok_or(FilesError::NoConfig)?;
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
