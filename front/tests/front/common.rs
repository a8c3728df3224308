//! One front as a program of its own, with toy engines and a toy board around it.

use larchfall_toy::board::{Board, Listed, frame};
use larchfall_toy::client::Client;
use larchfall_toy::engine::Engine;
use larchfall_toy::rest::RestClient;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything takes here, on a slow machine too.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Three service groups: look-ups that repeat, what runs once only, and referenced loads in key order.
pub fn settings() -> String {
    r#"{"az":0,"instances":1,"me":0,"models":["std"],"zones":["east"],"discovery":"automatic","period":5000,
    "caps":{"cancel":true,"connect_timeout":250000,"idle_close":15000000,"max_attempts":3,
            "max_retry_after":500000,"probes":false,"retry_after":true},
    "classes":[
      {"name":"look","effect":"read_like","aim":1000000,"hard_limit":30000000,"worth":1.0},
      {"name":"once","effect":"non_idempotent","aim":1000000,"hard_limit":30000000,"worth":1.0},
      {"name":"load","effect":"idempotency_key","key_scope":"all","dedup_window":12000000,"keep_order":true,
       "aim":1000000,"hard_limit":30000000,"worth":2.0}],
    "domain":{"threads_by_class":[1,1,1],"size_cores":[64],"size_mb":[65536],"grants":true,"note_period":0},
    "parties":[{"name":"acme","allowance_per_s":1000}],
    "safety":{"cold_from":0.3,"fall":2000000,"fall_multiple":3.0,"ramp_time":14000000,"drain_grace":2000000}}"#
        .to_owned()
}

/// A configuration; `engine` is known at the start.
pub fn config(listen: &str, board: SocketAddr, engine: Option<SocketAddr>, sockets: usize) -> String {
    config_of(listen, board, engine.as_slice(), sockets, &settings())
}

/// One with these settings; engines are known at the start, under ids from 1 up.
pub fn config_of(
    listen: &str,
    board: SocketAddr,
    engines: &[SocketAddr],
    sockets: usize,
    settings: &str,
) -> String {
    let known: Vec<String> = (1..)
        .zip(engines)
        .map(|(id, address)| {
            format!(
                r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"east","machineType":"std",
                "cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"board":"{board}",
            "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
            "settings":{settings}}}"#,
        known.join(",")
    )
}

/// An operator's file with these lines for the paged protocol.
pub fn site(rest: &str) -> String {
    format!(
        r#"[rest]
listen = "127.0.0.1:0"
{rest}
[rest.batch]
group = [{{ header = "source" }}]
customer = [{{ header = "user" }}]
reference = [{{ field = "Idempotency-Key" }}]
key = [{{ session = "order_key" }}]
time-limit = [{{ session = "time_limit_ms" }}]
"#
    )
}

#[derive(Default)]
pub struct Lines {
    all: Mutex<Vec<String>>,
    new: Condvar,
}

impl Lines {
    /// How many lines hold these words.
    pub fn count(&self, words: &str) -> usize {
        self.all.lock().unwrap().iter().filter(|l| l.contains(words)).count()
    }

    /// The newest line with these words.
    pub fn last(&self, words: &str) -> Option<String> {
        self.all.lock().unwrap().iter().rev().find(|l| l.contains(words)).cloned()
    }

    /// Waits for a log line with these words.
    pub fn wait_for(&self, words: &str) -> String {
        let all = self.all.lock().unwrap();
        let missing = |all: &mut Vec<String>| !all.iter().any(|l| l.contains(words));
        let (all, _) = self.new.wait_timeout_while(all, PATIENCE, missing).unwrap();
        let found = all.iter().find(|l| l.contains(words)).cloned();
        found.unwrap_or_else(|| panic!("no line with '{words}' in {all:#?}"))
    }
}

pub struct Front {
    child: Child,
    pub address: SocketAddr,
    /// Where it listens for the paged protocol, if it does.
    pub rest: Option<SocketAddr>,
    pub log: Arc<Lines>,
    pub board: Board,
    file: std::path::PathBuf,
    site_file: std::path::PathBuf,
}

