//! One result as its client pages through it. Every document that the client gets is a page with a token; asking
//! for a token says that all before it have come. What stands under a token never changes, so a page asked for
//! again after a dropped line, or by two connections at once, is the same page.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Bounds of one result: pages and bytes that wait for their client, and how long they do.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    pub pages: usize,
    pub bytes: usize,
    /// A result that nobody asked for in this long is left.
    pub kept_for: Duration,
}

/// How a result ended, as far as the engine and the decisions go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Returned,
    PushedBack,
    Errored,
}

/// The one final answer of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The last page was handed out.
    Answered(End),
    /// The client ended it, or a page was not asked for in time.
    Left,
}

/// What stands under a token.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<T> {
    pub token: u64,
    pub body: T,
    /// The last page has an end, and no next one.
    pub end: Option<End>,
}

/// What an ask for a token finds.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask<T> {
    /// And, the first time that the last page is handed out, the final answer.
    Page(Page<T>, Option<Settled>),
    /// Not there yet.
    Wait,
    /// Before the last page that was asked for.
    Gone,
    /// Never given out as a next one.
    Unknown,
}

#[derive(Debug)]
pub struct Cursor<T> {
    window: Window,
    /// Those before it have come to the client.
    first: u64,
    pages: VecDeque<(Page<T>, usize)>,
    bytes: usize,
    /// One past the last token that was given out as a next one.
    given: u64,
    /// Whether rows were handed out: then the result can't begin anew.
    handed_on: bool,
    asked: Timestamp,
    settled: Option<Settled>,
}

impl<T: Clone> Cursor<T> {
    pub fn new(window: Window, now: Timestamp) -> Cursor<T> {
        let pages = VecDeque::new();
        Cursor { window, first: 0, pages, bytes: 0, given: 1, handed_on: false, asked: now, settled: None }
    }

    /// The token of the next page to be made.
    fn next(&self) -> u64 {
        self.first + self.pages.len() as u64
    }

    fn has_ended(&self) -> bool {
        self.pages.back().is_some_and(|(p, _)| p.end.is_some())
    }

    /// Bytes that wait for the client.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the engine may be asked for another page.
    pub fn has_room(&self) -> bool {
        self.pages.is_empty() || self.pages.len() < self.window.pages && self.bytes < self.window.bytes
    }

    /// A page of rows, or the last one. Nothing comes after an end or once nobody reads any more.
    pub fn push(&mut self, body: T, size: usize, end: Option<End>) -> bool {
        if self.has_ended() || self.settled.is_some() {
            return false;
        }
        self.pages.push_back((Page { token: self.next(), body, end }, size));
        self.bytes += size;
        true
    }

    /// The engine lost the rest: whether the result may begin anew. Where rows were handed on it may not, for they
    /// would come again in another form; else what waits is dropped, but for pages without rows.
    pub fn begin_anew(&mut self) -> bool {
        if self.handed_on || self.has_ended() || self.settled.is_some() {
            return false;
        }
        let given = self.given;
        while self.pages.back().is_some_and(|(p, _)| p.token + 1 >= given) {
            if let Some((_, size)) = self.pages.pop_back() {
                self.bytes -= size;
            }
        }
        true
    }

    /// A client asks for what stands under a token.
    pub fn ask(&mut self, token: u64, now: Timestamp) -> Ask<T> {
        if self.settled == Some(Settled::Left) || token >= self.given {
            return Ask::Unknown;
        }
        if token < self.first {
            return Ask::Gone;
        }
        // Who has the last page has had it for as long as it is kept.
        if self.settled.is_none() {
            self.asked = now;
        }
        while self.first < token {
            let Some((_, size)) = self.pages.pop_front() else { break };
            (self.bytes, self.first) = (self.bytes - size, self.first + 1);
        }
        let Some((page, size)) = self.pages.front() else { return Ask::Wait };
        self.handed_on |= *size > 0;
        let mut settled = None;
        match page.end {
            Some(end) if self.settled.is_none() => {
                settled = Some(Settled::Answered(end));
                self.settled = settled;
            }
            Some(_) => {}
            None => self.given = self.given.max(token + 2),
        }
        Ask::Page(page.clone(), settled)
    }

    /// A wait for this token has lasted long enough: a page without rows then stands under it, unless another does.
    pub fn wait_over(&mut self, token: u64, empty: T) {
        if token == self.next() && token < self.given {
            self.push(empty, 0, None);
        }
    }

    /// The client ends it; true where that is its final answer.
    pub fn leave(&mut self) -> bool {
        let open = self.settled.is_none();
        if open {
            (self.settled, self.bytes) = (Some(Settled::Left), 0);
            self.pages.clear();
        }
        open
    }

    /// When it is left unless somebody asks.
    pub fn due(&self) -> Timestamp {
        self.asked + self.window.kept_for
    }

    pub fn settled(&self) -> Option<Settled> {
        self.settled
    }
}
