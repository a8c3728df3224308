//! A client connection of MessagePack-RPC: one coroutine reads its messages and is the one writer of its answers.

use super::Reason;
use crate::intake::{self, Refused};
use crate::state::peer::{Opening, Peer};
use crate::state::{State, lock};
use crate::task::{Final, Reader};
use crate::wire::request::Request;
use crate::wire::rpc::{self, Message, Scan};
use larchfall::time::{At, Span};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Clients close what is idle after 4 s; what some keep beyond that for good costs others their place.
pub const QUIET: Span = Span::from_millis(5_000);
/// Answers that wait unread for so long have no reader; who only stands still for a while is owed them.
const NOT_READ: Span = Span::from_millis(10_000);
/// A message that has begun, or the first one of a connection, is whole by then: against those that connect and
/// say nothing, or stop half way, and hold a descriptor.
pub const WHOLE_WITHIN: Span = Span::from_millis(2_000);
/// So many reads or writes one after the other, and then a pause.
const BURST: usize = 8;
const PAUSE: Span = Span::from_millis(5);
/// On the stack, so that an idle connection keeps no buffer.
const CHUNK: usize = 4 * 1024;

/// A connection that counts among those of this front.
pub struct Joined {
    stream: TcpStream,
    from: SocketAddr,
    place: usize,
    peer: Arc<Peer>,
}

/// Counts a connection as soon as it is accepted: its coroutine may run much later, and meanwhile others would
/// take descriptors that are not there.
pub fn join(state: &State, stream: TcpStream, from: SocketAddr) -> Joined {
    let _ = stream.set_nodelay(true);
    let (place, peer) = state.peers.join(stream.waker(), state.clock.now());
    Joined { stream, from, place, peer }
}

/// Serves one connection to its end.
pub fn serve(state: &Arc<State>, joined: Joined) {
    let Joined { stream, from, place, peer } = joined;
    state.counters.rest(|c| {
        c.connections += 1;
        c.most_clients = c.most_clients.max(state.peers.len());
    });
    let reason = converse(state, &stream, &peer);
    for b in peer.abort_all() {
        state.facade.leave(b);
    }
    // Its descriptor is free before its place is.
    drop(stream);
    state.peers.part(place);
    info!(state.log, "client connection ended";
        "from" => from.to_string(), "reason" => reason.code(), "detail" => reason.detail());
}

fn converse(state: &Arc<State>, stream: &TcpStream, peer: &Arc<Peer>) -> Reason {
    let (mut input, mut scan, mut rounds) = (Vec::new(), Scan::default(), 0);
    // A new connection may have waited in the listener's queue for as long as a stall lasted.
    let mut slept_since = At::default();
    loop {
        let wrote = match peer.write(|bytes| without_wait(stream.inner().write(bytes))) {
            Ok(n) => n,
            Err(reason) => return reason,
        };
        let read = if peer.reads_too_slowly() { Ok(0) } else { read(stream, &mut input) };
        let read = match read {
            Ok(n) => n,
            Err(reason) => return reason,
        };
        if read > 0
            && let Err(reason) = take_messages(
                state,
                peer,
                &mut input,
                &mut scan,
                state.heart.may_be_from(slept_since, state.clock.now()),
            )
        {
            return reason;
        }
        let now = state.clock.now();
        if wrote + read > 0 {
            peer.stirred(now);
            rounds += 1;
            if rounds < BURST {
                // Others may have waited while this one was served.
                may::coroutine::yield_now();
            }
            // While any coroutine is ready the worker looks for no events: those that always have something to say
            // would keep all others from being heard.
            while rounds >= BURST || state.heart.starves_others(state.clock.now()) {
                rounds = 0;
                state.sleep(PAUSE);
            }
            continue;
        }
        rounds = 0;
        if peer.awaits_since().is_some_and(|since| now.since(since) >= WHOLE_WITHIN) {
            return Reason::NotWhole;
        }
        if peer.is_to_go() {
            return Reason::RoomNeeded;
        }
        let quiet = now.since(peer.quiet_since());
        if quiet >= NOT_READ && peer.has_unread() {
            return Reason::NotRead;
        }
        if quiet >= QUIET && peer.is_idle() {
            return Reason::Quiet;
        }
        if state.is_done() && peer.is_idle() {
            return Reason::Stopped;
        }
        slept_since = now;
        stream.wait_io();
    }
}

