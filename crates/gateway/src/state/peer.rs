//! Client connections: what is open on each and what is on its way out. A connection's own coroutine is its
//! one writer; whoever has an answer leaves it here and wakes that coroutine.

use super::lock;
use crate::wire::rpc::{self, Answer};
use larchfall_policy::time::Timestamp;
use may::io::WaitIoWaker;
use slab::Slab;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Requests open on one connection.
pub const MOST_OPEN: usize = 32;
/// As much as the answers of all that may be open; a client with more of it unread is read no further.
const MOST_UNREAD: usize = 2 << 20;

#[derive(Default)]
struct Desk {
    open: BTreeMap<u32, usize>,
    last_id: u32,
    unread: Vec<u8>,
    quiet_since: Timestamp,
    /// Since when a message is awaited whole: the first one, or one that has begun.
    awaits_since: Option<Timestamp>,
    /// It asked for something.
    spoke: bool,
    /// Its place is needed.
    to_go: bool,
}

impl Desk {
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.unread.is_empty()
    }
}

pub struct Peer {
    desk: Mutex<Desk>,
    waker: WaitIoWaker,
    unread_by_all: Arc<AtomicUsize>,
    most_unread: usize,
}

/// Whether a request may be opened under this id.
#[derive(Debug, PartialEq)]
pub enum Opening {
    Open,
    TooMany,
    /// An id that was used before: an answer could not be told from the first one.
    UsedTwice,
}

impl Peer {
    pub fn opening(&self, id: u32) -> Opening {
        let mut desk = lock(&self.desk);
        if id <= desk.last_id {
            return Opening::UsedTwice;
        }
        desk.last_id = id;
        desk.spoke = true;
        if desk.open.len() >= MOST_OPEN { Opening::TooMany } else { Opening::Open }
    }

    pub fn open(&self, id: u32, b: usize) {
        lock(&self.desk).open.insert(id, b);
    }

    /// The request that this id no longer waits for.
    pub fn abort(&self, id: u32) -> Option<usize> {
        lock(&self.desk).open.remove(&id)
    }

    pub fn abort_all(&self) -> Vec<usize> {
        std::mem::take(&mut lock(&self.desk).open).into_values().collect()
    }

    /// Answers an open request, once; false when nobody waits for it any more.
    pub fn answer(&self, id: u32, answer: &Answer) -> bool {
        if lock(&self.desk).open.remove(&id).is_none() {
            return false;
        }
        self.say(id, answer);
        true
    }

    /// Answers what was never opened.
    pub fn say(&self, id: u32, answer: &Answer) {
        let mut desk = lock(&self.desk);
        let before = desk.unread.len();
        // A client that does not read must not fill the memory of all.
        let full = self.unread_by_all.load(Ordering::Relaxed) > self.most_unread;
        let answer = if full { &Answer::Errored("unread answers fill the memory") } else { answer };
        rpc::encode(&mut desk.unread, id, answer);
        self.unread_by_all.fetch_add(desk.unread.len() - before, Ordering::Relaxed);
        drop(desk);
        self.waker.wakeup();
    }

