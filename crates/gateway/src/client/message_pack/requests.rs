//! What becomes of each message: requests are admitted, others are answered at once.

use super::inbox::{Inbox, Received};
use crate::client::CloseReason;
use crate::codec::client_request::ClientRequest;
use crate::codec::message_pack::{Message, Response};
use crate::intake::{self, Refused};
use crate::state::peer::{Opening, Peer};
use crate::state::{State, lock};
use crate::task::{Final, Reader};
use larchfall_policy::time::Timestamp;
use std::sync::{Arc, Mutex};

/// Handles the complete messages of an inbox.
pub(super) fn handle_messages(
    state: &Arc<State>,
    peer: &Arc<Peer>,
    inbox: &mut Inbox,
) -> Result<(), CloseReason> {
    let mut handled = 0;
    while let Some(Received { message, length, sent }) = inbox.next(handled)? {
        handled += length;
        match message {
            Message::Ping { message_id } => {
                open(peer, message_id)?;
                state.counters.rest(|c| c.pings += 1);
                peer.say(message_id, &Response::Pong);
            }
            Message::Abort { message_ids } => {
                for request in message_ids.into_iter().filter_map(|id| peer.abort(id)) {
                    state.facade.leave(request);
                }
            }
            Message::Unusable { message_id, reason } => {
                open(peer, message_id)?;
                state.counters.rest(|c| c.unusable += 1);
                peer.say(message_id, &Response::Errored(&reason.to_string()));
            }
            Message::Request { message_id, request } => {
                if open(peer, message_id)? {
                    admit(state, peer, message_id, &request, sent);
                } else {
                    reject_over_limits(state, peer, message_id);
                }
            }
        }
    }
    inbox.drop_handled(handled);
    peer.awaits(handled > 0, !inbox.is_empty(), state.clock.now());
    Ok(())
}

/// Whether a request may be opened under this message id; one that was used before ends the connection.
fn open(peer: &Peer, message_id: u32) -> Result<bool, CloseReason> {
    match peer.opening(message_id) {
        Opening::Open => Ok(true),
        Opening::TooMany => Ok(false),
        Opening::UsedTwice => Err(CloseReason::DuplicateMessageId),
    }
}

fn admit(state: &Arc<State>, peer: &Arc<Peer>, message_id: u32, request: &ClientRequest, sent: Timestamp) {
    let admitted = intake::take(state, request, sent, |index| {
        peer.open(message_id, index);
        Arc::new(BufferedResult { peer: peer.clone(), message_id, rows: Mutex::default() })
    });
    match admitted {
        Ok(()) => {}
        Err(Refused::Unusable(why)) => peer.say(message_id, &Response::Errored(why)),
        Err(Refused::NoRoom) => reject_over_limits(state, peer, message_id),
    }
}

/// Rejects a request that was never admitted and tells its client when to try again: a client that sends hundreds at
/// once may otherwise do so again at once.
fn reject_over_limits(state: &State, peer: &Peer, message_id: u32) {
    state.counters.rest(|c| c.over_limits += 1);
    peer.say(message_id, &Response::Rejected(state.max_retry_after));
}

/// The result of one request. Its rows are kept here until all have come, since a response holds the complete result.
struct BufferedResult {
    peer: Arc<Peer>,
    message_id: u32,
    rows: Mutex<Vec<u8>>,
}

impl Reader for BufferedResult {
    fn has_room(&self) -> bool {
        true
    }

    fn rows(&self, mut rows: Vec<u8>) {
        let mut all = lock(&self.rows);
        if all.is_empty() {
            *all = rows;
        } else {
            all.append(&mut rows);
        }
    }

    fn begin_anew(&self) -> bool {
        *lock(&self.rows) = Vec::new();
        true
    }

    fn end(&self, end: Final) -> bool {
        let rows = std::mem::take(&mut *lock(&self.rows));
        let response = match end {
            Final::Returned => Response::Returned(&rows),
            Final::PushedBack(retry_after) => Response::Rejected(retry_after),
            Final::Errored(why) => Response::Errored(why),
        };
        self.peer.answer(self.message_id, &response)
    }
}
