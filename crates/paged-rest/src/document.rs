//! The JSON documents of the protocol. The response to a call for a page is one document.

use crate::cursor::ResultEnd;
use serde::{Deserialize, Serialize, Serializer};

/// A statement's state in the `stats` of a document. Clients display the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum StatementState {
    /// The page has no rows, and further pages follow.
    Queued,
    /// The page has rows, and further pages follow.
    Running,
    /// Last page of a complete result.
    Finished,
    /// Last page of a failed statement: an error replaces the result or the rest of the result.
    Failed,
}

/// A column of the result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Column {
    /// Column name. Gateways number the columns: `c1`, `c2`, and so on.
    pub name: String,
    /// Type name with arguments, e.g. `varchar(10)`.
    #[serde(rename = "type")]
    pub type_name: String,
    /// The same type in structured form.
    pub type_signature: TypeSignature,
}

/// The type of a column in structured form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TypeSignature {
    /// Type name without arguments.
    pub raw_type: String,
    /// Type arguments. Empty for all columns that [`encode`] writes.
    pub arguments: Vec<serde_json::Value>,
}

impl Column {
    /// Makes a column of type `varchar`.
    pub fn varchar(name: String) -> Column {
        let type_name = "varchar".to_owned();
        let type_signature = TypeSignature { raw_type: type_name.clone(), arguments: Vec::new() };
        Column { name, type_name, type_signature }
    }
}

/// Progress of a statement. Clients require all of these fields; values that a gateway doesn't know are zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
#[expect(missing_docs, reason = "the fields are defined by the protocol")]
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

/// Why a statement has no result or only part of a result. Clients display the error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryError {
    /// Description of the error for the user.
    pub message: String,
    /// Number of `error_name` in the protocol.
    pub error_code: u32,
    /// Error name in the protocol, e.g. `QUERY_QUEUE_FULL`.
    pub error_name: String,
    /// Error category in the protocol, e.g. `USER_ERROR`.
    pub error_type: String,
    /// Suggested delay before a retry, in milliseconds. Only for rejected statements.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_millis: Option<u64>,
}

impl QueryError {
    /// The statement was rejected, and can safely be retried, preferably after this delay in milliseconds.
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

    /// The statement failed, and may have run in part or in full.
    pub fn internal(reason: &str) -> QueryError {
        QueryError {
            message: format!("errored: {reason}; it may have run"),
            error_code: 65_536,
            error_name: "GENERIC_INTERNAL_ERROR".to_owned(),
            error_type: "INTERNAL_ERROR".to_owned(),
            retry_after_millis: None,
        }
    }

    /// The call is invalid, and no request was admitted. `reason` becomes the message.
    pub fn unusable(reason: &str) -> QueryError {
        QueryError {
            message: reason.to_owned(),
            error_code: 0,
            error_name: "GENERIC_USER_ERROR".to_owned(),
            error_type: "USER_ERROR".to_owned(),
            retry_after_millis: None,
        }
    }
}

/// The content of a page, without the addresses in its document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageContent {
    /// Rows as text, with a tab between columns and a line feed after each row.
    pub rows: Vec<u8>,
    /// Why the rows end before the result is complete. `None` if there is no error.
    pub error: Option<QueryError>,
    /// Time since the statement was received, in milliseconds. Stored with the page, because a page must be identical
    /// each time it is returned.
    pub elapsed_ms: u64,
}

/// Rows of a page, serialized directly from their text. Avoiding a copy matters because encoding pages is most of the
/// CPU cost of this protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rows<'a>(&'a str);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.lines().map(Row))
    }
}

struct Row<'a>(&'a str);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.split('\t'))
    }
}

/// The JSON document of a page. `D` is the type of the rows; deserialized rows are lists of values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document<D = Vec<Vec<String>>> {
    /// Id of the statement.
    pub id: String,
    /// URL of information about the statement, for users.
    pub info_uri: String,
    /// URL of the next page. `None` on the last page.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next_uri: Option<String>,
    /// Columns of the rows. `None` if the page has no rows, except on the last page of an empty result.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub columns: Option<Vec<Column>>,
    /// Rows of the page. `None` if there are no rows.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub data: Option<D>,
    /// Progress of the statement.
    pub stats: Stats,
    /// Why the statement failed. `None` if the statement has not failed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<QueryError>,
    /// Always empty.
    pub warnings: Vec<serde_json::Value>,
}

/// The id and URLs in the document of a page.
pub struct PageLinks {
    /// Id of the statement.
    pub id: String,
    /// URL of information about the statement, for users.
    pub info: String,
    /// URL of the next page. `None` on the last page.
    pub next: Option<String>,
}

/// Encodes the document of a page. `end` is set for the last page. Every page with rows contains the columns, whose
/// number is the number of values in the first row.
pub fn encode(content: &PageContent, end: Option<ResultEnd>, links: PageLinks) -> Vec<u8> {
    let rows = String::from_utf8_lossy(&content.rows);
    let first_row = rows.lines().next();
    let state = match end {
        None if first_row.is_none() => StatementState::Queued,
        None => StatementState::Running,
        Some(ResultEnd::Returned) => StatementState::Finished,
        Some(_) => StatementState::Failed,
    };
    let column_count = match first_row {
        Some(row) => Some(row.split('\t').count()),
        // An empty result also has a column: without columns, clients assume a statement that returns no result.
        None if end == Some(ResultEnd::Returned) => Some(1),
        None => None,
    };
    let columns = column_count.map(|count| (1..=count).map(|n| Column::varchar(format!("c{n}"))).collect());
    let document = Document {
        id: links.id,
        info_uri: links.info,
        next_uri: links.next,
        columns,
        data: first_row.map(|_| Rows(&rows)),
        stats: Stats::new(state, content.elapsed_ms),
        error: content.error.clone(),
        warnings: Vec::new(),
    };
    let mut json = Vec::with_capacity(1024 + 2 * content.rows.len());
    if let Err(error) = serde_json::to_writer(&mut json, &document) {
        unreachable!("strings and numbers can be serialized as JSON: {error}");
    }
    json
}
