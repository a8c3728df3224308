//! Stand-ins for the second review, written from the protocol page: query engines, a notice board, clients of both
//! protocols, and a gateway as a process of its own. Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------------- the record

struct RecordFile {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<RecordFile> = OnceLock::new();

/// Opens `record.txt` in the case's folder. Times in it are milliseconds from here.
pub fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(RecordFile { file: Mutex::new(file), start: Instant::now() });
}

/// Milliseconds since the record was opened.
pub fn now() -> u64 {
    RECORD.get().map_or(0, |record| record.start.elapsed().as_millis() as u64)
}

pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let _ = writeln!(lock(&record.file), "{:>7} {text}", now());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

// ---------------------------------------------------------------------------------------------------- processes

/// Processes that this test started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").args([&format!("-{name}"), "--", &pid.to_string()]).stderr(Stdio::null()).status();
}

/// Has `end_all` end this process too.
pub fn started(pid: u32) {
    lock(&STARTED).push(pid);
}

fn ended(pid: u32) {
    lock(&STARTED).retain(|other| *other != pid);
}

/// Ends all processes that are left.
fn end_all() {
    for pid in lock(&STARTED).drain(..) {
        signal(pid, "KILL");
    }
}

// ---------------------------------------------------------------------------------------------------- small things

/// A sequence of numbers that is the same in each run.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// True for `parts` of a hundred.
    pub fn percent(&mut self, parts: u64) -> bool {
        self.next() % 100 < parts
    }
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("its address").port()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The number behind `name=` in a statement, as in `ms=300`.
fn figure(statement: &str, name: &str) -> Option<u64> {
    let start = statement.find(&format!("{name}="))? + name.len() + 1;
    let digits: String = statement[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// ---------------------------------------------------------------------------------------------------- query engines

/// What happens to one answer of an engine.
#[derive(Clone, Copy, Default)]
pub struct Spoil {
    /// The answer is held back for so long.
    pub late: Option<Duration>,
    /// A second copy of the answer follows after so long.
    pub copy_after: Option<Duration>,
}

/// An answer about to be written: of which query, to which call, its status, and how many of that query with this
/// status went before.
pub struct AnswerInfo<'a> {
    pub id: &'a str,
    pub is_start: bool,
    pub status: u16,
    pub earlier: u32,
}

type SpoilFn = Box<dyn Fn(&AnswerInfo) -> Spoil + Send + Sync>;

#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub statement: String,
    pub engine: String,
    pub op_key: String,
    /// When the call had come whole, in milliseconds of the record.
    pub begun: u64,
    pub ended: Option<u64>,
    pub how: &'static str,
}

struct Query {
    run: usize,
    ends: Instant,
    asked: Instant,
    over: bool,
    good: bool,
    pages: Vec<String>,
    answers: HashMap<u16, u32>,
}

#[derive(Default)]
struct EngineState {
    queries: HashMap<String, Query>,
}

/// One query engine on an address of its own.
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    state: Mutex<EngineState>,
    runs: Arc<Mutex<Vec<Run>>>,
    spoil: SpoilFn,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// The rows that an engine makes for a statement: each names the statement's mark.
pub fn rows_of(statement: &str) -> Vec<String> {
    let mark = statement.split_whitespace().find(|word| word.starts_with("mark=")).unwrap_or("mark=none");
    let pages = figure(statement, "pages").unwrap_or(1).max(1);
    (0..pages).map(|page| (0..4).map(|row| format!("{mark}\tp{page}\tr{row}\n")).collect()).collect()
}

impl Engine {
    pub fn start(name: &str, runs: &Arc<Mutex<Vec<Run>>>, spoil: SpoilFn) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an engine's port");
        let engine = Arc::new(Engine {
            name: name.to_owned(),
            address: listener.local_addr().expect("an engine's address"),
            state: Mutex::default(),
            runs: runs.clone(),
            spoil,
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                lock(&accepting.connections).extend(stream.try_clone());
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let expiring = engine.clone();
        thread::spawn(move || {
            while !expiring.stopped.load(Ordering::SeqCst) {
                expiring.end_due();
                thread::sleep(ms(10));
            }
        });
        engine
    }

    pub fn sound() -> SpoilFn {
        Box::new(|_| Spoil::default())
    }

    /// The process ends: what runs is lost, connections are reset, new ones are refused.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let mut state = lock(&self.state);
        for query in state.queries.values_mut().filter(|query| !query.over) {
            query.over = true;
            self.close_run(query.run, "lost with its engine");
        }
        note(&format!("engine {} ends", self.name));
    }

