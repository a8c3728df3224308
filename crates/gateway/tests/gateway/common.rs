//! One gateway as a program of its own, with stub engines and a stub discovery service around it.

use larchfall_fault_tests::gateway_process::{GatewayFiles, GatewayProcess, address_in};
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::Engine;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::time::Duration;

pub(crate) use larchfall_fault_tests::gateway_config::{
    config, config_of, operator_config as site, settings,
};
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
    /// A gateway that knows this engine.
    pub(crate) fn start(engine: Option<SocketAddr>) -> Gateway {
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        Gateway::start_on("127.0.0.1:0", discovery, engine, 256)
    }

    pub(crate) fn start_on(
        listen: &str,
        discovery: Discovery,
        engine: Option<SocketAddr>,
        sockets: usize,
    ) -> Gateway {
        let text = config(listen, discovery.address, engine, sockets);
        Gateway::start_with(discovery, &text)
    }

    pub(crate) fn start_with(discovery: Discovery, text: &str) -> Gateway {
        Gateway::start_site(discovery, text, None)
    }

    /// A gateway with an operator's file, which has the paged REST protocol on.
    pub(crate) fn start_site(discovery: Discovery, text: &str, site: Option<&str>) -> Gateway {
        let files = GatewayFiles { config: text, operator_config: site, environment: &[] };
        let mut gateway = GatewayProcess::start(PROGRAM, discovery, &files);
        gateway.rest = site.map(|_| address_in(&gateway.log.wait_for("listening for paged REST,")));
        Gateway(gateway)
    }
}

/// An address at which nobody listens or will: a client's own end holds the port.
pub(crate) struct Nobody {
    pub(crate) address: SocketAddr,
    _held: (TcpListener, TcpStream),
}

pub(crate) fn nobody() -> Nobody {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    Nobody { address: stream.local_addr().unwrap(), _held: (listener, stream) }
}

/// A listener whose queue is full: the next connection is established only once `accept_next` has emptied it.
pub(crate) struct Full {
    listener: TcpListener,
    filled: usize,
}

impl Full {
    pub(crate) fn start() -> Full {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let filled = std::iter::from_fn(|| fill().ok()).take(16).count();
        Full { listener, filled }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until the gateway is about to connect here.
    pub(crate) fn wait_for_connect(&self) {
        let port = format!(":{:04X} 02 ", self.address().port());
        wait_for("the gateway to connect", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port).then_some(())
        });
    }

    /// The gateway's own connection.
    pub(crate) fn accept_next(&self) -> TcpStream {
        for _ in 0..self.filled {
            self.listener.accept().unwrap();
        }
        self.listener.accept().unwrap().0
    }
}

/// Waits until an engine has seen this.
pub(crate) fn until_seen(engine: &Engine, what: &str, seen: impl Fn(&larchfall_stub::engine::Seen) -> bool) {
    wait_for(what, || seen(&engine.seen()).then_some(()));
}
