//! Parses the command line.

use super::help;
use crate::cluster::status_query::Topic;
use larchfall_policy::time::Duration;
use lexopt::prelude::*;

/// Paths of the two configuration files; `None` for a file that the command line does not name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FilePaths {
    /// The configuration that the platform provides.
    pub config: Option<String>,
    /// The operator's own settings, in TOML.
    pub operator_config: Option<String>,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs a gateway.
    Serve(FilePaths),
    /// Validates both files and reports the first error.
    Check(FilePaths),
    /// Queries a running gateway.
    Status {
        /// The status table to query.
        topic: Topic,
        /// The files that the running gateway was started with.
        files: FilePaths,
    },
    /// Computes which engines each of a number of gateways would use.
    Subsets {
        /// The files that the gateways would run with.
        files: FilePaths,
        /// How many gateways; 0 if the option is absent.
        gateways: usize,
        /// Path of the SVG chart; `None` for no chart.
        chart: Option<String>,
    },
    /// Runs a program while a lease lasts. Gateways start this command themselves.
    Supervise {
        /// Time between the request to stop the program and its kill.
        grace: Duration,
        /// The program and its arguments.
        program: Vec<String>,
    },
    /// Prints the version.
    Version,
    /// Prints this help text.
    Help(&'static str),
}

/// Why a command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentsError {
    /// An option is unknown, lacks its value or does not belong to the command.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// The first argument that is not an option names no command.
    #[error("unknown command '{0}'")]
    UnknownCommand(String),
}

/// The command's name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subcommand {
    Serve,
    Check,
    Status(Topic),
    Subsets,
    Supervise,
    Version,
    Help,
}

impl Subcommand {
    fn parse(name: &str) -> Result<Subcommand, ArgumentsError> {
        Ok(match name {
            "serve" => Subcommand::Serve,
            "check" => Subcommand::Check,
            // The second name of each command is the one of earlier releases, which operators' scripts may use.
            "members" | "fronts" => Subcommand::Status(Topic::Members),
            "leases" | "duties" => Subcommand::Status(Topic::Leases),
            "quotas" | "shares" => Subcommand::Status(Topic::Quotas),
            "engines" => Subcommand::Status(Topic::Engines),
            "subsets" => Subcommand::Subsets,
            // Running gateways start this command, possibly from a newer executable than their own, so its name must stay.
            "mind" => Subcommand::Supervise,
            "version" => Subcommand::Version,
            "help" => Subcommand::Help,
            other => return Err(ArgumentsError::UnknownCommand(other.to_owned())),
        })
    }

    fn help(self) -> &'static str {
        match self {
            Subcommand::Serve => help::SERVE,
            Subcommand::Check => help::CHECK,
            Subcommand::Status(_) => help::STATUS,
            Subcommand::Subsets => help::SUBSETS,
            Subcommand::Version => help::VERSION,
            Subcommand::Supervise | Subcommand::Help => help::PROGRAM,
        }
    }
}

/// The arguments parsed so far.
#[derive(Default)]
struct Arguments {
    subcommand: Option<Subcommand>,
    show_help: bool,
    files: FilePaths,
    gateways: usize,
    chart: Option<String>,
    grace: Option<Duration>,
    program: Vec<String>,
}

/// Parses the arguments after the program's name.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, ArgumentsError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut parsed = Arguments::default();
    while parsed.parse_next(&mut parser)? {}
    Ok(parsed.into_command())
}

impl Arguments {
    /// Parses one argument with its value; returns false if none is left.
    fn parse_next(&mut self, parser: &mut lexopt::Parser) -> Result<bool, ArgumentsError> {
        let Some(argument) = parser.next()? else { return Ok(false) };
        match argument {
            Short('h') | Long("help") => self.show_help = true,
            Long("config") if self.takes_files() => {
                self.files.config = Some(parser.value()?.string()?);
            }
            Long("site") if self.takes_files() => {
                self.files.operator_config = Some(parser.value()?.string()?);
            }
            Long("fronts") if self.subcommand == Some(Subcommand::Subsets) => {
                self.gateways = parser.value()?.parse()?;
            }
            Long("chart") if self.subcommand == Some(Subcommand::Subsets) => {
                self.chart = Some(parser.value()?.string()?);
            }
            Long("end-ms") if self.subcommand == Some(Subcommand::Supervise) => {
                self.grace = Some(Duration::from_millis(parser.value()?.parse()?));
            }
            Value(program) if self.subcommand == Some(Subcommand::Supervise) => {
                let arguments = std::iter::once(program).chain(parser.raw_args()?);
                self.program = arguments.map(|argument| argument.to_string_lossy().into_owned()).collect();
            }
            Value(name) if self.subcommand.is_none() => {
                self.subcommand = Some(Subcommand::parse(&name.to_string_lossy())?);
            }
            other => return Err(other.unexpected().into()),
        }
        Ok(true)
    }

    fn takes_files(&self) -> bool {
        !matches!(self.subcommand, Some(Subcommand::Version | Subcommand::Supervise | Subcommand::Help))
    }

    fn into_command(self) -> Command {
        let Arguments { subcommand, show_help, files, gateways, chart, grace, program } = self;
        if show_help {
            return Command::Help(subcommand.map_or(help::PROGRAM, Subcommand::help));
        }
        match subcommand.unwrap_or(Subcommand::Serve) {
            Subcommand::Serve => Command::Serve(files),
            Subcommand::Check => Command::Check(files),
            Subcommand::Status(topic) => Command::Status { topic, files },
            Subcommand::Subsets => Command::Subsets { files, gateways, chart },
            Subcommand::Supervise => Command::Supervise { grace: grace.unwrap_or(Duration::ZERO), program },
            Subcommand::Version => Command::Version,
            Subcommand::Help => Command::Help(help::PROGRAM),
        }
    }
}
