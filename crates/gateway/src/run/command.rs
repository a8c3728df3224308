//! The command line.

use super::parts::Parts;
use super::{config as files, serve, stop, survey};
use crate::cluster::{ask, mind};
use larchfall_policy::time::Duration;
use lexopt::prelude::*;
use std::process::ExitCode;

const HELP: &str = "\
larchfall keeps short and long queries apart on shared query engines.

usage: larchfall [serve] [--config FILE] [--site FILE]   run a front (the default)
       larchfall check [--config FILE] [--site FILE]     read both files and say what is wrong
       larchfall fronts --config FILE --site FILE        whom the running front knows, and how they stand
       larchfall duties --config FILE --site FILE        who holds what, as the running front knows it
       larchfall shares --config FILE --site FILE        its parts of what is handed out, and what it hands out itself
       larchfall engines --config FILE --site FILE       what it makes of each engine, and what others saw there
       larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]
                                                         what [subsets] comes to over so many fronts; none is asked
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
const ASK_HELP: &str = "usage: larchfall fronts|duties|shares|engines [--config FILE] [--site FILE]\n\nAsks the front that runs \
                        with these files, on its own machine.\n";
const SUBSETS_HELP: &str = "usage: larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]\n\nWorks out who \
                            would use which of the engines that the configuration names.\n";
const VERSION_HELP: &str = "usage: larchfall version\n\nPrints the version.\n";

/// A plan of more is no use to anybody.
const MOST_GATEWAYS: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    Serve,
    Check,
    /// Ask a running gateway.
    Ask(ask::What),
    /// Work out what subsets come to.
    Subsets,
    /// Run a program while a lease lasts; for gateways themselves.
    Mind,
    Version,
    Help(&'static str),
}

/// What the arguments ask for, and the files they name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub task: Task,
    pub config: Option<String>,
    pub site: Option<String>,
    /// Of a minder: the program, and what it has between being told to end and being killed.
    pub command: Vec<String>,
    pub end: Duration,
    /// Of subsets: over so many gateways, and where the chart goes.
    pub gateways: usize,
    pub chart: Option<String>,
}

pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Asked, String> {
    let mut parser = lexopt::Parser::from_args(args);
    let (mut task, mut config, mut site, mut help) = (None, None, None, false);
    let (mut command, mut end) = (Vec::new(), Duration::ZERO);
    let (mut gateways, mut chart) = (0, None);
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
            Long("fronts") if task == Some(Task::Subsets) => {
                gateways = parser.value().map_err(plain)?.parse().map_err(plain)?;
            }
            Long("chart") if task == Some(Task::Subsets) => {
                chart = Some(parser.value().map_err(plain)?.string().map_err(plain)?);
            }
            Long("end-ms") if task == Some(Task::Mind) => {
                end = Duration::from_millis(parser.value().map_err(plain)?.parse().map_err(plain)?);
            }
            Value(word) if task == Some(Task::Mind) => {
                let all = std::iter::once(word).chain(parser.raw_args().map_err(plain)?);
                command = all.map(|word| word.to_string_lossy().into_owned()).collect();
            }
            Value(word) if task.is_none() => {
                task = Some(match word.to_string_lossy().as_ref() {
                    "serve" => Task::Serve,
                    "check" => Task::Check,
                    "fronts" => Task::Ask(ask::What::Gateways),
                    "duties" => Task::Ask(ask::What::Duties),
                    "shares" => Task::Ask(ask::What::Shares),
                    "engines" => Task::Ask(ask::What::Engines),
                    "subsets" => Task::Subsets,
                    "mind" => Task::Mind,
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
            Some(Task::Ask(_)) => ASK_HELP,
            Some(Task::Subsets) => SUBSETS_HELP,
            Some(Task::Version) => VERSION_HELP,
            _ => HELP,
        });
        return Ok(Asked { task, config: None, site: None, command, end, gateways, chart });
    }
    Ok(Asked { task: task.unwrap_or(Task::Serve), config, site, command, end, gateways, chart })
}

fn takes_files(task: Option<Task>) -> bool {
    !matches!(task, Some(Task::Version | Task::Mind | Task::Help(_)))
}

