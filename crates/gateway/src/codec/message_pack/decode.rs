//! Decodes messages from clients, and translates the protocol's field names.

use super::{MAX_MESSAGE_BYTES, MessageError};
use crate::codec::Decoded;
use crate::codec::client_request::{self, ClientRequest};
use rmp::decode::{read_array_len, read_int};
use rmpv::ValueRef;
use rmpv::decode::read_value_ref_with_max_depth;
use std::io::ErrorKind;

/// Recursion limit of the MessagePack reader, which takes up to three levels per nested value. Sufficient for every
/// message of the protocol; a higher limit would only use more stack.
const MAX_READER_DEPTH: usize = 16;

/// Wire names of request fields.
mod field {
    pub(super) const ID: &str = "req";
    pub(super) const TIMEOUT: &str = "timeout";
    pub(super) const TENANT: &str = "owner";
    pub(super) const IDEMPOTENCY_KEY: &str = "opkey";
    pub(super) const ORDERING_KEY: &str = "subject";
    pub(super) const WORK_HINT_MS: &str = "ms";
    pub(super) const MEMORY_HINT_MB: &str = "est_mb";
}

/// A message from a client. Every message except `Abort` has an id, which its response repeats.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request to run a statement.
    Request {
        /// Message id, unique on the connection.
        message_id: u32,
        /// The decoded request.
        request: ClientRequest<'a>,
    },
    /// A message that only asks for a response.
    Ping {
        /// Message id, unique on the connection.
        message_id: u32,
    },
    /// The client no longer waits for the responses to some messages.
    Abort {
        /// Ids of earlier messages.
        message_ids: Vec<u32>,
    },
    /// A request with a valid message id and invalid content.
    InvalidRequest {
        /// Message id, unique on the connection.
        message_id: u32,
        /// Error that the client receives.
        reason: RequestDecodeError,
    },
}

/// Why a request is invalid. The client receives this text, and the connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum RequestDecodeError {
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

/// Decodes the first message in a byte slice; `None` if the message is incomplete.
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
    decode_message(&value).map(|value| Some(Decoded { value, length }))
}

/// Returns the message id of a request from the first bytes of the message; `None` if the message is no request.
pub fn request_message_id(mut first_bytes: &[u8]) -> Option<u32> {
    read_array_len(&mut first_bytes).ok()?;
    let message_type: u64 = read_int(&mut first_bytes).ok()?;
    let message_id = read_int(&mut first_bytes).ok()?;
    (message_type == 0).then_some(message_id)
}

fn decode_message_id(value: &ValueRef) -> Result<u32, MessageError> {
    value.as_u64().and_then(|n| u32::try_from(n).ok()).ok_or(MessageError::InvalidMessageId)
}

/// The value of a string, or of a binary value with valid UTF-8; `None` for any other value.
fn as_text<'a>(value: &ValueRef<'a>) -> Option<&'a str> {
    match value {
        ValueRef::String(s) => s.into_str(),
        ValueRef::Binary(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn decode_message<'a>(value: &ValueRef<'a>) -> Result<Message<'a>, MessageError> {
    let ValueRef::Array(parts) = value else { return Err(MessageError::NotAnArray) };
    match (parts.first().and_then(ValueRef::as_u64), &parts[..]) {
        (Some(0), [_, id, method, ValueRef::Array(parameters)]) => {
            let message_id = decode_message_id(id)?;
            let Some(method) = as_text(method) else {
                return Ok(Message::InvalidRequest { message_id, reason: RequestDecodeError::MethodNotText });
            };
            if method == "ping" {
                return Ok(Message::Ping { message_id });
            }
            Ok(match decode_request(method, parameters) {
                Ok(request) => Message::Request { message_id, request },
                Err(reason) => Message::InvalidRequest { message_id, reason },
            })
        }
        (Some(0), [_, id, ..]) => Ok(Message::InvalidRequest {
            message_id: decode_message_id(id)?,
            reason: RequestDecodeError::WrongPartCount,
        }),
        (Some(2), [_, method, ValueRef::Array(ids)]) if as_text(method) == Some("abort") => {
            Ok(Message::Abort { message_ids: ids.iter().map(decode_message_id).collect::<Result<_, _>>()? })
        }
        (Some(2), _) => Err(MessageError::UnknownNotification),
        _ => Err(MessageError::UnknownType),
    }
}

/// The undecoded fields of a request.
struct Fields<'v, 'a>(&'v [(ValueRef<'a>, ValueRef<'a>)]);

impl<'a> Fields<'_, 'a> {
    /// The text of a field; `None` if the field is absent. Returns `invalid` if the value is not text.
    fn text(
        &self,
        field: &'static str,
        invalid: RequestDecodeError,
    ) -> Result<Option<&'a str>, RequestDecodeError> {
        match self.0.iter().find(|(name, _)| as_text(name) == Some(field)) {
            None => Ok(None),
            Some((_, value)) => as_text(value).map(Some).ok_or(invalid),
        }
    }

    /// Parses a field that every request must have.
    fn required<T>(
        &self,
        field: &'static str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<T, RequestDecodeError> {
        let missing = RequestDecodeError::MissingField { field };
        self.text(field, missing)?.and_then(parse).ok_or(missing)
    }

    /// Parses an optional field; `None` if the field is absent.
    fn optional<T>(
        &self,
        field: &'static str,
        parse: impl Fn(&'a str) -> Option<T>,
    ) -> Result<Option<T>, RequestDecodeError> {
        let invalid = RequestDecodeError::InvalidField { field };
        self.text(field, invalid)?.map(|text| parse(text).ok_or(invalid)).transpose()
    }
}

/// A request id as text and as a number.
struct RequestId<'a> {
    text: &'a str,
    number: u64,
}

/// Decodes a request from its class, which is the name of the RPC method, and its parameters.
fn decode_request<'a>(
    class: &'a str,
    parameters: &[ValueRef<'a>],
) -> Result<ClientRequest<'a>, RequestDecodeError> {
    let [ValueRef::Map(fields), body] = parameters else { return Err(RequestDecodeError::MissingParameters) };
    let ValueRef::Binary(statement) = body else { return Err(RequestDecodeError::BodyNotBinary) };
    let fields = Fields(fields);
    let id = fields.required(field::ID, |text| {
        client_request::parse_id(text).map(|number| RequestId { text, number })
    })?;
    let timeout = fields.required(field::TIMEOUT, client_request::parse_timeout)?;
    let idempotency_key = fields.optional(field::IDEMPOTENCY_KEY, |text| {
        client_request::is_valid_idempotency_key(text).then_some(text)
    })?;
    let ordering_key = fields.optional(field::ORDERING_KEY, client_request::parse_ordering_key)?;
    let work_hint = fields.optional(field::WORK_HINT_MS, client_request::parse_work_hint)?;
    let memory_hint_mb = fields.optional(field::MEMORY_HINT_MB, client_request::parse_memory_hint)?;
    Ok(ClientRequest {
        class,
        id: id.text,
        id_number: id.number,
        tenant: fields.optional(field::TENANT, Some)?.unwrap_or(""),
        timeout: Some(timeout),
        idempotency_key,
        ordering_key,
        work_hint: work_hint.flatten(),
        memory_hint_mb: memory_hint_mb.flatten(),
        statement,
    })
}