/// How many bytes went; none when the socket is not ready.
fn without_wait(result: io::Result<usize>) -> Result<usize, Reason> {
    match result {
        Ok(n) => Ok(n),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
        Err(_) => Err(Reason::ClientReset),
    }
}

fn read(stream: &TcpStream, input: &mut Vec<u8>) -> Result<usize, Reason> {
    let mut chunk = [0; CHUNK];
    let got = stream.inner().read(&mut chunk);
    if matches!(got, Ok(0)) {
        return Err(Reason::ClientClosed);
    }
    let got = without_wait(got)?;
    input.extend_from_slice(&chunk[..got]);
    Ok(got)
}

/// Whether a batch may be opened under this id; one that was used before ends the connection.
fn open(peer: &Peer, id: u32) -> Result<bool, Reason> {
    match peer.opening(id) {
        Opening::Open => Ok(true),
        Opening::TooMany => Ok(false),
        Opening::UsedTwice => Err(Reason::IdUsedTwice),
    }
}

fn take_messages(
    state: &Arc<State>,
    peer: &Arc<Peer>,
    input: &mut Vec<u8>,
    scan: &mut Scan,
    sent: At,
) -> Result<(), Reason> {
    let mut at = 0;
    while let Some(length) = scan.whole(&input[at..]).map_err(Reason::Malformed)? {
        *scan = Scan::default();
        let whole = &input[at..at + length];
        at += length;
        let Some((message, _)) = rpc::decode(whole).map_err(Reason::Malformed)? else {
            return Err(Reason::Malformed("not MessagePack"));
        };
        match message {
            Message::Ping(id) => {
                open(peer, id)?;
                state.counters.rest(|c| c.pings += 1);
                peer.say(id, &rpc::Answer::Pong);
            }
            Message::Abort(ids) => {
                ids.into_iter().filter_map(|id| peer.abort(id)).for_each(|b| state.facade.leave(b));
            }
            Message::Unusable(id, why) => {
                open(peer, id)?;
                state.counters.rest(|c| c.unusable += 1);
                peer.say(id, &rpc::Answer::Errored(why));
            }
            Message::Batch(id, request) => {
                if open(peer, id)? {
                    take(state, peer, id, &request, sent);
                } else {
                    over_limits(state, peer, id);
                }
            }
        }
    }
    input.drain(..at);
    peer.awaits(at > 0, !input.is_empty(), state.clock.now());
    if input.is_empty() {
        *input = Vec::new();
    }
    Ok(())
}

/// A batch of this connection: its rows wait here until all have come, since an answer holds them whole.
struct Whole {
    peer: Arc<Peer>,
    message: u32,
    rows: Mutex<Vec<u8>>,
}

impl Reader for Whole {
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
        let answer = match end {
            Final::Returned => rpc::Answer::Returned(&rows),
            Final::PushedBack(wait) => rpc::Answer::PushedBack(wait),
            Final::Errored(why) => rpc::Answer::Errored(why),
        };
        self.peer.answer(self.message, &answer)
    }
}

fn take(state: &Arc<State>, peer: &Arc<Peer>, message: u32, request: &Request, sent: At) {
    let taken = intake::take(state, request, sent, |b| {
        peer.open(message, b);
        Arc::new(Whole { peer: peer.clone(), message, rows: Mutex::default() })
    });
    match taken {
        Ok(()) => {}
        Err(Refused::Unusable(why)) => peer.say(message, &rpc::Answer::Errored(why)),
        Err(Refused::NoRoom) => over_limits(state, peer, message),
    }
}

/// Never taken in, and told when to come back: those who send hundreds at once may do so again at once.
fn over_limits(state: &State, peer: &Peer, message: u32) {
    state.counters.rest(|c| c.over_limits += 1);
    peer.say(message, &rpc::Answer::PushedBack(state.come_back));
}
