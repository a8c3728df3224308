//! A stand-in for clients that speak MessagePack-RPC.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection of a client. Message ids run from 1 up.
pub struct Client {
    stream: TcpStream,
    input: Vec<u8>,
    next_id: u32,
}

/// An answer of the front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the rows.
    Rows(Vec<u8>),
    /// The error's name: `Rejected`, or another.
    Error(String),
    Pong,
}

impl Client {
    pub fn connect(front: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, input: Vec::new(), next_id: 1 })
    }

    fn take_id(&mut self) -> u32 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Writes a request; returns its message id.
    pub fn request(&mut self, class: &str, fields: &[(&str, &str)], statement: &[u8]) -> io::Result<u32> {
        let id = self.take_id();
        let mut out = vec![0x94, 0x00];
        put_uint(&mut out, id);
        put_text(&mut out, class);
        out.push(0x92);
        out.push(0x80 | fields.len() as u8);
        for (name, value) in fields {
            put_text(&mut out, name);
            put_text(&mut out, value);
        }
        out.push(0xc6);
        out.extend((statement.len() as u32).to_be_bytes());
        out.extend(statement);
        self.stream.write_all(&out)?;
        Ok(id)
    }

    pub fn ping(&mut self) -> io::Result<u32> {
        let id = self.take_id();
        let mut out = vec![0x94, 0x00];
        put_uint(&mut out, id);
        put_text(&mut out, "ping");
        out.extend([0x91, 0x80]);
        self.stream.write_all(&out)?;
        Ok(id)
    }

    /// Waits for the next answer; `None` if none came in this time.
    pub fn answer(&mut self, within: Duration) -> io::Result<Option<(u32, Answer)>> {
        let until = Instant::now() + within;
        loop {
            if let Some((answer, length)) = decode(&self.input)? {
                self.input.drain(..length);
                return Ok(Some(answer));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut chunk = [0; 8192];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

fn put_uint(out: &mut Vec<u8>, number: u32) {
    if number < 128 {
        out.push(number as u8);
    } else {
        out.push(0xce);
        out.extend(number.to_be_bytes());
    }
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend(text.as_bytes());
}

/// A decoded MessagePack value, as far as answers need it.
#[derive(Debug)]
enum Value {
    Nil,
    Bool(bool),
    Uint(u64),
    /// Text or binary.
    Text(Vec<u8>),
    Array(Vec<Value>),
    /// Its entries are passed over.
    Map,
}

struct Decoder<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Decoder<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.bytes.get(self.at..self.at + count)?;
        self.at += count;
        Some(taken)
    }

    fn length(&mut self, bytes: usize) -> Option<usize> {
        Some(self.take(bytes)?.iter().fold(0, |length, byte| length << 8 | usize::from(*byte)))
    }

    fn text(&mut self, length: usize) -> Option<Value> {
        self.take(length).map(|text| Value::Text(text.to_vec()))
    }

    fn array(&mut self, length: usize) -> Option<Value> {
        (0..length).map(|_| self.value()).collect::<Option<_>>().map(Value::Array)
    }

    fn map(&mut self, length: usize) -> Option<Value> {
        for _ in 0..2 * length {
            self.value()?;
        }
        Some(Value::Map)
    }

    /// The next value; `None` while it is not whole.
    fn value(&mut self) -> Option<Value> {
        let marker = self.take(1)?[0];
        match marker {
            0x00..=0x7f => Some(Value::Uint(u64::from(marker))),
            0x80..=0x8f => self.map(usize::from(marker & 0x0f)),
            0x90..=0x9f => self.array(usize::from(marker & 0x0f)),
            0xa0..=0xbf => self.text(usize::from(marker & 0x1f)),
            0xc2 | 0xc3 => Some(Value::Bool(marker == 0xc3)),
            0xc4 | 0xd9 => self.length(1).and_then(|length| self.text(length)),
            0xc5 | 0xda => self.length(2).and_then(|length| self.text(length)),
            0xc6 | 0xdb => self.length(4).and_then(|length| self.text(length)),
            0xcc => self.length(1).map(|number| Value::Uint(number as u64)),
            0xcd => self.length(2).map(|number| Value::Uint(number as u64)),
            0xce => self.length(4).map(|number| Value::Uint(number as u64)),
            0xcf => self.length(8).map(|number| Value::Uint(number as u64)),
            _ => Some(Value::Nil),
        }
    }
}

/// Decodes the first answer and its length; `None` while it is not whole.
fn decode(bytes: &[u8]) -> io::Result<Option<((u32, Answer), usize)>> {
    let mut decoder = Decoder { bytes, at: 0 };
    let Some(value) = decoder.value() else { return Ok(None) };
    let unusable = || io::Error::new(ErrorKind::InvalidData, "no answer of the protocol");
    let Value::Array(parts) = value else { return Err(unusable()) };
    let [Value::Uint(1), Value::Uint(id), error, result] = parts.as_slice() else { return Err(unusable()) };
    let answer = match (error, result) {
        (Value::Array(error), Value::Nil) => match error.first() {
            Some(Value::Text(name)) => Answer::Error(String::from_utf8_lossy(name).into_owned()),
            _ => return Err(unusable()),
        },
        (Value::Nil, Value::Array(result)) => match result.first() {
            Some(Value::Text(rows)) => Answer::Rows(rows.clone()),
            Some(Value::Bool(true)) => Answer::Pong,
            _ => return Err(unusable()),
        },
        _ => return Err(unusable()),
    };
    Ok(Some(((*id as u32, answer), decoder.at)))
}
