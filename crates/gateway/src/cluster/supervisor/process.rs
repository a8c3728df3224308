//! `larchfall mind`, the supervising process: runs one of the operator's programs while a lease lasts.
//!
//! The supervising process is separate from the gateway so that the program ends before the lease expires even if the
//! gateway that holds the lease is stalled or gone. It reads the expiry of the lease from standard input and needs no
//! other process to end the program.

use crate::platform::boot_time;
use larchfall_policy::time::{Duration, Timestamp};
use rustix::process::{Pid, Signal, kill_process_group};
use std::io::{self, BufRead};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration as StdDuration;

/// Time between SIGKILL and the expiry of the lease. It covers the delivery of the signal and what the program still
/// has in progress.
const KILL_MARGIN: Duration = Duration::from_millis(50);
/// Time between two checks of the program and the lease.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(10);

/// Exit code if no lease expiry was received, or if the lease ends too soon to start the program.
const EXIT_NOT_STARTED: u8 = 1;
/// Exit code if the command line names no program.
const EXIT_USAGE: u8 = 2;
/// Exit code if the program can't be started; shells use the same code.
const EXIT_NOT_FOUND: u8 = 127;

/// Next step towards the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Wait,
    Terminate,
    Kill,
}

/// State of the lease that the program runs under. Times are on the boot-time clock.
#[derive(Clone, Copy, Debug)]
struct LeaseState {
    expires_at: Timestamp,
    /// When the gateway requested that the program stops before the lease expires.
    stop_requested_at: Option<Timestamp>,
    /// Whether [`Action::Terminate`] was returned already.
    is_terminated: bool,
}

impl LeaseState {
    fn new(expires_at: Timestamp) -> LeaseState {
        LeaseState { expires_at, stop_requested_at: None, is_terminated: false }
    }

    /// Returns the next step. `grace` is the time between SIGTERM and SIGKILL.
    fn next_action(&mut self, grace: Duration, now: Timestamp) -> Action {
        let stop_deadline = self.stop_requested_at.map_or(self.expires_at, |time| time + grace);
        let kill_time = (self.expires_at - KILL_MARGIN).min(stop_deadline);
        if now >= kill_time {
            return Action::Kill;
        }
        if !self.is_terminated && (self.stop_requested_at.is_some() || now >= kill_time - grace) {
            self.is_terminated = true;
            return Action::Terminate;
        }
        Action::Wait
    }
}

/// Runs a program until it exits or the lease ends, and returns its exit code. `grace` is the time between SIGTERM
/// and SIGKILL; `command` is the program and its arguments.
pub fn run(grace: Duration, command: &[String]) -> ExitCode {
    let expiries = read_lease_expiries();
    // The gateway sends the first lease expiry right after the start of this process.
    let Ok(Some(expires_at)) = expiries.recv() else { return ExitCode::from(EXIT_NOT_STARTED) };
    let mut lease = LeaseState::new(expires_at);
    let Some((program, arguments)) = command.split_first() else { return ExitCode::from(EXIT_USAGE) };
    if lease.next_action(grace, boot_time()) != Action::Wait {
        return ExitCode::from(EXIT_NOT_STARTED);
    }
    match spawn(program, arguments) {
        Ok(child) => {
            let status = supervise(child, grace, lease, &expiries);
            ExitCode::from(status.code().map_or(1, |code| code as u8))
        }
        Err(error) => {
            eprintln!("larchfall mind: cannot start {program}: {error}");
            ExitCode::from(EXIT_NOT_FOUND)
        }
    }
}

/// Reads the lines of standard input on a thread of its own. Each line holds the expiry of the lease in microseconds
/// of the boot-time clock, which also runs during system sleep. A line that is no number is received as `None` and
/// requests that the program stops. The channel is closed at the end of standard input.
fn read_lease_expiries() -> Receiver<Option<Timestamp>> {
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

/// Starts the program in a process group of its own, so that the processes that it starts are signalled with it. Its
/// output goes to the standard error of the gateway.
fn spawn(program: &str, arguments: &[String]) -> io::Result<Child> {
    Command::new(program).args(arguments).stdin(Stdio::null()).stdout(io::stderr()).process_group(0).spawn()
}

/// Waits until the program exits and returns its exit status. Terminates and kills the program when the lease
/// requires it.
fn supervise(
    mut child: Child,
    grace: Duration,
    mut lease: LeaseState,
    expiries: &Receiver<Option<Timestamp>>,
) -> ExitStatus {
    let process_group = Pid::from_child(&child);
    loop {
        match expiries.recv_timeout(POLL_INTERVAL) {
            Ok(Some(expires_at)) => lease.expires_at = lease.expires_at.max(expires_at),
            // The gateway requested the stop, closed standard input or ended.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => {
                lease.stop_requested_at = lease.stop_requested_at.or(Some(boot_time()));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        if let Ok(Some(status)) = child.try_wait() {
            // Ends the processes that the program started and left behind.
            let _ = kill_process_group(process_group, Signal::KILL);
            return status;
        }
        match lease.next_action(grace, boot_time()) {
            Action::Wait => {}
            Action::Terminate => drop(kill_process_group(process_group, Signal::TERM)),
            Action::Kill => drop(kill_process_group(process_group, Signal::KILL)),
        }
        if lease.stop_requested_at.is_some() {
            // `recv_timeout` returns at once from a closed channel, so this sleep keeps the poll interval.
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
