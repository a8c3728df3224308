//! The subset of HTTP/1.1 that stub engines need: parsing of requests and encoding of responses.

use std::collections::HashMap;
use std::io::BufRead;

/// Encoded response to a successful call without a result.
pub(crate) const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// A parsed HTTP request; header names are in lower case.
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

/// Reads the next request from a connection; returns `None` if the connection has ended or the request is incomplete.
/// A missing or invalid `content-length` means an empty body.
pub(crate) fn read_request(input: &mut impl BufRead) -> Option<HttpRequest> {
    let mut request_line = String::new();
    if input.read_line(&mut request_line).ok()? == 0 {
        return None;
    }
    let mut tokens = request_line.split_whitespace();
    let method = tokens.next()?.to_owned();
    let path = tokens.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some(HttpRequest { method, path, headers, body })
}

/// Encodes a response; each line in `header_lines` must end in `\r\n`. Adds the `Content-Length` header.
pub(crate) fn response(status: u16, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Toy\r\n{header_lines}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
