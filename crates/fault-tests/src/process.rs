//! One gateway as a program of its own, with a toy discovery service beside it, and a whole fleet of them with a net between that
//! breaks. Which program is the caller's to say.

use crate::net::Net;
use crate::relay::{Relays, Way};
use larchfall_stub::client::Client;
use larchfall_stub::discovery::{Discovery, Listed, frame};
use larchfall_stub::rest::RestClient;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything takes here, on a slow machine too.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Three request classes: look-ups that repeat, what runs once only, and referenced loads in key order.
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
pub fn config(listen: &str, discovery: SocketAddr, engine: Option<SocketAddr>, sockets: usize) -> String {
    config_of(listen, discovery, engine.as_slice(), sockets, &settings())
}

/// One with these settings; engines are known at the start, under ids from 1 up.
pub fn config_of(
    listen: &str,
    discovery: SocketAddr,
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
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"board":"{discovery}",
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
    all: Mutex<Vec<(Instant, String)>>,
    new: Condvar,
}

impl Lines {
    /// Takes in what a process says, until it ends.
    fn read(self: &Arc<Lines>, from: impl Read + Send + 'static) {
        let lines = self.clone();
        thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                lines.all.lock().unwrap().push((Instant::now(), line));
                lines.new.notify_all();
            }
        });
    }

    /// How many lines hold these words.
    pub fn count(&self, words: &str) -> usize {
        self.all.lock().unwrap().iter().filter(|(_, l)| l.contains(words)).count()
    }

    /// The newest line with these words.
    pub fn last(&self, words: &str) -> Option<String> {
        self.all.lock().unwrap().iter().rev().find(|(_, l)| l.contains(words)).map(|(_, l)| l.clone())
    }

    /// All of them, with when they came.
    pub fn lines(&self) -> Vec<(Instant, String)> {
        self.all.lock().unwrap().clone()
    }

    /// Waits for a log line with these words.
    pub fn wait_for(&self, words: &str) -> String {
        let all = self.all.lock().unwrap();
        let missing = |all: &mut Vec<(Instant, String)>| !all.iter().any(|(_, l)| l.contains(words));
        let (all, _) = self.new.wait_timeout_while(all, PATIENCE, missing).unwrap();
        let found = all.iter().find(|(_, l)| l.contains(words));
        found.map(|(_, l)| l.clone()).unwrap_or_else(|| panic!("no line with '{words}' in {all:#?}"))
    }
}

pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    /// Where it listens for the paged protocol, if it does.
    pub rest: Option<SocketAddr>,
    pub log: Arc<Lines>,
    pub discovery: Arc<Discovery>,
    pub file: std::path::PathBuf,
    pub site_file: std::path::PathBuf,
}

