//! MessagePack-RPC with clients: `framing` finds where a message ends, `decode` reads messages, `encode` writes responses.

mod decode;
mod encode;
mod framing;

pub use decode::{Message, RequestError, decode};
pub use encode::{Response, encode};
pub use framing::FrameScanner;

/// Bytes of the longest message: a statement of 64 KiB and a few fields fit with room to spare.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;

/// Why bytes are not a message of the protocol. The connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum MessageError {
    #[error("message too long")]
    TooLong,
    #[error("not MessagePack of ours: nested too deep")]
    NestedTooDeep,
    #[error("not MessagePack")]
    NotMessagePack,
    #[error("message id is no number")]
    BadMessageId,
    #[error("message is no array")]
    NotAnArray,
    #[error("unknown notification")]
    UnknownNotification,
    #[error("unknown type of message")]
    UnknownType,
}
