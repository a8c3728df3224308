//! A blocking MessagePack-RPC client that sends requests to a gateway over TCP.

use rmpv::Value;
use rmpv::decode::read_value;
use rmpv::encode::write_value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A blocking TCP connection to the MessagePack-RPC port of a gateway.
pub struct Client {
    stream: TcpStream,
    next_id: u32,
}

/// The decoded response of a gateway to one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result rows of the request, as the bytes that the gateway sent.
    Rows(Vec<u8>),
    /// The error name, and the value of the `holdoff` field (retry-after in milliseconds) if present.
    Error(String, Option<String>),
    /// The response to a ping.
    Pong,
}

/// Read timeout of the socket; longer than any test or example waits for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

impl Client {
    /// Connects to the gateway at `gateway` with `READ_TIMEOUT` and without Nagle delay.
    pub fn connect(gateway: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, next_id: 1 })
    }

    /// Limits how long [`answer`](Client::answer) waits for more bytes.
    pub fn set_answer_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Writes `bytes` to the connection without encoding, e.g. a invalid_data message.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn write_message(&mut self, message: &Value) -> io::Result<()> {
        let mut bytes = Vec::new();
        write_value(&mut bytes, message)?;
        self.raw(&bytes)
    }

    fn next_request_id(&mut self) -> u32 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Sends a request of the request class `class`; returns the message id that the response will repeat.
    pub fn send(&mut self, class: &str, fields: &[(&str, &str)], statement: &str) -> io::Result<u32> {
        let id = self.next_request_id();
        self.write_message(&request(id, class, fields, statement))?;
        Ok(id)
    }

    /// Sends a ping; returns the message id that the response will repeat.
    pub fn ping(&mut self) -> io::Result<u32> {
        let id = self.next_request_id();
        let arguments = vec![Value::Map(Vec::new())];
        self.write_message(&Value::Array(vec![0.into(), id.into(), "ping".into(), arguments.into()]))?;
        Ok(id)
    }

    /// Sends the notification that cancels the request with message id `id`.
    pub fn abort(&mut self, id: u32) -> io::Result<()> {
        self.write_message(&Value::Array(vec![2.into(), "abort".into(), vec![Value::from(id)].into()]))
    }

    /// Reads the next response and returns its message id and content; a closed connection is an error.
    pub fn answer(&mut self) -> io::Result<(u32, Answer)> {
        let invalid_data = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason.to_owned());
        let message = read_value(&mut self.stream).map_err(|e| io::Error::new(e.kind(), e.to_string()))?;
        let parts = message
            .as_array()
            .filter(|parts| parts.len() == 4)
            .ok_or_else(|| invalid_data("response is not an array of 4 elements"))?;
        let id =
            parts[1].as_u64().ok_or_else(|| invalid_data("response id is not an unsigned integer"))? as u32;
        let answer = match (&parts[2], &parts[3]) {
            (Value::Array(error), Value::Nil) => {
                let name = error[0].as_str().unwrap_or_default().to_owned();
                let fields = error[1].as_map().cloned().unwrap_or_default();
                let retry_after = fields.iter().find(|(key, _)| key.as_str() == Some("holdoff"));
                Answer::Error(name, retry_after.and_then(|(_, value)| value.as_str()).map(str::to_owned))
            }
            (Value::Nil, Value::Array(result)) => match &result[0] {
                Value::Binary(rows) => Answer::Rows(rows.clone()),
                Value::Boolean(true) => Answer::Pong,
                _ => return Err(invalid_data("response result is neither binary rows nor `true`")),
            },
            _ => return Err(invalid_data("response needs exactly one of error array and result array")),
        };
        Ok((id, answer))
    }

    /// Reads until the connection closes or the read fails; returns true if no byte arrived before then.
    pub fn is_ended(&mut self) -> bool {
        let mut unread = Vec::new();
        matches!(self.stream.read_to_end(&mut unread), Ok(0)) || unread.is_empty()
    }
}

/// Encodes a request, for clients that write it in parts.
///
/// # Errors
///
/// If the statement is longer than MessagePack can express.
pub fn encode_request(id: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    write_value(&mut bytes, &request(id, class, fields, statement))?;
    Ok(bytes)
}

/// Builds the MessagePack value of a request, for tests that encode or alter the request themselves.
pub fn request(id: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Value {
    let fields = fields.iter().map(|(key, value)| (Value::from(*key), Value::from(*value))).collect();
    let body = Value::Binary(statement.as_bytes().to_vec());
    Value::Array(vec![0.into(), id.into(), class.into(), vec![Value::Map(fields), body].into()])
}
