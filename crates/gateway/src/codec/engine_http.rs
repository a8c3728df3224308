//! Codec of the engines' HTTP/1.1 interface: encodes calls to engines and decodes their replies.

use super::Decoded;
use larchfall_policy::time::Duration;
use larchfall_policy::types::{LoadReport, ProgressUpdate};
use std::fmt::Display;

/// Maximum length of a reply head; engines send shorter ones.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a reply; engines send fewer.
const MAX_HEADERS: usize = 32;
/// Maximum length of a reply body: ten times the 6,000 bytes of an engine's page.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Parameters of the call that starts a statement on an engine.
pub struct StatementCall<'a> {
    /// Request id.
    pub id: &'a str,
    /// Name of the request class.
    pub class: &'a str,
    /// Remaining time until the deadline.
    pub remaining: Duration,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<&'a str>,
    /// Memory grant in megabytes, sent rounded up and at least 1; `None` leaves the grant to the engine.
    pub memory_grant_mb: Option<f64>,
    /// Rank of the statement: engines run higher ranks first.
    pub priority: u8,
    /// Statement text.
    pub statement: &'a [u8],
}

/// The call that starts a statement. The statement is not copied, since it may be long.
pub struct StartCall<'a> {
    /// Request line and headers.
    pub head: Vec<u8>,
    /// The statement.
    pub body: &'a [u8],
}

/// Encodes the call that starts a statement.
pub fn encode_start_call<'a>(host: impl Display, call: &StatementCall<'a>) -> StartCall<'a> {
    let StatementCall { id, class, priority, statement, .. } = call;
    let remaining_ms = (call.remaining.micros() / 1000).max(1);
    let mut head = format!(
        "POST /obj HTTP/1.1\r\nHost: {host}\r\nX-Trace: {id}\r\nX-Profile: {class}\r\n\
         X-Patience: {remaining_ms}\r\nRank: {priority}\r\n",
    );
    if let Some(key) = call.idempotency_key {
        head += &format!("X-Op-Key: {key}\r\n");
    }
    if let Some(mb) = call.memory_grant_mb {
        head += &format!("Grant-Mb: {}\r\n", mb.ceil().max(1.0) as u64);
    }
    head += &format!("Content-Length: {}\r\n\r\n", statement.len());
    StartCall { head: head.into_bytes(), body: statement }
}

