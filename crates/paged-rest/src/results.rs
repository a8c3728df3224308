//! All results that are open, under caps over all of them: a result has its window while the sum allows, and one
//! page at a time beyond, so that none stands still for what others keep.

use crate::cursor::{Ask, Cursor, End, Settled, Window};
use larchfall_policy::time::Timestamp;
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// Results open at a time.
    pub results: usize,
    /// Of them, those whose request is in hand: each may hold a connection to an engine for as long as it is read.
    pub making: usize,
    /// Bytes that wait in all of them.
    pub bytes: usize,
    pub window: Window,
}

#[derive(Debug)]
struct Open<T> {
    cursor: Cursor<T>,
    due: Timestamp,
    /// The request that makes it, until that is over.
    request: Option<usize>,
    making: bool,
}

/// Results by number. A number serves again only under another era, which is part of a result's address.
#[derive(Debug)]
pub struct Results<T> {
    caps: Caps,
    open: Slab<(u64, Open<T>)>,
    due: BTreeSet<(Timestamp, usize)>,
    bytes: usize,
    making: usize,
    /// Those whose last page was handed out, the oldest first: kept for a dropped line only.
    read: VecDeque<Name>,
    eras: u64,
}

/// A result's number and its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Name {
    pub number: usize,
    pub era: u64,
}

impl<T: Clone> Results<T> {
    pub fn new(caps: Caps) -> Results<T> {
        Results {
            caps,
            open: Slab::new(),
            due: BTreeSet::new(),
            bytes: 0,
            making: 0,
            read: VecDeque::new(),
            eras: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Results whose client has not had its final answer.
    pub fn unread(&self) -> usize {
        self.open.iter().filter(|(_, (_, open))| open.cursor.settled().is_none()).count()
    }

    /// Bytes that wait for clients.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// `None` where as many are open as may be. What was read to its end makes room.
    pub fn begin(&mut self, now: Timestamp) -> Option<Name> {
        if self.making >= self.caps.making {
            return None;
        }
        while self.open.len() >= self.caps.results {
            let oldest = self.read.pop_front()?;
            if self.is_kept(oldest) {
                self.remove(oldest.number);
            }
        }
        (self.eras, self.making) = (self.eras + 1, self.making + 1);
        let cursor = Cursor::new(self.caps.window, now);
        let due = cursor.due();
        let number = self.open.insert((self.eras, Open { cursor, due, request: None, making: true }));
        self.due.insert((due, number));
        Some(Name { number, era: self.eras })
    }

    fn get(&mut self, name: Name) -> Option<&mut Open<T>> {
        self.open.get_mut(name.number).filter(|(era, _)| *era == name.era).map(|(_, open)| open)
    }

    /// Runs a change of one result, and keeps the sums.
    fn change<R>(&mut self, name: Name, change: impl FnOnce(&mut Cursor<T>) -> R) -> Option<R> {
        let open = self.get(name)?;
        let (before, old) = (open.cursor.bytes(), open.due);
        let result = change(&mut open.cursor);
        open.due = open.cursor.due();
        let (after, due) = (open.cursor.bytes(), open.due);
        self.bytes = self.bytes + after - before;
        if due != old {
            self.due.remove(&(old, name.number));
            self.due.insert((due, name.number));
        }
        Some(result)
    }

    /// The request that makes this result.
    pub fn is_made_by(&mut self, name: Name, request: usize) {
        if let Some(open) = self.get(name) {
            open.request = Some(request);
        }
    }

    /// Whether another page may be fetched for it; `None` when nobody reads it any more.
    pub fn has_room(&mut self, name: Name) -> Option<bool> {
        let within = self.bytes < self.caps.bytes;
        let cursor = &self.get(name)?.cursor;
        let reads = cursor.settled().is_none();
        reads.then(|| cursor.has_room() && (within || cursor.bytes() == 0))
    }

    /// Whether it is still there for who asks, be it only for its last page again.
    pub fn is_kept(&self, name: Name) -> bool {
        self.open.get(name.number).is_some_and(|(era, _)| *era == name.era)
    }

    pub fn push(&mut self, name: Name, body: T, size: usize, end: Option<End>) -> bool {
        self.change(name, |c| c.push(body, size, end)).unwrap_or(false)
    }

    pub fn begin_anew(&mut self, name: Name) -> bool {
        self.change(name, Cursor::begin_anew).unwrap_or(false)
    }

    /// An unknown name is an unknown page.
    pub fn ask(&mut self, name: Name, token: u64, now: Timestamp) -> Ask<T> {
        let ask = self.change(name, |c| c.ask(token, now)).unwrap_or(Ask::Unknown);
        if matches!(ask, Ask::Page(_, Some(_))) {
            self.read.push_back(name);
        }
        ask
    }

    pub fn wait_over(&mut self, name: Name, token: u64, empty: T) {
        self.change(name, |c| c.wait_over(token, empty));
    }

    /// The client ends it. The request whose work is for nobody then, where that is still on its way.
    pub fn leave(&mut self, name: Name) -> Option<Left> {
        let left = self.change(name, Cursor::leave)?;
        let request = self.get(name).and_then(|open| open.request.take());
        self.remove(name.number);
        left.then_some(Left { name, request })
    }

    /// Its request is over: nobody is to be called off for it any more.
    pub fn made(&mut self, name: Name) {
        if let Some(open) = self.get(name) {
            open.request = None;
            let was = std::mem::take(&mut open.making);
            self.making -= usize::from(was);
        }
    }

    /// Ends those that nobody asked for in time, and lets go of those whose last page was read that long ago.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Left> {
        let mut left = Vec::new();
        while let Some((_, number)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            let Some((era, open)) = self.open.get_mut(number) else { break };
            let (name, request) = (Name { number, era: *era }, open.request.take());
            if open.cursor.settled().is_none() {
                left.push(Left { name, request });
            }
            self.remove(number);
        }
        left
    }

    fn remove(&mut self, number: usize) {
        if let Some((_, open)) = self.open.try_remove(number) {
            self.bytes -= open.cursor.bytes();
            self.making -= usize::from(open.making);
            self.due.remove(&(open.due, number));
            // What has left memory leaves this line as well.
            while self.read.front().is_some_and(|name| !self.is_kept(*name)) {
                self.read.pop_front();
            }
        }
    }
}

/// A result whose client left it: its final answer is `Settled::Left`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    pub name: Name,
    pub request: Option<usize>,
}

impl Left {
    pub fn settled(&self) -> Settled {
        Settled::Left
    }
}
