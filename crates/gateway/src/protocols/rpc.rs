//! A client connection of MessagePack-RPC: one coroutine reads its messages and is the one writer of its answers.

use super::Reason;
use crate::admission::{self, RequestError};
use crate::request_context::{FinalAnswer, ResultReader};
use crate::state::client_connections::RegisteredConnection;
use crate::state::response_writer::{IdCheck, ResponseWriter};
use crate::state::{State, lock};
use crate::wire::client_request::ClientRequest;
use crate::wire::rpc::{self, Message, Scan};
use larchfall_policy::time::{Duration, Timestamp};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};

/// Clients close what is idle after 4 s; what some keep beyond that for good costs others their place.
pub const QUIET: Duration = Duration::from_millis(5_000);
/// A message that has begun, or the first one of a connection, is whole by then: against those that connect and
/// say nothing, or stop half way, and hold a descriptor.
pub const WHOLE_WITHIN: Duration = Duration::from_millis(2_000);
/// So many reads or writes one after the other, and then a pause.
const BURST: usize = 8;
const PAUSE: Duration = Duration::from_millis(5);
/// On the stack, so that an idle connection keeps no buffer.
const CHUNK: usize = 4 * 1024;
/// Read before it is taken in, a chunk at a time: whoever sent much and left is seen to have left first.
const READ_AHEAD: usize = 16 * 1024;
/// What still comes in this long on a connection that this gateway ends is passed over. With bytes unread its end would
/// be a reset, which takes answers along that are still on their way.
const LINGER: Duration = Duration::from_millis(50);

/// A connection that counts among those of this gateway.
pub struct Joined {
    stream: TcpStream,
    from: SocketAddr,
    place: usize,
    peer: Arc<ResponseWriter>,
    /// Where it may have waited in the listener's queue, since when.
    queued_since: Option<Timestamp>,
}

/// Counts a connection as soon as it is accepted: its coroutine may run much later, and meanwhile others would
/// take descriptors that are not there.
pub fn join(state: &State, stream: TcpStream, from: SocketAddr, queued_since: Option<Timestamp>) -> Joined {
    let _ = stream.set_nodelay(true);
    let registered = state.client_connections.register(stream.waker(), state.clock.now());
    let RegisteredConnection { number: place, writer: peer } = registered;
    Joined { stream, from, place, peer, queued_since }
}

