//! Reasons for the end of a client connection, with the codes that the log uses.

use crate::codec::message_pack::MessageError;
use larchfall_paged_rest::call::CallError;
use larchfall_policy::client_connection::ConnectionEnd;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    ClientClosed,
    ClientReset,
    /// No bytes were read or written within the idle timeout.
    Idle,
    /// The first message, or a message that had begun, was not complete within its timeout.
    IncompleteMessage,
    /// The connection's file descriptor was needed for another client.
    Evicted,
    /// The memory budget did not admit the rest of a message or call.
    OverMemoryBudget,
    /// The client did not read its responses within the timeout.
    ResponsesUnread,
    MalformedMessage(MessageError),
    MalformedCall(CallError),
    DuplicateMessageId,
    /// The client asked for the connection to be closed after a response.
    CloseRequested,
    ShuttingDown,
}

impl From<ConnectionEnd> for CloseReason {
    fn from(end: ConnectionEnd) -> CloseReason {
        match end {
            ConnectionEnd::Idle => CloseReason::Idle,
            ConnectionEnd::IncompleteMessage => CloseReason::IncompleteMessage,
            ConnectionEnd::Evicted => CloseReason::Evicted,
        }
    }
}

impl CloseReason {
    /// Whether the client closed or reset the connection.
    pub(super) fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientClosed | CloseReason::ClientReset)
    }

    /// Whether the client has closed the connection, or asked for its close.
    pub(super) fn is_departure(self) -> bool {
        self.is_by_client() || self == CloseReason::CloseRequested
    }

    /// Code of the reason in log lines.
    pub(super) fn code(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client-closed",
            CloseReason::ClientReset => "client-reset",
            CloseReason::Idle => "quiet",
            CloseReason::IncompleteMessage => "no-whole-message",
            CloseReason::Evicted => "room-needed",
            CloseReason::OverMemoryBudget => "over-memory-budget",
            CloseReason::ResponsesUnread => "answers-not-read",
            CloseReason::MalformedMessage(_) | CloseReason::MalformedCall(_) => "malformed",
            CloseReason::DuplicateMessageId => "id-used-twice",
            CloseReason::CloseRequested => "asked-to-close",
            CloseReason::ShuttingDown => "stopped",
        }
    }

    /// The decoding error of a malformed message or call; empty for all other reasons.
    pub(super) fn detail(self) -> String {
        match self {
            CloseReason::MalformedMessage(error) => error.to_string(),
            CloseReason::MalformedCall(error) => error.to_string(),
            _ => String::new(),
        }
    }
}
