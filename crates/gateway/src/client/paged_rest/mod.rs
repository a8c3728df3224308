//! Client connections of the paged REST protocol. `connection` reads calls and writes their responses one at a time,
//! `calls` dispatches each call, `statement` admits requests, `result_reader` turns rows into pages, and `pages` returns
//! the pages to clients. `larchfall_paged_rest` decides which result a page belongs to and how long the page is kept.

mod calls;
mod connection;
mod pages;
mod readership;
mod request_fields;
mod responses;
mod result_reader;
mod service;
mod statement;

use super::listener::accept_connections;
use crate::state::State;
use crate::state::client_connections::ClientProtocol;
use larchfall_policy::client_connection::ConnectionTimeouts;
use larchfall_policy::time::Duration;
use may::net::TcpListener;
pub use pages::abandon_request;
pub use service::RestService;
use std::sync::Arc;

/// Clients pause between pages, but a connection that is idle for longer takes the place of another client.
const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_millis(10_000), message: Duration::from_millis(2_000) };

/// Accepts connections until the process ends, and serves each in a coroutine of its own.
pub fn accept(state: &Arc<State>, listener: &TcpListener, service: &Arc<RestService>) {
    let (served, service) = (state.clone(), service.clone());
    accept_connections(state, listener, ClientProtocol::PagedRest, TIMEOUTS, move |accepted| {
        connection::serve(&served, &service, &accepted);
    });
}
