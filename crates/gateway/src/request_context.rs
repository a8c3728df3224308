//! Protocol-independent view of a client's request: the data sent to engines, the reader of the result, and the final
//! answer.

use crate::state::memory::{BudgetExceeded, Reservation};
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// Data of an admitted request that its attempts need.
pub struct RequestContext {
    /// Id under which engines know the request's query.
    pub id: String,
    /// Index of the request class.
    pub class: usize,
    /// Whether requests with the same ordering key run one after the other.
    pub in_order: bool,
    /// Time by which the final answer must leave the gateway.
    pub deadline: Timestamp,
    /// Key by which engines detect repeated requests; `None` if the client sent no key.
    pub idempotency_key: Option<String>,
    /// The statement that the engine runs.
    pub statement: Vec<u8>,
    /// Memory of the request, in the account of the client's connection.
    pub memory: Reservation,
    /// Receiver of the rows and of the final answer.
    pub reader: Arc<dyn ResultReader>,
}

/// The final answer of a request. Each request gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// The result is complete; all its rows were passed to the reader before.
    Returned,
    /// The request can safely be retried, preferably after the given time.
    Rejected(Option<Duration>),
    /// The request failed for the given reason. It is unknown whether the request had an effect.
    Errored(&'a str),
}

impl FinalAnswer<'_> {
    /// Name of the answer in log lines.
    pub fn label(self) -> &'static str {
        match self {
            FinalAnswer::Returned => "returned",
            FinalAnswer::Rejected(_) => "rejected",
            FinalAnswer::Errored(_) => "errored",
        }
    }
}

/// Receiver of a request's result. Rows arrive in order, and none follow the final answer.
pub trait ResultReader: Send + Sync {
    /// Returns whether the reader can take more rows now.
    fn has_capacity(&self) -> bool;
    /// Passes complete rows as text, with tabs between columns and a line feed after each row. Fails if the memory budget
    /// does not admit them; the request then ends with an error.
    fn push_rows(&self, rows: Vec<u8>) -> Result<(), BudgetExceeded>;
    /// Discards the rows received so far after the engine lost the rest of the result, so that all rows can be passed
    /// again. Returns false if the client has already received rows, which can't be taken back.
    fn restart(&self) -> bool;
    /// Passes the final answer. Returns false if the client no longer awaits the answer.
    fn finish(&self, answer: FinalAnswer) -> bool;
}