pub fn main() -> ExitCode {
    main_on(Parts::default())
}

pub fn main_on(parts: Parts) -> ExitCode {
    let Asked { task, config, site, command, end, gateways, chart } = match parse(std::env::args().skip(1)) {
        Ok(asked) => asked,
        Err(why) => {
            eprintln!("larchfall: {why}; see larchfall help");
            return ExitCode::from(2);
        }
    };
    match task {
        Task::Help(text) => print!("{text}"),
        Task::Version => println!("larchfall {}", env!("CARGO_PKG_VERSION")),
        Task::Mind => return mind::run(end, &command),
        Task::Serve | Task::Check | Task::Ask(_) | Task::Subsets => {
            let caught = (task == Task::Serve).then(stop::Caught::register).transpose();
            let caught = match caught {
                Ok(caught) => caught,
                Err(e) => {
                    eprintln!("larchfall: signals: {e}");
                    return ExitCode::from(1);
                }
            };
            let read = config
                .or_else(|| std::env::var("NODE_CONFIG").ok())
                .ok_or("no configuration: give --config FILE or set NODE_CONFIG".to_owned())
                .and_then(|file| files::read(&file).map(|c| (file, c)))
                .and_then(|(file, config)| {
                    let read = |path: String| {
                        larchfall_operator_config::read(&path, &config.settings.names)
                            .map(|site| (path, site))
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
            if let Task::Ask(what) = task {
                return asked(what, site.and_then(|(_, site)| site.gateways));
            }
            if task == Task::Subsets {
                return surveyed(&config, site.and_then(|(_, site)| site.subsets), gateways, chart);
            }
            let Some(caught) = caught else {
                println!("{file}: sound");
                if let Some((file, _)) = site {
                    println!("{file}: sound");
                }
                return ExitCode::SUCCESS;
            };
            if let Err((code, why)) = serve::run(file, config, site, parts, caught) {
                eprintln!("larchfall: {why}");
                return ExitCode::from(code);
            }
        }
    }
    ExitCode::SUCCESS
}

/// What the operator's `[subsets]` comes to.
fn surveyed(
    config: &files::Config,
    site: Option<larchfall_operator_config::Subsets>,
    gateways: usize,
    chart: Option<String>,
) -> ExitCode {
    let Some(site) = site.filter(|_| (1..=MOST_GATEWAYS).contains(&gateways)) else {
        eprintln!(
            "larchfall: wanted --site FILE with a [subsets] table, and --fronts from 1 to {MOST_GATEWAYS}"
        );
        return ExitCode::from(2);
    };
    let (engines, all) = survey::of(config, &site, gateways);
    println!("{}", survey::text(&engines, &all));
    if let Some(Err(why)) = chart.map(|file| survey::chart(&file, &all)) {
        eprintln!("larchfall: {why}");
        return ExitCode::from(1);
    }
    ExitCode::SUCCESS
}

fn asked(what: ask::What, gateways: Option<larchfall_operator_config::Gateways>) -> ExitCode {
    let Some(gateways) = gateways else {
        eprintln!("larchfall: the site file has no [fronts] table; give --site FILE");
        return ExitCode::from(2);
    };
    let head: &[&str] = match what {
        ask::What::Gateways => {
            &["front", "standing", "generation", "address", "zone", "since s", "heard s ago"]
        }
        ask::What::Duties => &["duty", "holder", "token", "left ms", "last ended here"],
        ask::What::Engines => &[
            "engine",
            "listed",
            "is",
            "in reach",
            "load",
            "answered",
            "failed",
            "others",
            "answered",
            "failed",
            "heard s ago",
            "turn",
        ],
        ask::What::Shares => &["what", "part", "by", "kept here: fronts", "in use", "jain", "factor"],
    };
    match ask::ask(gateways.address, &gateways.settings.cluster, what) {
        Ok(rows) => println!("{}", ask::table(head, rows)),
        Err(e) => {
            eprintln!("larchfall: {e}");
            return ExitCode::from(1);
        }
    }
    ExitCode::SUCCESS
}