    fn close_run(&self, run: usize, how: &'static str) {
        let mut runs = lock(&self.runs);
        runs[run].ended = Some(now());
        runs[run].how = how;
        note(&format!("engine {}: {} ends: {how}", self.name, runs[run].id));
    }

    /// Ends queries that are done, and those that were not asked for in 2 s.
    fn end_due(&self) {
        let mut state = lock(&self.state);
        for query in state.queries.values_mut().filter(|query| !query.over) {
            if Instant::now() >= query.ends {
                query.over = true;
                query.good = true;
                self.close_run(query.run, "well");
            } else if query.asked.elapsed() > Duration::from_secs(2) {
                query.over = true;
                self.close_run(query.run, "not asked for in 2 s");
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut input = BufReader::new(reading);
        let mut output = stream;
        while let Some(call) = read_http(&mut input) {
            if self.stopped.load(Ordering::SeqCst) || self.answer(&call, &mut output).is_none() {
                return;
            }
        }
    }

    fn answer(&self, call: &HttpMessage, output: &mut TcpStream) -> Option<()> {
        let parts: Vec<&str> = call.target.split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("POST", ["", "obj"]) => {
                let id = call.header("x-trace")?.to_owned();
                let statement = String::from_utf8_lossy(&call.body).into_owned();
                let run = {
                    let mut runs = lock(&self.runs);
                    runs.push(Run {
                        id: id.clone(),
                        statement: statement.clone(),
                        engine: self.name.clone(),
                        op_key: call.header("x-op-key").unwrap_or("").to_owned(),
                        begun: now(),
                        ended: None,
                        how: "runs",
                    });
                    runs.len() - 1
                };
                note(&format!("engine {}: {id} begins: {statement}", self.name));
                let query = Query {
                    run,
                    ends: Instant::now() + ms(figure(&statement, "ms").unwrap_or(20)),
                    asked: Instant::now(),
                    over: false,
                    good: false,
                    pages: rows_of(&statement),
                    answers: HashMap::new(),
                };
                lock(&self.state).queries.insert(id.clone(), query);
                self.news(&id, true, output)
            }
            ("GET", ["", "obj", id, "0"]) => self.news(id, false, output),
            ("GET", ["", "obj", id, page]) => {
                let number: usize = page.parse().ok()?;
                let found = lock(&self.state)
                    .queries
                    .get(*id)
                    .filter(|query| query.good)
                    .and_then(|query| query.pages.get(number).cloned());
                match found {
                    Some(rows) => self.write(id, false, 200, &format!("Page-No: {number}\r\n"), &rows, output),
                    None => self.write(id, false, 500, "", "", output),
                }
            }
            ("PUT", ["", "obj", _]) => output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok(),
            ("DELETE", ["", "obj", id]) => {
                let mut state = lock(&self.state);
                if let Some(query) = state.queries.get_mut(*id).filter(|query| !query.over) {
                    query.over = true;
                    self.close_run(query.run, "given up");
                }
                drop(state);
                output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()
            }
            _ => output.write_all(b"HTTP/1.1 200 OK\r\nX-Stats: inflight:1;util:0.1\r\nContent-Length: 0\r\n\r\n").ok(),
        }
    }

    /// The news of a query: its end, or after 250 ms 202 with nothing.
    fn news(&self, id: &str, is_start: bool, output: &mut TcpStream) -> Option<()> {
        let until = Instant::now() + ms(250);
        loop {
            self.end_due();
            {
                let mut state = lock(&self.state);
                let Some(query) = state.queries.get_mut(id) else {
                    drop(state);
                    return self.write(id, is_start, 500, "", "", output);
                };
                query.asked = Instant::now();
                if query.over {
                    let (good, pages) = (query.good, query.pages.clone());
                    drop(state);
                    return if good {
                        let fields = format!("Page-Count: {}\r\n", pages.len());
                        self.write(id, is_start, 200, &fields, &pages[0], output)
                    } else {
                        self.write(id, is_start, 500, "", "", output)
                    };
                }
            }
            if Instant::now() >= until {
                return self.write(id, is_start, 202, "", "", output);
            }
            thread::sleep(ms(3));
        }
    }

    fn write(
        &self,
        id: &str,
        is_start: bool,
        status: u16,
        fields: &str,
        body: &str,
        output: &mut TcpStream,
    ) -> Option<()> {
        let earlier = lock(&self.state).queries.get_mut(id).map_or(0, |query| {
            let count = query.answers.entry(status).or_default();
            *count += 1;
            *count - 1
        });
        let spoil = (self.spoil)(&AnswerInfo { id, is_start, status, earlier });
        let bytes = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
        if let Some(late) = spoil.late {
            note(&format!("engine {}: answer {status} of {id} comes {} ms late", self.name, late.as_millis()));
            thread::sleep(late);
        }
        output.write_all(bytes.as_bytes()).ok()?;
        if let Some(after) = spoil.copy_after {
            note(&format!("engine {}: a second copy of answer {status} of {id}", self.name));
            thread::sleep(after);
            output.write_all(bytes.as_bytes()).ok()?;
        }
        Some(())
    }
}

// ---------------------------------------------------------------------------------------------------- HTTP

pub struct HttpMessage {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status, where the message is an answer.
    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }
}

