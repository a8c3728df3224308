//! A client of a gateway that speaks MessagePack-RPC.

use rmpv::Value;
use rmpv::decode::read_value;
use rmpv::encode::write_value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection to a gateway.
pub struct Client {
    stream: TcpStream,
    next_id: u32,
}

/// What a gateway answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The request's rows.
    Rows(Vec<u8>),
    /// The error's name and its `holdoff`.
    Error(String, Option<String>),
    /// The answer to a ping.
    Pong,
}

/// Longer than any test or example waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

impl Client {
    /// Connects to a gateway.
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, next_id: 1 })
    }

    /// Writes bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn write(&mut self, value: &Value) -> io::Result<()> {
        let mut bytes = Vec::new();
        write_value(&mut bytes, value)?;
        self.raw(&bytes)
    }

    fn take_id(&mut self) -> u32 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Sends a request; returns the id that its answer will carry.
    pub fn send(&mut self, class: &str, fields: &[(&str, &str)], statement: &str) -> io::Result<u32> {
        let id = self.take_id();
        self.write(&request(id, class, fields, statement))?;
        Ok(id)
    }

    /// Sends a ping; returns the id that its answer will carry.
    pub fn ping(&mut self) -> io::Result<u32> {
        let id = self.take_id();
        let arguments = vec![Value::Map(Vec::new())];
        self.write(&Value::Array(vec![0.into(), id.into(), "ping".into(), arguments.into()]))?;
        Ok(id)
    }

    /// Cancels the request with this id.
    pub fn abort(&mut self, id: u32) -> io::Result<()> {
        self.write(&Value::Array(vec![2.into(), "abort".into(), vec![Value::from(id)].into()]))
    }

    /// The next answer, with the id of its request; an end of the connection is an error.
    pub fn answer(&mut self) -> io::Result<(u32, Answer)> {
        let malformed = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let value = read_value(&mut self.stream).map_err(|e| io::Error::new(e.kind(), e.to_string()))?;
        let parts = value.as_array().filter(|p| p.len() == 4).ok_or_else(|| malformed("no answer"))?;
        let id = parts[1].as_u64().ok_or_else(|| malformed("no id"))? as u32;
        let answer = match (&parts[2], &parts[3]) {
            (Value::Array(error), Value::Nil) => {
                let name = error[0].as_str().unwrap_or_default().to_owned();
                let fields = error[1].as_map().cloned().unwrap_or_default();
                let wait = fields.iter().find(|(k, _)| k.as_str() == Some("holdoff"));
                Answer::Error(name, wait.and_then(|(_, v)| v.as_str()).map(str::to_owned))
            }
            (Value::Nil, Value::Array(result)) => match &result[0] {
                Value::Binary(rows) => Answer::Rows(rows.clone()),
                Value::Boolean(true) => Answer::Pong,
                _ => return Err(malformed("unknown result")),
            },
            _ => return Err(malformed("neither error nor result")),
        };
        Ok((id, answer))
    }

    /// Whether the gateway has ended the connection; reads everything before that.
    pub fn is_ended(&mut self) -> bool {
        let mut rest = Vec::new();
        matches!(self.stream.read_to_end(&mut rest), Ok(0)) || rest.is_empty()
    }
}

/// A request as a value, for tests that write it in another way.
pub fn request(id: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Value {
    let fields = fields.iter().map(|(k, v)| (Value::from(*k), Value::from(*v))).collect();
    let body = Value::Binary(statement.as_bytes().to_vec());
    Value::Array(vec![0.into(), id.into(), class.into(), vec![Value::Map(fields), body].into()])
}
