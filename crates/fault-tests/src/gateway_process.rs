//! One gateway as a process of its own, with a discovery service beside it. Which program it runs is the caller's to say.

use crate::process_log::{ProcessLog, field};
use crate::wait::{wait_for, wait_until};
use larchfall_stub::client::Client;
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::rest::RestClient;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Pages of memory are counted in units of this.
const PAGE_BYTES: usize = 4096;

/// A variable in the environment of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnvironmentVariable {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

/// What a gateway is started with.
pub struct GatewayFiles<'a> {
    /// The configuration.
    pub config: &'a str,
    /// The operator's own settings, if any.
    pub operator_config: Option<&'a str>,
    /// Added to the environment.
    pub environment: &'a [EnvironmentVariable],
}

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUse {
    /// Processor time of all threads that still run.
    pub cpu_time: Duration,
    /// Resident memory.
    pub memory_bytes: usize,
}

/// A child process that is killed when it is dropped, also if the test panics before it is up.
struct KilledOnDrop(Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running gateway; killed when it is dropped.
pub struct GatewayProcess {
    process: KilledOnDrop,
    /// Where it listens for MessagePack-RPC.
    pub address: SocketAddr,
    /// Where it listens for the paged protocol, if it does.
    pub rest: Option<SocketAddr>,
    /// What it writes.
    pub log: Arc<ProcessLog>,
    /// The discovery service beside it.
    pub discovery: Arc<Discovery>,
    /// The file of its configuration.
    pub config_file: PathBuf,
    /// The file of the operator's settings.
    pub operator_file: PathBuf,
}

/// The address that a log line names.
///
/// # Panics
///
/// If it names none.
pub fn address_in(line: &str) -> SocketAddr {
    field(line, "address").and_then(|address| address.parse().ok()).expect("a line with an address")
}

impl GatewayProcess {
    /// Starts a program and waits until it listens.
    ///
    /// # Panics
    ///
    /// If it cannot be started, or does not listen in time.
    pub fn start(program: &str, discovery: Discovery, files: &GatewayFiles<'_>) -> GatewayProcess {
        let config_file = unique_temp_file();
        fs::write(&config_file, files.config).unwrap();
        let operator_file = config_file.with_extension("toml");
        let mut command = Command::new(program);
        command.envs(files.environment.iter().map(|variable| (variable.name, &variable.value)));
        command.args(["serve", "--config"]).arg(&config_file);
        if let Some(operator_config) = files.operator_config {
            fs::write(&operator_file, operator_config).unwrap();
            command.arg("--site").arg(&operator_file);
        }
        let mut process =
            KilledOnDrop(command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap());
        let log = Arc::new(ProcessLog::default());
        log.read(process.0.stdout.take().unwrap());
        log.read(process.0.stderr.take().unwrap());
        let address = address_in(&log.wait_for("listening,"));
        let discovery = Arc::new(discovery);
        GatewayProcess { process, address, rest: None, log, discovery, config_file, operator_file }
    }

    fn id(&self) -> u32 {
        self.process.0.id()
    }

    /// The most resident memory that the process has had.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB")).map(str::parse::<usize>);
        kibibytes.expect("a running process").expect("a number") << 10
    }

    /// A new client of it.
    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    /// A new client of its paged protocol.
    pub fn rest_client(&self) -> RestClient {
        RestClient::connect(self.rest.unwrap()).unwrap()
    }

    /// Sends it a signal by its name: `-TERM`.
    pub fn signal(&self, signal: &str) {
        send_signal(self.id(), signal);
    }

    /// Suspends it, and returns once all its threads are stopped: on a busy machine some run for a while.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stopped = |task: fs::DirEntry| {
            let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(") ").next().is_some_and(|state| state.starts_with('T'))
        };
        wait_until("the gateway to be suspended", || {
            let tasks = fs::read_dir(self.proc_path("task"));
            tasks.map_or(true, |tasks| tasks.flatten().all(stopped))
        });
    }

    /// Lets it run again after [`suspend`](GatewayProcess::suspend).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// What it has used so far.
    pub fn resource_use(&self) -> ResourceUse {
        // The first number is the time on a processor, in nanoseconds.
        let cpu_nanos = |task: fs::DirEntry| -> u64 {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            text.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
        };
        let tasks = fs::read_dir(self.proc_path("task")).unwrap();
        let cpu_time = Duration::from_nanos(tasks.flatten().map(cpu_nanos).sum());
        let statm = fs::read_to_string(self.proc_path("statm")).unwrap();
        let resident_pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
        ResourceUse { cpu_time, memory_bytes: resident_pages * PAGE_BYTES }
    }

    /// The number of file descriptors that it has open.
    pub fn descriptor_count(&self) -> usize {
        fs::read_dir(self.proc_path("fd")).map_or(0, Iterator::count)
    }

    fn proc_path(&self, entry: &str) -> String {
        format!("/proc/{}/{entry}", self.id())
    }

    /// Replaces the operator's settings and tells the gateway.
    pub fn reload_operator_config(&self, text: &str) {
        fs::write(&self.operator_file, text).unwrap();
        self.signal("-HUP");
    }

    /// Replaces the configuration and tells the gateway.
    pub fn reload(&self, text: &str) {
        fs::write(&self.config_file, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for the end of the process.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the gateway to end", || self.process.0.try_wait().unwrap())
    }

    /// Publishes a whole list of endpoints under this revision.
    pub fn list(&self, revision: u64, endpoints: &[Endpoint]) {
        publish(&self.discovery, revision, endpoints);
    }
}

/// Publishes a whole list of endpoints under this revision.
pub fn publish(discovery: &Discovery, revision: u64, endpoints: &[Endpoint]) {
    discovery.say(revision, frame(revision, true, endpoints));
}

/// Sends a signal by its name (`-TERM`) to a process.
///
/// # Panics
///
/// If there is no such process.
pub fn send_signal(process: u32, signal: &str) {
    let status = Command::new("kill").args([signal, &process.to_string()]).status().unwrap();
    assert!(status.success(), "kill {signal} {process}: {status}");
}

fn unique_temp_file() -> PathBuf {
    let name = format!("larchfall-{}-{:?}-{:?}", std::process::id(), thread::current().id(), Instant::now());
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    std::env::temp_dir().join(name)
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{:#?}", self.log.lines());
        }
        let _ = self.process.0.kill();
        let _ = self.process.0.wait();
        let _ = fs::remove_file(&self.config_file);
        let _ = fs::remove_file(&self.operator_file);
    }
}
