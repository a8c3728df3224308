//! The toy as a program: `serve` is a query engine and a discovery service in one, `send` a client.

use larchfall_stub::client::{Answer, Client};
use larchfall_stub::discovery::{Discovery, Listed, frame};
use larchfall_stub::engine::{Act, Engine};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
larchfall-toy: counterparts with which to try larchfall

usage: larchfall-toy serve                    a query engine on 127.0.0.1:7101, a notice board on 127.0.0.1:7102
       larchfall-toy send GROUP STATEMENT     sends a batch to a front on 127.0.0.1:7100 and prints its rows

The engine takes a fifth of a second for a statement and returns its words as rows; one that begins with decline
is turned away, one that begins with fail ends in an error.
";
const GATEWAY: &str = "127.0.0.1:7100";
const ENGINE: &str = "127.0.0.1:7101";
const DISCOVERY: &str = "127.0.0.1:7102";
/// Bytes of a page at most.
const PAGE: usize = 6_000;

fn serve() -> std::io::Result<()> {
    let engine = Engine::start(ENGINE, |call| {
        println!("statement {}: {}", call.id, String::from_utf8_lossy(&call.statement));
        let words = String::from_utf8_lossy(&call.statement).into_owned();
        match words.split_whitespace().next() {
            Some("decline") => return Act::Decline,
            Some("fail") => return Act::Fail,
            _ => {}
        }
        let mut pages = vec![Vec::new()];
        for (i, word) in words.split_whitespace().enumerate() {
            let row = format!("{i}\t{word}\t{}\n", word.len());
            if pages[pages.len() - 1].len() + row.len() > PAGE {
                pages.push(Vec::new());
            }
            let last = pages.len() - 1;
            pages[last].extend(row.into_bytes());
        }
        Act::Serve(Duration::from_millis(200), pages)
    })?;
    let discovery = Discovery::start(DISCOVERY)?;
    discovery
        .say(2, frame(2, true, &[Listed { id: 1, address: engine.address, state: 0, zone: 0, kind: 0 }]));
    println!("engine on {}, notice board on {}; Ctrl-C ends both", engine.address, discovery.address);
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
            println!("{name}{}", wait.map_or(String::new(), |w| format!(", come back in {w} ms")));
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
            eprintln!("larchfall-toy: {e}");
            ExitCode::FAILURE
        }
    }
}
