//! `larchfall mind`: runs a program of the operator's for as long as a lease lasts. A process of its own, so that the
//! program ends in time even where the gateway that holds the lease stands still or is gone: it reads on standard input
//! until when the lease lasts, and needs nobody for the end.

use crate::run::parts::boot_time;
use larchfall_policy::time::{Duration, Timestamp};
use rustix::process::{Pid, Signal, kill_process_group};
use std::io::{self, BufRead};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode, Stdio};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::Duration as StdDuration;

/// Killed so long before the lease is over: the signal, and what the program has under way, take a while.
const BEFORE: Duration = Duration::from_millis(50);
const LOOK: StdDuration = StdDuration::from_millis(10);

/// What a minder was told of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Minded {
    pub until: Timestamp,
    /// It is to end at once.
    pub ends: Option<Timestamp>,
    told_to_end: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    /// Tell the program to end.
    Tell,
    Kill,
}

impl Minded {
    pub fn new(until: Timestamp) -> Minded {
        Minded { until, ends: None, told_to_end: false }
    }

    /// What is to be done to the program now. `grace` is what it has between being told and being killed.
    pub fn step(&mut self, grace: Duration, now: Timestamp) -> Step {
        let last = (self.until - BEFORE).min(self.ends.map_or(self.until, |at| at + grace));
        if now >= last {
            return Step::Kill;
        }
        if !self.told_to_end && (self.ends.is_some() || now >= last - grace) {
            self.told_to_end = true;
            return Step::Tell;
        }
        Step::Wait
    }
}

pub fn run(grace: Duration, command: &[String]) -> ExitCode {
    let (to, told) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if to.send(line.parse().ok()).is_err() {
                return;
            }
        }
    });
    // The first line is there before anything runs.
    let Ok(Some(until)) = told.recv() else { return ExitCode::from(1) };
    let mut minded = Minded::new(Timestamp::from_micros(until));
    let Some((program, arguments)) = command.split_first() else { return ExitCode::from(2) };
    if minded.step(grace, boot_time()) != Step::Wait {
        return ExitCode::from(1);
    }
    // A class of its own, so that what it starts ends with it; its output goes where the gateway's errors go.
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(io::stderr()).process_group(0);
    let mut child = match command.spawn() {
        Ok(child) => child,
        Err(e) => {
            eprintln!("larchfall mind: {program}: {e}");
            return ExitCode::from(127);
        }
    };
    let class = Pid::from_child(&child);
    loop {
        match told.recv_timeout(LOOK) {
            Ok(Some(until)) => minded.until = minded.until.max(Timestamp::from_micros(until)),
            // Told to end, or the gateway is gone.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => minded.ends = minded.ends.or(Some(boot_time())),
            Err(RecvTimeoutError::Timeout) => {}
        }
        if let Ok(Some(status)) = child.try_wait() {
            // What it left behind ends too.
            let _ = kill_process_group(class, Signal::KILL);
            return ExitCode::from(status.code().map_or(1, |code| code as u8));
        }
        match minded.step(grace, boot_time()) {
            Step::Wait => {}
            Step::Tell => drop(kill_process_group(class, Signal::TERM)),
            Step::Kill => drop(kill_process_group(class, Signal::KILL)),
        }
        if minded.ends.is_some() {
            // A channel that is closed answers at once.
            std::thread::sleep(LOOK);
        }
    }
}
