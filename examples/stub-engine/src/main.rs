//! Counterparts as a program: `serve` is a query engine and a discovery service in one, `send` a client.

use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::engine::{Call, Engine, EngineBehavior};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
larchfall-stub: counterparts with which to try larchfall

usage: larchfall-stub serve                    a query engine on 127.0.0.1:7101, a discovery service on 127.0.0.1:7102
       larchfall-stub send CLASS STATEMENT     sends a request to a gateway on 127.0.0.1:7100 and prints its rows

The engine takes a fifth of a second for a statement and returns its words as rows; it declines a statement that begins
with decline, and one that begins with fail ends in an error.
";
const GATEWAY: &str = "127.0.0.1:7100";
const ENGINE: &str = "127.0.0.1:7101";
const DISCOVERY: &str = "127.0.0.1:7102";
/// Of each statement at the engine.
const SERVICE_TIME: Duration = Duration::from_millis(200);
const MAX_PAGE_BYTES: usize = 6_000;

/// Rows with the statement's words, in pages.
fn answer(call: &Call) -> EngineBehavior {
    let statement = String::from_utf8_lossy(&call.statement);
    println!("statement {}: {statement}", call.id);
    match statement.split_whitespace().next() {
        Some("decline") => return EngineBehavior::Decline,
        Some("fail") => return EngineBehavior::Fail,
        _ => {}
    }
    let mut pages = Vec::new();
    let mut page: Vec<u8> = Vec::new();
    for (i, word) in statement.split_whitespace().enumerate() {
        let row = format!("{i}\t{word}\t{}\n", word.len());
        if page.len() + row.len() > MAX_PAGE_BYTES {
            pages.push(std::mem::take(&mut page));
        }
        page.extend(row.into_bytes());
    }
    pages.push(page);
    EngineBehavior::Serve(SERVICE_TIME, pages)
}

fn serve() -> std::io::Result<()> {
    let engine = Engine::start(ENGINE, answer)?;
    let discovery = Discovery::start(DISCOVERY)?;
    discovery.say(2, frame(2, true, &[Endpoint::ready(1, engine.address)]));
    println!("engine on {}, discovery service on {}; Ctrl-C ends both", engine.address, discovery.address);
    loop {
        std::thread::park();
    }
}

fn send(class: &str, statement: &str) -> std::io::Result<bool> {
    let address = GATEWAY.parse().map_err(std::io::Error::other)?;
    let mut client = Client::connect(address)?;
    let nanos = std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos() as u64;
    let id = format!("{nanos:016x}");
    client.send(class, &[("req", &id), ("timeout", "5000"), ("owner", "toy")], statement)?;
    match client.answer()?.1 {
        Answer::Rows(rows) => {
            print!("{}", String::from_utf8_lossy(&rows));
            Ok(true)
        }
        Answer::Error(name, wait) => {
            println!("{name}{}", wait.map_or(String::new(), |wait| format!(", retry after {wait} ms")));
            Ok(false)
        }
        Answer::Pong => Ok(false),
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let done = match words[..] {
        ["serve"] => serve().map(|()| true),
        ["send", class, statement] => send(class, statement),
        ["help" | "-h" | "--help"] => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("larchfall-stub: {e}");
            ExitCode::FAILURE
        }
    }
}
