//! Decodes calls, which are HTTP/1.1 requests (RFC 9112) of clients, and encodes their responses. A call is decoded
//! from the bytes received so far, one call at a time, and the result doesn't depend on how the bytes were split into
//! reads. Bytes after the end of a call belong to the next call.

use http::StatusCode;
use httparse::{EMPTY_HEADER, Header, Request, Status};

/// Maximum size of the request line and headers, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a call.
pub const MAX_HEADERS: usize = 64;
/// Maximum size of the line that starts a chunk (size and extensions), and of the trailer section, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// The HTTP method of a call. Methods that the protocol doesn't use are `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "the variants are the methods of HTTP")]
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

/// An HTTP request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path of the request target, without the query string.
    pub path: String,
    /// Header names in lower case and trimmed values, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body, without the framing of a chunked transfer.
    pub body: Vec<u8>,
    /// Whether the connection closes after the response: the client asked for this, or uses HTTP/1.0.
    pub closes_connection: bool,
}

impl Call {
    /// Returns the first value of a header, or `None` if the call has no such header. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns all values of a header, because some headers may be repeated. `name` is in lower case.
    pub fn header_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(header, _)| header == name).map(|(_, value)| value.as_str())
    }
}

/// What was decoded from the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// The call is incomplete.
    Incomplete,
    /// The headers are complete, and the client waits for `100 Continue` before it sends the body.
    ExpectsContinue,
    /// A complete call.
    Complete {
        /// The decoded call.
        call: Call,
        /// Encoded size of the call, in bytes. The next call starts after these bytes.
        length: usize,
    },
}

// Clients receive these error texts, so they must not change.
/// Why the received bytes are not a valid call. The client receives this text, and the connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the error text of each variant describes it")]
pub enum CallError {
    #[error("head too long")]
    HeadTooLong,
    #[error("not HTTP")]
    InvalidHead,
    #[error("head is no text")]
    HeaderNotUtf8,
    #[error("length is no number")]
    InvalidContentLength,
    #[error("two lengths")]
    DuplicateBodyLength,
    #[error("unknown transfer encoding")]
    UnknownTransferEncoding,
    #[error("unknown expectation")]
    UnknownExpectation,
    #[error("body too long")]
    BodyTooLong,
    #[error("bad chunk")]
    InvalidChunk,
    #[error("trailer too long")]
    TrailerTooLong,
}

impl CallError {
    /// The HTTP status of the error response.
    pub fn status(self) -> u16 {
        match self {
            CallError::InvalidHead
            | CallError::HeaderNotUtf8
            | CallError::InvalidContentLength
            | CallError::DuplicateBodyLength
            | CallError::InvalidChunk => 400,
            CallError::BodyTooLong => 413,
            CallError::UnknownExpectation => 417,
            CallError::HeadTooLong | CallError::TrailerTooLong => 431,
            CallError::UnknownTransferEncoding => 501,
        }
    }
}

/// How the headers delimit the body.
enum BodyLength {
    Known(usize),
    Chunked,
}

/// What the headers say about the body.
#[derive(Default)]
struct Framing {
    body_length: Option<BodyLength>,
    expects_continue: bool,
}

impl Framing {
    /// Sets how the body is delimited. A second `Content-Length` or `Transfer-Encoding` is an error: an intermediary
    /// between the client and this gateway could delimit the body differently and see other calls (request smuggling).
    fn set_body_length(&mut self, length: BodyLength) -> Result<(), CallError> {
        match self.body_length.replace(length) {
            Some(_) => Err(CallError::DuplicateBodyLength),
            None => Ok(()),
        }
    }
}

