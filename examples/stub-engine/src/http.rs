//! The part of HTTP/1.1 that engines speak: requests in, responses out.

use std::collections::HashMap;
use std::io::BufRead;

/// Ends a call that has nothing to return.
pub(crate) const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// A request as it was read; header names are in lower case.
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

/// The next request on a connection; `None` once the connection has ended.
pub(crate) fn read_request(input: &mut impl BufRead) -> Option<HttpRequest> {
    let mut request_line = String::new();
    if input.read_line(&mut request_line).ok()? == 0 {
        return None;
    }
    let mut words = request_line.split_whitespace();
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
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

/// A response; each of the header lines ends in `\r\n`.
pub(crate) fn response(status: u16, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Toy\r\n{header_lines}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
