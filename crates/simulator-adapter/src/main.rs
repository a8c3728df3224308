//! Drives larchfall's decisions over the simulator's wire, on standard input and output, and decides nothing itself.
//! Input that is malformed ends the program with one line on standard error, before any part of that reply is written.

mod engines;
mod error;
mod frames;
mod gateway;
mod requests;
mod simulation;
mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match frames::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larchfall-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
