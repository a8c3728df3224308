//! Calls as clients write them over HTTP/1.1 (RFC 9112), read from whatever bytes have come: the same calls however
//! they are split. One call at a time; what follows it in the same bytes is the next one.

use http::StatusCode;
use httparse::{EMPTY_HEADER, Header, Request, Status};

/// Bytes of the longest head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Lines of the longest head.
pub const MAX_HEAD_LINES: usize = 64;
/// Bytes of a chunk's size with its extensions, and of a trailer.
const MAX_LINE_BYTES: usize = 1024;

/// What a call does, as HTTP names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "the methods are those of HTTP")]
pub enum Method {
    Get,
    Head,
    Post,
    Put,
    Delete,
    Other,
}

impl Method {
    fn from_name(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "HEAD" => Method::Head,
            "POST" => Method::Post,
            "PUT" => Method::Put,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }
}

/// One call of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// What it does.
    pub method: Method,
    /// Its path, without the part behind a question mark.
    pub path: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Its body, out of its chunks where it came in such.
    pub body: Vec<u8>,
    /// Whether the connection ends after its response.
    pub closes_connection: bool,
}

impl Call {
    /// The first value of the header of this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// All values of this name, as some headers may come in several lines.
    pub fn header_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// What some bytes hold so far.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More is to come.
    Incomplete,
    /// The head is complete, and the client waits for an interim response before it sends the body.
    ExpectsContinue,
    /// A complete call.
    Complete {
        /// The call.
        call: Call,
        /// How many of the bytes it takes.
        length: usize,
    },
}

/// Why bytes are no call. The client is told so, and the connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum CallError {
    #[error("head too long")]
    HeadTooLong,
    #[error("not HTTP")]
    NotHttp,
    #[error("head is no text")]
    HeadNotText,
    #[error("length is no number")]
    BadLength,
    #[error("two lengths")]
    TwoLengths,
    #[error("unknown transfer encoding")]
    UnknownTransferEncoding,
    #[error("unknown expectation")]
    UnknownExpectation,
    #[error("body too long")]
    BodyTooLong,
    #[error("bad chunk")]
    BadChunk,
    #[error("trailer too long")]
    TrailerTooLong,
}

impl CallError {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            CallError::NotHttp
            | CallError::HeadNotText
            | CallError::BadLength
            | CallError::TwoLengths
            | CallError::BadChunk => 400,
            CallError::BodyTooLong => 413,
            CallError::UnknownExpectation => 417,
            CallError::HeadTooLong | CallError::TrailerTooLong => 431,
            CallError::UnknownTransferEncoding => 501,
        }
    }
}

/// How the end of a body is known.
enum BodyLength {
    Known(usize),
    Chunked,
}

/// What the lines of a head say of the body behind it.
#[derive(Default)]
struct Framing {
    body_length: Option<BodyLength>,
    expects_continue: bool,
}

impl Framing {
    /// Two lengths, or a length beside chunks, could mean another call to a program between the client and here.
    fn set_body_length(&mut self, length: BodyLength) -> Result<(), CallError> {
        match self.body_length.replace(length) {
            Some(_) => Err(CallError::TwoLengths),
            None => Ok(()),
        }
    }
}

/// Reads the call at the start of these bytes, whose body may have so many bytes at most.
pub fn decode(bytes: &[u8], max_body_bytes: usize) -> Result<Progress, CallError> {
    let mut lines = [EMPTY_HEADER; MAX_HEAD_LINES];
    let mut head = Request::new(&mut lines);
    let body_start = match head.parse(bytes) {
        Ok(Status::Complete(start)) if start <= MAX_HEAD_BYTES => start,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(Progress::Incomplete),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(CallError::HeadTooLong),
        Err(_) => return Err(CallError::NotHttp),
    };
    let path = head.path.unwrap_or_default();
    let mut call = Call {
        method: Method::from_name(head.method.unwrap_or_default()),
        path: path.split('?').next().unwrap_or_default().to_owned(),
        headers: Vec::with_capacity(head.headers.len()),
        body: Vec::new(),
        closes_connection: head.version == Some(0),
    };
    let mut framing = Framing::default();
    for line in head.headers.iter() {
        read_header(line, &mut call, &mut framing)?;
    }
    let rest = &bytes[body_start..];
    let body = match framing.body_length {
        Some(BodyLength::Known(length)) if length > max_body_bytes => return Err(CallError::BodyTooLong),
        Some(BodyLength::Known(length)) => {
            rest.get(..length).map(|body| Body { bytes: body.to_vec(), length })
        }
        Some(BodyLength::Chunked) => chunked_body(rest, max_body_bytes)?,
        None => Some(Body { bytes: Vec::new(), length: 0 }),
    };
    match body {
        Some(Body { bytes, length }) => {
            call.body = bytes;
            Ok(Progress::Complete { call, length: body_start + length })
        }
        None if framing.expects_continue && rest.is_empty() => Ok(Progress::ExpectsContinue),
        None => Ok(Progress::Incomplete),
    }
}

