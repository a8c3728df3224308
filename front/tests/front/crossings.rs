//! Moments in which two things cross, each forced: engines and clients here are scripts that hold, split or release bytes at
//! a marked point. The list of them is docs/races.md.

use crate::common::{Front, PROGRAM, config, config_of, settings, wait_for};
use larchfall_toy::board::Board;
use larchfall_toy::client::{Answer, Client, request};
use larchfall_toy::engine::{Act, Engine};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "9b1f03aa5c7e2d42";

fn fields<'a>(id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("req", id), ("timeout", wait), ("owner", "acme"), ("ms", "10"), ("est_mb", "5")]
}

fn keyed<'a>(id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    let key = [("opkey", id), ("subject", "00000000000000ab")];
    fields(id, wait).into_iter().chain(key).collect()
}

fn rows(text: &str) -> Answer {
    Answer::Rows(text.as_bytes().to_vec())
}

fn refused() -> Answer {
    Answer::Error("Rejected".into(), Some("500".into()))
}

fn served(rows: &str) -> Vec<u8> {
    reply("200 OK", "Page-Count: 1\r\n", rows)
}

fn reply(status: &str, head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One call as an engine reads it.
#[derive(Clone, Debug)]
struct Call {
    /// Verb and path.
    line: String,
    head: String,
    body: String,
}

fn read_call(input: &mut impl BufRead) -> Option<Call> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim() {
            "" => break,
            line => lines.push(line.to_ascii_lowercase()),
        }
    }
    let length = lines.iter().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Call { line: lines[0].clone(), head: lines.join("\n"), body })
}

/// An engine that does with each call what the script says; the connection ends where that says false.
struct Script {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Script {
    fn start(plays: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static) -> Script {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, plays) = (listener.local_addr().unwrap(), Arc::new(plays));
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let seen = calls.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (plays, seen) = (plays.clone(), seen.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(call) = read_call(&mut input) {
                        seen.lock().unwrap().push(call.clone());
                        if !plays(&call, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        Script { address, calls }
    }

    fn posts(&self) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|c| c.line.starts_with("post")).cloned().collect()
    }
}

/// A listener whose queue is full: who connects next is up only once `let_in` has taken the others out of it.
struct Full {
    listener: TcpListener,
    filled: usize,
}

impl Full {
    fn start() -> Full {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let filled = std::iter::from_fn(|| fill().ok()).take(16).count();
        Full { listener, filled }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until the front is about to connect here.
    fn until_dialled(&self) {
        let port = format!(":{:04X} 02 ", self.address().port());
        wait_for("the front to connect", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port).then_some(())
        });
    }

    /// The front's own connection.
    fn let_in(&self) -> TcpStream {
        for _ in 0..self.filled {
            self.listener.accept().unwrap();
        }
        self.listener.accept().unwrap().0
    }
}

/// What came on it until it ended.
fn all_of(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn patient() -> String {
    settings().replace(r#""connect_timeout":250000"#, r#""connect_timeout":20000000"#)
}

fn bytes_of(id: u32, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &request(id, "look", fields, statement)).unwrap();
    bytes
}

/// Guards against a signal that ends a front which is not ready yet: its handlers came last.
#[test]
fn a_signal_before_a_front_is_ready_waits_until_it_is() {
    for (signal, line) in [("-HUP", "configuration read again"), ("-TERM", "told to stop")] {
        let path = std::env::temp_dir().join(format!("larchfall-{}{signal}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--config"]).arg(&path).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let id = child.id();
        // It waits for its configuration, and has its handlers for both signals by then: bits 0 and 14.
        wait_for("the handlers", || {
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
            let caught = status.lines().find_map(|l| l.strip_prefix("SigCgt:"))?.trim().to_owned();
            (u64::from_str_radix(&caught, 16).unwrap() & 0x4001 == 0x4001).then_some(())
        });
        assert!(Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
        let board = Board::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", board.address, None, 256);
        let writes = {
            let (path, text) = (path.clone(), text.clone());
            thread::spawn(move || std::fs::write(path, text))
        };
        let lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        let mut seen = Vec::new();
        let mut again = None;
        for said in lines {
            // What reads the file again has to find it once more.
            if said.contains("listening") && signal == "-HUP" {
                let (path, text) = (path.clone(), text.clone());
                again = Some(thread::spawn(move || std::fs::write(path, text)));
            }
            seen.push(said);
            if seen.iter().any(|s| s.contains(line)) {
                break;
            }
        }
        assert!(seen.iter().any(|s| s.contains(line)), "{signal}: {seen:#?}");
        writes.join().unwrap().unwrap();
        again.into_iter().for_each(|a| a.join().unwrap().unwrap());
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&path);
    }
}
