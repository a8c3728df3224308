//! Handles messages of clients: admits requests, cancels aborted ones, and responds to all other messages at once.

use super::inbox::{Inbox, ReceivedMessage};
use crate::admission::{self, RequestError};
use crate::client::CloseReason;
use crate::codec::client_request::ClientRequest;
use crate::codec::message_pack::{Message, MessageError, Response};
use crate::request_context::{FinalAnswer, ResultReader};
use crate::state::budgeted_buffer::BudgetedBuffer;
use crate::state::memory::{BudgetExceeded, MemoryAccount};
use crate::state::response_writer::{MessageIdCheck, ResponseWriter};
use crate::state::{State, lock};
use larchfall_policy::time::Timestamp;
use std::sync::{Arc, Mutex};

/// Handles the complete messages in an inbox, and returns their length in bytes. Returns an error if the client violated
/// the protocol.
pub(super) fn handle_messages(
    state: &Arc<State>,
    writer: &Arc<ResponseWriter>,
    account: &Arc<MemoryAccount>,
    inbox: &mut Inbox,
) -> Result<usize, CloseReason> {
    // A request that the memory budget does not admit has its response before the rest of it is received. It is the first
    // message in the inbox.
    if let Some(message_id) = inbox.take_refused() {
        register_message_id(writer, message_id)?;
        reject_over_limits(state, writer, message_id);
    }
    let mut handled = 0;
    let result = handle_complete_messages(state, writer, account, inbox, &mut handled);
    inbox.remove_handled(handled);
    result.map(|()| handled)
}

/// Handles the complete messages after the first `handled` bytes, and adds their length to it.
fn handle_complete_messages(
    state: &Arc<State>,
    writer: &Arc<ResponseWriter>,
    account: &Arc<MemoryAccount>,
    inbox: &mut Inbox,
    handled: &mut usize,
) -> Result<(), CloseReason> {
    while let Some(ReceivedMessage { message, length, sent }) = inbox.next(*handled)? {
        *handled += length;
        let Ok(message) = message else { continue };
        match message {
            Message::Ping { message_id } => {
                register_message_id(writer, message_id)?;
                state.counters.update_gateway(|counters| counters.pings += 1);
                writer.send(message_id, &Response::Pong);
            }
            Message::Abort { message_ids } => {
                for request in message_ids.into_iter().filter_map(|id| writer.cancel(id)) {
                    state.policy.record_disconnection(request);
                }
            }
            Message::InvalidRequest { message_id, reason } => {
                register_message_id(writer, message_id)?;
                state.counters.update_gateway(|counters| counters.invalid_requests += 1);
                writer.send(message_id, &Response::Errored(&reason.to_string()));
            }
            Message::Request { message_id, request } => {
                if register_message_id(writer, message_id)? {
                    admit(state, writer, account, message_id, &request, sent);
                } else {
                    reject_over_limits(state, writer, message_id);
                }
            }
        }
        if writer.is_backlogged() {
            inbox.pause();
            break;
        }
    }
    Ok(())
}

/// Rejects a request of which only a part was received, unless its message id is in use.
pub(super) fn reject_incomplete(state: &State, writer: &ResponseWriter, message_id: u32) {
    if register_message_id(writer, message_id).is_ok() {
        reject_over_limits(state, writer, message_id);
    }
}

/// Responds to a request that can't be read, of which a part was received, unless its message id is in use.
pub(super) fn refuse_malformed(state: &State, writer: &ResponseWriter, message_id: u32, error: MessageError) {
    if register_message_id(writer, message_id).is_ok() {
        state.counters.update_gateway(|counters| counters.invalid_requests += 1);
        writer.send(message_id, &Response::Errored(&error.to_string()));
    }
}

/// Records a message id. Returns whether a request may be opened under it; a reused id ends the connection.
fn register_message_id(writer: &ResponseWriter, message_id: u32) -> Result<bool, CloseReason> {
    match writer.register_message_id(message_id) {
        MessageIdCheck::Accepted => Ok(true),
        MessageIdCheck::TooManyOpen => Ok(false),
        MessageIdCheck::Reused => Err(CloseReason::DuplicateMessageId),
    }
}

/// Admits a request, or responds with the reason why it was not admitted.
fn admit(
    state: &Arc<State>,
    writer: &Arc<ResponseWriter>,
    account: &Arc<MemoryAccount>,
    message_id: u32,
    request: &ClientRequest,
    sent: Timestamp,
) {
    let admitted = admission::admit(state, account, request, sent, |index| {
        writer.open_request(message_id, index);
        Arc::new(BufferedResult { writer: writer.clone(), message_id, rows: Mutex::new(writer.row_buffer()) })
    });
    match admitted {
        Ok(()) => {}
        Err(RequestError::Invalid(invalid)) => {
            writer.send(message_id, &Response::Errored(&invalid.to_string()));
        }
        Err(RequestError::OverMemoryBudget(_) | RequestError::TooManyIdentities) => {
            reject_over_limits(state, writer, message_id);
        }
    }
}

/// Rejects a request that was not admitted because of a limit. The response carries a retry-after time, without which a
/// client that sends hundreds of requests at once could retry all of them immediately.
fn reject_over_limits(state: &State, writer: &ResponseWriter, message_id: u32) {
    state.counters.update_gateway(|counters| counters.over_limits += 1);
    writer.send(message_id, &Response::Rejected(state.settings.max_retry_after));
}

/// Result reader of one request. Buffers all rows, because a MessagePack-RPC response contains the complete result.
struct BufferedResult {
    writer: Arc<ResponseWriter>,
    message_id: u32,
    rows: Mutex<BudgetedBuffer>,
}

impl ResultReader for BufferedResult {
    fn has_capacity(&self) -> bool {
        true
    }

    fn push_rows(&self, rows: Vec<u8>) -> Result<(), BudgetExceeded> {
        let mut all = lock(&self.rows);
        all.try_reserve(rows.len())?;
        all.append_with(|all| all.extend_from_slice(&rows));
        Ok(())
    }

    fn restart(&self) -> bool {
        lock(&self.rows).clear();
        true
    }

    fn finish(&self, answer: FinalAnswer) -> bool {
        let rows = lock(&self.rows).take();
        let response = match answer {
            FinalAnswer::Returned => Response::Returned(&rows),
            FinalAnswer::Rejected(retry_after) => Response::Rejected(retry_after),
            FinalAnswer::Errored(reason) => Response::Errored(reason),
        };
        self.writer.respond(self.message_id, &response)
    }
}