/// What a line says after `address: `.
pub fn address_in(line: &str) -> SocketAddr {
    line.split("address: ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap()
}

impl Gateway {
    /// With the operator's own settings beside the configuration, and what is put into its environment.
    pub fn start(
        program: &str,
        discovery: Discovery,
        text: &str,
        site: Option<&str>,
        put: &[(&str, String)],
    ) -> Gateway {
        let name =
            format!("larchfall-{}-{:?}-{:?}", std::process::id(), thread::current().id(), Instant::now());
        let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).unwrap();
        let mut command = Command::new(program);
        command.envs(put.iter().map(|(name, value)| (name, value)));
        command.args(["serve", "--config"]).arg(&file);
        let site_file = file.with_extension("toml");
        if let Some(site) = site {
            std::fs::write(&site_file, site).unwrap();
            command.arg("--site").arg(&site_file);
        }
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::new(Lines::default());
        let (output, panics) = (child.stdout.take().unwrap(), child.stderr.take().unwrap());
        log.read(output);
        log.read(panics);
        let address = address_in(&log.wait_for("listening,"));
        Gateway { child, address, rest: None, log, discovery: Arc::new(discovery), file, site_file }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Stops it, and comes back once all its threads stand still: on a busy machine some go on for a while.
    pub fn stop(&self) {
        self.signal("-STOP");
        let stands = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            text.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        wait_for("the front to stand still", || {
            let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
            tasks.map_or(true, |tasks| tasks.flatten().all(stands)).then_some(())
        });
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

    /// Descriptors that it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Replaces the operator's settings and tells the gateway.
    pub fn reload_site(&self, text: &str) {
        std::fs::write(&self.site_file, text).unwrap();
        self.signal("-HUP");
    }

    /// Replaces the configuration and tells the gateway.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for the program's end.
    pub fn ended(&mut self) -> ExitStatus {
        wait_for("the front to end", || self.child.try_wait().unwrap())
    }

    /// Lists engines under the discovery service's next number.
    pub fn list(&self, number: u64, engines: &[(u32, SocketAddr, u8)]) {
        list(&self.discovery, number, engines);
    }
}

/// Lists engines by id, address and state under this number.
pub fn list(discovery: &Discovery, number: u64, engines: &[(u32, SocketAddr, u8)]) {
    let entry = |(id, address, state): &(u32, SocketAddr, u8)| Listed {
        id: *id,
        address: *address,
        state: *state,
        zone: 0,
        kind: 0,
    };
    discovery.say(number, frame(number, true, &engines.iter().map(entry).collect::<Vec<_>>()));
}

impl Drop for Gateway {
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

pub const PERIOD: Duration = Duration::from_millis(200);

/// Gateways of one program, all known to each other through a net. Each has a discovery service of its own, which names no engine
/// unless it is told to.
pub struct Fleet {
    pub net: Net,
    pub gateways: Vec<Option<Gateway>>,
    pub seed: u64,
    program: &'static str,
    /// What stands in the file of the gateway at that place beside its `[gateways]` table, and in its environment.
    pub more: Box<dyn Fn(usize) -> String>,
    pub put: Box<dyn Fn(usize) -> Vec<(&'static str, String)>>,
    /// Its configuration, by the address of its discovery service.
    pub config: Box<dyn Fn(usize, SocketAddr) -> String>,
    /// Whether the module counts the gateways that live.
    pub shares: bool,
    /// The zone of the gateway at that place.
    pub zone: Box<dyn Fn(usize) -> String>,
    /// From each gateway to its discovery service.
    discovery_ways: Vec<Option<Relays>>,
    /// Of each process that was ever begun, by the name of its gateway.
    pub logs: Vec<(String, Arc<Lines>)>,
}

pub fn name(i: usize) -> String {
    format!("n{i:02}")
}

/// The file of the gateway at place `i` of the net, under the name of `called`.
pub fn gateways_table(net: &Net, i: usize, called: usize, seeds: &[usize]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{}\"", net.address(*s))).collect();
    format!(
        "[fronts]\ncluster = \"toy\"\nname = \"{}\"\naddress = \"{}\"\ntold = \"{}\"\nseeds = [{}]\n\
         networks = [\"127.0.0.0/8\"]\nzone = \"east\"\nperiod-ms = {}\nanswer-ms = 60\ntable-ms = 600\n\
         shares = true\ncount-within-ms = 500\ncount-step-ms = 100\n",
        name(called),
        net.home(i),
        net.address(i),
        seeds.join(", "),
        PERIOD.as_millis()
    )
}

impl Fleet {
    pub fn start(program: &'static str, n: usize, seed: u64) -> Fleet {
        Fleet::new(program, n, seed, |_, _| String::new(), |_| Vec::new()).begun()
    }

    pub fn begun(mut self) -> Fleet {
        (0..self.gateways.len()).for_each(|i| self.begin(i));
        self
    }

    /// None of them runs yet. `more` gets the net, and the place of the gateway whose file it adds to.
    pub fn new(
        program: &'static str,
        n: usize,
        seed: u64,
        more: impl Fn(&Net, usize) -> String,
        put: impl Fn(usize) -> Vec<(&'static str, String)> + 'static,
    ) -> Fleet {
        let net = Net::start(n, seed).unwrap();
        let texts: Vec<String> = (0..n).map(|i| more(&net, i)).collect();
        let more = Box::new(move |i: usize| texts[i].clone());
        let config = Box::new(|_, discovery| config("127.0.0.1:0", discovery, None, 256));
        let put = Box::new(put);
        let mut fleet = Fleet {
            net,
            gateways: Vec::new(),
            seed,
            program,
            more,
            put,
            config,
            shares: true,
            zone: Box::new(|_| "east".to_owned()),
            discovery_ways: Vec::new(),
            logs: Vec::new(),
        };
        fleet.gateways.resize_with(n, || None);
        fleet.discovery_ways.resize_with(n, || None);
        fleet
    }

    /// A process under this name, the first or another.
    pub fn begin(&mut self, i: usize) {
        self.begin_as(i, i);
    }

    pub fn begin_as(&mut self, i: usize, called: usize) {
        // Two at one address would be one too many.
        self.gateways[i] = None;
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let way = Relays::start(1, &[discovery.address]).unwrap();
        let text = (self.config)(i, way.address(0, 0));
        self.discovery_ways[i] = Some(way);
        let seeds = [0, 1];
        let gateways = gateways_table(&self.net, i, called, &seeds[..seeds.len().min(self.gateways.len())]);
        let gateways = gateways.replace("zone = \"east\"", &format!("zone = \"{}\"", (self.zone)(i)));
        let gateways = if self.shares { gateways } else { gateways.replace("shares = true\n", "") };
        let site = gateways + &(self.more)(i);
        let gateway = Gateway::start(self.program, discovery, &text, Some(&site), &(self.put)(i));
        // One that ends because its address is taken is seen here, and not as a member that nobody ever hears of.
        gateway.log.wait_for("listening to members");
        self.logs.push((name(called), gateway.log.clone()));
        self.gateways[i] = Some(gateway);
    }

    pub fn gateway(&self, i: usize) -> &Gateway {
        self.gateways[i].as_ref().unwrap()
    }

    /// What becomes of the way between this gateway and its discovery service.
    pub fn discovery_way(&self, i: usize, way: Way) {
        self.discovery_ways[i].as_ref().unwrap().set(|_, _| true, way);
    }

    pub fn up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways.len()).filter(|i| self.gateways[*i].is_some())
    }

    /// How this gateway's log last calls that one.
    pub fn held(&self, by: usize, of: usize) -> Option<String> {
        let line = self.gateway(by).log.last(&format!("member changed, name: {}, state: ", name(of)))?;
        Some(line.split(", state: ").nth(1)?.split(',').next()?.to_owned())
    }

    /// Waits until all that are up hold these so.
    pub fn wait_until_held(&self, of: &[usize], standing: &str) {
        let what = format!("seed {}: all to hold {of:?} for {standing}", self.seed);
        wait_for(&what, || {
            let held =
                |by: usize| of.iter().all(|of| *of == by || self.held(by, *of).as_deref() == Some(standing));
            self.up().all(held).then_some(())
        });
    }

    pub fn joined(&self) {
        let all: Vec<usize> = self.up().collect();
        self.wait_until_held(&all, "alive");
    }

    pub fn deaths(&self) -> usize {
        self.up().map(|i| self.gateway(i).log.count(", state: dead")).sum()
    }

    /// Lets the gateways go on until so many datagrams have passed between them.
    pub fn until_passed(&self, datagrams: u64) {
        let until = self.net.passed() + datagrams;
        wait_for("datagrams to pass", || (self.net.passed() >= until).then_some(()));
    }
}
