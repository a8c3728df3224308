//! A client of the paged REST protocol: calls are sent as they are given, answers returned as they are read.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than any test or example waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection to a gateway.
pub struct RestClient {
    stream: BufReader<TcpStream>,
    host: SocketAddr,
}

/// What a gateway answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Headers by name in lower case, in order.
    pub head: Vec<(String, String)>,
    /// The body, as long as `content-length` says.
    pub body: Vec<u8>,
}

impl Answer {
    /// The first header of this name, which is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }
}

impl RestClient {
    /// Connects to a gateway.
    pub fn connect(to: SocketAddr) -> io::Result<RestClient> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(RestClient { stream: BufReader::new(stream), host: to })
    }

    /// Writes bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Sends a call.
    pub fn send(&mut self, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut call = format!("{verb} {path} HTTP/1.1\r\nHost: {}\r\n", self.host);
        for (name, value) in head {
            call += &format!("{name}: {value}\r\n");
        }
        if verb == "POST" {
            call += &format!("Content-Length: {}\r\n", body.len());
        }
        call += "\r\n";
        self.raw(&[call.as_bytes(), body].concat())
    }

    /// The next answer; an end of the connection is an error.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let malformed = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status =
            line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(|| malformed("no status"))?;
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

    /// Sends a call and reads its answer.
    pub fn call(&mut self, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> io::Result<Answer> {
        self.send(verb, path, head, body)?;
        self.answer()
    }
}

/// The path of an address, without scheme and host.
pub fn path(uri: &str) -> &str {
    let from = uri.find("://").map_or(0, |at| at + 3);
    &uri[from + uri[from..].find('/').unwrap_or(0)..]
}
