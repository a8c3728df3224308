//! Errors that stop a gateway from starting, and their exit codes.

use std::io;
use std::net::SocketAddrV4;

/// Exit code for an invalid configuration.
const EXIT_CONFIGURATION: u8 = 2;
/// Exit code for a failure while the gateway starts or runs.
const EXIT_FAILURE: u8 = 1;

/// Why a gateway could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The address for clients is in use or is not an address of this machine.
    #[error("listen: cannot bind {address}: {source}")]
    Listen {
        /// The address from the configuration or from the operator's file.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system returned no random bytes for the secret in the URLs of result pages.
    #[error("no random bytes for the secret in result page URLs: {0}")]
    Randomness(getrandom::Error),
    /// The connections of the paged REST protocol use up the limit of client connections.
    #[error("rest.connections: must leave client connections for MessagePack-RPC")]
    NoConnectionsLeft,
    /// The paged REST protocol may run more queries at once than half of the engine connections.
    #[error("rest.in-hand: must not exceed half of the {engine_connections} engine connections")]
    TooManyQueries {
        /// How many connections to engines this gateway may open.
        engine_connections: usize,
    },
    /// The socket pair that measures the delay of event polls could not be opened.
    #[error("cannot create a socket pair: {0}")]
    SocketPair(io::Error),
    /// The streams of registered signals could not be opened.
    #[error("cannot wait for signals: {0}")]
    Signals(io::Error),
    /// The address for other gateways could not be bound.
    #[error("fronts.address: cannot bind {address}: {source}")]
    ClusterAddress {
        /// The address from the operator's file.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The thread that supervises the operator's programs could not be started.
    #[error("duties: cannot start the supervisor of programs: {0}")]
    ProgramSupervisor(io::Error),
    /// The thread that writes the voter record could not be started.
    #[error("cannot start the thread that writes the voter record: {0}")]
    VoterRecordThread(io::Error),
    /// The timer thread could not be started.
    #[error("cannot start the timer thread: {0}")]
    TimerThread(io::Error),
    /// The coroutine that runs the gateway panicked.
    #[error("the main coroutine panicked")]
    MainCoroutinePanicked,
}

impl StartupError {
    /// The exit code of the program: 2 if its files or an address in them are invalid, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            StartupError::Listen { .. }
            | StartupError::NoConnectionsLeft
            | StartupError::TooManyQueries { .. }
            | StartupError::ClusterAddress { .. } => EXIT_CONFIGURATION,
            StartupError::Randomness(_)
            | StartupError::SocketPair(_)
            | StartupError::Signals(_)
            | StartupError::ProgramSupervisor(_)
            | StartupError::VoterRecordThread(_)
            | StartupError::TimerThread(_)
            | StartupError::MainCoroutinePanicked => EXIT_FAILURE,
        }
    }
}
