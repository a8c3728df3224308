//! Opens listeners for clients.

use super::StartupError;
use may::net::TcpListener;
use std::net::SocketAddrV4;

/// may's own listener shares its port with any other of ours: a plain one finds out whether the port is free.
pub(super) fn bind(address: SocketAddrV4) -> Result<TcpListener, StartupError> {
    std::net::TcpListener::bind(address)
        .map(drop)
        .and_then(|()| TcpListener::bind(address))
        .map_err(|source| StartupError::Listen { address, source })
}
