//! A client connection: one coroutine reads its messages and is the one writer of its answers.

use crate::batch::{self, Task};
use crate::state::State;
use crate::state::clock::wait;
use crate::state::facade::NotTaken;
use crate::state::peer::{Opening, Peer};
use crate::wire::rpc::{self, Message, Request, Scan};
use crate::wire::statement::table_group;
use larchfall::interface::{Batch, Place};
use larchfall::time::{At, Span};
use may::io::WaitIo;
use may::net::TcpStream;
use slog::info;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// Clients close what is idle after 4 s; what some keep beyond that for good costs others their place.
pub const QUIET: Span = Span::from_millis(5_000);
/// Answers that wait unread for so long have no reader; who only stands still for a while is owed them.
const NOT_READ: Span = Span::from_millis(10_000);
/// A message that has begun, or the first one of a connection, is whole by then: against those that connect and
/// say nothing, or stop half way, and hold a descriptor.
pub const WHOLE_WITHIN: Span = Span::from_millis(2_000);
/// The way of a batch to here and of its answer back, in a busy moment: what is owed leaves this much before
/// its client gives up.
const WAY: Span = Span::from_millis(60);
/// Clients write requests of one key apart from each other, up to this much after one that came on a new
/// connection, and the time of one that they hold back runs meanwhile.
const KEYS_APART: Span = Span::from_millis(250);
/// So many reads or writes one after the other, and then a pause.
const BURST: usize = 8;
const PAUSE: Span = Span::from_millis(5);
/// On the stack, so that an idle connection keeps no buffer.
const CHUNK: usize = 4 * 1024;

/// Why a connection ended: its code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    ClientClosed,
    ClientReset,
    Quiet,
    NotWhole,
    RoomNeeded,
    NotRead,
    Malformed(&'static str),
    IdUsedTwice,
    Stopped,
}

impl Reason {
    fn code(self) -> &'static str {
        match self {
            Reason::ClientClosed => "client-closed",
            Reason::ClientReset => "client-reset",
            Reason::Quiet => "quiet",
            Reason::NotWhole => "no-whole-message",
            Reason::RoomNeeded => "room-needed",
            Reason::NotRead => "answers-not-read",
            Reason::Malformed(_) => "malformed",
            Reason::IdUsedTwice => "id-used-twice",
            Reason::Stopped => "stopped",
        }
    }

    fn detail(self) -> &'static str {
        if let Reason::Malformed(why) = self { why } else { "" }
    }
}

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
                may::coroutine::sleep(wait(PAUSE));
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

/// The batch that a request means, unless the settings know no such thing: an engine could not use it either,
/// and would be blamed for the error. Its time counts from when it may have been sent.
fn batch_of(state: &State, request: &Request, sent: At) -> Result<Batch, &'static str> {
    let known = |list: &[String], name: &str| list.iter().position(|n| n == name);
    let group = known(&state.names.groups, request.group).ok_or("unknown service group")?;
    let customer = known(&state.names.customers, request.customer);
    if customer.is_none() && !state.names.customers.is_empty() {
        return Err("unknown customer");
    }
    if state.referenced[group] && request.reference.is_none() {
        return Err("opkey is missing");
    }
    if state.in_order[group] && request.key.is_none() {
        return Err("subject is missing");
    }
    let held_back = if request.key.is_some() { KEYS_APART } else { Span::ZERO };
    let limit = (sent + request.wait.min(state.group_limits[group]) - WAY - held_back).max(sent);
    Ok(Batch {
        group,
        customer,
        key: request.key,
        time_limit: state.ends().map_or(limit, |ends| limit.min(ends)),
        work: request.work,
        memory_mb: request.memory_mb,
        data_set: table_group(request.statement).unwrap_or(0),
    })
}

/// Takes a batch in. It is picked for here, in the order of reading, so that keys keep their order.
fn take(state: &Arc<State>, peer: &Arc<Peer>, message: u32, request: &Request, sent: At) {
    let unusable = |why| {
        state.counters.rest(|c| c.unusable += 1);
        peer.say(message, &rpc::Answer::Errored(why));
    };
    let batch = match batch_of(state, request, sent) {
        Ok(batch) => batch,
        Err(why) => return unusable(why),
    };
    let (group, limit) = (batch.group, batch.time_limit);
    state.counters.group(group, |c| c.taken += 1);
    let b = match state.facade.take(request.number, batch) {
        Ok(b) => b,
        Err(NotTaken::InHand) => return unusable("this id is in hand already"),
        Err(NotTaken::NoRoom) => {
            state.counters.group(group, |c| c.pushed_back += 1);
            return over_limits(state, peer, message);
        }
    };
    peer.open(message, b);
    let task = Task {
        message,
        id: request.id.to_owned(),
        group,
        in_order: state.in_order[group],
        limit,
        reference: request.reference.map(str::to_owned),
        statement: request.statement.to_vec(),
    };
    let first = state.facade.pick(b);
    match first {
        // What ends at once needs no coroutine.
        Place::PushBack(_) | Place::Error => batch::run(state, peer, &task, b, first),
        _ => {
            state.counters.rest(|c| c.most_in_hand = c.most_in_hand.max(state.facade.in_hand()));
            let (state, peer) = (state.clone(), peer.clone());
            may::go!(move || batch::run(&state, &peer, &task, b, first));
        }
    }
}

/// Never taken in, and told when to come back: those who send hundreds at once may do so again at once.
fn over_limits(state: &State, peer: &Peer, message: u32) {
    state.counters.rest(|c| c.over_limits += 1);
    peer.say(message, &rpc::Answer::PushedBack(state.come_back));
}
