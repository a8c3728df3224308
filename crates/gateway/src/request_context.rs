//! A request in no protocol's terms: what is sent to engines, who reads its rows, and how it ends.

use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// What a request needs to be sent, and who reads its result.
pub struct RequestContext {
    /// The id under which engines know it.
    pub id: String,
    /// The index of its request class.
    pub class: usize,
    /// Whether requests of its key go one after the other.
    pub in_order: bool,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// What the engine is to run.
    pub statement: Vec<u8>,
    /// Who reads its rows and has its final answer.
    pub reader: Arc<dyn ResultReader>,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// All rows have come.
    Returned,
    /// Trying again is harmless, best after the time given.
    Rejected(Option<Duration>),
    /// Nothing is promised about what the request did; the text says why.
    Errored(&'a str),
}

impl FinalAnswer<'_> {
    /// The answer's word in the log.
    pub fn label(self) -> &'static str {
        match self {
            FinalAnswer::Returned => "returned",
            FinalAnswer::Rejected(_) => "rejected",
            FinalAnswer::Errored(_) => "errored",
        }
    }
}

/// Reads a result. Rows come in order, and nothing comes after the final answer.
pub trait ResultReader: Send + Sync {
    /// Whether more rows may be fetched now.
    fn has_capacity(&self) -> bool;
    /// Takes complete rows as text: a tab between columns, a line feed after each row.
    fn push_rows(&self, rows: Vec<u8>);
    /// The engine lost the rest of the result: whether all rows may come again from the first one on. Rows that were
    /// handed to the client may not.
    fn restart(&self) -> bool;
    /// Takes the final answer; false when nobody waits for it any more.
    fn finish(&self, answer: FinalAnswer) -> bool;
}