/// Reads a message with a Content-Length body; `None` at the end of the connection.
pub fn read_http(input: &mut impl BufRead) -> Option<HttpMessage> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = HttpMessage { method, target, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body).ok()?;
    Some(message)
}

// ---------------------------------------------------------------------------------------------------- the board

#[derive(Clone)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
}

impl Listed {
    fn record(&self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else { panic!("IPv4 only") };
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
        bytes.extend([self.state, 0, 0]);
        bytes.extend(0u16.to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(0u64.to_be_bytes());
        bytes
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"s-{:08x}","hostPort":"{}","zone":"hall","machineType":"std","cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}}"#,
            self.id, self.address
        )
    }
}

/// The numbered changes that a notice board has to tell. Event 1 is in the configuration.
#[derive(Default)]
pub struct Events(Mutex<Vec<Listed>>);

impl Events {
    pub fn publish(&self, change: Listed) {
        note(&format!("board: engine {} is now in state {}", change.id, change.state));
        lock(&self.0).push(change);
    }
}

/// A notice board on an address of its own. Several may tell the same events.
pub struct Board {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    muted: Arc<AtomicBool>,
}

impl Board {
    pub fn start(events: &Arc<Events>) -> Board {
        Board::start_at("127.0.0.1:0", events)
    }

    pub fn start_at(address: &str, events: &Arc<Events>) -> Board {
        let listener = TcpListener::bind(address).expect("a board's port");
        let address = listener.local_addr().expect("a board's address");
        let closed = Arc::new(AtomicBool::new(false));
        let muted = Arc::new(AtomicBool::new(false));
        let (events, is_closed, is_muted) = (events.clone(), closed.clone(), muted.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::SeqCst) || is_muted.load(Ordering::SeqCst) {
                    return;
                }
                let (events, is_closed, is_muted) = (events.clone(), is_closed.clone(), is_muted.clone());
                thread::spawn(move || follow(stream, &events, &is_closed, &is_muted));
            }
        });
        Board { address, closed, muted }
    }

    /// Takes no new connection and tells nothing more; open connections stay open.
    pub fn mute(&self) {
        self.muted.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    /// Takes no new connection and closes the open ones.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn follow(mut stream: TcpStream, events: &Events, closed: &AtomicBool, muted: &AtomicBool) -> Option<()> {
    let mut last = [0; 8];
    stream.read_exact(&mut last).ok()?;
    let mut told = u64::from_be_bytes(last);
    note(&format!("board: a front asks for what comes after {told}"));
    let mut beat = Instant::now() - Duration::from_secs(1);
    while !closed.load(Ordering::SeqCst) {
        if muted.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
            continue;
        }
        let change = lock(&events.0).get(told as usize - 1).cloned();
        if let Some(change) = change {
            told += 1;
            let record = change.record();
            let mut frame = ((9 + record.len()) as u32).to_be_bytes().to_vec();
            frame.extend(told.to_be_bytes());
            frame.push(2);
            frame.extend(record);
            stream.write_all(&frame).ok()?;
        } else if beat.elapsed() >= Duration::from_secs(1) {
            beat = Instant::now();
            let mut frame = 9u32.to_be_bytes().to_vec();
            frame.extend(told.to_be_bytes());
            frame.push(0);
            stream.write_all(&frame).ok()?;
        }
        thread::sleep(ms(10));
    }
    Some(())
}

