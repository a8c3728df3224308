//! Calls as clients write them over HTTP/1.1 (RFC 9112), read from whatever bytes have come: the same calls however
//! they are split. One call at a time; what follows it in the same bytes is the next one.

use http::StatusCode;
use httparse::{EMPTY_HEADER, Request, Status};

/// No head is longer, and none has more lines.
pub const LONGEST_HEAD: usize = 16 * 1024;
pub const MOST_LINES: usize = 64;
/// A chunk's size with its extensions, and a trailer.
const LONGEST_LINE: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Get,
    Head,
    Post,
    Put,
    Delete,
    Other,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub verb: Verb,
    /// Without the part behind a question mark.
    pub path: String,
    /// Names in lower case.
    pub head: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection ends after its answer.
    pub closes: bool,
}

impl Call {
    /// The one value of this name, in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// All values of this name, as some fields may come in several lines.
    pub fn fields<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.head.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// What the bytes hold so far.
#[derive(Debug, PartialEq)]
pub enum Read {
    /// More is to come.
    More,
    /// The head is whole and its client waits for a word before it sends the body.
    Continue,
    /// A call and its length.
    Call(Call, usize),
}

/// Why bytes are no call: what to answer, after which the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    pub status: u16,
    pub why: &'static str,
}

const fn malformed(status: u16, why: &'static str) -> Malformed {
    Malformed { status, why }
}

enum Length {
    Known(usize),
    Chunked,
}

/// Reads the call at the start of these bytes. `longest` is the most that a body may have.
pub fn read(bytes: &[u8], longest: usize) -> Result<Read, Malformed> {
    let mut lines = [EMPTY_HEADER; MOST_LINES];
    let mut head = Request::new(&mut lines);
    let start = match head.parse(bytes) {
        Ok(Status::Complete(start)) if start <= LONGEST_HEAD => start,
        Ok(Status::Partial) if bytes.len() <= LONGEST_HEAD => return Ok(Read::More),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(malformed(431, "head too long")),
        Err(_) => return Err(malformed(400, "not HTTP")),
    };
    let mut call = Call {
        verb: match head.method.unwrap_or_default() {
            "GET" => Verb::Get,
            "HEAD" => Verb::Head,
            "POST" => Verb::Post,
            "PUT" => Verb::Put,
            "DELETE" => Verb::Delete,
            _ => Verb::Other,
        },
        path: head.path.unwrap_or_default().split('?').next().unwrap_or_default().to_owned(),
        head: Vec::with_capacity(head.headers.len()),
        body: Vec::new(),
        closes: head.version == Some(0),
    };
    let (mut length, mut expects) = (None, false);
    for line in head.headers.iter() {
        let value = std::str::from_utf8(line.value).map_err(|_| malformed(400, "head is no text"))?.trim();
        let name = line.name.to_ascii_lowercase();
        match name.as_str() {
            // Two lengths, or a length beside chunks, may mean another call to whoever stands in between.
            "content-length" => {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                let n = value.parse().ok().filter(|_| digits).ok_or(malformed(400, "length is no number"))?;
                if length.replace(Length::Known(n)).is_some() {
                    return Err(malformed(400, "two lengths"));
                }
            }
            "transfer-encoding" => {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(malformed(501, "unknown transfer encoding"));
                }
                if length.replace(Length::Chunked).is_some() {
                    return Err(malformed(400, "two lengths"));
                }
            }
            "connection" => {
                let mut words = value.split(',').map(str::trim);
                call.closes |= words.any(|word| word.eq_ignore_ascii_case("close"));
            }
            "expect" if value.eq_ignore_ascii_case("100-continue") => expects = true,
            "expect" => return Err(malformed(417, "unknown expectation")),
            _ => {}
        }
        call.head.push((name, value.to_owned()));
    }
    let rest = &bytes[start..];
    let more = |rest: &[u8]| Ok(if expects && rest.is_empty() { Read::Continue } else { Read::More });
    match length {
        Some(Length::Known(n)) if n > longest => Err(malformed(413, "body too long")),
        Some(Length::Known(n)) if rest.len() < n => more(rest),
        Some(Length::Known(n)) => {
            call.body = rest[..n].to_vec();
            Ok(Read::Call(call, start + n))
        }
        Some(Length::Chunked) => match chunks(rest, longest)? {
            Some((body, used)) => {
                call.body = body;
                Ok(Read::Call(call, start + used))
            }
            None => more(rest),
        },
        None => Ok(Read::Call(call, start)),
    }
}

/// A chunked body and its length on the wire; `None` while it is not whole.
fn chunks(bytes: &[u8], longest: usize) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        let (used, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(found)) => found,
            Ok(Status::Partial) if rest.len() < LONGEST_LINE => return Ok(None),
            _ => return Err(malformed(400, "bad chunk")),
        };
        if size > (longest - body.len()) as u64 {
            return Err(malformed(413, "body too long"));
        }
        let (size, start) = (size as usize, at + used);
        if size == 0 {
            return trailer(&bytes[start..]).map(|end| end.map(|end| (body, start + end)));
        }
        let Some(chunk) = bytes.get(start..start + size) else { return Ok(None) };
        match bytes.get(start + size..start + size + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(malformed(400, "bad chunk")),
            None => return Ok(None),
        }
        body.extend_from_slice(chunk);
        at = start + size + 2;
    }
}

/// Where the trailer ends; its lines say nothing that is needed.
fn trailer(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    match bytes.windows(4).position(|w| w == b"\r\n\r\n") {
        Some(end) => Ok(Some(end + 4)),
        None if bytes.len() < LONGEST_LINE => Ok(None),
        None => Err(malformed(431, "trailer too long")),
    }
}

/// The head of an answer with a body of this length.
pub fn answer(status: u16, fields: &[(&str, String)], kind: &str, body: &[u8], closes: bool) -> Vec<u8> {
    let word = StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("Error");
    let mut head = format!("HTTP/1.1 {status} {word}\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    if closes {
        head += "Connection: close\r\n";
    }
    if status != 204 {
        head += &format!("Content-Type: {kind}\r\nContent-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
