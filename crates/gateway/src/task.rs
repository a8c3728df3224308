//! A request on its way, in no protocol's words: what is sent, who reads its rows, and how it ends.

use larchfall_policy::interface::{AttemptEvidence, LoadReport, Outcome};
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// What a request needs to be sent, and who reads it.
pub struct Task {
    pub id: String,
    pub class: usize,
    pub in_order: bool,
    /// When its client gives up.
    pub limit: Timestamp,
    pub reference: Option<String>,
    pub statement: Vec<u8>,
    pub reader: Arc<dyn Reader>,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final<'a> {
    /// All rows have come.
    Returned,
    /// Trying again is harmless, best after the time given.
    PushedBack(Option<Duration>),
    /// Nothing is promised about what it did; why.
    Errored(&'a str),
}

impl Final<'_> {
    pub fn word(self) -> &'static str {
        match self {
            Final::Returned => "returned",
            Final::PushedBack(_) => "pushed back",
            Final::Errored(_) => "errored",
        }
    }
}

/// Who reads a result. Rows come in order, and nothing after the end.
pub trait Reader: Send + Sync {
    /// Whether more rows may be fetched now.
    fn has_room(&self) -> bool;
    /// Whole rows as text: a tab between columns, a line feed after each row.
    fn rows(&self, rows: Vec<u8>);
    /// The engine lost the rest: whether all may come again from the first row on. What was handed on may not.
    fn begin_anew(&self) -> bool;
    /// The end; false when nobody waits for it any more.
    fn end(&self, end: Final) -> bool;
}

/// What a attempt came to.
pub struct Ended {
    pub outcome: Outcome,
    pub report: LoadReport,
    pub seen: AttemptEvidence,
    /// Its rows broke off after some were handed on: the request can only end in an error.
    pub torn: bool,
    /// Its time ran out and its key waits for its end: `seen` holds nothing until that is settled.
    pub unsettled: bool,
}