// ---------------------------------------------------------------------------------------------------- the gateway

pub struct Gateway {
    child: Child,
    pub listen: String,
    pub folder: PathBuf,
}

/// The configuration of a front, with the settings of a small deployment.
pub fn config(listen: &str, board: &SocketAddr, engines: &[Listed], drain_grace_ms: u64) -> String {
    let instances: Vec<String> = engines.iter().map(Listed::json).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"board":"{board}",
"known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
"settings":{{"az":0,"instances":1,"me":0,"period":5000,"discovery":"automatic","models":["std"],"zones":["hall"],
"caps":{{"cancel":true,"connect_timeout":250000,"idle_close":15000000,"max_attempts":3,"max_retry_after":500000,
 "probes":false,"retry_after":true,"second_copies":true}},
"classes":[
 {{"name":"look-up","effect":"read_like","aim":1000000,"aim_stretch":2.0,"hard_limit":5000000,"worth":1.0}},
 {{"name":"load","effect":"idempotency_key","key_scope":"all","dedup_window":12000000,"keep_order":true,"aim":3000000,
   "aim_stretch":2.5,"hard_limit":20000000,"worth":12.0}},
 {{"name":"change","effect":"non_idempotent","aim":2000000,"aim_stretch":2.5,"hard_limit":20000000,"worth":4.0}}],
"domain":{{"threads_by_class":[1,2,1],"writes_tables":[false,true,false],"blocked_by_loads":[false,false,false],
 "size_cores":[16],"size_mb":[32768],"grants":true,"note_period":1000000,"out_of_memory":"trim"}},
"parties":[{{"name":"desk","allowance_per_s":200}}],
"safety":{{"cold_from":0.32,"ramp_time":14000000,"fall":2000000,"fall_multiple":3.0,"drain_grace":{},
 "extra_window":10000000,"budget_free":2.0,"extra_per_request":0.1,"key_quiet":0}}}}}}"#,
        instances.join(","),
        drain_grace_ms * 1000
    )
}

/// The site file that turns the paged REST protocol on, as in the examples.
pub fn site(listen: &str) -> String {
    format!(
        "[rest]\nlisten = \"{listen}\"\nheaders = \"both\"\n\n[rest.batch]\ngroup = [{{ header = \"source\" }}]\n\
         customer = [{{ header = \"user\" }}]\nreference = [{{ field = \"Idempotency-Key\" }}]\n\
         key = [{{ session = \"order_key\" }}]\ntime-limit = [{{ session = \"time_limit_ms\" }}]\n"
    )
}

