//! Starts a front as the platform does: by `run` of the deploy file, through a shell, from the root of the repository.

use crate::client::{Answer, Client};
use crate::discovery::Discovery;
use crate::record::Record;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The limits in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct FrontLimits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// A running front.
pub struct Front {
    process: Child,
    pub address: SocketAddr,
    /// Holds the configuration and the log of the front.
    directory: PathBuf,
}

/// Picks a free port on the loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command `run` in the deploy file.
fn run_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command.map(str::to_owned).ok_or_else(|| io::Error::other("the deploy file has no run"))
}

/// What a front is started with.
pub struct FrontSetup<'a> {
    /// Number of this front, from 0, and how many there are.
    pub number: usize,
    pub fronts: usize,
    pub limits: FrontLimits,
    pub discovery: &'a Discovery,
    /// The object `settings` of the configuration, as JSON.
    pub settings: &'a str,
}

impl Front {
    /// Starts a front and waits until it answers `ping` with true.
    pub fn start(record: &Record, setup: &FrontSetup) -> io::Result<Front> {
        let base = std::env::var_os("TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from);
        let FrontSetup { number, fronts, .. } = setup;
        let directory = base.join(format!("larchfall-review-{}-n{number}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let address = free_address()?;
        let FrontLimits { memory_mb, sockets } = setup.limits;
        let config = format!(
            r#"{{"name":"n{number}","listen":"{address}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"board":"{}","known":{},
"settings":{}}}"#,
            u64::from(std::process::id()) << 20 | 0x5eed << 2 | *number as u64,
            setup.discovery.address,
            setup.discovery.known(),
            setup
                .settings
                .replace(r#""instances":1,"me":0"#, &format!(r#""instances":{fronts},"me":{number}"#))
        );
        let config_path = directory.join("config.json");
        fs::write(&config_path, config)?;
        let command = run_command()?;
        record.line(format!("platform: starts front n{number} by '{command}' at {address}"));
        let log = File::create(directory.join("front.log"))?;
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("NODE_NAME", format!("n{number}"))
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Some(pids) = std::env::var_os("REVIEW_PIDS") {
            let mut pids = OpenOptions::new().create(true).append(true).open(pids)?;
            writeln!(pids, "{}", process.id())?;
        }
        let front = Front { process, address, directory };
        front.wait_until_ready()?;
        record.line(format!("platform: front n{number} answers ping"));
        Ok(front)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address)
                && client.ping().is_ok()
                && matches!(client.answer(Duration::from_secs(1)), Ok(Some((_, Answer::Pong))))
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the front is not ready within 30 s"))
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to the front.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        // The shell's own kill: not every machine has the program.
        let status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.id())]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(format!("kill -{name} failed"))) }
    }

    /// Memory in use, in KiB, as the system tells it; `None` once the front is gone.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the front still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Kills the front outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}
