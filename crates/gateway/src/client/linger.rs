//! Ends a connection whose input was not read completely, so that its client still receives the last response.

use super::CloseReason;
use super::transfer::transferred_bytes;
use crate::state::State;
use larchfall_policy::time::Duration;
use may::net::TcpStream;
use std::io::Read;
use std::net::Shutdown;

/// Maximum time for which input is read and discarded on a connection that this gateway closes. Closing a socket with
/// unread input resets the connection, and the reset would discard responses that the client has not yet received.
const LINGER_TIMEOUT: Duration = Duration::from_millis(50);
/// Size of one read while a connection lingers.
const DISCARD_CHUNK_BYTES: usize = 4 * 1024;
/// Maximum number of reads between two sleeps while a connection lingers.
const MAX_DISCARDED_CHUNKS: usize = 4;
/// How long a coroutine sleeps between reads while it lingers.
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// Shuts down the sending side, and discards input until the client closes the connection or the timeout ends.
pub(super) fn linger(state: &State, stream: &TcpStream) {
    let until = state.clock.now() + LINGER_TIMEOUT;
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    while discard_input(stream).is_ok() && state.clock.now() < until {
        state.sleep(READ_INTERVAL);
    }
}

/// Reads and discards input for as long as some is available, up to a limit. Returns an error once the client has
/// closed the connection.
fn discard_input(stream: &TcpStream) -> Result<(), CloseReason> {
    let mut chunk = [0; DISCARD_CHUNK_BYTES];
    for _ in 0..MAX_DISCARDED_CHUNKS {
        let result = stream.inner().read(&mut chunk);
        if matches!(result, Ok(0)) {
            return Err(CloseReason::ClientClosed);
        }
        if transferred_bytes(result)? == 0 {
            break;
        }
    }
    Ok(())
}
