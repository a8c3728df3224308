//! One client that sends small or unsound requests at full speed on one connection.

use crate::test_bed::{Limits, TestBed};
use larchfall_fault_tests::usual_clients::{
    PROTOCOLS, Protocol, RequestText, UsualClients, next_id, raw_connection,
};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(4);

/// What the client sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Flood {
    /// What the gateway answers itself.
    Pings,
    /// Requests of classes that do not exist, each of another.
    UnknownClasses,
    /// Requests that can be served, each with a new id, key and statement.
    NewNames,
    /// Loads that run long, each with a new id and key.
    LongLoads,
}

pub(crate) fn probe(program: &str, limits: Limits, flood: Flood) {
    for protocol in PROTOCOLS {
        let test_bed = TestBed::start(program, limits);
        let before = test_bed.gateway.resource_use().memory_bytes;
        let usual =
            PROTOCOLS.map(|protocol| (protocol, UsualClients::start(protocol, test_bed.address(protocol))));
        let stopped = Arc::new(AtomicBool::new(false));
        let sent = start_flood(test_bed.address(protocol), protocol, flood, &stopped);
        thread::sleep(DURATION);
        let halfway = test_bed.gateway.resource_use().memory_bytes;
        thread::sleep(DURATION);
        stopped.store(true, Ordering::Relaxed);
        let after = test_bed.gateway.resource_use().memory_bytes;
        let counters = test_bed.counters();
        for (usual_protocol, usual) in usual {
            println!(
                "(b) {limits:?} one client of {protocol:?} {flood:?}, {} sent | {usual_protocol:?} {} | before {} \
                 halfway {} after {} KiB, peak {} | attempts {}",
                sent.load(Ordering::Relaxed),
                usual.stop(),
                before >> 10,
                halfway >> 10,
                after >> 10,
                test_bed.memory(),
                test_bed.engine.attempts().len()
            );
        }
        println!("      {counters}");
    }
}

/// Sends without pause on one connection after the other, and reads what comes. Returns the number of messages.
fn start_flood(
    address: SocketAddr,
    protocol: Protocol,
    flood: Flood,
    stopped: &Arc<AtomicBool>,
) -> Arc<AtomicUsize> {
    let sent = Arc::new(AtomicUsize::new(0));
    let (counter, stopped) = (sent.clone(), stopped.clone());
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let Some(mut stream) = raw_connection(address) else { continue };
            let mut input = stream.try_clone().unwrap();
            thread::spawn(move || while matches!(input.read(&mut [0; 16 * 1024]), Ok(1..)) {});
            let mut message_id = 1;
            while !stopped.load(Ordering::Relaxed) {
                let bytes: Vec<u8> = (message_id..message_id + 20)
                    .flat_map(|id| message(protocol, address, flood, id))
                    .collect();
                message_id += 20;
                if stream.write_all(&bytes).is_err() {
                    break;
                }
                counter.fetch_add(20, Ordering::Relaxed);
            }
        }
    });
    sent
}

fn message(protocol: Protocol, host: SocketAddr, flood: Flood, message_id: u32) -> Vec<u8> {
    let id = next_id();
    let class = format!("class-{id}");
    let statement = format!("select {id}");
    let request = |class, statement| RequestText { class, id: &id, key: &id, statement };
    match (flood, protocol) {
        (Flood::Pings, Protocol::MessagePack) => {
            let mut bytes = vec![0x94, 0, 0xce];
            bytes.extend(message_id.to_be_bytes());
            bytes.extend([0xa4, b'p', b'i', b'n', b'g', 0x91, 0x80]);
            bytes
        }
        (Flood::Pings, Protocol::PagedRest) => b"GET /v1/info HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        (Flood::UnknownClasses, _) => request(&class, &statement).encode(protocol, host, message_id),
        (Flood::NewNames, _) => request("look", &statement).encode(protocol, host, message_id),
        (Flood::LongLoads, _) => {
            request("load", &format!("{} {statement}", larchfall_fault_tests::recording_engine::LONG))
                .encode(protocol, host, message_id)
        }
    }
}
