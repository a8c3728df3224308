//! The command line.

pub mod arguments;
mod check;
pub mod files;
mod help;
mod status;
mod subsets;
mod table;

use crate::cluster::supervisor::process;
use crate::platform::Platform;
use crate::signals::RegisteredSignals;
use crate::startup::{self, StartupError};
use arguments::{ArgumentsError, Command, FilePaths};
use files::FilesError;
use std::io;
use std::process::ExitCode;
use subsets::SubsetsError;

/// The arguments or the files are wrong.
const EXIT_USAGE: u8 = 2;
/// Something failed while it ran.
const EXIT_FAILURE: u8 = 1;

/// Why a command failed, in the words that follow the program's name on standard error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line can't be understood.
    #[error("{0}; see larchfall help")]
    Arguments(#[from] ArgumentsError),
    /// One of the two files is missing or wrong.
    #[error(transparent)]
    Files(#[from] FilesError),
    /// Signals could not be caught.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The gateway did not start.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// A running gateway can't be asked without its address.
    #[error("the site file has no [fronts] table; give --site FILE")]
    NoClusterAddress,
    /// The running gateway did not answer.
    #[error(transparent)]
    Status(io::Error),
    /// The engines that gateways would use could not be shown.
    #[error(transparent)]
    Subsets(#[from] SubsetsError),
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Arguments(_)
            | CommandError::Files(_)
            | CommandError::NoClusterAddress
            | CommandError::Subsets(SubsetsError::Usage { .. }) => EXIT_USAGE,
            CommandError::Signals(_)
            | CommandError::Status(_)
            | CommandError::Subsets(SubsetsError::Chart { .. }) => EXIT_FAILURE,
            CommandError::Startup(error) => error.exit_code(),
        }
    }
}

/// Runs the program on the machine as it is.
pub fn main() -> ExitCode {
    main_on(Platform::default())
}

/// Runs the program with other clocks or another disk than the machine's: for fault tests.
pub fn main_on(platform: Platform) -> ExitCode {
    let arguments = std::env::args().skip(1);
    match arguments::parse(arguments).map_err(CommandError::from).and_then(|command| run(command, platform)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("larchfall: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command, platform: Platform) -> Result<ExitCode, CommandError> {
    match command {
        Command::Help(text) => print!("{text}"),
        Command::Version => println!("larchfall {}", env!("CARGO_PKG_VERSION")),
        Command::Supervise { grace, program } => return Ok(process::run(grace, &program)),
        Command::Serve(paths) => serve(paths, platform)?,
        Command::Check(paths) => check::run(paths)?,
        Command::Status { topic, files } => status::run(topic, files)?,
        Command::Subsets { files, gateways, chart } => subsets::run(files, gateways, chart.as_deref())?,
    }
    Ok(ExitCode::SUCCESS)
}

fn serve(paths: FilePaths, platform: Platform) -> Result<(), CommandError> {
    // Before the files are read: a signal that comes meanwhile must not be lost.
    let signals = RegisteredSignals::register().map_err(CommandError::Signals)?;
    let files = paths.load()?;
    Ok(startup::run(files, platform, signals)?)
}
