//! The storm by hand: one, many side by side, one again from its script, with fewer faults, and a page of what was seen.

use larchfall_fault_tests::script::Script;
use larchfall_fault_tests::storm::play::{Played, keep, play};
use larchfall_fault_tests::storm::search::Search;
use larchfall_fault_tests::storm::setting::{Piece, Setting};
use larchfall_fault_tests::storm::shrink::{faults, shrink};
use larchfall_fault_tests::storm::{report, rows};
use lexopt::prelude::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
larchfall-storm breaks a fleet of larchfall processes in every way that the rig has, and audits what came of it.

usage: larchfall-storm run SETTING --seed N [--out DIR]
       larchfall-storm search SETTING --seeds A..B --out DIR [--beside N]
       larchfall-storm replay SETTING SCRIPT [--times N] [--out DIR]
       larchfall-storm shrink SETTING SCRIPT --out FILE [--times N] [--most N]
       larchfall-storm report PAGE.html DIR [DIR]     one run, or two beside each other
       larchfall-storm table DIR [DIR]                figures of one search, or of two

  --program FILE    the front's program; absent: larchfall-faulty beside this one
  --without PIECE   programs, probing, shares, subsets or signals are off; may be said more than once
  --times N         a script counts as failing if one of so many plays fails (1)
  --most N          so many scripts are tried while shrinking (40)
Exit codes: 0 all held, 1 it could not be played, 2 wrong arguments, 3 something did not hold.
";

#[derive(Default)]
struct Asked {
    words: Vec<String>,
    seed: u64,
    seeds: Option<std::ops::Range<u64>>,
    out: Option<PathBuf>,
    beside: usize,
    times: usize,
    most: usize,
    program: Option<String>,
    without: Vec<String>,
}

fn read() -> Result<Asked, lexopt::Error> {
    let mut asked = Asked { beside: 2, times: 1, most: 40, ..Asked::default() };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => asked.seed = parser.value()?.parse()?,
            Long("seeds") => {
                let text = parser.value()?.string()?;
                let range = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
                asked.seeds = Some(range.ok_or("--seeds: wanted A..B")?);
            }
            Long("out") => asked.out = Some(parser.value()?.into()),
            Long("beside") => asked.beside = parser.value()?.parse()?,
            Long("times") => asked.times = parser.value()?.parse()?,
            Long("most") => asked.most = parser.value()?.parse()?,
            Long("program") => asked.program = Some(parser.value()?.string()?),
            Long("without") => asked.without.push(parser.value()?.string()?),
            Short('h') | Long("help") => asked.words = vec!["help".to_owned()],
            Value(word) => asked.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(asked)
}

fn main() -> ExitCode {
    let asked = match read() {
        Ok(asked) => asked,
        Err(why) => {
            eprintln!("larchfall-storm: {why}; see larchfall-storm --help");
            return ExitCode::from(2);
        }
    };
    match act(&asked) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(why) => {
            eprintln!("larchfall-storm: {why}");
            ExitCode::FAILURE
        }
    }
}

type Failed = Box<dyn std::error::Error>;

fn piece(word: &str) -> Result<Piece, Failed> {
    #[derive(serde::Deserialize)]
    struct One {
        piece: Piece,
    }
    Ok(toml::from_str::<One>(&format!("piece = {word:?}"))?.piece)
}

fn setting(asked: &Asked, file: &str) -> Result<Setting, Failed> {
    let mut setting = Setting::read(&std::fs::read_to_string(file)?).map_err(|e| format!("{file}: {e}"))?;
    for word in &asked.without {
        setting.on.remove(&piece(word)?);
    }
    Ok(setting)
}

fn program(asked: &Asked) -> Result<&'static str, Failed> {
    let beside = std::env::current_exe()?.with_file_name("larchfall-faulty");
    let program = asked.program.clone().unwrap_or_else(|| beside.display().to_string());
    Ok(program.leak())
}