impl Gateway {
    /// Starts a front by the deploy file's `run`, in a process group of its own, and waits until it answers a ping.
    pub fn start(folder: &Path, listen: &str, config: &str, site: Option<&str>) -> Option<Gateway> {
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).ok()?;
        let deploy = std::fs::read_to_string("deploy/balancer.toml").ok()?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""))?.split('"').next()?.to_owned();
        let mut command = run;
        if let Some(site) = site {
            let path = folder.join("site.toml");
            std::fs::write(&path, site).ok()?;
            command += &format!(" serve --site {}", path.display());
        }
        let log = File::create(folder.join("gateway.log")).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", listen)
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .process_group(0)
            .spawn()
            .ok()?;
        started(child.id());
        let mut gateway = Gateway { child, listen: listen.to_owned(), folder: folder.to_owned() };
        for _ in 0..100 {
            if let Some(mut client) = Client::connect(listen) {
                if client.ping() {
                    return Some(gateway);
                }
            }
            if gateway.exit().is_some() {
                return None;
            }
            thread::sleep(ms(50));
        }
        None
    }

    pub fn signal(&self, name: &str) {
        note(&format!("front: SIG{name}"));
        signal(self.child.id(), name);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the front outright: every process of the group that `run` was started in.
    pub fn kill_group(&self) {
        note(&format!("front: SIGKILL to the process group {}", self.child.id()));
        let group = format!("-{}", self.child.id());
        let _ = Command::new("kill").args(["-KILL", "--", &group]).status();
    }

    /// The exit status, once the process has ended.
    pub fn exit(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("gateway.log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        ended(self.child.id());
    }
}

/// Runs a case: opens its record, makes a temporary folder, and ends with the case's exit code.
pub fn main_of(case: fn(&Path) -> i32) {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
    let scratch = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    open_record(&folder);
    note(&format!("disruption: {}", if trouble() { "on" } else { "off" }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        println!("not run: over its time");
        end_all();
        std::process::exit(NOT_RUN);
    });
    let code = case(&scratch);
    end_all();
    say(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}

// ---------------------------------------------------------------------------------------------------- MessagePack-RPC

fn put_str(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

/// The bytes of a request.
pub fn encode_request(message: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(message.to_be_bytes());
    put_str(&mut out, class);
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        put_str(&mut out, name);
        put_str(&mut out, value);
    }
    out.push(0xc6);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn text(&self) -> String {
        match self {
            Value::Bytes(bytes) => String::from_utf8_lossy(bytes).into_owned(),
            other => format!("{other:?}"),
        }
    }
}

fn take(input: &mut impl Read, count: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; count];
    input.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn number(input: &mut impl Read, count: usize) -> std::io::Result<u64> {
    Ok(take(input, count)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn read_value(input: &mut impl Read) -> std::io::Result<Value> {
    let marker = take(input, 1)?[0];
    let many = |input: &mut dyn Read, count: u64| -> std::io::Result<Vec<Value>> {
        let mut reader = input;
        (0..count).map(|_| read_value(&mut reader)).collect()
    };
    let map = |values: Vec<Value>| {
        Value::Map(values.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect())
    };
    Ok(match marker {
        0x00..=0x7f => Value::Int(i64::from(marker)),
        0x80..=0x8f => map(many(input, 2 * u64::from(marker & 15))?),
        0x90..=0x9f => Value::Array(many(input, u64::from(marker & 15))?),
        0xa0..=0xbf => Value::Bytes(take(input, usize::from(marker & 31))?),
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(marker == 0xc3),
        0xc4 | 0xd9 => {
            let count = number(input, 1)? as usize;
            Value::Bytes(take(input, count)?)
        }
        0xc5 | 0xda => {
            let count = number(input, 2)? as usize;
            Value::Bytes(take(input, count)?)
        }
        0xc6 | 0xdb => {
            let count = number(input, 4)? as usize;
            Value::Bytes(take(input, count)?)
        }
        0xcc..=0xcf => Value::Int(number(input, 1 << (marker - 0xcc))? as i64),
        0xd0..=0xd3 => Value::Int(number(input, 1 << (marker - 0xd0))? as i64),
        0xdc => {
            let count = number(input, 2)?;
            Value::Array(many(input, count)?)
        }
        0xde => {
            let count = number(input, 2)?;
            map(many(input, 2 * count)?)
        }
        0xe0..=0xff => Value::Int(i64::from(marker as i8)),
        _ => return Err(ErrorKind::InvalidData.into()),
    })
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(String),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in the given time.
    None,
}

pub struct Client {
    stream: TcpStream,
    next: u32,
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of 16 hex digits.
pub fn new_id() -> String {
    format!("{:016x}", 0x5a00_0000_0000_0000 + IDS.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub fn connect(address: &str) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { stream, next: 1 })
    }

    pub fn ping(&mut self) -> bool {
        let mut bytes = vec![0x94, 0x00, 0xce];
        bytes.extend(self.next.to_be_bytes());
        self.next += 1;
        put_str(&mut bytes, "ping");
        bytes.extend([0x91, 0x80]);
        let _ = self.stream.set_read_timeout(Some(ms(1000)));
        self.stream.write_all(&bytes).is_ok() && read_value(&mut self.stream).is_ok()
    }

    /// Writes a request and returns its message number.
    pub fn send(&mut self, class: &str, id: &str, timeout: u64, more: &[(&str, &str)], statement: &str) -> u32 {
        let timeout = timeout.to_string();
        let mut fields = vec![("req", id), ("timeout", timeout.as_str()), ("owner", "desk")];
        fields.extend(more);
        let message = self.next;
        self.next += 1;
        let _ = self.stream.write_all(&encode_request(message, class, &fields, statement.as_bytes()));
        note(&format!("client: sends {class} {id} timeout {timeout}: {statement}"));
        message
    }

    /// Waits for the next answer for so long.
    pub fn receive(&mut self, wait: Duration) -> (u32, Answer) {
        let _ = self.stream.set_read_timeout(Some(wait));
        match read_value(&mut self.stream) {
            Ok(Value::Array(parts)) if parts.len() == 4 => {
                let message = if let Value::Int(n) = parts[1] { n as u32 } else { 0 };
                let answer = match (&parts[2], &parts[3]) {
                    (Value::Nil, Value::Array(result)) => {
                        Answer::Served(result.first().map(Value::text).unwrap_or_default())
                    }
                    (Value::Array(error), _) => match error.first().map(Value::text) {
                        Some(name) if name == "Rejected" => Answer::Refused,
                        name => Answer::Failed(name.unwrap_or_default()),
                    },
                    (other, _) => Answer::Failed(other.text()),
                };
                (message, answer)
            }
            Ok(other) => (0, Answer::Failed(format!("unreadable {other:?}"))),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => (0, Answer::None),
            Err(_) => (0, Answer::Closed),
        }
    }

    /// Sends a request and waits for its answer, half a second longer than its time.
    pub fn ask(&mut self, class: &str, id: &str, timeout: u64, more: &[(&str, &str)], statement: &str) -> Answer {
        self.send(class, id, timeout, more, statement);
        let (_, answer) = self.receive(ms(timeout + 550));
        note(&format!("client: answer to {id}: {answer:?}"));
        answer
    }
}

// ---------------------------------------------------------------------------------------------------- paged REST

/// The bytes of a statement's POST.
pub fn rest_post(host: &str, class: &str, session: &str, key: &str, statement: &str) -> Vec<u8> {
    let mut head = format!(
        "POST /v1/statement HTTP/1.1\r\nHost: {host}\r\nX-Trino-User: desk\r\nX-Trino-Source: {class}\r\n"
    );
    if !session.is_empty() {
        head += &format!("X-Trino-Session: {session}\r\n");
    }
    if !key.is_empty() {
        head += &format!("Idempotency-Key: {key}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{statement}", statement.len());
    head.into_bytes()
}

/// The text behind a name in a JSON document, as far as these documents need it.
pub fn json_text(document: &str, name: &str) -> Option<String> {
    let start = document.find(&format!("\"{name}\":\""))? + name.len() + 4;
    document[start..].split('"').next().map(str::to_owned)
}

/// How a statement over paged REST ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Paged {
    /// The last page came; all rows as the documents hold them.
    Served(String),
    Refused,
    Failed(String),
    /// No final answer by the given time, or the connection ended without one.
    Unanswered(String),
}

/// Follows a statement to its last page over one connection. `bytes` is the POST, already written if `None`.
pub fn rest_follow(stream: &TcpStream, host: &str, until: Instant) -> Paged {
    let Ok(reading) = stream.try_clone() else { return Paged::Unanswered("no connection".to_owned()) };
    let mut input = BufReader::new(reading);
    let mut output = stream;
    let mut rows = String::new();
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Paged::Unanswered("no final answer in time".to_owned());
        }
        let _ = stream.set_read_timeout(Some(remaining));
        let Some(answer) = read_http(&mut input) else {
            let late = Instant::now() >= until;
            return Paged::Unanswered(if late { "no answer in time" } else { "closed or reset" }.to_owned());
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status() {
            200 => {}
            429 | 503 => return Paged::Refused,
            status => return Paged::Failed(format!("{status} {body}")),
        }
        if let Some(error) = json_text(&body, "errorName") {
            return if error.contains("QUEUE_FULL") { Paged::Refused } else { Paged::Failed(error) };
        }
        if let Some(start) = body.find("\"data\":") {
            rows += &body[start + 7..body.len()];
        }
        let Some(next) = json_text(&body, "nextUri") else { return Paged::Served(rows) };
        let path = next.splitn(4, '/').nth(3).unwrap_or("").to_owned();
        if output.write_all(format!("GET /{path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes()).is_err() {
            return Paged::Unanswered("closed or reset".to_owned());
        }
    }
}
