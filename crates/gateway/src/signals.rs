//! The signals that a gateway acts on: SIGTERM ends it, SIGUSR1 has it log its counters, SIGHUP has it reload its files.

use may::io::CoIo;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// Signals caught as bytes that wait to be read. Registered before anything else: a signal that comes before the
/// gateway is ready must not end it by the system's default.
pub struct RegisteredSignals {
    terminate: UnixStream,
    log_counters: UnixStream,
    reload: UnixStream,
}

impl RegisteredSignals {
    /// Catches the signals from now on.
    pub fn register() -> io::Result<RegisteredSignals> {
        Ok(RegisteredSignals {
            terminate: register(SIGTERM)?,
            log_counters: register(SIGUSR1)?,
            reload: register(SIGHUP)?,
        })
    }

    /// Makes them something that coroutines can wait on.
    pub fn into_streams(self) -> io::Result<Signals> {
        Ok(Signals {
            terminate: SignalStream(CoIo::new(self.terminate)?),
            log_counters: SignalStream(CoIo::new(self.log_counters)?),
            reload: SignalStream(CoIo::new(self.reload)?),
        })
    }
}

/// Only the reading end will be known to the coroutine crate, and its descriptor is never duplicated: a duplicate
/// keeps what was closed registered for events, which then reach memory that is free already.
fn register(signal: i32) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    pipe::register(signal, write)?;
    Ok(read)
}

/// One stream for each signal.
pub struct Signals {
    /// SIGTERM.
    pub terminate: SignalStream,
    /// SIGUSR1.
    pub log_counters: SignalStream,
    /// SIGHUP.
    pub reload: SignalStream,
}

/// One signal, for a coroutine to wait on.
pub struct SignalStream(CoIo<UnixStream>);

impl SignalStream {
    /// Waits for the signal to come once more; false when none can come any more.
    pub fn wait(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(1))
    }
}
