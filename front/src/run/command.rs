//! The command line.

use super::{config as files, serve};
use lexopt::prelude::*;
use std::process::ExitCode;

const HELP: &str = "\
larchfall keeps short and long queries apart on shared query engines.

usage: larchfall [serve] [--config FILE] [--site FILE]   run a front (the default)
       larchfall check [--config FILE] [--site FILE]     read both files and say what is wrong
       larchfall version                                 print the version
       larchfall help                                    print this

  --config FILE   the configuration; else the environment's NODE_CONFIG names it
  --site FILE     the operator's own settings in TOML; what it does not name is off
  -h, --help      print help

On SIGUSR1 a front logs its counters; on SIGHUP it reads its files again and follows the notice board that they
name; on SIGTERM it answers what it holds and ends.
Exit codes: 0 done, 1 failed while running, 2 wrong arguments or configuration.
";
const SERVE_HELP: &str =
    "usage: larchfall serve [--config FILE] [--site FILE]\n\nRuns a front until SIGTERM.\n";
const CHECK_HELP: &str =
    "usage: larchfall check [--config FILE] [--site FILE]\n\nReads both files and says what is wrong.\n";
const VERSION_HELP: &str = "usage: larchfall version\n\nPrints the version.\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    Serve,
    Check,
    Version,
    Help(&'static str),
}

/// What the arguments ask for, and the files they name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub task: Task,
    pub config: Option<String>,
    pub site: Option<String>,
}

pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Asked, String> {
    let mut parser = lexopt::Parser::from_args(args);
    let (mut task, mut config, mut site, mut help) = (None, None, None, false);
    let plain = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(plain)? {
        match arg {
            Short('h') | Long("help") => help = true,
            Long("config") if takes_files(task) => {
                config = Some(parser.value().map_err(plain)?.string().map_err(plain)?);
            }
            Long("site") if takes_files(task) => {
                site = Some(parser.value().map_err(plain)?.string().map_err(plain)?);
            }
            Value(word) if task.is_none() => {
                task = Some(match word.to_string_lossy().as_ref() {
                    "serve" => Task::Serve,
                    "check" => Task::Check,
                    "version" => Task::Version,
                    "help" => Task::Help(HELP),
                    other => return Err(format!("unknown command '{other}'")),
                });
            }
            other => return Err(plain(other.unexpected())),
        }
    }
    if help {
        let task = Task::Help(match task {
            Some(Task::Serve) => SERVE_HELP,
            Some(Task::Check) => CHECK_HELP,
            Some(Task::Version) => VERSION_HELP,
            _ => HELP,
        });
        return Ok(Asked { task, config: None, site: None });
    }
    Ok(Asked { task: task.unwrap_or(Task::Serve), config, site })
}

fn takes_files(task: Option<Task>) -> bool {
    !matches!(task, Some(Task::Version | Task::Help(_)))
}

pub fn main() -> ExitCode {
    let Asked { task, config, site } = match parse(std::env::args().skip(1)) {
        Ok(asked) => asked,
        Err(why) => {
            eprintln!("larchfall: {why}; see larchfall help");
            return ExitCode::from(2);
        }
    };
    match task {
        Task::Help(text) => print!("{text}"),
        Task::Version => println!("larchfall {}", env!("CARGO_PKG_VERSION")),
        Task::Serve | Task::Check => {
            let read = config
                .or_else(|| std::env::var("NODE_CONFIG").ok())
                .ok_or("no configuration: give --config FILE or set NODE_CONFIG".to_owned())
                .and_then(|file| files::read(&file).map(|c| (file, c)))
                .and_then(|(file, config)| {
                    let read = |path: String| {
                        larchfall_site::read(&path, &config.settings.names).map(|site| (path, site))
                    };
                    let site = site.map(read).transpose()?;
                    Ok((file, config, site))
                });
            let (file, config, site) = match read {
                Ok(read) => read,
                Err(why) => {
                    eprintln!("larchfall: {why}");
                    return ExitCode::from(2);
                }
            };
            if task == Task::Check {
                println!("{file}: sound");
                if let Some((file, _)) = site {
                    println!("{file}: sound");
                }
            } else if let Err((code, why)) = serve::run(file, config, site) {
                eprintln!("larchfall: {why}");
                return ExitCode::from(code);
            }
        }
    }
    ExitCode::SUCCESS
}
