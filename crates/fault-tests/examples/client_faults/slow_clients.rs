//! Hundreds of clients at once that write slowly, stop half way, or send many short fields.

use crate::test_bed::TestBed;
use larchfall_fault_tests::usual_clients::{
    PROTOCOLS, Protocol, RequestText, UsualClients, next_id, raw_connection, write_slowly,
};
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the clients misbehave.
const DURATION: Duration = Duration::from_secs(6);
const STACK_BYTES: usize = 64 * 1024;
const PART_BYTES: usize = 4 * 1024;
const PART_PAUSE: Duration = Duration::from_millis(30);

/// What each of the clients does.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Misbehavior {
    Silent,
    WritesSlowly { statement_bytes: usize },
    StopsHalfWay { statement_bytes: usize },
    SendsShortFields,
}

/// Runs this many clients, and prints the figures for each protocol that they use.
pub(crate) fn probe(
    program: &str,
    limits: crate::test_bed::Limits,
    clients: usize,
    misbehavior: Misbehavior,
) {
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(program, limits);
        let stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..clients {
            let (address, stopped) = (test_bed.address(protocol), stopped.clone());
            let run = move || {
                while !stopped.load(Ordering::Relaxed) {
                    let Some(mut stream) = raw_connection(address) else { continue };
                    misbehave(&mut stream, protocol, misbehavior);
                    thread::sleep(PART_PAUSE);
                }
            };
            thread::Builder::new().stack_size(STACK_BYTES).spawn(run).unwrap();
        }
        thread::sleep(Duration::from_millis(300));
        let usual =
            PROTOCOLS.map(|protocol| (protocol, UsualClients::start(protocol, test_bed.address(protocol))));
        let until = Instant::now() + DURATION;
        while Instant::now() < until && test_bed.gateway.descriptor_count() > 0 {
            thread::sleep(Duration::from_millis(100));
        }
        stopped.store(true, Ordering::Relaxed);
        let counters = test_bed.counters();
        for (usual_protocol, usual) in usual {
            println!(
                "(a) {limits:?} {clients} clients of {protocol:?} {misbehavior:?} | {usual_protocol:?} {} | {}",
                usual.stop(),
                test_bed.memory()
            );
        }
        println!("      {counters}");
    }
}

fn misbehave(stream: &mut std::net::TcpStream, protocol: Protocol, misbehavior: Misbehavior) {
    let Ok(host) = stream.peer_addr() else { return };
    let id = next_id();
    let encode = |statement_bytes: usize| {
        let statement = " ".repeat(statement_bytes);
        RequestText { class: "look", id: &id, key: "2", statement: &statement }.encode(protocol, host, 1)
    };
    match misbehavior {
        Misbehavior::Silent => {}
        Misbehavior::WritesSlowly { statement_bytes } => {
            if !write_slowly(stream, &encode(statement_bytes), PART_BYTES, PART_PAUSE) {
                return;
            }
        }
        Misbehavior::StopsHalfWay { statement_bytes } => {
            let bytes = encode(statement_bytes);
            let _ = stream.write_all(&bytes[..bytes.len() / 2]);
        }
        Misbehavior::SendsShortFields => {
            let _ = stream.write_all(&short_fields(protocol));
        }
    }
    // Until the answer or the end of the connection.
    let _ = stream.read(&mut [0; 1024]);
}

/// A request that consists of as many short fields as its protocol admits.
fn short_fields(protocol: Protocol) -> Vec<u8> {
    match protocol {
        Protocol::MessagePack => {
            const FIELDS: u32 = 60_000;
            let mut bytes = vec![0x94, 0, 1, 0xa4, b'l', b'o', b'o', b'k', 0x92, 0xdf];
            bytes.extend(FIELDS.to_be_bytes());
            bytes.extend([0xa0, 0x01].repeat(FIELDS as usize));
            bytes.extend([0xc4, 0]);
            bytes
        }
        Protocol::PagedRest => {
            let fields: String = (0..60).map(|n| format!("a{n}:\r\n")).collect();
            format!("POST /v1/statement HTTP/1.1\r\n{fields}Content-Length: 9\r\n\r\n12345").into_bytes()
        }
    }
}