/// Encodes the call for a page of a result. Until the result is available, the reply for page 0 is a progress update.
pub fn encode_page_call(host: impl Display, id: &str, page: u32) -> Vec<u8> {
    format!("GET /obj/{id}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Encodes the call that cancels a statement.
pub fn encode_cancel_call(host: impl Display, id: &str) -> Vec<u8> {
    format!("DELETE /obj/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Encodes the call for an engine's load report.
pub fn encode_load_call(host: impl Display) -> Vec<u8> {
    format!("GET /stats HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// An engine's reply to any call.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Whether the engine states that the statement never ran.
    pub declined: bool,
    /// Number of pages of the result; `None` if the engine didn't send it.
    pub page_count: Option<u32>,
    /// Number of this page; `None` if the engine didn't send it.
    pub page_number: Option<u32>,
    /// Progress of the statement; `None` if the reply has no known progress update.
    pub progress: Option<ProgressUpdate>,
    /// The engine's load; its fields are `None` where the engine reported nothing.
    pub load_report: LoadReport,
    /// Whether the engine closes the connection after this reply.
    pub closes_connection: bool,
    /// Body of the reply: complete rows, if the reply is a page.
    pub body: Vec<u8>,
}

impl Reply {
    /// Whether the engine rejected the statement before running any of it.
    pub fn is_declined(&self) -> bool {
        self.declined && matches!(self.status, 503 | 504)
    }
}

/// Why a reply is malformed. The connection is closed after a malformed reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ReplyError {
    #[error("reply head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("reply is not HTTP")]
    NotHttp,
    #[error("Content-Length is not an unsigned integer")]
    InvalidContentLength,
    #[error("reply has two different Content-Length headers")]
    ConflictingContentLengths,
    #[error("reply has no Content-Length or uses Transfer-Encoding")]
    MissingContentLength,
    #[error("Content-Length is more than {MAX_BODY_BYTES}")]
    BodyTooLong,
    #[error("Page-Count is not an unsigned integer")]
    InvalidPageCount,
    #[error("Page-No is not an unsigned integer")]
    InvalidPageNumber,
    #[error("page ends within a row")]
    IncompleteRow,
}

/// Header values that are needed for decoding and are not fields of `Reply`.
#[derive(Default)]
struct HeaderValues<'a> {
    body_length: Option<usize>,
    progress_kind: Option<&'a str>,
    progress_value: Option<f64>,
}

impl<'a> HeaderValues<'a> {
    fn read(headers: &[httparse::Header<'a>], reply: &mut Reply) -> Result<HeaderValues<'a>, ReplyError> {
        let mut values = HeaderValues::default();
        for header in headers {
            if let Ok(value) = std::str::from_utf8(header.value) {
                values.read_header(header.name, value.trim(), reply)?;
            }
        }
        Ok(values)
    }

    fn read_header(&mut self, name: &str, value: &'a str, reply: &mut Reply) -> Result<(), ReplyError> {
        // Compares in place: a lower-case copy would cost an allocation for each header of each reply.
        let is_header = |known: &str| name.eq_ignore_ascii_case(known);
        if is_header("Content-Length") {
            let length = value.parse().map_err(|_| ReplyError::InvalidContentLength)?;
            if self.body_length.replace(length).is_some_and(|before| before != length) {
                return Err(ReplyError::ConflictingContentLengths);
            }
        } else if is_header("Transfer-Encoding") {
            return Err(ReplyError::MissingContentLength);
        } else if is_header("Connection") {
            reply.closes_connection |= value.eq_ignore_ascii_case("close");
        } else if is_header("X-Declined") {
            reply.declined = value == "1";
        } else if is_header("Page-Count") {
            reply.page_count = Some(value.parse().map_err(|_| ReplyError::InvalidPageCount)?);
        } else if is_header("Page-No") {
            reply.page_number = Some(value.parse().map_err(|_| ReplyError::InvalidPageNumber)?);
        } else if is_header("X-Result") {
            self.progress_kind = Some(value);
        } else if is_header("Figure") {
            self.progress_value = value.parse::<f64>().ok().filter(|value| value.is_finite());
        } else if is_header("X-Stats") {
            reply.load_report = parse_load_report(value);
        }
        Ok(())
    }
}

/// Decodes the reply at the start of a byte slice; `None` if the reply is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<Decoded<Reply>>, ReplyError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
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
    let header_values = HeaderValues::read(head.headers, &mut reply)?;
    let body_length = match header_values.body_length {
        _ if reply.status == 204 || reply.status / 100 == 1 => 0,
        Some(length) => length,
        None => return Err(ReplyError::MissingContentLength),
    };
    if body_length > MAX_BODY_BYTES {
        return Err(ReplyError::BodyTooLong);
    }
    let length = body_start + body_length;
    let Some(body) = bytes.get(body_start..length) else { return Ok(None) };
    // Pages contain complete rows, so a page that ends within a row was truncated.
    if reply.status == 200 && body.last().is_some_and(|byte| *byte != b'\n') {
        return Err(ReplyError::IncompleteRow);
    }
    reply.progress = header_values
        .progress_kind
        .zip(header_values.progress_value)
        .and_then(|(kind, value)| parse_progress(kind, value));
    reply.body = body.to_vec();
    Ok(Some(Decoded { value: reply, length }))
}

/// Parses a progress update from its kind and value; `None` for an unknown kind.
fn parse_progress(kind: &str, value: f64) -> Option<ProgressUpdate> {
    match kind {
        "advance" => Some(ProgressUpdate::FractionDone(value)),
        "disk" => Some(ProgressUpdate::SpillsMb(value)),
        "stall" if value < 1.5 => Some(ProgressUpdate::WaitsForMemory),
        "stall" => Some(ProgressUpdate::WaitsForDataLock),
        _ => None,
    }
}

/// Parses a load report like `inflight:7;util:0.61`. Engines use one of two names for each field.
fn parse_load_report(text: &str) -> LoadReport {
    let mut load_report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|part| part.split_once(':')) {
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite());
        match name.trim() {
            "inflight" | "concurrent" => load_report.in_flight = value,
            "util" | "load_share" => load_report.busy_fraction = value,
            _ => {}
        }
    }
    load_report
}
