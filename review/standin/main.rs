//! Stand-ins for the platform, query engines and clients, and the cases of the review: `larchfall-review N FOLDER` runs
//! case N and writes `record.txt` into its folder. `TROUBLE=0` in the environment leaves the disruption out. The exit
//! code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod discovery;
mod engine;
mod front;
mod record;
mod settings;

#[path = "../1/case.rs"]
mod case1;
#[path = "../2/case.rs"]
mod case2;
#[path = "../3/case.rs"]
mod case3;

use record::Record;
use std::io;
use std::path::Path;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn run(name: &str, record: &Record, trouble: bool) -> io::Result<Verdict> {
    match name {
        "1" => case1::run(record, trouble),
        "2" => case2::run(record, trouble),
        "3" => case3::run(record, trouble),
        _ => Err(io::Error::other("usage: larchfall-review N FOLDER")),
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (name, folder) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let (text, code) = match run(&name, &record, trouble) {
        Ok(Verdict::Held(text)) => (format!("HELD: {text}"), 0),
        Ok(Verdict::Broken(text)) => (format!("BROKEN: {text}"), 1),
        Err(error) => (format!("NOT RUN: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
