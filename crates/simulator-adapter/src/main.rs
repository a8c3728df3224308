//! Connects larchfall's policy to a simulator: events arrive on standard input, and the policy's actions leave on
//! standard output. All decisions are the policy's.
//!
//! Malformed input ends the program with one line on standard error and exit code 1. No part of the reply to the
//! malformed batch is written.

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
    match frames::serve_batches(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larchfall-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
