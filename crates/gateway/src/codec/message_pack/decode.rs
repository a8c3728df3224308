//! Messages from clients, with the protocol's field names turned into the gateway's terms.

use super::{MAX_MESSAGE_BYTES, MessageError};
use crate::codec::Decoded;
use crate::codec::client_request::{self, ClientRequest};
use rmpv::ValueRef;
use rmpv::decode::read_value_ref_with_max_depth;
use std::io::ErrorKind;

/// Deep enough for every message of the protocol, each value taking up to three steps of the reader; deeper
/// nesting only costs stack.
const MAX_READER_DEPTH: usize = 16;

/// Names of a request's fields on the wire.
mod field {
    pub(super) const ID: &str = "req";
    pub(super) const TIMEOUT: &str = "timeout";
    pub(super) const TENANT: &str = "owner";
    pub(super) const IDEMPOTENCY_KEY: &str = "opkey";
    pub(super) const ORDER_KEY: &str = "subject";
    pub(super) const WORK_MS: &str = "ms";
    pub(super) const MEMORY_MB: &str = "est_mb";
}

/// What a client sends. Each message but `Abort` has a number by which its response is known.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request to run.
    Request {
        /// Its number on the connection.
        message_id: u32,
        /// Its fields.
        request: ClientRequest<'a>,
    },
    /// Asks only for a response.
    Ping {
        /// Its number on the connection.
        message_id: u32,
    },
    /// The client stopped waiting for the responses to these.
    Abort {
        /// Numbers of earlier messages.
        message_ids: Vec<u32>,
    },
    /// A request that has a number and can't be used.
    InvalidRequest {
        /// Its number on the connection.
        message_id: u32,
        /// What its client is told.
        reason: RequestError,
    },
}

/// Why a request can't be used. Its client is told in these words, and the connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum RequestError {
    #[error("method is no text")]
    MethodNotText,
    #[error("a request has four parts")]
    WrongPartCount,
    #[error("wanted fields and a body")]
    MissingParameters,
    #[error("body is no bin")]
    BodyNotBinary,
    #[error("{field} is missing or unusable")]
    MissingField { field: &'static str },
    #[error("{field} is unusable")]
    InvalidField { field: &'static str },
}

/// The first message in these bytes; `None` while it is not complete.
pub fn decode(bytes: &[u8]) -> Result<Option<Decoded<Message<'_>>>, MessageError> {
    let mut rest = bytes;
    let value = match read_value_ref_with_max_depth(&mut rest, MAX_READER_DEPTH) {
        Ok(value) => value,
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
            return if bytes.len() < MAX_MESSAGE_BYTES { Ok(None) } else { Err(MessageError::TooLong) };
        }
        Err(_) => return Err(MessageError::NotMessagePack),
    };
    let length = bytes.len() - rest.len();
    if length > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong);
    }
    message(&value).map(|value| Some(Decoded { value, length }))
}

fn message_id(value: &ValueRef) -> Result<u32, MessageError> {
    value.as_u64().and_then(|n| u32::try_from(n).ok()).ok_or(MessageError::BadMessageId)
}

fn text<'a>(value: &ValueRef<'a>) -> Option<&'a str> {
    match value {
        ValueRef::String(s) => s.into_str(),
        ValueRef::Binary(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn message<'a>(value: &ValueRef<'a>) -> Result<Message<'a>, MessageError> {
    let ValueRef::Array(parts) = value else { return Err(MessageError::NotAnArray) };
    match (parts.first().and_then(ValueRef::as_u64), &parts[..]) {
        (Some(0), [_, id, method, ValueRef::Array(parameters)]) => {
            let message_id = message_id(id)?;
            let Some(method) = text(method) else {
                return Ok(Message::InvalidRequest { message_id, reason: RequestError::MethodNotText });
            };
            if method == "ping" {
                return Ok(Message::Ping { message_id });
            }
            Ok(match request(method, parameters) {
                Ok(request) => Message::Request { message_id, request },
                Err(reason) => Message::InvalidRequest { message_id, reason },
            })
        }
        (Some(0), [_, id, ..]) => {
            Ok(Message::InvalidRequest { message_id: message_id(id)?, reason: RequestError::WrongPartCount })
        }
        (Some(2), [_, method, ValueRef::Array(ids)]) if text(method) == Some("abort") => {
            Ok(Message::Abort { message_ids: ids.iter().map(message_id).collect::<Result<_, _>>()? })
        }
        (Some(2), _) => Err(MessageError::UnknownNotification),
        _ => Err(MessageError::UnknownType),
    }
}

/// The fields of a request as its client wrote them.
struct Fields<'v, 'a>(&'v [(ValueRef<'a>, ValueRef<'a>)]);

impl<'a> Fields<'_, 'a> {
    /// A field's text; `None` where it is not there. One that is there in another form is an error.
    fn text(&self, field: &'static str, invalid: RequestError) -> Result<Option<&'a str>, RequestError> {
        match self.0.iter().find(|(name, _)| text(name) == Some(field)) {
            None => Ok(None),
            Some((_, value)) => text(value).map(Some).ok_or(invalid),
        }
    }

    /// A field that every request has.
    fn required<T>(
        &self,
        field: &'static str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<T, RequestError> {
        let missing = RequestError::MissingField { field };
        self.text(field, missing)?.and_then(parse).ok_or(missing)
    }

    /// A field that may be left out.
    fn optional<T>(
        &self,
        field: &'static str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<Option<T>, RequestError> {
        let invalid = RequestError::InvalidField { field };
        self.text(field, invalid)?.map(|text| parse(text).ok_or(invalid)).transpose()
    }
}

struct RequestId<'a> {
    text: &'a str,
    number: u64,
}

fn request<'a>(class: &'a str, parameters: &[ValueRef<'a>]) -> Result<ClientRequest<'a>, RequestError> {
    let [ValueRef::Map(fields), body] = parameters else { return Err(RequestError::MissingParameters) };
    let ValueRef::Binary(statement) = body else { return Err(RequestError::BodyNotBinary) };
    let fields = Fields(fields);
    let id = fields.required(field::ID, |text| {
        client_request::parse_id(text).map(|number| RequestId { text, number })
    })?;
    let timeout = fields.required(field::TIMEOUT, client_request::parse_timeout)?;
    let idempotency_key = fields.optional(field::IDEMPOTENCY_KEY, |text| {
        client_request::is_valid_idempotency_key(text).then_some(text)
    })?;
    let ordering_key = fields.optional(field::ORDER_KEY, client_request::parse_ordering_key)?;
    let work_estimate = fields.optional(field::WORK_MS, client_request::parse_work_estimate)?;
    let memory_mb = fields.optional(field::MEMORY_MB, client_request::parse_memory)?;
    Ok(ClientRequest {
        class,
        id: id.text,
        id_number: id.number,
        tenant: fields.optional(field::TENANT, Some)?.unwrap_or(""),
        timeout: Some(timeout),
        idempotency_key,
        ordering_key,
        work_estimate: work_estimate.flatten(),
        memory_mb: memory_mb.flatten(),
        statement,
    })
}
