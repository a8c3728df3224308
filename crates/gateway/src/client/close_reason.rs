//! Why a client connection ended, with its code in the log.

use crate::codec::message_pack::MessageError;
use larchfall_paged_rest::call::CallError;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    ClientClosed,
    ClientReset,
    /// Nothing happened on it for too long.
    Idle,
    /// A message that had begun was not complete in time.
    IncompleteMessage,
    /// Its place was needed for other clients.
    Evicted,
    /// The client did not read its responses.
    ResponsesUnread,
    MalformedMessage(MessageError),
    MalformedCall(CallError),
    DuplicateMessageId,
    /// The client asked for it.
    CloseRequested,
    ShuttingDown,
}

impl CloseReason {
    /// Whether the client ended it.
    pub(super) fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientClosed | CloseReason::ClientReset)
    }

    pub(super) fn code(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client-closed",
            CloseReason::ClientReset => "client-reset",
            CloseReason::Idle => "quiet",
            CloseReason::IncompleteMessage => "no-whole-message",
            CloseReason::Evicted => "room-needed",
            CloseReason::ResponsesUnread => "answers-not-read",
            CloseReason::MalformedMessage(_) | CloseReason::MalformedCall(_) => "malformed",
            CloseReason::DuplicateMessageId => "id-used-twice",
            CloseReason::CloseRequested => "asked-to-close",
            CloseReason::ShuttingDown => "stopped",
        }
    }

    /// What was malformed; empty for all other reasons.
    pub(super) fn detail(self) -> String {
        match self {
            CloseReason::MalformedMessage(error) => error.to_string(),
            CloseReason::MalformedCall(error) => error.to_string(),
            _ => String::new(),
        }
    }
}
