//! HTTP/1.1 as engines speak it: calls that a gateway makes and replies that it reads.

use super::Decoded;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{LoadReport, ProgressUpdate};
use std::fmt::Display;

/// No engine writes a longer head, or one with more lines.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEAD_LINES: usize = 32;
/// Ten times the size of an engine's page of 6,000 bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A call that starts a statement on an engine.
pub struct StatementCall<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// Time until its deadline.
    pub remaining: Duration,
    /// Its idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// Memory to grant; `None` leaves it to the engine.
    pub memory_mb: Option<f64>,
    /// Engines serve the higher one first.
    pub priority: u8,
    /// What the engine is to run.
    pub statement: &'a [u8],
}

/// The call that starts a statement.
pub fn encode_start_call(host: impl Display, call: &StatementCall) -> Vec<u8> {
    let StatementCall { id, class, priority, statement, .. } = call;
    let remaining_ms = (call.remaining.micros() / 1000).max(1);
    let mut head = format!(
        "POST /obj HTTP/1.1\r\nHost: {host}\r\nX-Trace: {id}\r\nX-Profile: {class}\r\n\
         X-Patience: {remaining_ms}\r\nRank: {priority}\r\n",
    );
    if let Some(key) = call.idempotency_key {
        head += &format!("X-Op-Key: {key}\r\n");
    }
    if let Some(mb) = call.memory_mb {
        head += &format!("Grant-Mb: {}\r\n", mb.ceil().max(1.0) as u64);
    }
    head += &format!("Content-Length: {}\r\n\r\n", statement.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(statement);
    bytes
}

/// The call for a page of a result. Page 0 is the query's progress until it has one.
pub fn encode_page_call(host: impl Display, id: &str, page: u32) -> Vec<u8> {
    format!("GET /obj/{id}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The call that cancels a query.
pub fn encode_cancel_call(host: impl Display, id: &str) -> Vec<u8> {
    format!("DELETE /obj/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The call for an engine's load report.
pub fn encode_load_call(host: impl Display) -> Vec<u8> {
    format!("GET /stats HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// An engine's reply to any of the calls.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    /// HTTP's status.
    pub status: u16,
    /// The engine says that the query never ran.
    pub declined: bool,
    /// How many pages the result has.
    pub page_count: Option<u32>,
    /// Which page this is.
    pub page_number: Option<u32>,
    /// How far the query is.
    pub progress: Option<ProgressUpdate>,
    /// The engine's load.
    pub load: LoadReport,
    /// The engine ends the connection after this.
    pub closes_connection: bool,
    /// Rows, where it is a page.
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether the engine rejected the call before it ran anything.
    pub fn is_declined(&self) -> bool {
        self.declined && matches!(self.status, 503 | 504)
    }
}

/// Why bytes are not a reply that can be used. The connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ReplyError {
    #[error("head too long")]
    HeadTooLong,
    #[error("not HTTP")]
    NotHttp,
    #[error("length is no number")]
    BadLength,
    #[error("two lengths")]
    TwoLengths,
    #[error("body without a length")]
    NoLength,
    #[error("body too long")]
    BodyTooLong,
    #[error("page count is no number")]
    BadPageCount,
    #[error("page number is no number")]
    BadPageNumber,
    #[error("row without an end")]
    IncompleteRow,
}

/// What the lines of a head say beside the reply's own fields.
#[derive(Default)]
struct HeadLines<'a> {
    body_length: Option<usize>,
    progress_kind: Option<&'a str>,
    progress_value: Option<f64>,
}

impl<'a> HeadLines<'a> {
    fn read(headers: &[httparse::Header<'a>], reply: &mut Reply) -> Result<HeadLines<'a>, ReplyError> {
        let mut lines = HeadLines::default();
        for header in headers {
            if let Ok(value) = std::str::from_utf8(header.value) {
                lines.read_line(header.name, value.trim(), reply)?;
            }
        }
        Ok(lines)
    }

    fn read_line(&mut self, name: &str, value: &'a str, reply: &mut Reply) -> Result<(), ReplyError> {
        // Compared in place: a lower-case copy would be an allocation for each line of each reply.
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("Content-Length") {
            let length = value.parse().map_err(|_| ReplyError::BadLength)?;
            if self.body_length.replace(length).is_some_and(|before| before != length) {
                return Err(ReplyError::TwoLengths);
            }
        } else if is("Transfer-Encoding") {
            return Err(ReplyError::NoLength);
        } else if is("Connection") {
            reply.closes_connection |= value.eq_ignore_ascii_case("close");
        } else if is("X-Declined") {
            reply.declined = value == "1";
        } else if is("Page-Count") {
            reply.page_count = Some(value.parse().map_err(|_| ReplyError::BadPageCount)?);
        } else if is("Page-No") {
            reply.page_number = Some(value.parse().map_err(|_| ReplyError::BadPageNumber)?);
        } else if is("X-Result") {
            self.progress_kind = Some(value);
        } else if is("Figure") {
            self.progress_value = value.parse::<f64>().ok().filter(|value| value.is_finite());
        } else if is("X-Stats") {
            reply.load = load_report(value);
        }
        Ok(())
    }
}

/// The reply at the start of these bytes; `None` while it is not complete.
pub fn decode(bytes: &[u8]) -> Result<Option<Decoded<Reply>>, ReplyError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEAD_LINES];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ReplyError::HeadTooLong),
        Err(_) => return Err(ReplyError::NotHttp),
    };
    let mut reply = Reply {
        status: head.code.unwrap_or(0),
        closes_connection: head.version == Some(0),
        ..Reply::default()
    };
    let lines = HeadLines::read(head.headers, &mut reply)?;
    let body_length = match lines.body_length {
        _ if reply.status == 204 || reply.status / 100 == 1 => 0,
        Some(length) => length,
        None => return Err(ReplyError::NoLength),
    };
    if body_length > MAX_BODY_BYTES {
        return Err(ReplyError::BodyTooLong);
    }
    let length = body_start + body_length;
    let Some(body) = bytes.get(body_start..length) else { return Ok(None) };
    // A page holds complete rows, so one that ends within a row was cut.
    if reply.status == 200 && body.last().is_some_and(|byte| *byte != b'\n') {
        return Err(ReplyError::IncompleteRow);
    }
    reply.progress =
        lines.progress_kind.zip(lines.progress_value).and_then(|(kind, value)| progress(kind, value));
    reply.body = body.to_vec();
    Ok(Some(Decoded { value: reply, length }))
}

fn progress(kind: &str, value: f64) -> Option<ProgressUpdate> {
    match kind {
        "advance" => Some(ProgressUpdate::FractionDone(value)),
        "disk" => Some(ProgressUpdate::SpillsMb(value)),
        "stall" if value < 1.5 => Some(ProgressUpdate::WaitsForMemory),
        "stall" => Some(ProgressUpdate::WaitsForDataLock),
        _ => None,
    }
}

/// Reads a report like `inflight:7;util:0.61`, under the names of either page.
fn load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|part| part.split_once(':')) {
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite());
        match name.trim() {
            "inflight" | "concurrent" => report.in_flight = value,
            "util" | "load_share" => report.busy_fraction = value,
            _ => {}
        }
    }
    report
}
