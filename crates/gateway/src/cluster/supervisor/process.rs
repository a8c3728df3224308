//! `larchfall mind`, the supervising process: runs a program of the operator's for as long as a lease lasts. A process
//! of its own, so that the program ends in time even where the gateway that holds the lease is stalled or gone: it reads
//! on standard input until when the lease lasts, and needs nobody for the end.

use crate::platform::boot_time;
use larchfall_policy::time::{Duration, Timestamp};
use rustix::process::{Pid, Signal, kill_process_group};
use std::io::{self, BufRead};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration as StdDuration;

/// The program is killed so long before the lease is over: the signal, and what the program has under way, take a while.
const KILLED_BEFORE_EXPIRY: Duration = Duration::from_millis(50);
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(10);

/// No lease, or one that is as good as over.
const EXIT_NOT_STARTED: u8 = 1;
/// No program was named.
const EXIT_USAGE: u8 = 2;
/// The program could not be started, in the way that shells say it.
const EXIT_NOT_FOUND: u8 = 127;

/// What is to be done to the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Wait,
    Terminate,
    Kill,
}

/// What the process knows of the lease.
#[derive(Clone, Copy, Debug)]
struct Lease {
    until: Timestamp,
    /// When the program was asked to end before that.
    end_requested: Option<Timestamp>,
    is_terminated: bool,
}

impl Lease {
    fn new(until: Timestamp) -> Lease {
        Lease { until, end_requested: None, is_terminated: false }
    }

    /// `grace` is the time between the program being told to end and being killed.
    fn next_action(&mut self, grace: Duration, now: Timestamp) -> Action {
        let end = self.end_requested.map_or(self.until, |time| time + grace);
        let kill_time = (self.until - KILLED_BEFORE_EXPIRY).min(end);
        if now >= kill_time {
            return Action::Kill;
        }
        if !self.is_terminated && (self.end_requested.is_some() || now >= kill_time - grace) {
            self.is_terminated = true;
            return Action::Terminate;
        }
        Action::Wait
    }
}

/// Runs the program until it exits or the lease is over.
pub fn run(grace: Duration, program: &[String]) -> ExitCode {
    let expiries = read_expiries();
    // The first one is there before anything runs.
    let Ok(Some(until)) = expiries.recv() else { return ExitCode::from(EXIT_NOT_STARTED) };
    let mut lease = Lease::new(until);
    let Some((name, arguments)) = program.split_first() else { return ExitCode::from(EXIT_USAGE) };
    if lease.next_action(grace, boot_time()) != Action::Wait {
        return ExitCode::from(EXIT_NOT_STARTED);
    }
    match spawn(name, arguments) {
        Ok(child) => {
            let status = supervise(child, grace, lease, &expiries);
            ExitCode::from(status.code().map_or(1, |code| code as u8))
        }
        Err(error) => {
            eprintln!("larchfall mind: {name}: {error}");
            ExitCode::from(EXIT_NOT_FOUND)
        }
    }
}

/// Lines of standard input as they come: until when the lease lasts, by the clock that also runs during system sleep.
/// `None` is a line that is no number, which asks for the end.
fn read_expiries() -> Receiver<Option<Timestamp>> {
    let (sender, expiries) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line.parse().ok().map(Timestamp::from_micros)).is_err() {
                return;
            }
        }
    });
    expiries
}

/// In a process group of its own, so that what the program starts ends with it; its output goes where the gateway's
/// errors go.
fn spawn(name: &str, arguments: &[String]) -> io::Result<Child> {
    Command::new(name).args(arguments).stdin(Stdio::null()).stdout(io::stderr()).process_group(0).spawn()
}

fn supervise(
    mut child: Child,
    grace: Duration,
    mut lease: Lease,
    expiries: &Receiver<Option<Timestamp>>,
) -> ExitStatus {
    let group = Pid::from_child(&child);
    loop {
        match expiries.recv_timeout(POLL_INTERVAL) {
            Ok(Some(until)) => lease.until = lease.until.max(until),
            // Asked to end, or the gateway is gone.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => {
                lease.end_requested = lease.end_requested.or(Some(boot_time()));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        if let Ok(Some(status)) = child.try_wait() {
            // What it left behind ends too.
            let _ = kill_process_group(group, Signal::KILL);
            return status;
        }
        match lease.next_action(grace, boot_time()) {
            Action::Wait => {}
            Action::Terminate => drop(kill_process_group(group, Signal::TERM)),
            Action::Kill => drop(kill_process_group(group, Signal::KILL)),
        }
        if lease.end_requested.is_some() {
            // A channel that is closed answers at once.
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
