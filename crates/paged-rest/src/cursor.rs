//! The page buffer of one result. Each page has a token; tokens count up from 0. A call for a token acknowledges all
//! earlier pages, which are then dropped. The page of a token never changes once a client has fetched the page, so that
//! a client can repeat a call after a dropped connection, or make the call on two connections at once.

use larchfall_policy::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Limits of one result's buffer.
#[derive(Clone, Copy, Debug)]
pub struct ResultWindow {
    /// Number of buffered pages from which no further page is fetched.
    pub max_pages: usize,
    /// Size of the buffered rows, in bytes, from which no further page is fetched.
    pub max_bytes: usize,
    /// Time since the client's last call for a page, after which the result expires.
    pub retention: Duration,
}

/// How the request for a result ended, whether or not the client has fetched the last page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultEnd {
    /// The engine returned all rows.
    Returned,
    /// The request was rejected, and can safely be retried.
    Rejected,
    /// The request failed, and may have run in part or in full.
    Errored,
}

/// What became of a result on the client's side. Each result has exactly one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultOutcome {
    /// A call returned the last page.
    Delivered(ResultEnd),
    /// The client cancelled the statement, or made no call for a page within the retention time.
    Abandoned,
}

/// A page of a result.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<T> {
    /// Sequence number of the page within the result, from 0. The address of the page contains the token.
    pub token: u64,
    /// Rows of the page, or the error that replaces them.
    pub content: T,
    /// How the request ended. Set on the last page only.
    pub end: Option<ResultEnd>,
}

/// The page for a token, or why there is none.
#[derive(Clone, Debug, PartialEq)]
pub enum PageLookup<T> {
    /// The page is buffered.
    Found {
        /// The page for the token.
        page: Page<T>,
        /// Set only with the first call that returns the last page, so that the outcome is counted once.
        outcome: Option<ResultOutcome>,
    },
    /// The page doesn't exist yet.
    NotReady,
    /// The page was dropped because the client has called for a later page.
    Gone,
    /// No page has named this token as the next token, or the result was abandoned.
    Unknown,
}

#[derive(Debug)]
struct BufferedPage<T> {
    page: Page<T>,
    /// Size of the page's rows, in bytes.
    size: usize,
}

/// The buffered pages of one result, and the position of the client in the result.
#[derive(Debug)]
pub struct ResultCursor<T> {
    window: ResultWindow,
    /// Token of the oldest buffered page. The client has acknowledged all earlier pages.
    first_token: u64,
    pages: VecDeque<BufferedPage<T>>,
    buffered_bytes: usize,
    /// Tokens below this number have been named to the client.
    announced_tokens: u64,
    /// Whether a call returned rows. Such a result can't restart.
    rows_delivered: bool,
    last_call: Timestamp,
    outcome: Option<ResultOutcome>,
}

impl<T: Clone> ResultCursor<T> {
    /// Makes a result without pages. The client already knows token 0.
    pub fn new(window: ResultWindow, now: Timestamp) -> ResultCursor<T> {
        ResultCursor {
            window,
            first_token: 0,
            pages: VecDeque::new(),
            buffered_bytes: 0,
            announced_tokens: 1,
            rows_delivered: false,
            last_call: now,
            outcome: None,
        }
    }

    /// Token of the next page to be added.
    fn next_token(&self) -> u64 {
        self.first_token + self.pages.len() as u64
    }

    fn has_ended(&self) -> bool {
        self.pages.back().is_some_and(|buffered| buffered.page.end.is_some())
    }

    /// Size of the buffered rows, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether another page may be fetched from the engine. True for an empty buffer whatever the limits, so that
    /// every result makes progress.
    pub fn has_capacity(&self) -> bool {
        let within_window =
            self.pages.len() < self.window.max_pages && self.buffered_bytes < self.window.max_bytes;
        self.pages.is_empty() || within_window
    }

    /// Adds a page. `size` is the size of its rows in bytes; `end` marks the last page. Returns false, without adding
    /// the page, if the result already has its last page or an outcome.
    pub fn push(&mut self, content: T, size: usize, end: Option<ResultEnd>) -> bool {
        if self.has_ended() || self.outcome.is_some() {
            return false;
        }
        self.pages.push_back(BufferedPage { page: Page { token: self.next_token(), content, end }, size });
        self.buffered_bytes += size;
        true
    }

    /// Prepares the result for another attempt after the engine lost it. Returns false if the result can't restart: a
    /// client that has received rows could receive them again in another order or in other pages. Otherwise drops
    /// the buffered pages, except pages whose successor's token the client knows; these have no rows.
    pub fn restart(&mut self) -> bool {
        if self.rows_delivered || self.has_ended() || self.outcome.is_some() {
            return false;
        }
        while self.pages.back().is_some_and(|buffered| buffered.page.token + 1 >= self.announced_tokens) {
            if let Some(dropped) = self.pages.pop_back() {
                self.buffered_bytes -= dropped.size;
            }
        }
        true
    }

    /// Returns the page for a token, drops the earlier pages, and restarts the retention time.
    pub fn get(&mut self, token: u64, now: Timestamp) -> PageLookup<T> {
        if self.outcome == Some(ResultOutcome::Abandoned) || token >= self.announced_tokens {
            return PageLookup::Unknown;
        }
        if token < self.first_token {
            return PageLookup::Gone;
        }
        // Calls that repeat the last page don't extend the retention time: the result is complete.
        if self.outcome.is_none() {
            self.last_call = now;
        }
        while self.first_token < token {
            let Some(delivered) = self.pages.pop_front() else { break };
            self.buffered_bytes -= delivered.size;
            self.first_token += 1;
        }
        let Some(BufferedPage { page, size }) = self.pages.front() else { return PageLookup::NotReady };
        self.rows_delivered |= *size > 0;
        let mut outcome = None;
        match page.end {
            Some(end) if self.outcome.is_none() => {
                outcome = Some(ResultOutcome::Delivered(end));
                self.outcome = outcome;
            }
            Some(_) => {}
            None => self.announced_tokens = self.announced_tokens.max(token + 2),
        }
        PageLookup::Found { page: page.clone(), outcome }
    }

    /// Adds a page without rows if the client knows `token` and its page doesn't exist yet. Used when a call has
    /// waited for the page as long as calls may wait.
    pub fn push_empty_page(&mut self, token: u64, empty: T) {
        if token == self.next_token() && token < self.announced_tokens {
            self.push(empty, 0, None);
        }
    }

    /// Abandons the result and drops its pages. Returns false if the result already has an outcome.
    pub fn abandon(&mut self) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        self.outcome = Some(ResultOutcome::Abandoned);
        self.buffered_bytes = 0;
        self.pages.clear();
        true
    }

    /// When the result expires if the client makes no further call.
    pub fn expires_at(&self) -> Timestamp {
        self.last_call + self.window.retention
    }

    /// The outcome, or `None` if the client can still fetch further pages.
    pub fn outcome(&self) -> Option<ResultOutcome> {
        self.outcome
    }
}
