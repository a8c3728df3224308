//! Limits of the transport, worked out once from what the machine allows.

/// Clients hold a third of the descriptors at most; what crosses a close comes on top.
const CLIENTS: (usize, usize) = (2, 5);
const ENGINES: (usize, usize) = (1, 2);
/// Listener, discovery service, signals, log, epoll, standard streams, probes.
const REST: usize = 24;
/// Memory that answers on their way out may take, of all there is.
const ANSWERS: usize = 4;
/// A request in hand costs a stack and its statement; this much of the memory may go there, at this much each.
const REQUESTS: usize = 3;
const REQUEST_BYTES: usize = 24 * 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub clients: usize,
    pub engine_links: usize,
    /// Requests in hand of all clients together.
    pub requests: usize,
    /// Bytes of answers that clients have not read.
    pub unread: usize,
}

impl Limits {
    /// With so many of the clients' connections left to another protocol; `None` when too few stay.
    pub fn share(self, others: usize) -> Option<Limits> {
        let clients = self.clients.checked_sub(others).filter(|left| *left > 0)?;
        Some(Limits { clients, ..self })
    }

    /// `None` when the machine is too small to serve anybody.
    pub fn new(memory_mb: usize, sockets: usize) -> Option<Limits> {
        let open = sockets.checked_sub(REST)?;
        let memory = memory_mb << 20;
        let limits = Limits {
            clients: open * CLIENTS.0 / CLIENTS.1,
            engine_links: open * ENGINES.0 / ENGINES.1,
            requests: memory / REQUESTS / REQUEST_BYTES,
            unread: memory / ANSWERS,
        };
        (limits.clients > 0 && limits.engine_links > 0 && limits.requests > 0).then_some(limits)
    }
}