/// Serves one connection to its end.
pub fn serve(state: &Arc<State>, joined: Joined) {
    let Joined { stream, from, place, peer, queued_since } = joined;
    state.counters.update(|counters| {
        counters.connections += 1;
        counters.max_clients = counters.max_clients.max(state.client_connections.len());
    });
    let reason = converse(state, &stream, &peer, queued_since);
    for request in peer.cancel_all() {
        state.policy.record_disconnection(request);
    }
    // Who never asked for anything has no answer on its way.
    if !reason.is_by_client() && peer.has_sent_message() {
        linger(state, &stream);
    }
    // Its descriptor is free before its place is.
    drop(stream);
    state.client_connections.unregister(place);
    info!(state.log, "client connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

/// Tells the client that nothing more comes, and passes over what crosses that until it has ended the connection too.
fn linger(state: &State, stream: &TcpStream) {
    let until = state.clock.now() + LINGER;
    let mut rest = Inbox::default();
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    while rest.read(stream).is_ok() && state.clock.now() < until {
        rest = Inbox::default();
        state.sleep(PAUSE);
    }
}

/// What came on a connection and is not yet taken in.
#[derive(Default)]
struct Inbox {
    bytes: Vec<u8>,
    scan: Scan,
    /// When the first byte of the next message may have been sent.
    began: Timestamp,
    /// The same of what was read last.
    read: Timestamp,
    /// Whether more messages may be whole: so many bytes at a time are taken in, and then others have their turn.
    more: bool,
}

impl Inbox {
    /// All that came, up to a bound; whoever ended the connection behind it waits for no answer to any of it.
    fn read(&mut self, stream: &TcpStream) -> Result<usize, Reason> {
        let mut all = 0;
        // A message that is not whole may be longer than the bound.
        while all < READ_AHEAD && (self.bytes.len() < READ_AHEAD || !self.more) {
            let mut chunk = [0; CHUNK];
            let got = stream.inner().read(&mut chunk);
            if matches!(got, Ok(0)) {
                return Err(Reason::ClientClosed);
            }
            let got = without_wait(got)?;
            self.bytes.extend_from_slice(&chunk[..got]);
            all += got;
            if got == 0 {
                break;
            }
        }
        Ok(all)
    }

    /// What was read may have been sent then.
    fn came(&mut self, sent: Timestamp, anew: bool) {
        self.read = sent;
        if anew {
            self.began = sent;
        }
    }

    /// The next whole message, its bytes from the place given, and when it may have been sent: its client's time runs
    /// from the first byte on.
    fn next(&mut self, at: usize) -> Result<Option<(Message<'_>, usize, Timestamp)>, Reason> {
        self.more = at >= CHUNK;
        if self.more {
            return Ok(None);
        }
        let Some(length) = self.scan.whole(&self.bytes[at..]).map_err(Reason::Malformed)? else {
            return Ok(None);
        };
        self.scan = Scan::default();
        let sent = std::mem::replace(&mut self.began, self.read);
        match rpc::decode(&self.bytes[at..at + length]).map_err(Reason::Malformed)? {
            Some((message, _)) => Ok(Some((message, length, sent))),
            None => Err(Reason::Malformed("not MessagePack")),
        }
    }
}

fn converse(
    state: &Arc<State>,
    stream: &TcpStream,
    peer: &Arc<ResponseWriter>,
    mut queued_since: Option<Timestamp>,
) -> Reason {
    let (mut inbox, mut rounds) = (Inbox::default(), 0);
    // A client that broke the protocol is heard no more, and has its answers to what it asked for before.
    let mut broken = None;
    // A new connection may have waited in the listener's queue for as long as a stall lasted.
    let mut slept_since = Timestamp::default();
    loop {
        let wrote = match peer.write(|bytes| without_wait(stream.inner().write(bytes))) {
            Ok(n) => n,
            Err(reason) => return reason,
        };
        let (anew, too_slow) = (inbox.bytes.is_empty(), peer.is_backlogged());
        let read = match if too_slow { Ok(0) } else { inbox.read(stream) } {
            Ok(n) => n,
            Err(reason) => return reason,
        };
        if read > 0 {
            let now = state.stall_detector.earliest_send_time(slept_since, state.clock.now());
            inbox.came(queued_since.take().map_or(now, |queued| queued.min(now)), anew);
        }
        let takes = !too_slow && (read > 0 || inbox.more);
        if broken.is_some() {
            inbox = Inbox::default();
        } else if takes {
            broken = take_messages(state, peer, &mut inbox).err();
        }
        let now = state.clock.now();
        if wrote + read > 0 || takes {
            peer.record_activity(now);
            rounds += 1;
            if rounds < BURST {
                // Others may have waited while this one was served.
                may::coroutine::yield_now();
            }
            // While any coroutine is ready the worker looks for no events: those that always have something to say
            // would keep all others from being heard.
            while rounds >= BURST || state.stall_detector.is_event_poll_overdue(state.clock.now()) {
                rounds = 0;
                state.sleep(PAUSE);
            }
            continue;
        }
        rounds = 0;
        if let Some(reason) = over(state, peer, broken, now) {
            return reason;
        }
        slept_since = now;
        stream.wait_io();
    }
}

/// Why this gateway ends a connection on which nothing happens, if it does: never while it owes an answer there that its
/// client may still read.
fn over(state: &State, peer: &ResponseWriter, broken: Option<Reason>, now: Timestamp) -> Option<Reason> {
    let quiet = now.since(peer.last_activity());
    if peer.has_only_unread_responses() && quiet >= state.settings.unread_response_timeout {
        return Some(Reason::NotRead);
    }
    if !peer.is_idle() {
        return None;
    }
    if broken.is_some() {
        return broken;
    }
    if peer.awaiting_message_since().is_some_and(|since| now.since(since) >= WHOLE_WITHIN) {
        return Some(Reason::NotWhole);
    }
    if peer.should_close() {
        return Some(Reason::RoomNeeded);
    }
    if quiet >= QUIET {
        return Some(Reason::Quiet);
    }
    state.shutdown.is_complete().then_some(Reason::Stopped)
}

/// How many bytes went; none when the socket is not ready.
fn without_wait(result: io::Result<usize>) -> Result<usize, Reason> {
    match result {
        Ok(n) => Ok(n),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
        Err(_) => Err(Reason::ClientReset),
    }
}

/// Whether a request may be opened under this id; one that was used before ends the connection.
fn open(peer: &ResponseWriter, id: u32) -> Result<bool, Reason> {
    match peer.record_id(id) {
        IdCheck::Accepted => Ok(true),
        IdCheck::TooManyOpen => Ok(false),
        IdCheck::Reused => Err(Reason::IdUsedTwice),
    }
}

fn take_messages(state: &Arc<State>, peer: &Arc<ResponseWriter>, inbox: &mut Inbox) -> Result<(), Reason> {
    let mut at = 0;
    while let Some((message, length, sent)) = inbox.next(at)? {
        at += length;
        match message {
            Message::Ping(id) => {
                open(peer, id)?;
                state.counters.update(|counters| counters.pings += 1);
                peer.send(id, &rpc::Answer::Pong);
            }
            Message::Abort(ids) => {
                for request in ids.into_iter().filter_map(|id| peer.cancel(id)) {
                    state.policy.record_disconnection(request);
                }
            }
            Message::Unusable(id, why) => {
                open(peer, id)?;
                state.counters.update(|counters| counters.unusable += 1);
                peer.send(id, &rpc::Answer::Errored(why));
            }
            Message::Request(id, client_request) => {
                if open(peer, id)? {
                    take(state, peer, id, &client_request, sent);
                } else {
                    over_limits(state, peer, id);
                }
            }
        }
    }
    inbox.bytes.drain(..at);
    peer.record_read(at > 0, !inbox.bytes.is_empty(), state.clock.now());
    if inbox.bytes.is_empty() {
        inbox.bytes = Vec::new();
    }
    Ok(())
}

/// A request of this connection: its rows wait here until all have come, since an answer holds them whole.
struct Whole {
    peer: Arc<ResponseWriter>,
    message: u32,
    rows: Mutex<Vec<u8>>,
}

impl ResultReader for Whole {
    fn has_room(&self) -> bool {
        true
    }

    fn push_rows(&self, mut rows: Vec<u8>) {
        let mut all = lock(&self.rows);
        if all.is_empty() {
            *all = rows;
        } else {
            all.append(&mut rows);
        }
    }

    fn restart(&self) -> bool {
        *lock(&self.rows) = Vec::new();
        true
    }

    fn finish(&self, answer: FinalAnswer) -> bool {
        let rows = std::mem::take(&mut *lock(&self.rows));
        let answer = match answer {
            FinalAnswer::Returned => rpc::Answer::Returned(&rows),
            FinalAnswer::Rejected(retry_after) => rpc::Answer::PushedBack(retry_after),
            FinalAnswer::Errored(why) => rpc::Answer::Errored(why),
        };
        self.peer.respond(self.message, &answer)
    }
}

fn take(
    state: &Arc<State>,
    peer: &Arc<ResponseWriter>,
    message: u32,
    client_request: &ClientRequest,
    sent: Timestamp,
) {
    let admitted = admission::admit(state, client_request, sent, |request| {
        peer.open(message, request);
        Arc::new(Whole { peer: peer.clone(), message, rows: Mutex::default() })
    });
    match admitted {
        Ok(()) => {}
        Err(RequestError::Invalid(invalid)) => {
            peer.send(message, &rpc::Answer::Errored(&invalid.to_string()));
        }
        Err(RequestError::TooManyInFlight) => over_limits(state, peer, message),
    }
}

/// Never taken in, and told when to come back: those who send hundreds at once may do so again at once.
fn over_limits(state: &State, peer: &ResponseWriter, message: u32) {
    state.counters.update(|counters| counters.over_limits += 1);
    peer.send(message, &rpc::Answer::PushedBack(state.settings.max_retry_after));
}