/// One play of a script, with what came of it told.
fn one(asked: &Asked, setting: &Setting, script: &Script) -> Result<Played, Failed> {
    let left = asked.out.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("larchfall-storm-{}-{}", script.seed, std::process::id()))
    });
    let played = play(program(asked)?, setting, script, &left)?;
    if asked.out.is_some() {
        keep(&played, script, &left)?;
    }
    let s = &played.summary;
    println!(
        "seed {}: {} batches, in time {:.3}, pushed back {:.3}, {} further dispatches, plain after {} ms, longest gap {} ms",
        s.seed, s.requests, s.in_time, s.pushed_back, s.further, s.plain_ms, s.gap_ms
    );
    played.faults.iter().for_each(|fault| println!("  {fault}"));
    Ok(played)
}

fn script(file: &str) -> Result<Script, Failed> {
    Ok(Script::read(&std::fs::read_to_string(file)?).map_err(|e| format!("{file}: {e}"))?)
}

fn summaries(folder: &Path) -> Result<(String, Vec<larchfall_fault_tests::storm::play::Summary>), Failed> {
    Ok((folder.display().to_string(), rows::read(&folder.join("results.csv"))?))
}

fn act(asked: &Asked) -> Result<bool, Failed> {
    let words: Vec<&str> = asked.words.iter().map(String::as_str).collect();
    match &words[..] {
        ["run", file] => {
            let setting = setting(asked, file)?;
            Ok(one(asked, &setting, &setting.script(asked.seed))?.faults.is_empty())
        }
        ["replay", file, of] => {
            let (setting, script) = (setting(asked, file)?, script(of)?);
            let mut held = true;
            for _ in 0..asked.times {
                held &= one(asked, &setting, &script)?.faults.is_empty();
            }
            Ok(held)
        }
        ["shrink", file, of] => {
            let (setting, whole) = (setting(asked, file)?, script(of)?);
            let out = asked.out.as_deref().ok_or("--out names the file of the shorter script")?;
            let quiet = Asked { out: None, ..Asked { program: asked.program.clone(), ..Asked::default() } };
            let fails = |script: &Script| {
                (0..asked.times)
                    .any(|_| one(&quiet, &setting, script).is_ok_and(|played| !played.faults.is_empty()))
            };
            let (less, tried) = shrink(&whole, asked.most, fails);
            std::fs::write(out, less.text())?;
            println!("{} of {} faults left after {tried} tries", faults(&less).len(), faults(&whole).len());
            Ok(true)
        }
        ["search", file] => {
            let seeds = asked.seeds.clone().ok_or("--seeds A..B is missing")?;
            let out = asked.out.as_deref().ok_or("--out DIR is missing")?;
            // Said before the first is played.
            setting(asked, file)?;
            let (storm, gateway) = (std::env::current_exe()?, program(asked)?);
            let (setting, without, beside) = (Path::new(file), &asked.without[..], asked.beside);
            let search = Search { storm: &storm, gateway, setting, without, seeds, beside, out };
            let all = search.run(|s| {
                if s.faults > 0 {
                    println!("seed {}: {} faults, first: {}", s.seed, s.faults, s.first);
                }
            })?;
            let held = all.iter().all(|s| s.faults == 0);
            println!("{}", report::table(&[(out.display().to_string(), all)]));
            Ok(held)
        }
        ["report", page, folders @ ..] if !folders.is_empty() => {
            let read = |folder: &&str| -> Result<_, Failed> {
                Ok(((*folder).to_owned(), rows::read(&Path::new(folder).join("rows.csv"))?))
            };
            let runs: Vec<_> = folders.iter().map(read).collect::<Result<_, _>>()?;
            std::fs::write(page, report::page(&runs)?)?;
            Ok(true)
        }
        ["table", folders @ ..] if !folders.is_empty() => {
            let sets: Vec<_> = folders.iter().map(|f| summaries(Path::new(f))).collect::<Result<_, _>>()?;
            println!("{}", report::table(&sets));
            Ok(true)
        }
        ["help"] | [] => {
            print!("{HELP}");
            Ok(true)
        }
        _ => Err("unknown words; see larchfall-storm --help".into()),
    }
}
