//! Fault scenarios by hand: one run, many side by side, one again from its script, a script with fewer faults, and a page of
//! what was seen.

use larchfall_fault_tests::fault_script::FaultScript;
use larchfall_fault_tests::scenario::config::{Feature, ScenarioConfig};
use larchfall_fault_tests::scenario::findings::Summary;
use larchfall_fault_tests::scenario::report::{self, Named};
use larchfall_fault_tests::scenario::run::{self, ScenarioResult};
use larchfall_fault_tests::scenario::search::Search;
use larchfall_fault_tests::scenario::shrink::{faults, shrink};
use larchfall_fault_tests::scenario::{records, run::save};
use lexopt::prelude::*;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
larchfall-fault-scenario breaks a cluster of larchfall processes in every way that the fault tests have, and audits the result.

usage: larchfall-fault-scenario run SCENARIO --seed N [--out DIR]
       larchfall-fault-scenario search SCENARIO --seeds A..B --out DIR [--beside N]
       larchfall-fault-scenario replay SCENARIO SCRIPT [--times N] [--out DIR]
       larchfall-fault-scenario shrink SCENARIO SCRIPT --out FILE [--times N] [--most N]
       larchfall-fault-scenario report PAGE.html DIR [DIR]     one run, or two beside each other
       larchfall-fault-scenario table DIR [DIR]                figures of one search, or of two

  --program FILE    the gateway's program; absent: larchfall-faulty-host beside this one
  --without WORD    programs, probing, shares, subsets or signals are off; may be said more than once
  --times N         a script counts as failing if one of so many runs fails (1)
  --most N          so many scripts are tried while shrinking (40)
Exit codes: 0 all held, 1 it could not be run, 2 wrong arguments, 3 something did not hold.
";

/// Exit code where something did not hold.
const VIOLATED: u8 = 3;
/// Exit code of wrong arguments.
const WRONG_ARGUMENTS: u8 = 2;

struct Arguments {
    words: Vec<String>,
    seed: u64,
    seeds: Option<Range<u64>>,
    out: Option<PathBuf>,
    parallel: usize,
    times: usize,
    max_tries: usize,
    program: Option<String>,
    without: Vec<String>,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            words: Vec::new(),
            seed: 0,
            seeds: None,
            out: None,
            parallel: 2,
            times: 1,
            max_tries: 40,
            program: None,
            without: Vec::new(),
        }
    }
}

fn read_range(text: &str) -> Option<Range<u64>> {
    let (start, end) = text.split_once("..")?;
    Some(start.parse().ok()?..end.parse().ok()?)
}

