//! A gateway process, its stub discovery service, and engine addresses that refuse or delay connections.

use larchfall_fault_tests::gateway_process::{GatewayFiles, GatewayProcess, address_in};
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::Engine;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::time::Duration;

pub(crate) use larchfall_fault_tests::gateway_config::{config, config_of, operator_config, settings};
pub(crate) use larchfall_fault_tests::wait::wait_for;

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall");

pub(crate) struct Gateway(GatewayProcess);

impl Deref for Gateway {
    type Target = GatewayProcess;
    fn deref(&self) -> &GatewayProcess {
        &self.0
    }
}

impl DerefMut for Gateway {
    fn deref_mut(&mut self) -> &mut GatewayProcess {
        &mut self.0
    }
}

impl Gateway {
    /// Starts a gateway whose configuration lists the engine at this address, or no engine.
    pub(crate) fn start(engine: Option<SocketAddr>) -> Gateway {
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        Gateway::start_on("127.0.0.1:0", discovery, engine, 256)
    }

    /// Like `start`, with the listen address, the discovery service and the number of descriptors given.
    pub(crate) fn start_on(
        listen: &str,
        discovery: Discovery,
        engine: Option<SocketAddr>,
        sockets: usize,
    ) -> Gateway {
        let text = config(listen, discovery.address, engine, sockets);
        Gateway::start_with(discovery, &text)
    }

    /// Starts a gateway with this configuration text and without an operator's file.
    pub(crate) fn start_with(discovery: Discovery, text: &str) -> Gateway {
        Gateway::start_with_operator_config(discovery, text, None)
    }

    /// Starts a gateway with an operator's file, which turns on the paged REST protocol.
    pub(crate) fn start_with_operator_config(
        discovery: Discovery,
        text: &str,
        operator_config: Option<&str>,
    ) -> Gateway {
        let files = GatewayFiles { config: text, operator_config, environment: &[] };
        let mut gateway = GatewayProcess::start(PROGRAM, discovery, &files);
        gateway.rest =
            operator_config.map(|_| address_in(&gateway.log.wait_for("listening for paged REST,")));
        Gateway(gateway)
    }
}

/// An address that refuses connections: the local end of a client connection occupies the port, so that no listener can
/// take it.
pub(crate) struct RefusingAddress {
    pub(crate) address: SocketAddr,
    _occupied_by: (TcpListener, TcpStream),
}

pub(crate) fn refusing_address() -> RefusingAddress {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    RefusingAddress { address: stream.local_addr().unwrap(), _occupied_by: (listener, stream) }
}

/// A listener whose accept queue is full: the next connection is established only once `accept_next` has emptied the
/// queue.
pub(crate) struct FullListener {
    listener: TcpListener,
    queued_connections: usize,
}

impl FullListener {
    pub(crate) fn start() -> FullListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let queued_connections = std::iter::from_fn(|| connect().ok()).take(16).count();
        FullListener { listener, queued_connections }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until a connection attempt to this listener is pending (state SYN_SENT, 02 in /proc/net/tcp).
    pub(crate) fn wait_for_connect(&self) {
        let port = format!(":{:04X} 02 ", self.address().port());
        wait_for("the gateway to connect", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port).then_some(())
        });
    }

    /// Accepts and drops the connections that filled the queue, then returns the gateway's connection.
    pub(crate) fn accept_next(&self) -> TcpStream {
        for _ in 0..self.queued_connections {
            self.listener.accept().unwrap();
        }
        self.listener.accept().unwrap().0
    }
}

/// Waits until the calls recorded by the engine meet the condition.
pub(crate) fn wait_until_seen(
    engine: &Engine,
    description: &str,
    condition: impl Fn(&larchfall_stub::engine::Seen) -> bool,
) {
    wait_for(description, || condition(&engine.seen()).then_some(()));
}
