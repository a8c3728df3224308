//! HTTP/1.1 as it is spoken to query engines.

use larchfall_policy::interface::{LoadReport, ProgressUpdate};
use larchfall_policy::time::Duration;
use std::fmt::Display;

/// No head of an engine is longer, and none has more lines.
const LONGEST_HEAD: usize = 8 * 1024;
const MOST_LINES: usize = 32;
/// A page holds 6,000 bytes; what is far longer is no page.
pub const LONGEST_BODY: usize = 64 * 1024;

/// What starts a statement on an engine.
pub struct Start<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub patience: Duration,
    pub reference: Option<&'a str>,
    pub memory_mb: Option<f64>,
    pub priority: u8,
    pub statement: &'a [u8],
}

pub fn start(host: impl Display, s: &Start) -> Vec<u8> {
    let patience = (s.patience.micros() / 1000).max(1);
    let mut head = format!(
        "POST /obj HTTP/1.1\r\nHost: {host}\r\nX-Trace: {}\r\nX-Profile: {}\r\nX-Patience: {patience}\r\nRank: {}\r\n",
        s.id, s.class, s.priority
    );
    if let Some(reference) = s.reference {
        head += &format!("X-Op-Key: {reference}\r\n");
    }
    if let Some(mb) = s.memory_mb {
        head += &format!("Grant-Mb: {}\r\n", mb.ceil().max(1.0) as u64);
    }
    head += &format!("Content-Length: {}\r\n\r\n", s.statement.len());
    let mut call = head.into_bytes();
    call.extend_from_slice(s.statement);
    call
}

/// Page 0 is the news of the query.
pub fn page(host: impl Display, id: &str, page: u32) -> Vec<u8> {
    format!("GET /obj/{id}/{page} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub fn give_up(host: impl Display, id: &str) -> Vec<u8> {
    format!("DELETE /obj/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub fn stats(host: impl Display) -> Vec<u8> {
    format!("GET /stats HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    pub status: u16,
    /// The engine says that it never ran.
    pub declined: bool,
    pub pages: Option<u32>,
    pub page: Option<u32>,
    pub note: Option<ProgressUpdate>,
    pub report: LoadReport,
    /// The engine ends the connection after this.
    pub closes: bool,
    pub body: Vec<u8>,
}

impl Reply {
    /// Turned away unseen: the query never ran.
    pub fn is_declined(&self) -> bool {
        self.declined && matches!(self.status, 503 | 504)
    }
}

pub type Malformed = &'static str;

/// The reply at the start of these bytes and its length; `None` while it is not whole.
pub fn parse(bytes: &[u8]) -> Result<Option<(Reply, usize)>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MOST_LINES];
    let mut head = httparse::Response::new(&mut lines);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() < LONGEST_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) => return Err("head too long"),
        Err(_) => return Err("not HTTP"),
    };
    let mut reply = Reply { status: head.code.unwrap_or(0), ..Reply::default() };
    let (mut length, mut what, mut figure) = (None, None, None);
    reply.closes = head.version == Some(0);
    for line in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(line.value).map(str::trim) else { continue };
        let is = |name: &str| line.name.eq_ignore_ascii_case(name);
        if is("Content-Length") {
            let n = value.parse::<usize>().map_err(|_| "length is no number")?;
            if length.is_some_and(|l| l != n) {
                return Err("two lengths");
            }
            length = Some(n);
        } else if is("Transfer-Encoding") {
            return Err("body without a length");
        } else if is("Connection") {
            reply.closes |= value.eq_ignore_ascii_case("close");
        } else if is("X-Declined") {
            reply.declined = value == "1";
        } else if is("Page-Count") {
            reply.pages = Some(value.parse().map_err(|_| "page count is no number")?);
        } else if is("Page-No") {
            reply.page = Some(value.parse().map_err(|_| "page number is no number")?);
        } else if is("X-Result") {
            what = Some(value);
        } else if is("Figure") {
            figure = value.parse::<f64>().ok().filter(|f| f.is_finite());
        } else if is("X-Stats") {
            reply.report = report(value);
        }
    }
    let length = match length {
        _ if reply.status == 204 || reply.status / 100 == 1 => 0,
        Some(n) => n,
        None => return Err("body without a length"),
    };
    if length > LONGEST_BODY {
        return Err("body too long");
    }
    if bytes.len() < start + length {
        return Ok(None);
    }
    reply.note = what.zip(figure).and_then(|(what, figure)| note(what, figure));
    // A page holds whole rows, so one that ends within a row is cut.
    if reply.status == 200 && length > 0 && bytes[start + length - 1] != b'\n' {
        return Err("row without an end");
    }
    reply.body = bytes[start..start + length].to_vec();
    Ok(Some((reply, start + length)))
}

fn note(what: &str, figure: f64) -> Option<ProgressUpdate> {
    match what {
        "advance" => Some(ProgressUpdate::Done(figure)),
        "disk" => Some(ProgressUpdate::SpillsMb(figure)),
        "stall" if figure < 1.5 => Some(ProgressUpdate::WaitsForMemory),
        "stall" => Some(ProgressUpdate::WaitsForHolder),
        _ => None,
    }
}

/// `inflight:7;util:0.61`, under the names of either page.
fn report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|part| part.split_once(':')) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "inflight" | "concurrent" => report.in_hand = value,
            "util" | "load_share" => report.busy = value,
            _ => {}
        }
    }
    report
}