impl Arguments {
    fn read() -> Result<Arguments, lexopt::Error> {
        let mut arguments = Arguments::default();
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => arguments.seed = parser.value()?.parse()?,
                Long("seeds") => {
                    let text = parser.value()?.string()?;
                    arguments.seeds = Some(read_range(&text).ok_or("--seeds: wanted A..B")?);
                }
                Long("out") => arguments.out = Some(parser.value()?.into()),
                Long("beside") => arguments.parallel = parser.value()?.parse()?,
                Long("times") => arguments.times = parser.value()?.parse()?,
                Long("most") => arguments.max_tries = parser.value()?.parse()?,
                Long("program") => arguments.program = Some(parser.value()?.string()?),
                Long("without") => arguments.without.push(parser.value()?.string()?),
                Short('h') | Long("help") => arguments.words = vec!["help".to_owned()],
                Value(word) => arguments.words.push(word.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{file}: {reason}")]
    File { file: String, reason: Box<dyn std::error::Error> },
    #[error("{0}")]
    Missing(&'static str),
    #[error(transparent)]
    Feature(#[from] toml::de::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Report(#[from] report::ReportError),
}

fn main() -> ExitCode {
    let arguments = match Arguments::read() {
        Ok(arguments) => arguments,
        Err(e) => {
            eprintln!("larchfall-fault-scenario: {e}; see larchfall-fault-scenario --help");
            return ExitCode::from(WRONG_ARGUMENTS);
        }
    };
    match run_command(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(VIOLATED),
        Err(e) => {
            eprintln!("larchfall-fault-scenario: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Whether all held.
fn run_command(arguments: &Arguments) -> Result<bool, CommandError> {
    let words: Vec<&str> = arguments.words.iter().map(String::as_str).collect();
    match &words[..] {
        ["run", scenario] => {
            let config = read_scenario(arguments, scenario)?;
            Ok(run_script(arguments, &config, &config.script(arguments.seed))?.violations.is_empty())
        }
        ["replay", scenario, script] => replay(arguments, scenario, script),
        ["shrink", scenario, script] => shrink_script(arguments, scenario, script),
        ["search", scenario] => search(arguments, scenario),
        ["report", page, folders @ ..] if !folders.is_empty() => write_report(page, folders),
        ["table", folders @ ..] if !folders.is_empty() => {
            let searches: Vec<_> =
                folders.iter().map(|folder| read_results(folder)).collect::<Result<_, _>>()?;
            println!("{}", report::table(&searches));
            Ok(true)
        }
        ["help"] | [] => {
            print!("{HELP}");
            Ok(true)
        }
        _ => Err(CommandError::Missing("unknown words; see larchfall-fault-scenario --help")),
    }
}

fn read_feature(word: &str) -> Result<Feature, CommandError> {
    #[derive(serde::Deserialize)]
    struct One {
        feature: Feature,
    }
    Ok(toml::from_str::<One>(&format!("feature = {word:?}"))?.feature)
}

fn read_scenario(arguments: &Arguments, file: &str) -> Result<ScenarioConfig, CommandError> {
    let invalid = |e| CommandError::File { file: file.to_owned(), reason: Box::new(e) };
    let mut config = ScenarioConfig::read(&std::fs::read_to_string(file)?).map_err(invalid)?;
    for word in &arguments.without {
        config.features.remove(&read_feature(word)?);
    }
    Ok(config)
}

fn read_script(file: &str) -> Result<FaultScript, CommandError> {
    let invalid = |e| CommandError::File { file: file.to_owned(), reason: Box::new(e) };
    FaultScript::read(&std::fs::read_to_string(file)?).map_err(invalid)
}

fn gateway_program(arguments: &Arguments) -> Result<&'static str, CommandError> {
    let beside_this = std::env::current_exe()?.with_file_name("larchfall-faulty-host");
    let program = arguments.program.clone().unwrap_or_else(|| beside_this.display().to_string());
    Ok(program.leak())
}

/// One run of a script; its figures and violations are printed.
fn run_script(
    arguments: &Arguments,
    config: &ScenarioConfig,
    script: &FaultScript,
) -> Result<ScenarioResult, CommandError> {
    let folder = arguments.out.clone().unwrap_or_else(|| {
        let name = format!("larchfall-scenario-{}-{}-failed", script.seed, std::process::id());
        std::env::temp_dir().join(name)
    });
    let result = run::run(gateway_program(arguments)?, config, script, &folder)?;
    if arguments.out.is_some() {
        save(&result, script, &folder)?;
    }
    let summary = &result.summary;
    println!(
        "seed {}: {} requests, in time {:.3}, rejected {:.3}, {} retries, healthy after {} ms, longest gap {} ms",
        summary.seed,
        summary.requests,
        summary.in_time,
        summary.rejected,
        summary.retries,
        summary.recovery_ms,
        summary.longest_gap_ms
    );
    result.violations.iter().for_each(|violation| println!("  {violation}"));
    Ok(result)
}

fn replay(arguments: &Arguments, scenario: &str, script: &str) -> Result<bool, CommandError> {
    let config = read_scenario(arguments, scenario)?;
    let script = read_script(script)?;
    let mut held = true;
    for _ in 0..arguments.times {
        held &= run_script(arguments, &config, &script)?.violations.is_empty();
    }
    Ok(held)
}

fn shrink_script(arguments: &Arguments, scenario: &str, script: &str) -> Result<bool, CommandError> {
    let config = read_scenario(arguments, scenario)?;
    let whole = read_script(script)?;
    let missing = CommandError::Missing("--out names the file of the shorter script");
    let out = arguments.out.as_deref().ok_or(missing)?;
    let unsaved = Arguments { program: arguments.program.clone(), ..Arguments::default() };
    let fails = |script: &FaultScript| {
        let violated = |result: ScenarioResult| !result.violations.is_empty();
        (0..arguments.times).any(|_| run_script(&unsaved, &config, script).is_ok_and(violated))
    };
    let shrunk = shrink(&whole, arguments.max_tries, fails);
    std::fs::write(out, shrunk.script.text())?;
    println!(
        "{} of {} faults left after {} tries",
        faults(&shrunk.script).len(),
        faults(&whole).len(),
        shrunk.tries
    );
    Ok(true)
}

fn search(arguments: &Arguments, scenario: &str) -> Result<bool, CommandError> {
    let seeds = arguments.seeds.clone().ok_or(CommandError::Missing("--seeds A..B is missing"))?;
    let out = arguments.out.as_deref().ok_or(CommandError::Missing("--out DIR is missing"))?;
    // An invalid scenario is reported before the first run.
    read_scenario(arguments, scenario)?;
    let search = Search {
        scenario_program: &std::env::current_exe()?,
        gateway_program: gateway_program(arguments)?,
        scenario: Path::new(scenario),
        without: &arguments.without,
        seeds,
        parallel: arguments.parallel,
        out,
    };
    let summaries = search.run(|summary| {
        if summary.violations > 0 {
            println!(
                "seed {}: {} faults, first: {}",
                summary.seed, summary.violations, summary.first_violation
            );
        }
    })?;
    let held = summaries.iter().all(|summary| summary.violations == 0);
    println!("{}", report::table(&[Named { name: out.display().to_string(), rows: summaries }]));
    Ok(held)
}

fn read_results(folder: &str) -> Result<Named<Summary>, CommandError> {
    let rows = records::read(&Path::new(folder).join("results.csv"))?;
    Ok(Named { name: folder.to_owned(), rows })
}

fn write_report(page: &str, folders: &[&str]) -> Result<bool, CommandError> {
    let mut runs = Vec::new();
    for folder in folders {
        let rows = records::read(&Path::new(folder).join("rows.csv"))?;
        runs.push(Named { name: (*folder).to_owned(), rows });
    }
    std::fs::write(page, report::page(&runs)?)?;
    Ok(true)
}
