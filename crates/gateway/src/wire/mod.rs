//! What is spoken on the wire: bytes to small typed values once, and back once. Nothing here reads a clock, a
//! socket or a setting.

pub mod board;
pub mod http;
pub mod request;
pub mod rpc;
pub mod statement;
