//! A stub engine that answers each call as a closure of the test does, and records the calls.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// An HTTP call as the engine received it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The request line, in lower case.
    pub(crate) line: String,
    /// The request line and all header lines, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Reads the next call on a connection. Returns `None` once the connection has ended or if the call is incomplete.
pub(crate) fn read_call(input: &mut impl BufRead) -> Option<Call> {
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
    let length =
        lines.iter().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Call { line: lines[0].clone(), head: lines.join("\n"), body })
}

/// Encodes a reply with this status, header lines that each end with CRLF, and body.
pub(crate) fn reply(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Encodes the reply with a result of one page.
pub(crate) fn result_reply(rows: &str) -> Vec<u8> {
    reply("200 OK", "Page-Count: 1\r\n", rows)
}

pub(crate) struct ScriptedEngine {
    pub(crate) address: SocketAddr,
    /// All calls received, on any connection.
    pub(crate) calls: Arc<Mutex<Vec<Call>>>,
}

impl ScriptedEngine {
    /// Starts an engine that has the script answer each call. The engine closes the connection when the script returns
    /// false.
    pub(crate) fn start(
        script: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> ScriptedEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(script);
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let received = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, received) = (script.clone(), received.clone());
                thread::spawn(move || serve(stream, &*script, &received));
            }
        });
        ScriptedEngine { address, calls }
    }

    /// The POST calls, each of which starts a statement.
    pub(crate) fn posts(&self) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|call| call.line.starts_with("post")).cloned().collect()
    }
}

fn serve(mut stream: TcpStream, script: &dyn Fn(&Call, &mut TcpStream) -> bool, received: &Mutex<Vec<Call>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(call) = read_call(&mut input) {
        received.lock().unwrap().push(call.clone());
        if !script(&call, &mut stream) {
            return;
        }
    }
}
