//! Results of reads and writes on the sockets of clients.

use super::CloseReason;
use std::io::{self, ErrorKind};

/// Converts the result of a read or write: the number of bytes transferred, 0 when the socket is not ready.
pub(super) fn transferred_bytes(result: io::Result<usize>) -> Result<usize, CloseReason> {
    match result {
        Ok(count) => Ok(count),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
        Err(_) => Err(CloseReason::ClientReset),
    }
}
