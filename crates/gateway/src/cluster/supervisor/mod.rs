//! The operator's programs that run while this gateway holds their lease. Each runs under a supervising process of its
//! own (`process`); those are started and waited for on one thread here.

pub mod process;

use crate::state::lock;
use larchfall_operator_config::ProgramConfig;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

const POLL_INTERVAL: StdDuration = StdDuration::from_millis(20);
const QUEUED_ORDERS: usize = 1024;
/// A program that exited by itself is started again after so long, while the lease lasts.
const RESTART_DELAY: Duration = Duration::from_millis(1000);

enum Order {
    Start { program: ProgramConfig, token: u64, until: Timestamp },
    Extend { lease: String, until: Timestamp },
    End { lease: String },
}

/// A program that exited, and the token that it ran under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exited {
    /// Its lease.
    pub lease: String,
    /// The lease's token when it was started.
    pub token: u64,
    /// The system's words for how it exited, or why it did not start.
    pub status: String,
}

#[derive(Clone, Copy)]
struct Running {
    token: u64,
    until: Timestamp,
    is_ending: bool,
}

/// Starts and ends programs by lease.
pub struct Supervisor {
    programs: Mutex<BTreeMap<String, ProgramConfig>>,
    orders: SyncSender<Order>,
    exited: Arc<Mutex<Vec<Exited>>>,
    running: Mutex<BTreeMap<String, Running>>,
    /// Programs that exited are not started again before then.
    not_before: Mutex<BTreeMap<String, Timestamp>>,
}

impl Supervisor {
    /// Starts the thread; no program runs yet.
    pub fn start(programs: Vec<ProgramConfig>) -> io::Result<Supervisor> {
        let (orders, received) = sync_channel(QUEUED_ORDERS);
        let exited = Arc::new(Mutex::new(Vec::new()));
        let mut thread =
            SupervisorThread { orders: received, exited: exited.clone(), children: BTreeMap::new() };
        std::thread::Builder::new().spawn(move || thread.run())?;
        Ok(Supervisor {
            programs: Mutex::new(by_lease(programs)),
            orders,
            exited,
            running: Mutex::default(),
            not_before: Mutex::default(),
        })
    }

    /// Takes over a file that was read again; what runs goes on as it was started.
    pub fn reload(&self, programs: Vec<ProgramConfig>) {
        *lock(&self.programs) = by_lease(programs);
    }

    /// Leases that have a program.
    pub fn leases(&self) -> Vec<String> {
        lock(&self.programs).keys().cloned().collect()
    }

    /// Whether the program of this lease runs.
    pub fn is_running(&self, lease: &str) -> bool {
        lock(&self.running).contains_key(lease)
    }

    /// Whether any program runs.
    pub fn is_running_any(&self) -> bool {
        !lock(&self.running).is_empty()
    }

    /// Lets the program run until then, by the clock that also runs during system sleep: starts it where it does not run
    /// yet.
    pub fn may_run(&self, lease: &str, token: u64, until: Timestamp, now: Timestamp) {
        let Some(program) = lock(&self.programs).get(lease).cloned() else { return };
        let mut all = lock(&self.running);
        let order = match all.get_mut(lease) {
            Some(running) if running.is_ending || running.until >= until => return,
            Some(running) => {
                running.until = until;
                Order::Extend { lease: lease.to_owned(), until }
            }
            None if lock(&self.not_before).get(lease).is_some_and(|time| now < *time) => return,
            None => {
                all.insert(lease.to_owned(), Running { token, until, is_ending: false });
                Order::Start { program, token, until }
            }
        };
        // A full queue is as a late order: the supervising process knows until when the program may run.
        let _ = self.orders.try_send(order);
    }

    /// Has the program of this lease end.
    pub fn end(&self, lease: &str) {
        if let Some(running) = lock(&self.running).get_mut(lease).filter(|running| !running.is_ending) {
            running.is_ending = self.orders.try_send(Order::End { lease: lease.to_owned() }).is_ok();
        }
    }

    /// Programs that exited since the last call.
    pub fn take_exited(&self, now: Timestamp) -> Vec<Exited> {
        let all = std::mem::take(&mut *lock(&self.exited));
        let mut running = lock(&self.running);
        for exited in &all {
            if running.get(&exited.lease).is_some_and(|running| running.token == exited.token) {
                running.remove(&exited.lease);
                lock(&self.not_before).insert(exited.lease.clone(), now + RESTART_DELAY);
            }
        }
        all
    }
}

fn by_lease(programs: Vec<ProgramConfig>) -> BTreeMap<String, ProgramConfig> {
    programs.into_iter().map(|program| (program.role.clone(), program)).collect()
}

/// A supervising process, and the token that its program runs under.
struct SupervisedChild {
    process: Child,
    token: u64,
}

impl SupervisedChild {
    /// The environment's names are what operators' programs read.
    fn spawn(program: &ProgramConfig, token: u64) -> io::Result<SupervisedChild> {
        let grace_ms = (program.stop_grace.micros() / 1000).to_string();
        let process = Command::new(std::env::current_exe()?)
            .args(["mind", "--end-ms", &grace_ms, "--"])
            .args(&program.command)
            .env("LARCHFALL_DUTY", &program.role)
            .env("LARCHFALL_TOKEN", token.to_string())
            .stdin(Stdio::piped())
            .stdout(io::stderr())
            .spawn()?;
        Ok(SupervisedChild { process, token })
    }

    /// Tells it until when the program may run.
    fn extend(&mut self, until: Timestamp) {
        if let Some(input) = &mut self.process.stdin {
            // A process that is gone is noticed by its exit.
            let _ = input.write_all(format!("{}\n", until.micros()).as_bytes());
            let _ = input.flush();
        }
    }

    /// Closes its input, which has it end the program.
    fn end(&mut self) {
        self.process.stdin = None;
    }
}

struct SupervisorThread {
    orders: Receiver<Order>,
    exited: Arc<Mutex<Vec<Exited>>>,
    children: BTreeMap<String, SupervisedChild>,
}

impl SupervisorThread {
    fn run(&mut self) {
        loop {
            match self.orders.recv_timeout(POLL_INTERVAL) {
                Ok(order) => self.execute(order),
                Err(RecvTimeoutError::Timeout) => {}
                // The gateway ends: supervising processes see their input end.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.collect_exited();
        }
    }

    fn execute(&mut self, order: Order) {
        match order {
            Order::Start { program, token, until } => match SupervisedChild::spawn(&program, token) {
                Ok(mut child) => {
                    child.extend(until);
                    self.children.insert(program.role, child);
                }
                Err(error) => {
                    let exited = Exited { lease: program.role, token, status: error.to_string() };
                    lock(&self.exited).push(exited);
                }
            },
            Order::Extend { lease, until } => {
                if let Some(child) = self.children.get_mut(&lease) {
                    child.extend(until);
                }
            }
            Order::End { lease } => {
                if let Some(child) = self.children.get_mut(&lease) {
                    child.end();
                }
            }
        }
    }

    fn collect_exited(&mut self) {
        let exited = &self.exited;
        self.children.retain(|lease, child| {
            let Ok(Some(status)) = child.process.try_wait() else { return true };
            let status = status.to_string();
            lock(exited).push(Exited { lease: lease.clone(), token: child.token, status });
            false
        });
    }
}
