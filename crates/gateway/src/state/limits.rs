//! Limits of the transport, worked out once from the machine's memory and descriptors.

/// Clients hold a third of the descriptors at most; connections that cross a close come on top.
const CLIENT_DESCRIPTORS: Fraction = Fraction { numerator: 2, denominator: 5 };
const ENGINE_DESCRIPTORS: Fraction = Fraction { numerator: 1, denominator: 2 };
/// Listener, discovery service, signals, log, epoll, standard streams, load reports.
const OTHER_DESCRIPTORS: usize = 24;
/// One part in so many of the memory may hold responses on their way out.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// One part in so many of the memory may hold requests in flight: a stack and a statement each.
const REQUEST_MEMORY_DIVISOR: usize = 3;
const BYTES_PER_REQUEST: usize = 24 * 1024;

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    fn of(&self, total: usize) -> usize {
        total * self.numerator / self.denominator
    }
}

/// How much of everything there may be at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to engines.
    pub engine_connections: usize,
    /// Requests in flight, of all clients together.
    pub requests: usize,
    /// Bytes of responses that clients have not read.
    pub unsent_bytes: usize,
}

impl Limits {
    /// `None` when the machine is too small to serve anybody.
    pub fn new(memory_mb: usize, sockets: usize) -> Option<Limits> {
        let descriptors = sockets.checked_sub(OTHER_DESCRIPTORS)?;
        let memory = memory_mb << 20;
        let limits = Limits {
            client_connections: CLIENT_DESCRIPTORS.of(descriptors),
            engine_connections: ENGINE_DESCRIPTORS.of(descriptors),
            requests: memory / REQUEST_MEMORY_DIVISOR / BYTES_PER_REQUEST,
            unsent_bytes: memory / RESPONSE_MEMORY_DIVISOR,
        };
        let is_usable = limits.client_connections > 0 && limits.engine_connections > 0 && limits.requests > 0;
        is_usable.then_some(limits)
    }

    /// The limits with so many client connections reserved for another protocol; `None` when none are left.
    pub fn reserve_client_connections(self, reserved: usize) -> Option<Limits> {
        let left = self.client_connections.checked_sub(reserved).filter(|left| *left > 0)?;
        Some(Limits { client_connections: left, ..self })
    }
}
