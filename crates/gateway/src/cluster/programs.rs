//! The operator's programs that run while this gateway holds their duties, each behind a minder. Processes are started and
//! waited for on a thread of its own.

use larchfall_operator_config::Program;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

use crate::state::lock;

const LOOK: StdDuration = StdDuration::from_millis(20);
const ORDERS: usize = 1024;
/// One that ended by itself is started again after so long, while the lease lasts.
const AGAIN: Duration = Duration::from_millis(1000);

enum Order {
    Start { program: Program, token: u64, until: Timestamp },
    Until(String, Timestamp),
    End(String),
}

/// A program that ended, and its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    pub duty: String,
    pub token: u64,
    pub how: String,
}

#[derive(Clone, Copy)]
struct Runs {
    token: u64,
    until: Timestamp,
    ends: bool,
}

pub struct Programs {
    by_duty: Mutex<BTreeMap<String, Program>>,
    orders: SyncSender<Order>,
    ended: Arc<Mutex<Vec<Ended>>>,
    runs: Mutex<BTreeMap<String, Runs>>,
    /// Not started again before then.
    pauses: Mutex<BTreeMap<String, Timestamp>>,
}

impl Programs {
    pub fn start(programs: Vec<Program>) -> io::Result<Programs> {
        let (orders, taken) = sync_channel(ORDERS);
        let ended = Arc::new(Mutex::new(Vec::new()));
        let told = ended.clone();
        std::thread::Builder::new().spawn(move || look_after(&taken, &told))?;
        let by_duty = Mutex::new(by_duty(programs));
        Ok(Programs { by_duty, orders, ended, runs: Mutex::default(), pauses: Mutex::default() })
    }

    /// From a file that was read again; what runs goes on as it was started.
    pub fn set(&self, programs: Vec<Program>) {
        *lock(&self.by_duty) = by_duty(programs);
    }

    /// Duties that have a program.
    pub fn duties(&self) -> Vec<String> {
        lock(&self.by_duty).keys().cloned().collect()
    }

    pub fn runs(&self, duty: &str) -> bool {
        lock(&self.runs).contains_key(duty)
    }

    pub fn any_runs(&self) -> bool {
        !lock(&self.runs).is_empty()
    }

    /// It may run until then, by the clock that also runs in sleep: started where it does not, told where it does.
    pub fn may_run(&self, duty: &str, token: u64, until: Timestamp, now: Timestamp) {
        let Some(program) = lock(&self.by_duty).get(duty).cloned() else { return };
        let mut runs = lock(&self.runs);
        let order = match runs.get_mut(duty) {
            Some(running) if running.ends || running.until >= until => return,
            Some(running) => {
                running.until = until;
                Order::Until(duty.to_owned(), until)
            }
            None if lock(&self.pauses).get(duty).is_some_and(|pause| now < *pause) => return,
            None => {
                runs.insert(duty.to_owned(), Runs { token, until, ends: false });
                Order::Start { program, token, until }
            }
        };
        // A full queue is as a late order: the minder knows till when it may run.
        let _ = self.orders.try_send(order);
    }

    pub fn end(&self, duty: &str) {
        if let Some(running) = lock(&self.runs).get_mut(duty).filter(|running| !running.ends) {
            running.ends = self.orders.try_send(Order::End(duty.to_owned())).is_ok();
        }
    }

    /// Those that ended since the last look.
    pub fn take_ended(&self, now: Timestamp) -> Vec<Ended> {
        let ended = std::mem::take(&mut *lock(&self.ended));
        let mut runs = lock(&self.runs);
        for ended in &ended {
            if runs.get(&ended.duty).is_some_and(|running| running.token == ended.token) {
                runs.remove(&ended.duty);
                lock(&self.pauses).insert(ended.duty.clone(), now + AGAIN);
            }
        }
        ended
    }
}

fn by_duty(programs: Vec<Program>) -> BTreeMap<String, Program> {
    programs.into_iter().map(|program| (program.duty.clone(), program)).collect()
}

fn minder(program: &Program, token: u64) -> io::Result<Child> {
    let grace = (program.end.micros() / 1000).to_string();
    Command::new(std::env::current_exe()?)
        .args(["mind", "--end-ms", &grace, "--"])
        .args(&program.command)
        .env("LARCHFALL_DUTY", &program.duty)
        .env("LARCHFALL_TOKEN", token.to_string())
        .stdin(Stdio::piped())
        .stdout(io::stderr())
        .spawn()
}

fn look_after(orders: &Receiver<Order>, ended: &Mutex<Vec<Ended>>) {
    let mut running: BTreeMap<String, (Child, u64)> = BTreeMap::new();
    let tell = |child: &mut Child, line: &str| {
        // A minder that is gone is noticed by its end.
        child.stdin.as_mut().map(|input| input.write_all(line.as_bytes()).and_then(|()| input.flush()))
    };
    loop {
        match orders.recv_timeout(LOOK) {
            Ok(Order::Start { program, token, until }) => match minder(&program, token) {
                Ok(mut child) => {
                    tell(&mut child, &format!("{}\n", until.micros()));
                    running.insert(program.duty, (child, token));
                }
                Err(e) => lock(ended).push(Ended { duty: program.duty, token, how: e.to_string() }),
            },
            Ok(Order::Until(duty, until)) => {
                if let Some((child, _)) = running.get_mut(&duty) {
                    tell(child, &format!("{}\n", until.micros()));
                }
            }
            Ok(Order::End(duty)) => {
                if let Some((child, _)) = running.get_mut(&duty) {
                    child.stdin = None;
                }
            }
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
            // The gateway ends: minders see their input end.
            Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
        }
        running.retain(|duty, (child, token)| match child.try_wait() {
            Ok(Some(status)) => {
                lock(ended).push(Ended { duty: duty.clone(), token: *token, how: status.to_string() });
                false
            }
            _ => true,
        });
    }
}