    /// Hands the bytes to a writer that says how many it took.
    pub fn write<E>(&self, mut write: impl FnMut(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        let mut desk = lock(&self.desk);
        if desk.unread.is_empty() {
            return Ok(0);
        }
        let n = write(&desk.unread)?;
        desk.unread.drain(..n);
        if desk.unread.is_empty() {
            desk.unread = Vec::new();
        }
        self.unread_by_all.fetch_sub(n, Ordering::Relaxed);
        Ok(n)
    }

    pub fn is_idle(&self) -> bool {
        lock(&self.desk).is_idle()
    }

    /// Whether its place is needed and nobody is owed an answer on it.
    pub fn is_to_go(&self) -> bool {
        let mut desk = lock(&self.desk);
        desk.to_go &= desk.is_idle();
        desk.to_go
    }

    /// Some of what came was whole, and something is left that is not.
    pub fn awaits(&self, any_whole: bool, more: bool, now: Timestamp) {
        let mut desk = lock(&self.desk);
        let since = desk.awaits_since.filter(|_| !any_whole).unwrap_or(now);
        desk.awaits_since = (more || !any_whole).then_some(since);
    }

    pub fn has_spoken(&self) -> bool {
        lock(&self.desk).spoke
    }

    pub fn awaits_since(&self) -> Option<Timestamp> {
        lock(&self.desk).awaits_since
    }

    /// Whether all is answered, and some of that not yet read.
    pub fn is_unread(&self) -> bool {
        let desk = lock(&self.desk);
        desk.open.is_empty() && !desk.unread.is_empty()
    }

    pub fn reads_too_slowly(&self) -> bool {
        lock(&self.desk).unread.len() > MOST_UNREAD
    }

    /// Something came or went.
    pub fn stirred(&self, now: Timestamp) {
        lock(&self.desk).quiet_since = now;
    }

    pub fn quiet_since(&self) -> Timestamp {
        lock(&self.desk).quiet_since
    }

    pub fn wake(&self) {
        self.waker.wakeup();
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        let unread = lock(&self.desk).unread.len();
        self.unread_by_all.fetch_sub(unread, Ordering::Relaxed);
    }
}

/// All client connections.
pub struct Peers {
    all: Mutex<Slab<Arc<Peer>>>,
    unread: Arc<AtomicUsize>,
    most_unread: usize,
}

impl Peers {
    pub fn new(most_unread: usize) -> Peers {
        Peers { all: Mutex::new(Slab::new()), unread: Arc::default(), most_unread }
    }

    pub fn join(&self, waker: WaitIoWaker, now: Timestamp) -> (usize, Arc<Peer>) {
        let desk = Mutex::new(Desk { quiet_since: now, awaits_since: Some(now), ..Desk::default() });
        let (unread_by_all, most_unread) = (self.unread.clone(), self.most_unread);
        let peer = Arc::new(Peer { desk, waker, unread_by_all, most_unread });
        (lock(&self.all).insert(peer.clone()), peer)
    }

    pub fn part(&self, at: usize) {
        lock(&self.all).try_remove(at);
    }

    pub fn len(&self) -> usize {
        lock(&self.all).len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether nothing is open and nothing is on its way out.
    pub fn are_idle(&self) -> bool {
        lock(&self.all).iter().all(|(_, p)| p.is_idle())
    }

    /// Wakes those that have been quiet since before `quiet`, or await a message since before `awaits`: each
    /// looks for itself whether to end.
    pub fn wake_quiet(&self, quiet: Timestamp, awaits: Timestamp) {
        let due = |p: &Peer| {
            let desk = lock(&p.desk);
            desk.quiet_since <= quiet || desk.awaits_since.is_some_and(|since| since <= awaits)
        };
        let due: Vec<_> = lock(&self.all).iter().filter(|(_, p)| due(p)).map(|(_, p)| p.clone()).collect();
        due.iter().for_each(|p| p.wake());
    }

    /// Asks up to `most` connections to go, of those on which nobody is owed an answer: first those that never
    /// said anything whole, then those that were quiet longest. What is as new as `fresh` may be about to speak.
    pub fn make_room(&self, most: usize, fresh: Timestamp) {
        let mut idle: Vec<_> = lock(&self.all)
            .iter()
            .filter_map(|(_, p)| {
                let desk = lock(&p.desk);
                let may_go = desk.is_idle() && desk.quiet_since < fresh;
                may_go.then(|| ((desk.awaits_since.is_none(), desk.quiet_since), p.clone()))
            })
            .collect();
        idle.sort_by_key(|(order, _)| *order);
        for (_, peer) in idle.iter().take(most) {
            lock(&peer.desk).to_go = true;
            peer.wake();
        }
    }
}
