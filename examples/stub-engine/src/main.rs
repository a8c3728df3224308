//! The `larchfall-stub` program: `serve` runs a stub engine and a stub discovery service, `send` sends a request to a
//! gateway.

use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Endpoint, frame};
use larchfall_stub::engine::{Call, Engine, EngineBehavior};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
larchfall-stub: a stub engine, a stub discovery service and a client for trying out larchfall

usage: larchfall-stub serve                    runs an engine on 127.0.0.1:7101 and a discovery service on 127.0.0.1:7102
       larchfall-stub send CLASS STATEMENT     sends a request to a gateway on 127.0.0.1:7100 and prints the rows

The engine takes 200 ms for each statement and returns the words of the statement as rows. The engine declines a
statement that begins with the word decline; a statement that begins with the word fail ends in an error.
";
const GATEWAY_ADDRESS: &str = "127.0.0.1:7100";
const ENGINE_ADDRESS: &str = "127.0.0.1:7101";
const DISCOVERY_ADDRESS: &str = "127.0.0.1:7102";
/// Run time of each statement on the engine.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Maximum size of a result page, unless a single row is larger.
const MAX_PAGE_BYTES: usize = 6_000;

/// Prints the statement and selects the engine's behavior: decline, fail, or one row per word of the statement.
fn behavior_for_call(call: &Call) -> EngineBehavior {
    let statement = String::from_utf8_lossy(&call.statement);
    println!("statement {}: {statement}", call.id);
    match statement.split_whitespace().next() {
        Some("decline") => return EngineBehavior::Decline,
        Some("fail") => return EngineBehavior::Fail,
        _ => {}
    }
    let mut pages = Vec::new();
    let mut page: Vec<u8> = Vec::new();
    for (index, word) in statement.split_whitespace().enumerate() {
        let row = format!("{index}\t{word}\t{}\n", word.len());
        if page.len() + row.len() > MAX_PAGE_BYTES {
            pages.push(std::mem::take(&mut page));
        }
        page.extend(row.into_bytes());
    }
    pages.push(page);
    EngineBehavior::Serve(SERVICE_TIME, pages)
}

/// Runs the stub engine and the discovery service until the process is killed.
fn serve() -> std::io::Result<()> {
    let engine = Engine::start(ENGINE_ADDRESS, behavior_for_call)?;
    let discovery = Discovery::start(DISCOVERY_ADDRESS)?;
    discovery.say(2, frame(2, true, &[Endpoint::ready(1, engine.address)]));
    println!(
        "engine on {}, discovery service on {}; press Ctrl-C to stop both",
        engine.address, discovery.address
    );
    loop {
        std::thread::park();
    }
}

/// Sends a request with a timeout of 5 s and prints the response; returns whether the response contains rows.
fn send(class: &str, statement: &str) -> std::io::Result<bool> {
    let address = GATEWAY_ADDRESS.parse().map_err(std::io::Error::other)?;
    let mut client = Client::connect(address)?;
    let unix_time_ns = std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos() as u64;
    let request_id = format!("{unix_time_ns:016x}");
    client.send(class, &[("req", &request_id), ("timeout", "5000"), ("owner", "toy")], statement)?;
    match client.answer()?.1 {
        Answer::Rows(rows) => {
            print!("{}", String::from_utf8_lossy(&rows));
            Ok(true)
        }
        Answer::Error(name, retry_after) => {
            println!("{name}{}", retry_after.map_or(String::new(), |ms| format!(", retry after {ms} ms")));
            Ok(false)
        }
        Answer::Pong => Ok(false),
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match arguments[..] {
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
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("larchfall-stub: {e}");
            ExitCode::FAILURE
        }
    }
}
