//! Client connections of MessagePack-RPC. One coroutine for each reads its messages and is the only one that writes its
//! responses: `connection` is that coroutine, `inbox` what it has read, `requests` what becomes of each message.

mod connection;
mod inbox;
mod requests;

pub use connection::{Connection, IDLE_TIMEOUT, MESSAGE_TIMEOUT, register, serve};
