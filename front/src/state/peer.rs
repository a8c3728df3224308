//! Client connections: what is open on each and what is on its way out. A connection's own coroutine is its
//! one writer; whoever has an answer leaves it here and wakes that coroutine.

use super::lock;
use crate::wire::rpc::{self, Answer};
use larchfall::time::At;
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
    quiet_since: At,
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
        if desk.open.len() >= MOST_OPEN { Opening::TooMany } else { Opening::Open }
    }

    pub fn open(&self, id: u32, b: usize) {
        lock(&self.desk).open.insert(id, b);
    }

    /// The batch that this id no longer waits for.
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
        let desk = lock(&self.desk);
        desk.open.is_empty() && desk.unread.is_empty()
    }

    pub fn has_unread(&self) -> bool {
        !lock(&self.desk).unread.is_empty()
    }

    pub fn reads_too_slowly(&self) -> bool {
        lock(&self.desk).unread.len() > MOST_UNREAD
    }

    /// Something came or went.
    pub fn stirred(&self, now: At) {
        lock(&self.desk).quiet_since = now;
    }

    pub fn quiet_since(&self) -> At {
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

    pub fn join(&self, waker: WaitIoWaker, now: At) -> (usize, Arc<Peer>) {
        let desk = Mutex::new(Desk { quiet_since: now, ..Desk::default() });
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

    /// Wakes those that have been quiet since before then: each looks for itself whether to end.
    pub fn wake_quiet(&self, before: At) {
        let quiet: Vec<_> = lock(&self.all)
            .iter()
            .filter(|(_, p)| p.quiet_since() <= before)
            .map(|(_, p)| p.clone())
            .collect();
        quiet.iter().for_each(|p| p.wake());
    }
}
