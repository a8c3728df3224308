//! A toy client of the paged REST protocol: calls as they are written, answers as they come.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(60);

pub struct RestClient {
    stream: BufReader<TcpStream>,
    host: SocketAddr,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Names in lower case.
    pub head: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

impl RestClient {
    pub fn connect(to: SocketAddr) -> io::Result<RestClient> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(RestClient { stream: BufReader::new(stream), host: to })
    }

    /// Writes bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

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
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(|| bad("no status"))?;
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else { break };
            head.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = head.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.stream.read_exact(&mut body)?;
        Ok(Answer { status, head, body })
    }

    pub fn call(&mut self, verb: &str, path: &str, head: &[(&str, &str)], body: &[u8]) -> io::Result<Answer> {
        self.send(verb, path, head, body)?;
        self.answer()
    }
}

/// The part of an address behind scheme and host.
pub fn path(uri: &str) -> &str {
    let from = uri.find("://").map_or(0, |at| at + 3);
    &uri[from + uri[from..].find('/').unwrap_or(0)..]
}