/// Reads one line of the head.
fn read_header(line: &Header, call: &mut Call, framing: &mut Framing) -> Result<(), CallError> {
    let value = std::str::from_utf8(line.value).map_err(|_| CallError::HeadNotText)?.trim();
    let name = line.name.to_ascii_lowercase();
    match name.as_str() {
        "content-length" => {
            // A number's own reader would take a sign as well.
            let only_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| only_digits).ok_or(CallError::BadLength)?;
            framing.set_body_length(BodyLength::Known(length))?;
        }
        "transfer-encoding" => {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(CallError::UnknownTransferEncoding);
            }
            framing.set_body_length(BodyLength::Chunked)?;
        }
        "connection" => {
            let mut options = value.split(',').map(str::trim);
            call.closes_connection |= options.any(|option| option.eq_ignore_ascii_case("close"));
        }
        "expect" if value.eq_ignore_ascii_case("100-continue") => framing.expects_continue = true,
        "expect" => return Err(CallError::UnknownExpectation),
        _ => {}
    }
    call.headers.push((name, value.to_owned()));
    Ok(())
}

/// A body, and how many bytes it takes on the wire.
struct Body {
    bytes: Vec<u8>,
    length: usize,
}

/// A chunked body; `None` while it is not complete.
fn chunked_body(bytes: &[u8], max_body_bytes: usize) -> Result<Option<Body>, CallError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let rest = &bytes[at..];
        let (line_length, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(line)) => line,
            Ok(Status::Partial) if rest.len() < MAX_LINE_BYTES => return Ok(None),
            _ => return Err(CallError::BadChunk),
        };
        if size > (max_body_bytes - body.len()) as u64 {
            return Err(CallError::BodyTooLong);
        }
        let size = size as usize;
        let start = at + line_length;
        if size == 0 {
            let end = trailer_end(&bytes[start..])?;
            return Ok(end.map(|end| Body { bytes: body, length: start + end }));
        }
        let Some(chunk) = bytes.get(start..start + size) else { return Ok(None) };
        match bytes.get(start + size..start + size + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(CallError::BadChunk),
            None => return Ok(None),
        }
        body.extend_from_slice(chunk);
        at = start + size + 2;
    }
}

/// Where the trailer ends; nothing in its lines is needed.
fn trailer_end(bytes: &[u8]) -> Result<Option<usize>, CallError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match bytes.windows(4).position(|window| window == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if bytes.len() < MAX_LINE_BYTES => Ok(None),
        None => Err(CallError::TrailerTooLong),
    }
}

/// A response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Headers beside those that every response has.
    pub headers: Vec<(&'static str, String)>,
    /// Its body, which is JSON.
    pub body: Vec<u8>,
}

impl Response {
    /// The response as bytes. The one to a HEAD call has no body; `closes_connection` says that the connection ends after it.
    pub fn encode(&self, closes_connection: bool, method: Method) -> Vec<u8> {
        let status = self.status;
        let reason = StatusCode::from_u16(status).ok().and_then(|code| code.canonical_reason());
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or("Error"));
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if closes_connection {
            head += "Connection: close\r\n";
        }
        if status != 204 {
            head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        if method != Method::Head {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// The interim response to a client that waits before it sends a body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