fn address_in(line: &str) -> SocketAddr {
    line.split("address: ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap()
}

impl Front {
    /// A front that knows this engine.
    pub fn start(engine: Option<SocketAddr>) -> Front {
        let board = Board::start("127.0.0.1:0").unwrap();
        Front::start_on("127.0.0.1:0", board, engine, 256)
    }

    pub fn start_on(listen: &str, board: Board, engine: Option<SocketAddr>, sockets: usize) -> Front {
        let text = config(listen, board.address, engine, sockets);
        Front::start_with(board, &text)
    }

    pub fn start_with(board: Board, text: &str) -> Front {
        Front::start_site(board, text, None)
    }

    /// With the operator's own settings beside the configuration, and the paged protocol among them.
    pub fn start_site(board: Board, text: &str, site: Option<&str>) -> Front {
        let mut front = Front::start_files(board, text, site);
        front.rest = site.map(|_| address_in(&front.log.wait_for("listening for rest,")));
        front
    }

    /// With a `[fronts]` table alone.
    pub fn start_members(board: Board, text: &str, site: &str) -> Front {
        Front::start_files(board, text, Some(site))
    }

    fn start_files(board: Board, text: &str, site: Option<&str>) -> Front {
        let name =
            format!("larchfall-{}-{:?}-{:?}", std::process::id(), thread::current().id(), Instant::now());
        let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_larchfall"));
        command.args(["serve", "--config"]).arg(&file);
        let site_file = file.with_extension("toml");
        if let Some(site) = site {
            std::fs::write(&site_file, site).unwrap();
            command.arg("--site").arg(&site_file);
        }
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let log = Arc::new(Lines::default());
        let (output, lines) = (child.stdout.take().unwrap(), log.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                lines.all.lock().unwrap().push(line);
                lines.new.notify_all();
            }
        });
        let address = address_in(&log.wait_for("listening,"));
        Front { child, address, rest: None, log, board, file, site_file }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn rest_client(&self) -> RestClient {
        RestClient::connect(self.rest.unwrap()).unwrap()
    }

    /// Processor time used so far, and memory held, in bytes.
    pub fn used(&self) -> (Duration, usize) {
        let read = |what| std::fs::read_to_string(format!("/proc/{}/{what}", self.child.id())).unwrap();
        // In nanoseconds, of each thread.
        let of_thread = |t: std::fs::DirEntry| {
            let text = std::fs::read_to_string(t.path().join("schedstat")).unwrap_or_default();
            text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let nanos: u64 = threads.flatten().map(of_thread).sum();
        let pages: usize = read("statm").split(' ').nth(1).unwrap().parse().unwrap();
        (Duration::from_nanos(nanos), pages * 4096)
    }

    /// Replaces the operator's settings and tells the front.
    pub fn reload_site(&self, text: &str) {
        std::fs::write(&self.site_file, text).unwrap();
        self.signal("-HUP");
    }

    /// Replaces the configuration and tells the front.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for the program's end.
    pub fn ended(&mut self) -> ExitStatus {
        wait_for("the front to end", || self.child.try_wait().unwrap())
    }

    /// Lists engines under the board's next number.
    pub fn list(&self, number: u64, engines: &[(u32, SocketAddr, u8)]) {
        let listed: Vec<Listed> = engines
            .iter()
            .map(|(id, address, state)| Listed {
                id: *id,
                address: *address,
                state: *state,
                zone: 0,
                kind: 0,
            })
            .collect();
        self.board.say(number, frame(number, true, &listed));
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{:#?}", self.log.all.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(&self.site_file);
    }
}

/// Waits until there is something.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An address at which nobody listens, nor will: a client's own end holds the port.
pub struct Nobody {
    pub address: SocketAddr,
    _held: (TcpListener, TcpStream),
}

pub fn nobody() -> Nobody {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    Nobody { address: stream.local_addr().unwrap(), _held: (listener, stream) }
}

/// An engine that is seen to have come this far.
pub fn until_seen(engine: &Engine, what: &str, seen: impl Fn(&larchfall_toy::engine::Seen) -> bool) {
    wait_for(what, || seen(&engine.seen()).then_some(()));
}
