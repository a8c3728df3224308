#[path = "../standin-2/bed.rs"]
mod bed;
use bed::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Connections of clients that say nothing, and those of usual clients that come after them.
const SILENT: usize = 120;
const USUAL: usize = 6;
/// The time limit of the usual requests, and how long after it a final answer still counts.
const TIME_LIMIT: u64 = 3000;
const GRACE: u64 = 500;

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
    let silent: Vec<TcpStream> = if trouble() {
        (0..SILENT).filter_map(|_| TcpStream::connect(&rest).ok()).collect()
    } else {
        Vec::new()
    };
    note(&format!("{} clients have connected and say nothing", silent.len()));
    thread::sleep(ms(300));
    let results = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..USUAL)
        .map(|n| {
            let (rest, results) = (rest.clone(), results.clone());
            thread::spawn(move || {
                let statement = format!("update mark=u{n} ms=50 in sales_17.orders");
                let Ok(mut stream) = TcpStream::connect_timeout(&rest.parse().expect("address"), ms(1000)) else {
                    lock(&results).push(None);
                    return;
                };
                let session = format!("time_limit_ms={TIME_LIMIT}");
                if stream.write_all(&rest_post(&rest, "change", &session, "", &statement)).is_err() {
                    lock(&results).push(None);
                    return;
                }
                let written = now();
                note(&format!("usual client {n}: the last byte of its request is written: {statement}"));
                let until = Instant::now() + ms(TIME_LIMIT + GRACE);
                let answer = rest_follow(&stream, &rest, until);
                note(&format!("usual client {n}: {answer:?} after {} ms; it closes", now() - written));
                drop(stream);
                lock(&results).push(Some((answer, now(), statement)));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    // What the front does with them after their clients have gone.
    thread::sleep(Duration::from_secs(8));
    let results = lock(&results).clone();
    let taken: Vec<_> = results.iter().flatten().collect();
    let lost = taken.iter().filter(|(answer, ..)| matches!(answer, Paged::Unanswered(_))).count();
    let late_runs = taken
        .iter()
        .filter(|(_, gone, statement)| lock(&runs).iter().any(|run| run.statement == *statement && run.begun > gone + 100))
        .count();
    say(&format!(
        "requests written to accepted connections {}, without a final answer by their time and {GRACE} ms {lost}, \
         begun at an engine more than 100 ms after their client had gone {late_runs}",
        taken.len()
    ));
    drop(silent);
    if taken.len() < USUAL / 2 {
        return NOT_RUN;
    }
    if lost + late_runs > 0 { BROKEN } else { HELD }
}

fn main() {
    main_of(case);
}
