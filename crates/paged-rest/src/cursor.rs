//! One result as its client pages through it. Every document that the client gets is a page with a token; a call for a
//! token says that all before it have come. What is under a token never changes, so a page that is asked for again
//! after a dropped connection, or on two connections at once, is the same page.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Limits of one result.
#[derive(Clone, Copy, Debug)]
pub struct ResultWindow {
    /// Pages that wait for the client.
    pub max_pages: usize,
    /// Bytes that wait for the client.
    pub max_bytes: usize,
    /// A result that nobody asked for in this long is abandoned.
    pub retention: Duration,
}

/// How a result ended, as far as the engine and the policy go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultEnd {
    /// All rows have come.
    Returned,
    /// Trying again is harmless.
    Rejected,
    /// Nothing is promised about what the request did.
    Errored,
}

/// The one final answer of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultOutcome {
    /// The last page was handed out.
    Delivered(ResultEnd),
    /// The client cancelled it, or did not ask for a page in time.
    Abandoned,
}

/// What is under a token.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<T> {
    /// Its number, which the address of the page names.
    pub token: u64,
    /// What the page holds.
    pub content: T,
    /// The last page has an end, and no next one.
    pub end: Option<ResultEnd>,
}

/// What a call for a token finds.
#[derive(Clone, Debug, PartialEq)]
pub enum PageLookup<T> {
    /// The page.
    Found {
        /// What is under the token.
        page: Page<T>,
        /// The final answer, the first time that the last page is handed out.
        outcome: Option<ResultOutcome>,
    },
    /// Not there yet.
    NotReady,
    /// Before the last page that was asked for.
    Gone,
    /// Never given out as a next one.
    Unknown,
}

#[derive(Debug)]
struct StoredPage<T> {
    page: Page<T>,
    /// Bytes of its rows.
    size: usize,
}

/// The pages of one result that wait for their client, and what it has had.
#[derive(Debug)]
pub struct ResultCursor<T> {
    window: ResultWindow,
    /// The token of the oldest page; those before it have come to the client.
    first_token: u64,
    pages: VecDeque<StoredPage<T>>,
    buffered_bytes: usize,
    /// One past the last token that was given out as a next one.
    known_tokens: u64,
    /// Whether rows were handed out: then the result can't start again.
    rows_delivered: bool,
    last_asked: Timestamp,
    outcome: Option<ResultOutcome>,
}

impl<T: Clone> ResultCursor<T> {
    /// A result without any page. The token of its first one is known.
    pub fn new(window: ResultWindow, now: Timestamp) -> ResultCursor<T> {
        ResultCursor {
            window,
            first_token: 0,
            pages: VecDeque::new(),
            buffered_bytes: 0,
            known_tokens: 1,
            rows_delivered: false,
            last_asked: now,
            outcome: None,
        }
    }

    /// The token of the next page to be added.
    fn next_token(&self) -> u64 {
        self.first_token + self.pages.len() as u64
    }

    fn has_ended(&self) -> bool {
        self.pages.back().is_some_and(|stored| stored.page.end.is_some())
    }

    /// Bytes that wait for the client.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether the engine may be asked for another page.
    pub fn has_capacity(&self) -> bool {
        let within_window =
            self.pages.len() < self.window.max_pages && self.buffered_bytes < self.window.max_bytes;
        self.pages.is_empty() || within_window
    }

    /// Adds a page with so many bytes of rows, or the last one. Nothing is added after an end, or once nobody reads any
    /// more; false then.
    pub fn push(&mut self, content: T, size: usize, end: Option<ResultEnd>) -> bool {
        if self.has_ended() || self.outcome.is_some() {
            return false;
        }
        self.pages.push_back(StoredPage { page: Page { token: self.next_token(), content, end }, size });
        self.buffered_bytes += size;
        true
    }

    /// The engine lost the rest: whether the result may start again. Once rows were handed out it may not, for they
    /// would come again in another form. Otherwise what waits is dropped, except pages whose tokens are known, which have
    /// no rows.
    pub fn restart(&mut self) -> bool {
        if self.rows_delivered || self.has_ended() || self.outcome.is_some() {
            return false;
        }
        while self.pages.back().is_some_and(|stored| stored.page.token + 1 >= self.known_tokens) {
            if let Some(dropped) = self.pages.pop_back() {
                self.buffered_bytes -= dropped.size;
            }
        }
        true
    }

    /// A client asks for a token.
    pub fn get(&mut self, token: u64, now: Timestamp) -> PageLookup<T> {
        if self.outcome == Some(ResultOutcome::Abandoned) || token >= self.known_tokens {
            return PageLookup::Unknown;
        }
        if token < self.first_token {
            return PageLookup::Gone;
        }
        // A client that has the last page has had it for as long as it is kept.
        if self.outcome.is_none() {
            self.last_asked = now;
        }
        while self.first_token < token {
            let Some(delivered) = self.pages.pop_front() else { break };
            self.buffered_bytes -= delivered.size;
            self.first_token += 1;
        }
        let Some(StoredPage { page, size }) = self.pages.front() else { return PageLookup::NotReady };
        self.rows_delivered |= *size > 0;
        let mut outcome = None;
        match page.end {
            Some(end) if self.outcome.is_none() => {
                outcome = Some(ResultOutcome::Delivered(end));
                self.outcome = outcome;
            }
            Some(_) => {}
            None => self.known_tokens = self.known_tokens.max(token + 2),
        }
        PageLookup::Found { page: page.clone(), outcome }
    }

    /// A call for this token has waited long enough: a page without rows is added for it, unless another is there.
    pub fn push_empty_page(&mut self, token: u64, empty: T) {
        if token == self.next_token() && token < self.known_tokens {
            self.push(empty, 0, None);
        }
    }

    /// The client cancels it; true where that is its final answer.
    pub fn abandon(&mut self) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        self.outcome = Some(ResultOutcome::Abandoned);
        self.buffered_bytes = 0;
        self.pages.clear();
        true
    }

    /// When it is abandoned unless somebody asks for a page.
    pub fn expires_at(&self) -> Timestamp {
        self.last_asked + self.window.retention
    }

    /// The final answer, once the client has had it.
    pub fn outcome(&self) -> Option<ResultOutcome> {
        self.outcome
    }
}
