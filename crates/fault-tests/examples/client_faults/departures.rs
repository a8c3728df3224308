//! Clients that leave while much of what they sent is unread, and ids that come again.

use crate::test_bed::{Limits, TestBed};
use larchfall_fault_tests::recording_engine::{LONG, LONG_RUN};
use larchfall_fault_tests::usual_clients::{PROTOCOLS, Protocol, RequestText, next_id, raw_connection};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Time after the departure of a client within which its requests may still be sent to an engine.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// Number of repetitions of each probe.
const ROUNDS: usize = 5;

/// Clients that send many requests at once and close their connection at once or some time later.
pub(crate) fn unread_requests(
    program: &str,
    limits: Limits,
    requests: u32,
    statement_bytes: usize,
    stay: Duration,
) {
    for protocol in PROTOCOLS {
        for class in ["once", "load"] {
            let mut begun = 0;
            let mut late = 0;
            let test_bed = TestBed::start(program, limits);
            for round in 0..ROUNDS {
                let mark = format!("round-{round}-{}", next_id());
                let mut stream = raw_connection(test_bed.address(protocol)).unwrap();
                let _ = stream.set_write_timeout(Some(Duration::from_millis(300)));
                let address = test_bed.address(protocol);
                let bytes: Vec<u8> = (1..=requests)
                    .flat_map(|message_id| {
                        let statement = format!("{LONG} {mark} {}", " ".repeat(statement_bytes));
                        let id = next_id();
                        RequestText { class, id: &id, key: "7", statement: &statement }
                            .encode(protocol, address, message_id)
                    })
                    .collect();
                let _ = stream.write_all(&bytes);
                thread::sleep(stay);
                drop(stream);
                let gone = Instant::now();
                thread::sleep(Duration::from_secs(3));
                let times = test_bed.engine.times_of(&mark);
                begun += times.len();
                late += times.iter().filter(|at| **at > gone + DEPARTURE_GRACE).count();
            }
            println!(
                "(c) {protocol:?} {requests} {class} of {statement_bytes} bytes, stays {} ms, {ROUNDS} rounds | \
                 attempts {begun}, begun more than 100 ms after the client had gone {late}",
                stay.as_millis()
            );
        }
    }
}

/// Requests that come again with the id or idempotency key of an earlier one, whose client has left.
pub(crate) fn repeated_ids(program: &str, limits: Limits) {
    for protocol in PROTOCOLS {
        for (description, stay) in [("after its run", LONG_RUN * 3 / 2), ("during its run", LONG_RUN / 2)] {
            let test_bed = TestBed::start(program, limits);
            let mut twice = 0;
            for _ in 0..ROUNDS {
                let id = next_id();
                let statement = format!("{LONG} {id}");
                let request = RequestText { class: "once", id: &id, key: "7", statement: &statement };
                let bytes = request.encode(protocol, test_bed.address(protocol), 1);
                for stay in [stay, LONG_RUN * 2] {
                    let mut stream = raw_connection(test_bed.address(protocol)).unwrap();
                    stream.write_all(&bytes).unwrap();
                    thread::sleep(stay);
                    leave(stream);
                    thread::sleep(Duration::from_millis(200));
                }
                twice += usize::from(test_bed.engine.count(&statement) > 1);
            }
            println!("(c) {protocol:?} id again {description} | ran twice {twice} of {ROUNDS}");
        }
    }
}

/// Reads what has come and closes.
fn leave(mut stream: TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    let _ = stream.read(&mut [0; 4096]);
}

/// A statement that runs once only, with a client that leaves and one that stays, is not sent to the process that
/// listens at the engine's address afterwards.
pub(crate) fn replaced_engines(program: &str, limits: Limits) {
    for protocol in PROTOCOLS {
        let mut sent_again = 0;
        let mut looks_served = 0;
        for _ in 0..ROUNDS {
            let test_bed = TestBed::start(program, limits);
            let id = next_id();
            let statement = format!("{LONG} {id}");
            let request = RequestText { class: "once", id: &id, key: "7", statement: &statement };
            let mut stream = raw_connection(test_bed.address(protocol)).unwrap();
            stream.write_all(&request.encode(protocol, test_bed.address(protocol), 1)).unwrap();
            thread::sleep(LONG_RUN / 2);
            let successor = larchfall_fault_tests::recording_engine::RecordingEngine::start();
            test_bed.forwarder.replace(&successor);
            thread::sleep(Duration::from_secs(2));
            leave(stream);
            sent_again += successor.count(&id);
            let usual = larchfall_fault_tests::usual_clients::UsualClients::start(
                Protocol::MessagePack,
                test_bed.address(Protocol::MessagePack),
            );
            thread::sleep(Duration::from_millis(500));
            let _ = usual.stop();
            looks_served += usize::from(successor.count("usual") > 0);
        }
        println!(
            "(d) {protocol:?} another process at the engine's address | sent there again {sent_again} of {ROUNDS}, \
             new look-ups reach it {looks_served} of {ROUNDS}"
        );
    }
}
