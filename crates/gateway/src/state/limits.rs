//! Limits of the transport, worked out once from what the machine allows.

/// Clients hold a third of the descriptors at most; what crosses a close comes on top.
const CLIENTS: (usize, usize) = (2, 5);
const ENGINES: (usize, usize) = (1, 2);
/// Listener, board, signals, log, epoll, standard streams, probes.
const REST: usize = 24;
/// Memory that answers on their way out may take, of all there is.
const ANSWERS: usize = 4;
/// A batch in hand costs a stack and its statement; this much of the memory may go there, at this much each.
const BATCHES: usize = 3;
const BATCH_BYTES: usize = 24 * 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub clients: usize,
    pub engine_links: usize,
    /// Batches in hand of all clients together.
    pub batches: usize,
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
            batches: memory / BATCHES / BATCH_BYTES,
            unread: memory / ANSWERS,
        };
        (limits.clients > 0 && limits.engine_links > 0 && limits.batches > 0).then_some(limits)
    }
}
