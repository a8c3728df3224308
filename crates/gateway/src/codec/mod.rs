//! Every wire format of the gateway: bytes to small typed values and back. The field names that other programs use are
//! known here only. Nothing in this module reads a clock, a socket or a setting.

pub mod client_request;
pub mod discovery;
pub mod engine_http;
pub mod message_pack;
pub mod statement;

/// A value that was read from the start of some bytes.
#[derive(Debug, PartialEq)]
pub struct Decoded<T> {
    /// The value.
    pub value: T,
    /// How many of the bytes it takes.
    pub length: usize,
}
