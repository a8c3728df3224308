//! What the command line asks for.

use super::help;
use crate::cluster::status_query::Topic;
use larchfall_policy::time::Duration;
use lexopt::prelude::*;

/// The files that the command line names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FilePaths {
    /// The configuration.
    pub config: Option<String>,
    /// The operator's own settings.
    pub operator_config: Option<String>,
}

/// What the program is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a gateway.
    Serve(FilePaths),
    /// Read both files and say what is wrong.
    Check(FilePaths),
    /// Ask a running gateway.
    Status {
        /// What it is asked about.
        topic: Topic,
        /// The files that it runs with.
        files: FilePaths,
    },
    /// Work out which engines gateways would use.
    Subsets {
        /// The files that they would run with.
        files: FilePaths,
        /// How many gateways.
        gateways: usize,
        /// Where a chart of it is to be written.
        chart: Option<String>,
    },
    /// Run a program for as long as a lease lasts; for gateways themselves.
    Supervise {
        /// Time between the program being told to end and being killed.
        grace: Duration,
        /// The program and its arguments.
        program: Vec<String>,
    },
    /// Print the version.
    Version,
    /// Print this text.
    Help(&'static str),
}

/// Why a command line can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentsError {
    /// An option that is not known, or lacks its value, or comes with the wrong command.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// The first word is no command.
    #[error("unknown command '{0}'")]
    UnknownCommand(String),
}

/// The first word of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verb {
    Serve,
    Check,
    Status(Topic),
    Subsets,
    Supervise,
    Version,
    Help,
}

impl Verb {
    fn parse(word: &str) -> Result<Verb, ArgumentsError> {
        Ok(match word {
            "serve" => Verb::Serve,
            "check" => Verb::Check,
            // The second word of each is its name in earlier versions, which operators' scripts may use.
            "members" | "fronts" => Verb::Status(Topic::Members),
            "leases" | "duties" => Verb::Status(Topic::Leases),
            "quotas" | "shares" => Verb::Status(Topic::Quotas),
            "engines" => Verb::Status(Topic::Engines),
            "subsets" => Verb::Subsets,
            // Called by gateways, perhaps of another version than this file: so it keeps its word.
            "mind" => Verb::Supervise,
            "version" => Verb::Version,
            "help" => Verb::Help,
            other => return Err(ArgumentsError::UnknownCommand(other.to_owned())),
        })
    }

    fn help(self) -> &'static str {
        match self {
            Verb::Serve => help::SERVE,
            Verb::Check => help::CHECK,
            Verb::Status(_) => help::STATUS,
            Verb::Subsets => help::SUBSETS,
            Verb::Version => help::VERSION,
            Verb::Supervise | Verb::Help => help::PROGRAM,
        }
    }
}

/// What was read of the command line so far.
#[derive(Default)]
struct Arguments {
    verb: Option<Verb>,
    help: bool,
    files: FilePaths,
    gateways: usize,
    chart: Option<String>,
    grace: Option<Duration>,
    program: Vec<String>,
}

/// Reads the arguments that follow the program's name.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, ArgumentsError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut read = Arguments::default();
    while read.next(&mut parser)? {}
    Ok(read.into_command())
}

impl Arguments {
    /// Reads one argument; false where there is none left.
    fn next(&mut self, parser: &mut lexopt::Parser) -> Result<bool, ArgumentsError> {
        let Some(argument) = parser.next()? else { return Ok(false) };
        match argument {
            Short('h') | Long("help") => self.help = true,
            Long("config") if self.takes_files() => {
                self.files.config = Some(parser.value()?.string()?);
            }
            Long("site") if self.takes_files() => {
                self.files.operator_config = Some(parser.value()?.string()?);
            }
            Long("fronts") if self.verb == Some(Verb::Subsets) => self.gateways = parser.value()?.parse()?,
            Long("chart") if self.verb == Some(Verb::Subsets) => {
                self.chart = Some(parser.value()?.string()?);
            }
            Long("end-ms") if self.verb == Some(Verb::Supervise) => {
                self.grace = Some(Duration::from_millis(parser.value()?.parse()?));
            }
            Value(word) if self.verb == Some(Verb::Supervise) => {
                let words = std::iter::once(word).chain(parser.raw_args()?);
                self.program = words.map(|word| word.to_string_lossy().into_owned()).collect();
            }
            Value(word) if self.verb.is_none() => self.verb = Some(Verb::parse(&word.to_string_lossy())?),
            other => return Err(other.unexpected().into()),
        }
        Ok(true)
    }

    fn takes_files(&self) -> bool {
        !matches!(self.verb, Some(Verb::Version | Verb::Supervise | Verb::Help))
    }

    fn into_command(self) -> Command {
        let Arguments { verb, help, files, gateways, chart, grace, program } = self;
        if help {
            return Command::Help(verb.map_or(help::PROGRAM, Verb::help));
        }
        match verb.unwrap_or(Verb::Serve) {
            Verb::Serve => Command::Serve(files),
            Verb::Check => Command::Check(files),
            Verb::Status(topic) => Command::Status { topic, files },
            Verb::Subsets => Command::Subsets { files, gateways, chart },
            Verb::Supervise => Command::Supervise { grace: grace.unwrap_or(Duration::ZERO), program },
            Verb::Version => Command::Version,
            Verb::Help => Command::Help(help::PROGRAM),
        }
    }
}
