//! The JSON documents of the protocol: one per page.

use crate::cursor::ResultEnd;
use serde::{Deserialize, Serialize, Serializer};

/// A statement's state in `stats`, as clients show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum StatementState {
    /// No rows yet.
    Queued,
    /// Rows, and more may come.
    Running,
    /// All rows have come.
    Finished,
    /// There is an error in place of the result, or of the rest of it.
    Failed,
}

/// A column of the result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type by name.
    #[serde(rename = "type")]
    pub type_name: String,
    /// Its type in parts.
    pub type_signature: TypeSignature,
}

/// The type of a column in parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TypeSignature {
    /// The type without arguments.
    pub raw_type: String,
    /// Its arguments.
    pub arguments: Vec<serde_json::Value>,
}

impl Column {
    /// A text column.
    pub fn text(name: String) -> Column {
        let type_name = "varchar".to_owned();
        let type_signature = TypeSignature { raw_type: type_name.clone(), arguments: Vec::new() };
        Column { name, type_name, type_signature }
    }
}

/// How far a statement is. Clients want all of these fields; what a gateway does not know is zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
#[expect(missing_docs, reason = "the fields are those of the protocol")]
pub struct Stats {
    pub state: StatementState,
    pub queued: bool,
    pub scheduled: bool,
    pub nodes: u32,
    pub total_splits: u32,
    pub queued_splits: u32,
    pub running_splits: u32,
    pub completed_splits: u32,
    pub cpu_time_millis: u64,
    pub wall_time_millis: u64,
    pub queued_time_millis: u64,
    pub elapsed_time_millis: u64,
    pub processed_rows: u64,
    pub processed_bytes: u64,
    pub peak_memory_bytes: u64,
}

impl Stats {
    fn new(state: StatementState, elapsed_ms: u64) -> Stats {
        let queued = state == StatementState::Queued;
        Stats {
            state,
            queued,
            scheduled: !queued,
            nodes: 1,
            total_splits: 1,
            queued_splits: u32::from(queued),
            running_splits: u32::from(state == StatementState::Running),
            completed_splits: u32::from(matches!(state, StatementState::Finished | StatementState::Failed)),
            cpu_time_millis: 0,
            wall_time_millis: elapsed_ms,
            queued_time_millis: 0,
            elapsed_time_millis: elapsed_ms,
            processed_rows: 0,
            processed_bytes: 0,
            peak_memory_bytes: 0,
        }
    }
}

/// Why a statement has no result, as clients show it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryError {
    /// What went wrong.
    pub message: String,
    /// The protocol's number for the name.
    pub error_code: u32,
    /// The protocol's name for such errors.
    pub error_name: String,
    /// The protocol's name for the kind of error.
    pub error_type: String,
    /// When trying again is best, where it is harmless.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_millis: Option<u64>,
}

impl QueryError {
    /// Trying again is harmless, best after so long.
    pub fn rejected(retry_after_millis: Option<u64>) -> QueryError {
        let message = match retry_after_millis {
            Some(ms) => format!("pushed back: trying again is harmless, best after {ms} ms"),
            None => "pushed back: trying again is harmless".to_owned(),
        };
        QueryError {
            message,
            error_code: 131_074,
            error_name: "QUERY_QUEUE_FULL".to_owned(),
            error_type: "INSUFFICIENT_RESOURCES".to_owned(),
            retry_after_millis,
        }
    }

    /// Nothing is promised about what the statement did.
    pub fn internal(why: &str) -> QueryError {
        QueryError {
            message: format!("errored: {why}; it may have run"),
            error_code: 65_536,
            error_name: "GENERIC_INTERNAL_ERROR".to_owned(),
            error_type: "INTERNAL_ERROR".to_owned(),
            retry_after_millis: None,
        }
    }

    /// The call can't be used, and nothing was admitted.
    pub fn unusable(why: &str) -> QueryError {
        QueryError {
            message: why.to_owned(),
            error_code: 0,
            error_name: "GENERIC_USER_ERROR".to_owned(),
            error_type: "USER_ERROR".to_owned(),
            retry_after_millis: None,
        }
    }
}

/// What a page holds, apart from its address and the next one's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageContent {
    /// Rows as text: a tab between columns, a line feed after each row.
    pub rows: Vec<u8>,
    /// Why there are no more rows, where that is not their end.
    pub error: Option<QueryError>,
    /// Time since the statement came. It is part of the page, which is the same each time.
    pub elapsed_ms: u64,
}

/// Rows of a page, written from their text without a copy: a page is most of what this protocol costs.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rows<'a>(&'a str);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.0.lines().map(Row))
    }
}

struct Row<'a>(&'a str);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.0.split('\t'))
    }
}

/// A page as JSON. Readers get the rows as lists of values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document<D = Vec<Vec<String>>> {
    /// The statement's id.
    pub id: String,
    /// Where people can read about the statement.
    pub info_uri: String,
    /// The address of the next page; `None` on the last one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next_uri: Option<String>,
    /// The columns of the rows.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub columns: Option<Vec<Column>>,
    /// The rows, where there are any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub data: Option<D>,
    /// How far the statement is.
    pub stats: Stats,
    /// Why there is no result.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<QueryError>,
    /// Always empty.
    pub warnings: Vec<serde_json::Value>,
}

/// The addresses that a page's document names.
pub struct PageLinks {
    /// The statement's id.
    pub id: String,
    /// Where people can read about the statement.
    pub info: String,
    /// The next page; `None` on the last one.
    pub next: Option<String>,
}

/// The document of a page. Columns are named with every page that has rows, by the number of values in these.
pub fn encode(content: &PageContent, end: Option<ResultEnd>, links: PageLinks) -> Vec<u8> {
    let text = String::from_utf8_lossy(&content.rows);
    let first_row = text.lines().next();
    let state = match end {
        None if first_row.is_none() => StatementState::Queued,
        None => StatementState::Running,
        Some(ResultEnd::Returned) => StatementState::Finished,
        Some(_) => StatementState::Failed,
    };
    let column_count = match first_row {
        Some(row) => Some(row.split('\t').count()),
        // A result without rows has a column all the same: clients take its absence for a statement without a result.
        None if end == Some(ResultEnd::Returned) => Some(1),
        None => None,
    };
    let columns = column_count.map(|count| (1..=count).map(|n| Column::text(format!("c{n}"))).collect());
    let document = Document {
        id: links.id,
        info_uri: links.info,
        next_uri: links.next,
        columns,
        data: first_row.map(|_| Rows(&text)),
        stats: Stats::new(state, content.elapsed_ms),
        error: content.error.clone(),
        warnings: Vec::new(),
    };
    let mut out = Vec::with_capacity(1024 + 2 * content.rows.len());
    if let Err(e) = serde_json::to_writer(&mut out, &document) {
        unreachable!("text and numbers are JSON: {e}");
    }
    out
}
