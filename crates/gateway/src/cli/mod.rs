//! The command line: parses the arguments and runs the command.

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

/// Exit code for invalid arguments or files.
const EXIT_USAGE: u8 = 2;
/// Exit code for a failure while a command runs.
const EXIT_FAILURE: u8 = 1;

/// Why a command failed; printed on standard error after the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("{0}; see 'larchfall help'")]
    Arguments(#[from] ArgumentsError),
    /// The configuration or the operator's file is missing or invalid.
    #[error(transparent)]
    Files(#[from] FilesError),
    /// The signal handlers could not be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(io::Error),
    /// The gateway could not start.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The operator's file lacks the address at which the running gateway answers status queries.
    #[error("the site file has no [fronts] table; give --site FILE")]
    NoClusterAddress,
    /// The status query to the running gateway failed.
    #[error(transparent)]
    Status(io::Error),
    /// The engines of each gateway could not be computed or drawn.
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

/// Runs the program with the machine's own clocks and disk.
pub fn main() -> ExitCode {
    main_on(Platform::default())
}

/// Runs the program with the given clocks and disk. Fault tests replace those of the machine.
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
    // Registered before the files are read, so that a signal in the meantime is not lost.
    let signals = RegisteredSignals::register().map_err(CommandError::Signals)?;
    let files = paths.load()?;
    Ok(startup::run(files, platform, signals)?)
}
