//! A gateway with both protocols, an engine that records its attempts, and a forwarder that can put another engine at
//! the address of the first.

use larchfall_fault_tests::gateway_config::{config, operator_config};
use larchfall_fault_tests::gateway_process::{GatewayFiles, GatewayProcess, address_in};
use larchfall_fault_tests::recording_engine::RecordingEngine;
use larchfall_fault_tests::usual_clients::Protocol;
use larchfall_stub::discovery::Discovery;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the platform and the operator give a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) memory_mb: usize,
    pub(crate) descriptors: usize,
    pub(crate) rest_connections: usize,
}

/// Forwards connections to one engine after the other, as if their processes followed each other at one address.
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    fn start(target: SocketAddr) -> Forwarder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let forwarder = Forwarder { address, target: Arc::new(Mutex::new(target)), open: Arc::default() };
        let (target, open) = (forwarder.target.clone(), forwarder.open.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(engine) = TcpStream::connect(*target.lock().unwrap()) else { continue };
                let _ = (client.set_nodelay(true), engine.set_nodelay(true));
                for (from, to) in [(&client, &engine), (&engine, &client)] {
                    copy_in_background(from.try_clone().unwrap(), to.try_clone().unwrap());
                }
                open.lock().unwrap().extend([client, engine]);
            }
        });
        forwarder
    }

    /// Ends the process at the address, and lets another engine listen there.
    pub(crate) fn replace(&self, engine: &RecordingEngine) {
        *self.target.lock().unwrap() = engine.address;
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy_in_background(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            if to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// A gateway with its engine.
pub(crate) struct TestBed {
    pub(crate) gateway: GatewayProcess,
    pub(crate) engine: RecordingEngine,
    pub(crate) forwarder: Forwarder,
    pub(crate) limits: Limits,
}

impl TestBed {
    pub(crate) fn start(program: &str, limits: Limits) -> TestBed {
        let engine = RecordingEngine::start();
        let forwarder = Forwarder::start(engine.address);
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", discovery.address, Some(forwarder.address), limits.descriptors);
        let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", limits.memory_mb));
        let rest = format!("connections = {}\nin-hand = 8", limits.rest_connections);
        let operator_config = operator_config(&rest);
        let files = GatewayFiles { config: &text, operator_config: Some(&operator_config), environment: &[] };
        let mut gateway = GatewayProcess::start(program, discovery, &files);
        gateway.rest = Some(address_in(&gateway.log.wait_for("listening for paged REST,")));
        TestBed { gateway, engine, forwarder, limits }
    }

    pub(crate) fn address(&self, protocol: Protocol) -> SocketAddr {
        match protocol {
            Protocol::MessagePack => self.gateway.address,
            Protocol::PagedRest => self.gateway.rest.unwrap(),
        }
    }

    /// The gateway's counters of look-ups, of connections and of memory, as it logs them.
    pub(crate) fn counters(&self) -> String {
        self.gateway.signal("-USR1");
        let lines = ["class: look", "gateway counters", "purpose: client_input", "purpose: requests"];
        lines.map(|line| self.gateway.log.wait_for(line)).join("\n      ")
    }

    /// Peak memory and the limit, in KiB.
    pub(crate) fn memory(&self) -> String {
        format!("{} of {} KiB", self.gateway.peak_memory_bytes() >> 10, self.limits.memory_mb << 10)
    }
}
