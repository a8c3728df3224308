#[path = "../standin-2/bed.rs"]
mod bed;
use bed::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 4;
/// How long the load before runs, and how long the second client waits before it goes.
const FIRST_RUNS: u64 = 3000;
const GONE_AFTER: u64 = 400;
/// An attempt may begin so long after its client has gone, and a little for the clock of this test.
const ALLOWED: u64 = 100 + 50;

fn case(folder: &Path) -> i32 {
    let runs = Arc::new(Mutex::new(Vec::new()));
    let engine = Engine::start("e1", &runs, Engine::sound());
    let listed = vec![Listed { id: 1, address: engine.address, state: 0 }];
    let events = Arc::new(Events::default());
    let board = Board::start(&events);
    let listen = format!("127.0.0.1:{}", free_port());
    let rest = format!("127.0.0.1:{}", free_port());
    let settings = config(&listen, &board.address, &listed, 2000);
    let Some(_gateway) = Gateway::start(folder, &listen, &settings, Some(&site(&rest))) else { return NOT_RUN };
    let post = |key: u64, n: u64, runtime: u64| {
        let statement = format!("insert mark=k{key}n{n} ms={runtime} into sales_17.orders");
        let mut stream = TcpStream::connect(&rest).expect("a connection");
        let op_key = format!("op-{key}-{n}");
        let session = format!("order_key={key:x}");
        stream.write_all(&rest_post(&rest, "load", &session, &op_key, &statement)).expect("a written request");
        note(&format!("client: posts {statement}"));
        (stream, statement)
    };
    let mut broken = 0;
    let mut served = 0;
    for key in 1..=ROUNDS {
        let (first, _) = post(key, 1, FIRST_RUNS);
        let host = rest.clone();
        let until = Instant::now() + Duration::from_secs(20);
        let reader = thread::spawn(move || rest_follow(&first, &host, until));
        thread::sleep(ms(300));
        let (second, statement) = post(key, 2, 200);
        let gone = if trouble() {
            thread::sleep(ms(GONE_AFTER));
            drop(second);
            note("client: closes its connection before any answer");
            Some(now())
        } else {
            let answer = rest_follow(&second, &rest, until);
            note(&format!("client: {answer:?}"));
            served += u64::from(matches!(answer, Paged::Served(_)));
            None
        };
        let answer = reader.join().unwrap_or(Paged::Unanswered("no reader".to_owned()));
        note(&format!("client: the first load's answer: {answer:?}"));
        if !matches!(answer, Paged::Served(_)) {
            return NOT_RUN;
        }
        thread::sleep(ms(1200));
        if let Some(gone) = gone {
            let begun = lock(&runs).iter().find(|run| run.statement == statement).map(|run| run.begun);
            if let Some(begun) = begun.filter(|begun| *begun > gone + ALLOWED) {
                broken += 1;
                note(&format!("BROKEN: {statement} began {} ms after its client had gone", begun - gone));
            }
        }
    }
    say(&format!("rounds {ROUNDS}, loads that began at an engine after their client had gone {broken}, served {served}"));
    if !trouble() && served < ROUNDS {
        return NOT_RUN;
    }
    if broken > 0 { BROKEN } else { HELD }
}

fn main() {
    main_of(case);
}
