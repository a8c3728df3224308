//! A toy client of a gateway.

use rmpv::Value;
use rmpv::decode::read_value;
use rmpv::encode::write_value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    stream: TcpStream,
    next: u32,
}

/// What a gateway answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<u8>),
    /// The error's name and its `holdoff`.
    Error(String, Option<String>),
    Pong,
}

/// Longer than any test or example waits for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, next: 1 })
    }

    /// Writes bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn write(&mut self, value: Value) -> io::Result<()> {
        let mut bytes = Vec::new();
        write_value(&mut bytes, &value)?;
        self.raw(&bytes)
    }

    /// Sends a request; the id under which its answer will come.
    pub fn send(&mut self, class: &str, fields: &[(&str, &str)], statement: &str) -> io::Result<u32> {
        let id = self.next;
        self.next += 1;
        self.write(request(id, class, fields, statement))?;
        Ok(id)
    }

    pub fn ping(&mut self) -> io::Result<u32> {
        let id = self.next;
        self.next += 1;
        self.write(Value::Array(vec![
            0.into(),
            id.into(),
            "ping".into(),
            vec![Value::Map(Vec::new())].into(),
        ]))?;
        Ok(id)
    }

    pub fn abort(&mut self, id: u32) -> io::Result<()> {
        self.write(Value::Array(vec![2.into(), "abort".into(), vec![Value::from(id)].into()]))
    }

    /// The next answer, whichever it is of; an end of the connection is an error.
    pub fn answer(&mut self) -> io::Result<(u32, Answer)> {
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let value = read_value(&mut self.stream).map_err(|e| io::Error::new(e.kind(), e.to_string()))?;
        let parts = value.as_array().filter(|p| p.len() == 4).ok_or_else(|| bad("no answer"))?;
        let id = parts[1].as_u64().ok_or_else(|| bad("no id"))? as u32;
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
                _ => return Err(bad("unknown result")),
            },
            _ => return Err(bad("neither error nor result")),
        };
        Ok((id, answer))
    }

    /// Whether the gateway has ended the connection: everything before that is read.
    pub fn is_ended(&mut self) -> bool {
        let mut rest = Vec::new();
        matches!(self.stream.read_to_end(&mut rest), Ok(0)) || rest.is_empty()
    }
}

/// A request as bytes would be written, for those who send it differently.
pub fn request(id: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Value {
    let fields = fields.iter().map(|(k, v)| (Value::from(*k), Value::from(*v))).collect();
    let body = Value::Binary(statement.as_bytes().to_vec());
    Value::Array(vec![0.into(), id.into(), class.into(), vec![Value::Map(fields), body].into()])
}
