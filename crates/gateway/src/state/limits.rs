//! Limits of the transport, computed once at startup from the machine's memory and file descriptors.

use larchfall_policy::memory_budget::MemoryBudget;

/// Fraction of the descriptors for client connections: the third that clients hold at most at the same time, and new
/// connections that are accepted while old ones are still closing.
const CLIENT_DESCRIPTOR_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };
/// Fraction of the descriptors for connections to engines.
const ENGINE_DESCRIPTOR_FRACTION: Fraction = Fraction { numerator: 1, denominator: 2 };
/// Number of descriptors for other uses: listener, discovery service, signals, log, epoll, standard streams and load
/// reports.
const OTHER_DESCRIPTORS: usize = 24;
/// Divisor of the machine's memory that gives the memory for results and unsent responses.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Smallest share of the memory for responses that a client connection is guaranteed, in bytes: a page of a result.
const MIN_RESPONSE_SHARE_BYTES: usize = 8 * 1024;
/// Divisor of the machine's memory that gives the memory for input of clients and requests in flight.
const REQUEST_MEMORY_DIVISOR: usize = 3;
/// Memory of a request in flight in bytes, without its statement: the part of its coroutine's stack that is touched,
/// its records, and the input buffer of its engine connection.
pub const BYTES_PER_REQUEST: usize = 16 * 1024;
/// Divisor of the machine's memory that gives the memory for identities of requests that may have had an effect.
const IDENTITY_MEMORY_DIVISOR: usize = 64;
/// Memory of one identity in bytes, in the set and in the queue of identities.
const BYTES_PER_IDENTITY: usize = 80;
/// Smallest share of the memory for requests that a client connection is guaranteed, in bytes: one request with a short
/// statement, and one read of input.
const MIN_REQUEST_SHARE_BYTES: usize = BYTES_PER_REQUEST + 5 * 1024;

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    fn of(&self, total: usize) -> usize {
        total * self.numerator / self.denominator
    }
}

/// Upper bounds of the resources that the transport uses at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of open client connections of all protocols.
    pub all_client_connections: usize,
    /// Maximum number of open client connections of MessagePack-RPC.
    pub client_connections: usize,
    /// Maximum number of open connections to engines.
    pub engine_connections: usize,
    /// Memory for the input and the requests in flight of all clients.
    pub request_memory: MemoryBudget,
    /// Number of requests without a statement that `request_memory` allows.
    pub requests: usize,
    /// Number of identities of requests that are kept because the requests may have had an effect.
    pub request_identities: usize,
    /// Memory for results that are being read and responses not yet sent, of all clients.
    pub response_memory: MemoryBudget,
}

impl Limits {
    /// Computes the limits from the memory in MiB and the maximum number of open descriptors. Returns `None` if either
    /// is too small to serve any request.
    pub fn new(memory_mb: usize, max_descriptors: usize) -> Option<Limits> {
        let descriptors = max_descriptors.checked_sub(OTHER_DESCRIPTORS)?;
        let memory = memory_mb << 20;
        let request_bytes = memory / REQUEST_MEMORY_DIVISOR;
        let response_bytes = memory / RESPONSE_MEMORY_DIVISOR;
        // Each connection that may be open has its guaranteed shares.
        let client_connections = CLIENT_DESCRIPTOR_FRACTION
            .of(descriptors)
            .min(MemoryBudget::max_accounts(request_bytes, MIN_REQUEST_SHARE_BYTES))
            .min(MemoryBudget::max_accounts(response_bytes, MIN_RESPONSE_SHARE_BYTES));
        let limits = Limits {
            all_client_connections: client_connections,
            client_connections,
            engine_connections: ENGINE_DESCRIPTOR_FRACTION.of(descriptors),
            request_memory: MemoryBudget::new(request_bytes, client_connections, MIN_REQUEST_SHARE_BYTES),
            requests: request_bytes / BYTES_PER_REQUEST,
            request_identities: memory / IDENTITY_MEMORY_DIVISOR / BYTES_PER_IDENTITY,
            response_memory: MemoryBudget::new(response_bytes, client_connections, MIN_RESPONSE_SHARE_BYTES),
        };
        let is_usable = limits.client_connections > 0 && limits.engine_connections > 0 && limits.requests > 0;
        is_usable.then_some(limits)
    }

    /// Reserves `reserved` client connections for another protocol; returns `None` if no client connections remain.
    pub fn reserve_client_connections(self, reserved: usize) -> Option<Limits> {
        let remaining = self.client_connections.checked_sub(reserved).filter(|remaining| *remaining > 0)?;
        Some(Limits { client_connections: remaining, ..self })
    }
}
