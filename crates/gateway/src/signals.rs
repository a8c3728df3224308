//! Unix signals that a gateway handles: SIGTERM shuts it down, SIGUSR1 logs its counters, and SIGHUP reloads its
//! configuration files.

use may::io::CoIo;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// Sockets on which each received signal is readable as one byte. Signals must be registered before anything else,
/// because the system's default action for a signal that arrives before its registration terminates the process.
pub struct RegisteredSignals {
    terminate: UnixStream,
    log_counters: UnixStream,
    reload: UnixStream,
}

impl RegisteredSignals {
    /// Registers the handlers of all signals.
    pub fn register() -> io::Result<RegisteredSignals> {
        Ok(RegisteredSignals {
            terminate: register(SIGTERM)?,
            log_counters: register(SIGUSR1)?,
            reload: register(SIGHUP)?,
        })
    }

    /// Converts the sockets to streams that coroutines can wait on.
    pub fn into_streams(self) -> io::Result<Signals> {
        Ok(Signals {
            terminate: SignalStream(CoIo::new(self.terminate)?),
            log_counters: SignalStream(CoIo::new(self.log_counters)?),
            reload: SignalStream(CoIo::new(self.reload)?),
        })
    }
}

/// Registers a handler that writes a byte to a socket for each signal; returns the reading end of the socket. Only the
/// reading end is passed to the coroutine library, and its descriptor is never duplicated: a duplicate would keep a
/// closed descriptor registered for events, whose handling would then access freed memory.
fn register(signal: i32) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    pipe::register(signal, write)?;
    Ok(read)
}

/// Streams of all handled signals.
pub struct Signals {
    /// SIGTERM, which shuts the gateway down.
    pub terminate: SignalStream,
    /// SIGUSR1, which logs all counters.
    pub log_counters: SignalStream,
    /// SIGHUP, which reloads the configuration files.
    pub reload: SignalStream,
}

/// Stream of the occurrences of one signal, on which a coroutine can wait.
pub struct SignalStream(CoIo<UnixStream>);

impl SignalStream {
    /// Waits for the next occurrence of the signal. Returns false if no more signals can be received.
    pub fn wait(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(1))
    }
}
