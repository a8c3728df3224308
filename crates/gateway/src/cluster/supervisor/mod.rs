//! Supervision of the operator's programs, each of which runs while this gateway holds the lease of its role. Each
//! program runs under a supervising process of its own (see [`process`]). One thread of the gateway starts the
//! supervising processes and waits for them.

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

/// Time between two checks for supervising processes that exited.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(20);
/// Maximum number of requests that wait for the supervisor thread.
const REQUEST_QUEUE_CAPACITY: usize = 1024;
/// Delay before a program that exited is started again, if the lease still lasts.
const RESTART_DELAY: Duration = Duration::from_millis(1000);

/// A request to the supervisor thread. `expires_at` is the expiry of the lease on the boot-time clock.
enum Request {
    Start { program: ProgramConfig, token: u64, expires_at: Timestamp },
    Extend { role: String, expires_at: Timestamp },
    Stop { role: String },
}

/// A program that exited or could not be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExitedProgram {
    /// Role of the program's lease.
    pub role: String,
    /// Fencing token of the lease when the program was started.
    pub token: u64,
    /// Exit status as the system words it, or the error that prevented the start.
    pub status: String,
}

#[derive(Clone, Copy)]
struct RunningProgram {
    token: u64,
    expires_at: Timestamp,
    is_stopping: bool,
}

/// Starts and stops the program of each role.
pub struct Supervisor {
    programs: Mutex<BTreeMap<String, ProgramConfig>>,
    requests: SyncSender<Request>,
    exited: Arc<Mutex<Vec<ExitedProgram>>>,
    running: Mutex<BTreeMap<String, RunningProgram>>,
    /// Earliest restart of programs that exited, by role.
    restart_not_before: Mutex<BTreeMap<String, Timestamp>>,
}

impl Supervisor {
    /// Starts the supervisor thread; no program runs yet. Fails if the system can't start a thread.
    pub fn start(programs: Vec<ProgramConfig>) -> io::Result<Supervisor> {
        let (sender, receiver) = sync_channel(REQUEST_QUEUE_CAPACITY);
        let exited = Arc::new(Mutex::new(Vec::new()));
        let mut thread =
            SupervisorThread { requests: receiver, exited: exited.clone(), children: BTreeMap::new() };
        std::thread::Builder::new().spawn(move || thread.run())?;
        Ok(Supervisor {
            programs: Mutex::new(programs_by_role(programs)),
            requests: sender,
            exited,
            running: Mutex::default(),
            restart_not_before: Mutex::default(),
        })
    }

    /// Applies reloaded programs. A program that runs continues with the settings that it was started with.
    pub fn reload(&self, programs: Vec<ProgramConfig>) {
        *lock(&self.programs) = programs_by_role(programs);
    }

    /// Roles that have a program.
    pub fn roles(&self) -> Vec<String> {
        lock(&self.programs).keys().cloned().collect()
    }

    /// Whether the program of this role runs, as far as [`Supervisor::take_exited`] has reported.
    pub fn is_running(&self, role: &str) -> bool {
        lock(&self.running).contains_key(role)
    }

    /// Whether any program runs, as far as [`Supervisor::take_exited`] has reported.
    pub fn is_any_running(&self) -> bool {
        !lock(&self.running).is_empty()
    }

    /// Lets the program of a held lease run until `expires_at`, the expiry of the lease on the boot-time clock, which
    /// also runs during system sleep. Starts the program if it does not run. Does nothing for a program that is being
    /// stopped or that exited less than the restart delay ago; `now` is the steady clock.
    pub fn start_or_extend(&self, role: &str, token: u64, expires_at: Timestamp, now: Timestamp) {
        let Some(program) = lock(&self.programs).get(role).cloned() else { return };
        let mut all_running = lock(&self.running);
        let request = match all_running.get_mut(role) {
            Some(running) if running.is_stopping || running.expires_at >= expires_at => return,
            Some(running) => {
                running.expires_at = expires_at;
                Request::Extend { role: role.to_owned(), expires_at }
            }
            None if lock(&self.restart_not_before).get(role).is_some_and(|time| now < *time) => return,
            None => {
                all_running.insert(role.to_owned(), RunningProgram { token, expires_at, is_stopping: false });
                Request::Start { program, token, expires_at }
            }
        };
        // A full queue has the effect of a late request, which is safe: the supervising process knows the expiry of
        // the lease and ends the program in time.
        let _ = self.requests.try_send(request);
    }

