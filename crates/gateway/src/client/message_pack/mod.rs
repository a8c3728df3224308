//! Client connections of MessagePack-RPC. One coroutine per connection reads its messages and is the only one that
//! writes its responses. `connection` implements the coroutine, `inbox` buffers its input, and `requests` handles each
//! message.

mod connection;
mod inbox;
mod requests;

use super::listener::accept_connections;
use crate::state::State;
use crate::state::client_connections::ClientProtocol;
use larchfall_policy::client_connection::ConnectionTimeouts;
use larchfall_policy::time::Duration;
use may::net::TcpListener;
use std::sync::Arc;

/// Clients close their idle connections after 4 s; a connection that stays open for longer takes the place of another
/// client.
const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_millis(5_000), message: Duration::from_millis(2_000) };

/// Accepts connections until the process ends, and serves each in a coroutine of its own.
pub fn accept(state: &Arc<State>, listener: &TcpListener) {
    let served = state.clone();
    accept_connections(state, listener, ClientProtocol::MessagePack, TIMEOUTS, move |accepted| {
        connection::serve(&served, accepted);
    });
}
