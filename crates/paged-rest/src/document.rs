//! The JSON documents of the protocol: one per page.

use crate::cursor::End;
use serde::{Deserialize, Serialize, Serializer};

/// A statement's state in `stats`, as clients show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    Queued,
    Running,
    Finished,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Column {
    pub name: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub type_signature: TypeSignature,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TypeSignature {
    pub raw_type: String,
    pub arguments: Vec<serde_json::Value>,
}

impl Column {
    /// A text column.
    pub fn text(name: String) -> Column {
        let kind = "varchar".to_owned();
        Column {
            name,
            kind: kind.clone(),
            type_signature: TypeSignature { raw_type: kind, arguments: Vec::new() },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stats {
    pub state: State,
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
    fn of(state: State, elapsed_ms: u64) -> Stats {
        let queued = state == State::Queued;
        Stats {
            state,
            queued,
            scheduled: !queued,
            nodes: 1,
            total_splits: 1,
            queued_splits: u32::from(queued),
            running_splits: u32::from(state == State::Running),
            completed_splits: u32::from(matches!(state, State::Finished | State::Failed)),
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

/// Why a statement has no result, as clients raise it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Fault {
    pub message: String,
    pub error_code: u32,
    pub error_name: String,
    pub error_type: String,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_millis: Option<u64>,
}

impl Fault {
    fn new(message: String, error_code: u32, error_name: &str, error_type: &str) -> Fault {
        let (error_name, error_type) = (error_name.to_owned(), error_type.to_owned());
        Fault { message, error_code, error_name, error_type, retry_after_millis: None }
    }

    /// Trying again is harmless, best after so long.
    pub fn pushed_back(after_ms: Option<u64>) -> Fault {
        let message = match after_ms {
            Some(ms) => format!("pushed back: trying again is harmless, best after {ms} ms"),
            None => "pushed back: trying again is harmless".to_owned(),
        };
        let fault = Fault::new(message, 131_074, "QUERY_QUEUE_FULL", "INSUFFICIENT_RESOURCES");
        Fault { retry_after_millis: after_ms, ..fault }
    }

    /// Nothing is promised about what it did.
    pub fn errored(why: &str) -> Fault {
        Fault::new(
            format!("errored: {why}; it may have run"),
            65_536,
            "GENERIC_INTERNAL_ERROR",
            "INTERNAL_ERROR",
        )
    }

    /// What can't be used was never taken in.
    pub fn unusable(why: &str) -> Fault {
        Fault::new(why.to_owned(), 0, "GENERIC_USER_ERROR", "USER_ERROR")
    }
}

/// What stands on a page, apart from its address and the next one's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Body {
    /// Rows as text: a tab between columns, a line feed after each row.
    pub rows: Vec<u8>,
    pub fault: Option<Fault>,
    /// Since the statement came; part of the page, which is the same each time.
    pub elapsed_ms: u64,
}

/// Rows of a body, written from its text as they are: a page is most of what this protocol costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rows<'a>(&'a str);

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

/// As it is read; what is written has the rows of a body in place of the lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document<D = Vec<Vec<String>>> {
    pub id: String,
    pub info_uri: String,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next_uri: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub columns: Option<Vec<Column>>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub data: Option<D>,
    pub stats: Stats,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<Fault>,
    pub warnings: Vec<serde_json::Value>,
}

/// The addresses that a page's document names.
pub struct Addresses<'a> {
    pub id: &'a str,
    pub info: String,
    /// None on the last page.
    pub next: Option<String>,
}

/// The page of a body as JSON. Columns are told with every page that has rows, as the rows have them.
pub fn json(body: &Body, end: Option<End>, to: Addresses) -> Vec<u8> {
    let text = String::from_utf8_lossy(&body.rows);
    let first = text.lines().next();
    let columns =
        first.map(|row| (1..=row.split('\t').count()).map(|n| Column::text(format!("c{n}"))).collect());
    let state = match end {
        None if first.is_none() => State::Queued,
        None => State::Running,
        Some(End::Returned) => State::Finished,
        Some(_) => State::Failed,
    };
    // A result without rows has columns all the same: clients take their absence for a statement without a result.
    let columns = columns.or((end == Some(End::Returned)).then(|| vec![Column::text("c1".into())]));
    let document = Document {
        id: to.id.to_owned(),
        info_uri: to.info,
        next_uri: to.next,
        columns,
        data: first.map(|_| Rows(&text)),
        stats: Stats::of(state, body.elapsed_ms),
        error: body.fault.clone(),
        warnings: Vec::new(),
    };
    let mut out = Vec::with_capacity(1024 + 2 * body.rows.len());
    if let Err(e) = serde_json::to_writer(&mut out, &document) {
        unreachable!("text and numbers are JSON: {e}");
    }
    out
}
