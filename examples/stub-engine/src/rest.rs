//! A blocking client of the paged REST protocol. The client follows no page links and interprets no status or body.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Read timeout of the socket; longer than any test or example waits for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A blocking TCP connection to the paged REST port of a gateway.
pub struct RestClient {
    stream: BufReader<TcpStream>,
    host: SocketAddr,
}

/// An HTTP response of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case and header values, in the order received.
    pub head: Vec<(String, String)>,
    /// Body with the length given by `content-length`; empty if this header is missing or invalid.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of the first header with the name `name`, which must be in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }
}

impl RestClient {
    /// Connects to the gateway at `gateway` with `READ_TIMEOUT` and without Nagle delay.
    pub fn connect(gateway: SocketAddr) -> io::Result<RestClient> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(RestClient { stream: BufReader::new(stream), host: gateway })
    }

    /// Limits how long [`answer`](RestClient::answer) waits for more bytes.
    pub fn set_answer_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.get_ref().set_read_timeout(Some(timeout))
    }

    /// Writes `bytes` to the connection without encoding, e.g. a invalid_data request.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Sends an HTTP request with the given headers; `body` gets a `Content-Length` header only for a POST.
    pub fn send(&mut self, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let call = encode_call(self.host, verb, path, head, body);
        self.raw(&call)
    }

    /// Reads the next response; a closed connection is an error.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let invalid_data = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason.to_owned());
        let mut status_line = String::new();
        if self.stream.read_line(&mut status_line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = status_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .ok_or_else(|| invalid_data("response status line has no valid status code"))?;
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else { break };
            head.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length =
            head.iter().find(|(name, _)| name == "content-length").and_then(|(_, value)| value.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.stream.read_exact(&mut body)?;
        Ok(Answer { status, head, body })
    }

    /// Sends an HTTP request and reads the next response.
    pub fn call(&mut self, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> io::Result<Answer> {
        self.send(verb, path, head, body)?;
        self.answer()
    }
}

/// Encodes an HTTP request; `body` gets a `Content-Length` header only for a POST.
pub fn encode_call(host: SocketAddr, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut request_head = format!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in head {
        request_head += &format!("{name}: {value}\r\n");
    }
    if verb == "POST" {
        request_head += &format!("Content-Length: {}\r\n", body.len());
    }
    request_head += "\r\n";
    [request_head.as_bytes(), body].concat()
}

/// Returns the path and query of `uri` without scheme and host.
pub fn path(uri: &str) -> &str {
    let authority_start = uri.find("://").map_or(0, |index| index + 3);
    &uri[authority_start + uri[authority_start..].find('/').unwrap_or(0)..]
}
