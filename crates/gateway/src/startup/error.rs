//! Why a gateway did not start, and the exit code for it.

use std::io;
use std::net::SocketAddrV4;

/// A wrong configuration, as the exit code says it.
const EXIT_CONFIGURATION: u8 = 2;
/// A failure while the gateway starts or runs.
const EXIT_FAILURE: u8 = 1;

/// Why a gateway did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Another program listens there, or the address is not this machine's.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address from the files.
        address: SocketAddrV4,
        /// The system's reason.
        source: io::Error,
    },
    /// The system has no random bytes for the secret in the addresses of pages.
    #[error("no chance to be had for addresses: {0}")]
    Randomness(getrandom::Error),
    /// The paged REST protocol takes all of the clients' connections.
    #[error("rest.connections: none are left for MessagePack-RPC")]
    NoConnectionsLeft,
    /// The paged REST protocol would run more queries at once than engines are left for.
    #[error("rest.in-hand: more than half of {engine_connections} connections to engines")]
    TooManyQueries {
        /// Connections to engines that this gateway may open.
        engine_connections: usize,
    },
    /// The timer's wait for events could not be opened.
    #[error("a pair of sockets: {0}")]
    SocketPair(io::Error),
    /// The signals could not be waited for.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The address between gateways can't be bound.
    #[error("fronts.address: {address}: {source}")]
    ClusterAddress {
        /// The address from the file.
        address: SocketAddrV4,
        /// The system's reason.
        source: io::Error,
    },
    /// Supervision of the operator's programs did not start.
    #[error("duties: {0}")]
    Leases(io::Error),
    /// The thread that writes the voter record did not start.
    #[error("the thread that keeps records: {0}")]
    RecordThread(io::Error),
    /// The timer's thread did not start.
    #[error("the timer's thread: {0}")]
    TimerThread(io::Error),
    /// The coroutine that runs the gateway panicked.
    #[error("the coroutine that waits for signals panicked")]
    Panicked,
}

impl StartupError {
    /// The exit code of the program: 2 where its files are wrong, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            StartupError::Listen { .. }
            | StartupError::NoConnectionsLeft
            | StartupError::TooManyQueries { .. }
            | StartupError::ClusterAddress { .. } => EXIT_CONFIGURATION,
            StartupError::Randomness(_)
            | StartupError::SocketPair(_)
            | StartupError::Signals(_)
            | StartupError::Leases(_)
            | StartupError::RecordThread(_)
            | StartupError::TimerThread(_)
            | StartupError::Panicked => EXIT_FAILURE,
        }
    }
}
