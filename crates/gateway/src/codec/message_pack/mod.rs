//! MessagePack-RPC codec for clients: `framing` finds the end of a message, `decode` decodes messages, and `encode`
//! encodes responses.

mod decode;
mod encode;
mod framing;

pub use decode::{Message, RequestDecodeError, decode, request_message_id};
pub use encode::{Response, encode};
pub use framing::FrameScanner;

/// Maximum length of a message in bytes; ample for a statement of 64 KiB and a few fields.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;

/// Why input is not a message of the protocol. The connection is closed after such input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum MessageError {
    #[error("message too long")]
    TooLong,
    #[error("not MessagePack-RPC: values nested too deep")]
    NestedTooDeep,
    #[error("too many fields or values")]
    TooManyValues,
    #[error("not MessagePack")]
    NotMessagePack,
    #[error("message id is not an unsigned 32-bit integer")]
    InvalidMessageId,
    #[error("message is not an array")]
    NotAnArray,
    #[error("unknown notification")]
    UnknownNotification,
    #[error("unknown message type")]
    UnknownType,
}
