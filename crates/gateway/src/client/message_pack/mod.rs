//! Client connections of MessagePack-RPC. One coroutine for each reads its messages and is the only one that writes its
//! responses: `listener` accepts it, `connection` is that coroutine, `inbox` what it has read, `requests` what becomes of each message.

mod connection;
mod inbox;
mod listener;
mod requests;

pub use connection::{Connection, IDLE_TIMEOUT, MESSAGE_TIMEOUT};
pub use listener::accept;
