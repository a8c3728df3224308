//! An engine that does with each call what a test's script says.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// One call as an engine reads it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Verb and path.
    pub(crate) line: String,
    /// All lines of the head, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
}

/// The next call on a connection; `None` once it has ended.
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

/// A reply with a status, further lines of its head and a body.
pub(crate) fn reply(status: &str, head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The reply with a result of one page.
pub(crate) fn result_reply(rows: &str) -> Vec<u8> {
    reply("200 OK", "Page-Count: 1\r\n", rows)
}

pub(crate) struct ScriptedEngine {
    pub(crate) address: SocketAddr,
    pub(crate) calls: Arc<Mutex<Vec<Call>>>,
}

impl ScriptedEngine {
    /// Has the script answer each call; a connection ends where it returns false.
    pub(crate) fn start(
        script: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> ScriptedEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(script);
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let seen = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, seen) = (script.clone(), seen.clone());
                thread::spawn(move || serve(stream, &*script, &seen));
            }
        });
        ScriptedEngine { address, calls }
    }

    /// The calls that started a statement.
    pub(crate) fn posts(&self) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|call| call.line.starts_with("post")).cloned().collect()
    }
}

fn serve(mut stream: TcpStream, script: &dyn Fn(&Call, &mut TcpStream) -> bool, seen: &Mutex<Vec<Call>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(call) = read_call(&mut input) {
        seen.lock().unwrap().push(call.clone());
        if !script(&call, &mut stream) {
            return;
        }
    }
}