    /// Requests that the program of this role is stopped, if it runs.
    pub fn request_stop(&self, role: &str) {
        if let Some(running) = lock(&self.running).get_mut(role).filter(|running| !running.is_stopping) {
            running.is_stopping = self.requests.try_send(Request::Stop { role: role.to_owned() }).is_ok();
        }
    }

    /// Takes the programs that exited since the last call and delays their restart from `now`, the steady clock.
    pub fn take_exited(&self, now: Timestamp) -> Vec<ExitedProgram> {
        let all_exited = std::mem::take(&mut *lock(&self.exited));
        let mut all_running = lock(&self.running);
        for exited in &all_exited {
            if all_running.get(&exited.role).is_some_and(|running| running.token == exited.token) {
                all_running.remove(&exited.role);
                lock(&self.restart_not_before).insert(exited.role.clone(), now + RESTART_DELAY);
            }
        }
        all_exited
    }
}

fn programs_by_role(programs: Vec<ProgramConfig>) -> BTreeMap<String, ProgramConfig> {
    programs.into_iter().map(|program| (program.role.clone(), program)).collect()
}

/// A supervising process.
struct SupervisedChild {
    process: Child,
    /// Fencing token of the lease when the program was started.
    token: u64,
}

impl SupervisedChild {
    /// Starts the supervising process of a program. The names of the environment variables are the interface to
    /// operators' programs and must not change.
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

    /// Sends the expiry of the lease to the supervising process.
    fn send_expiry(&mut self, expires_at: Timestamp) {
        if let Some(input) = &mut self.process.stdin {
            // A write error means that the process has exited, which `reap_exited` notices.
            let _ = input.write_all(format!("{}\n", expires_at.micros()).as_bytes());
            let _ = input.flush();
        }
    }

    /// Closes the standard input of the supervising process, which makes it stop the program.
    fn request_stop(&mut self) {
        self.process.stdin = None;
    }
}

struct SupervisorThread {
    requests: Receiver<Request>,
    exited: Arc<Mutex<Vec<ExitedProgram>>>,
    /// Supervising processes by role.
    children: BTreeMap<String, SupervisedChild>,
}

impl SupervisorThread {
    fn run(&mut self) {
        loop {
            match self.requests.recv_timeout(POLL_INTERVAL) {
                Ok(request) => self.handle(request),
                Err(RecvTimeoutError::Timeout) => {}
                // The supervisor was dropped because the gateway ends. Dropping the children closes their standard
                // input, which makes the supervising processes stop their programs.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.reap_exited();
        }
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Start { program, token, expires_at } => match SupervisedChild::spawn(&program, token) {
                Ok(mut child) => {
                    child.send_expiry(expires_at);
                    self.children.insert(program.role, child);
                }
                Err(error) => {
                    let exited = ExitedProgram { role: program.role, token, status: error.to_string() };
                    lock(&self.exited).push(exited);
                }
            },
            Request::Extend { role, expires_at } => {
                if let Some(child) = self.children.get_mut(&role) {
                    child.send_expiry(expires_at);
                }
            }
            Request::Stop { role } => {
                if let Some(child) = self.children.get_mut(&role) {
                    child.request_stop();
                }
            }
        }
    }

    fn reap_exited(&mut self) {
        let exited = &self.exited;
        self.children.retain(|role, child| {
            let Ok(Some(status)) = child.process.try_wait() else { return true };
            let status = status.to_string();
            lock(exited).push(ExitedProgram { role: role.clone(), token: child.token, status });
            false
        });
    }
}