/// Decodes the call at the start of `bytes`. Returns an error if the body is longer than `max_body_bytes`.
pub fn decode(bytes: &[u8], max_body_bytes: usize) -> Result<Progress, CallError> {
    let mut header_slots = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = Request::new(&mut header_slots);
    let body_start = match head.parse(bytes) {
        Ok(Status::Complete(start)) if start <= MAX_HEAD_BYTES => start,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(Progress::Incomplete),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(CallError::HeadTooLong),
        Err(_) => return Err(CallError::InvalidHead),
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
    for header in head.headers.iter() {
        apply_header(header, &mut call, &mut framing)?;
    }
    let body_bytes = &bytes[body_start..];
    let body = match framing.body_length {
        Some(BodyLength::Known(length)) if length > max_body_bytes => return Err(CallError::BodyTooLong),
        Some(BodyLength::Known(length)) => {
            body_bytes.get(..length).map(|body| Body { bytes: body.to_vec(), encoded_length: length })
        }
        Some(BodyLength::Chunked) => decode_chunked_body(body_bytes, max_body_bytes)?,
        None => Some(Body { bytes: Vec::new(), encoded_length: 0 }),
    };
    match body {
        Some(Body { bytes, encoded_length }) => {
            call.body = bytes;
            Ok(Progress::Complete { call, length: body_start + encoded_length })
        }
        None if framing.expects_continue && body_bytes.is_empty() => Ok(Progress::ExpectsContinue),
        None => Ok(Progress::Incomplete),
    }
}

/// Adds a header to the call, and records what the header says about the body and the connection.
fn apply_header(header: &Header, call: &mut Call, framing: &mut Framing) -> Result<(), CallError> {
    let value = std::str::from_utf8(header.value).map_err(|_| CallError::HeaderNotUtf8)?.trim();
    let name = header.name.to_ascii_lowercase();
    match name.as_str() {
        "content-length" => {
            // `parse` alone would also accept a leading plus sign.
            let only_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| only_digits).ok_or(CallError::InvalidContentLength)?;
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

/// A decoded body.
struct Body {
    bytes: Vec<u8>,
    /// Size of the body on the wire, in bytes. The size includes the framing of a chunked transfer.
    encoded_length: usize,
}

/// Decodes a chunked body. Returns `None` if the body is incomplete.
fn decode_chunked_body(bytes: &[u8], max_body_bytes: usize) -> Result<Option<Body>, CallError> {
    let mut body = Vec::new();
    let mut offset = 0;
    loop {
        let remaining = &bytes[offset..];
        let (size_line_length, size) = match httparse::parse_chunk_size(remaining) {
            Ok(Status::Complete(size_line)) => size_line,
            Ok(Status::Partial) if remaining.len() < MAX_LINE_BYTES => return Ok(None),
            _ => return Err(CallError::InvalidChunk),
        };
        if size > (max_body_bytes - body.len()) as u64 {
            return Err(CallError::BodyTooLong);
        }
        let size = size as usize;
        let start = offset + size_line_length;
        if size == 0 {
            let trailer_length = trailer_length(&bytes[start..])?;
            return Ok(trailer_length.map(|length| Body { bytes: body, encoded_length: start + length }));
        }
        let Some(chunk) = bytes.get(start..start + size) else { return Ok(None) };
        match bytes.get(start + size..start + size + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(CallError::InvalidChunk),
            None => return Ok(None),
        }
        body.extend_from_slice(chunk);
        offset = start + size + 2;
    }
}

/// Returns the length of the trailer section in bytes, or `None` if the section is incomplete. Trailer fields are
/// ignored.
fn trailer_length(bytes: &[u8]) -> Result<Option<usize>, CallError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match bytes.windows(4).position(|window| window == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if bytes.len() < MAX_LINE_BYTES => Ok(None),
        None => Err(CallError::TrailerTooLong),
    }
}

/// An HTTP response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// Headers in addition to `Connection`, `Content-Type` and `Content-Length`, which [`Response::encode`] adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body, in JSON. Empty with status 204.
    pub body: Vec<u8>,
}

impl Response {
    /// Encodes the response to a call with this method; the body is left out for HEAD. `closes_connection` adds
    /// `Connection: close`.
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

/// The interim response to a client that sent `Expect: 100-continue` and waits before it sends the body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
