//! Client connections of MessagePack-RPC. One coroutine per connection reads its messages and is the only one that
//! writes its responses. `listener` accepts connections, `connection` implements the coroutine, `inbox` buffers its
//! input, and `requests` handles each message.

mod connection;
mod inbox;
mod listener;
mod requests;

pub use connection::{Connection, IDLE_TIMEOUT, MESSAGE_TIMEOUT};
pub use listener::accept;
