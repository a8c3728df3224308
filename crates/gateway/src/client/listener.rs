//! Accepts connections of clients, for all protocols.

use super::readiness::has_waiting_connection;
use crate::state::State;
use crate::state::client_connections::{ClientConnection, ClientProtocol, RegisteredConnection};
use larchfall_policy::accept_queue::AcceptQueue;
use larchfall_policy::client_connection::ConnectionTimeouts;
use larchfall_policy::time::{Duration, Timestamp};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use slog::warn;
use std::net::SocketAddr;
use std::sync::Arc;

/// Delay before the next accept while connections can't be accepted, or after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Number of connections that may wait in a listener's queue: the backlog that `may` sets, and one more.
const MAX_WAITING_CONNECTIONS: usize = 1024 + 1;

/// A client connection that is registered, and counts as open until it is dropped.
pub(super) struct AcceptedConnection {
    // Dropped first: the file descriptor is closed before the connection no longer counts as open.
    pub(super) stream: TcpStream,
    pub(super) from: SocketAddr,
    pub(super) connection: Arc<ClientConnection>,
    /// Earliest time since which the connection may have waited in the listener's queue.
    pub(super) queued_since: Timestamp,
    _registration: Registration,
}

/// Unregisters a connection when it is dropped, also when the connection's coroutine panics.
struct Registration {
    state: Arc<State>,
    id: usize,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.state.client_connections.unregister(self.id);
    }
}

/// Accepts connections while file descriptors are available, and serves each in a coroutine of its own. The operating
/// system completes connections that wait in the listener's queue, and a request sent on such a connection could be
/// overtaken by later requests with the same ordering key. Therefore connections are closed to keep some capacity free.
pub(super) fn accept_connections(
    state: &Arc<State>,
    listener: &TcpListener,
    protocol: ClientProtocol,
    timeouts: ConnectionTimeouts,
    serve: impl Fn(AcceptedConnection) + Clone + Send + 'static,
) {
    let mut queue = AcceptQueue::new(MAX_WAITING_CONNECTIONS, state.clock.now());
    loop {
        let now = state.clock.now();
        if !state.client_connections.make_room(protocol, now)
            || state.stall_detector.is_event_poll_overdue(now)
        {
            state.sleep(ACCEPT_RETRY_DELAY);
            continue;
        }
        let is_queue_empty = !has_waiting_connection(listener);
        let accepted = listener.accept();
        let accepted_at = state.clock.now();
        if is_queue_empty {
            // The coroutine was blocked until the connection came, unless the process stood still.
            queue.record_empty(state.stall_detector.earliest_send_time(now, accepted_at));
        }
        match accepted {
            Ok((stream, from)) => {
                let queued_since = queue.record_accept(accepted_at);
                let accepted = register(state, protocol, timeouts, stream, from, queued_since);
                let serve = serve.clone();
                may::go!(move || serve(accepted));
                may::coroutine::yield_now();
            }
            Err(error) => {
                warn!(state.log, "accept failed"; "error" => error.to_string());
                state.sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Registers a connection as soon as it is accepted. Its coroutine may start much later; without the registration,
/// connections accepted meanwhile would exceed the number of file descriptors.
fn register(
    state: &Arc<State>,
    protocol: ClientProtocol,
    timeouts: ConnectionTimeouts,
    stream: TcpStream,
    from: SocketAddr,
    queued_since: Timestamp,
) -> AcceptedConnection {
    let _ = stream.set_nodelay(true);
    let RegisteredConnection { id, connection } =
        state.client_connections.register(protocol, timeouts, stream.waker(), state.clock.now());
    let open = state.client_connections.len();
    state.counters.update_gateway(|counters| {
        counters.client_connections += 1;
        counters.max_client_connections = counters.max_client_connections.max(open);
    });
    let registration = Registration { state: state.clone(), id };
    AcceptedConnection { stream, from, connection, queued_since, _registration: registration }
}
