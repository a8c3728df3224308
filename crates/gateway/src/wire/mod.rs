//! What is spoken on the wire: bytes to small typed values once, and back once. Nothing here reads a clock, a
//! socket or a setting.

pub mod client_request;
pub mod discovery;
pub mod http;
pub mod rpc;
pub mod statement;
