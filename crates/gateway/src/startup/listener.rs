//! Binds the TCP listeners for clients.

use super::StartupError;
use may::net::TcpListener;
use std::net::SocketAddrV4;

/// Binds a listener. may's listener sets `SO_REUSEPORT`, so it also binds a port that another gateway of the same user
/// listens on; a listener of the standard library is bound and closed first to detect a port in use.
pub(super) fn bind(address: SocketAddrV4) -> Result<TcpListener, StartupError> {
    std::net::TcpListener::bind(address)
        .map(drop)
        .and_then(|()| TcpListener::bind(address))
        .map_err(|source| StartupError::Listen { address, source })
}
