//! MessagePack-RPC as clients speak it.

use super::client_request::{self, ClientRequest};
use larchfall_policy::time::Duration;
use rmp::Marker;
use rmpv::ValueRef;
use rmpv::decode::read_value_ref_with_max_depth;
use std::io::ErrorKind;

/// A message holds a statement and a few fields; what is longer is no message of ours.
pub const LONGEST: usize = 128 * 1024;
/// Levels of values within each other: a message, its parameters, the fields, and some to spare.
const LEVELS: usize = 8;
/// Deep enough for every message of the protocol, each value taking up to three steps of the reader; deeper
/// nesting only costs stack.
const DEPTH: usize = 16;

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    Request(u32, ClientRequest<'a>),
    Ping(u32),
    /// The client stopped waiting for these.
    Abort(Vec<u32>),
    /// A request that can be told apart but not used.
    Unusable(u32, &'static str),
}

/// How far the first message in some bytes has been looked through, so that what comes in pieces is not read from its
/// start again at each: messages without end cost their length, not its square.
#[derive(Debug, Default)]
pub struct Scan {
    at: usize,
    /// Values still to come, by level.
    left: Vec<usize>,
}

impl Scan {
    /// The length of the first message once it is whole. The same bytes and more are given each time.
    pub fn whole(&mut self, bytes: &[u8]) -> Result<Option<usize>, Malformed> {
        loop {
            let rest = &bytes[self.at..];
            let Some(marker) = rest.first().map(|b| Marker::from_u8(*b)) else { return Ok(None) };
            let Some((head, body, items)) = extent(marker, rest)? else { return Ok(None) };
            let end = self.at.saturating_add(head).saturating_add(body);
            if end > LONGEST || items > LONGEST {
                return Err("message too long");
            }
            if end > bytes.len() {
                return Ok(None);
            }
            self.at = end;
            if items > 0 {
                if self.left.len() >= LEVELS {
                    return Err("not MessagePack of ours: nested too deep");
                }
                self.left.push(items);
                continue;
            }
            loop {
                let Some(left) = self.left.last_mut() else { return Ok(Some(self.at)) };
                *left -= 1;
                if *left > 0 {
                    break;
                }
                self.left.pop();
            }
        }
    }
}

/// Bytes of a value's head and body, and how many values follow as parts of it; `None` while its head is not whole.
fn extent(marker: Marker, rest: &[u8]) -> Result<Option<(usize, usize, usize)>, Malformed> {
    // A length of so many bytes behind the marker.
    let length = |bytes: usize| {
        rest.get(1..1 + bytes).map(|b| b.iter().fold(0_usize, |n, byte| n << 8 | usize::from(*byte)))
    };
    let body = |bytes, more| length(bytes).map(|n| (1 + bytes + more, n, 0));
    let items = |bytes, times: usize| length(bytes).map(|n| (1 + bytes, 0, n.saturating_mul(times)));
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Some((1, 0, 0))
        }
        Marker::U8 | Marker::I8 => Some((1, 1, 0)),
        Marker::U16 | Marker::I16 => Some((1, 2, 0)),
        Marker::U32 | Marker::I32 | Marker::F32 => Some((1, 4, 0)),
        Marker::U64 | Marker::I64 | Marker::F64 => Some((1, 8, 0)),
        Marker::FixStr(n) => Some((1, usize::from(n), 0)),
        Marker::Str8 | Marker::Bin8 => body(1, 0),
        Marker::Str16 | Marker::Bin16 => body(2, 0),
        Marker::Str32 | Marker::Bin32 => body(4, 0),
        Marker::FixArray(n) => Some((1, 0, usize::from(n))),
        Marker::Array16 => items(2, 1),
        Marker::Array32 => items(4, 1),
        Marker::FixMap(n) => Some((1, 0, 2 * usize::from(n))),
        Marker::Map16 => items(2, 2),
        Marker::Map32 => items(4, 2),
        Marker::FixExt1 => Some((2, 1, 0)),
        Marker::FixExt2 => Some((2, 2, 0)),
        Marker::FixExt4 => Some((2, 4, 0)),
        Marker::FixExt8 => Some((2, 8, 0)),
        Marker::FixExt16 => Some((2, 16, 0)),
        Marker::Ext8 => body(1, 1),
        Marker::Ext16 => body(2, 1),
        Marker::Ext32 => body(4, 1),
        Marker::Reserved => return Err("not MessagePack"),
    })
}

/// Why bytes are not a message.
pub type Malformed = &'static str;

/// The first message in these bytes and its length; `None` while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message<'_>, usize)>, Malformed> {
    let mut rest = bytes;
    let value = match read_value_ref_with_max_depth(&mut rest, DEPTH) {
        Ok(value) => value,
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
            return if bytes.len() < LONGEST { Ok(None) } else { Err("message too long") };
        }
        Err(_) => return Err("not MessagePack"),
    };
    let used = bytes.len() - rest.len();
    if used > LONGEST {
        return Err("message too long");
    }
    message(&value).map(|m| Some((m, used)))
}

fn number(value: &ValueRef) -> Result<u32, Malformed> {
    value.as_u64().and_then(|n| u32::try_from(n).ok()).ok_or("message id is no number")
}

fn text<'a>(value: &ValueRef<'a>) -> Option<&'a str> {
    match value {
        ValueRef::String(s) => s.into_str(),
        ValueRef::Binary(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn message<'a>(value: &ValueRef<'a>) -> Result<Message<'a>, Malformed> {
    let ValueRef::Array(parts) = value else { return Err("message is no array") };
    match (parts.first().and_then(ValueRef::as_u64), &parts[..]) {
        (Some(0), [_, id, method, ValueRef::Array(params)]) => {
            let id = number(id)?;
            let Some(method) = text(method) else { return Ok(Message::Unusable(id, "method is no text")) };
            if method == "ping" {
                return Ok(Message::Ping(id));
            }
            Ok(match request(method, params) {
                Ok(client_request) => Message::Request(id, client_request),
                Err(why) => Message::Unusable(id, why),
            })
        }
        (Some(0), [_, id, ..]) => Ok(Message::Unusable(number(id)?, "a request has four parts")),
        (Some(2), [_, method, ValueRef::Array(ids)]) if text(method) == Some("abort") => {
            Ok(Message::Abort(ids.iter().map(number).collect::<Result<_, _>>()?))
        }
        (Some(2), _) => Err("unknown notification"),
        _ => Err("unknown type of message"),
    }
}

fn request<'a>(class: &'a str, params: &[ValueRef<'a>]) -> Result<ClientRequest<'a>, Malformed> {
    let [ValueRef::Map(fields), body] = params else { return Err("wanted fields and a body") };
    let ValueRef::Binary(statement) = body else { return Err("body is no bin") };
    // A field that is there in another form is no field that was left out.
    let field = |name: &str, why: Malformed| match fields.iter().find(|(k, _)| text(k) == Some(name)) {
        None => Ok(None),
        Some((_, value)) => text(value).map(Some).ok_or(why),
    };
    let bad_id = "req is missing or unusable";
    let id = field("req", bad_id)?.ok_or(bad_id)?;
    let number = client_request::id(id).ok_or(bad_id)?;
    let bad_wait = "timeout is missing or unusable";
    let wait = field("timeout", bad_wait)?.and_then(client_request::wait).ok_or(bad_wait)?;
    let bad_reference = "opkey is unusable";
    let reference = field("opkey", bad_reference)?;
    if reference.is_some_and(|r| !client_request::is_reference(r)) {
        return Err(bad_reference);
    }
    let bad_key = "subject is unusable";
    let key = field("subject", bad_key)?.map(|s| client_request::key(s).ok_or(bad_key)).transpose()?;
    let (bad_work, bad_memory) = ("ms is unusable", "est_mb is unusable");
    let work = field("ms", bad_work)?.map(|t| client_request::work(t).ok_or(bad_work)).transpose()?;
    let memory =
        field("est_mb", bad_memory)?.map(|t| client_request::memory(t).ok_or(bad_memory)).transpose()?;
    Ok(ClientRequest {
        class,
        id,
        number,
        tenant: field("owner", "owner is unusable")?.unwrap_or(""),
        wait: Some(wait),
        reference,
        key,
        work: work.flatten(),
        memory_mb: memory.flatten(),
        statement,
    })
}

/// An answer to a client.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    Returned(&'a [u8]),
    /// Trying again is harmless, best after the time given.
    PushedBack(Option<Duration>),
    Errored(&'a str),
    Pong,
}

/// Writing into a vector cannot fail, so the results of the writers below say nothing.
pub fn encode(out: &mut Vec<u8>, id: u32, answer: &Answer) {
    use rmp::encode::*;
    let _ = write_array_len(out, 4);
    let _ = write_uint(out, 1);
    let _ = write_uint(out, u64::from(id));
    let fault = |out: &mut Vec<u8>, word: &str, field: Option<(&str, &str)>| {
        let _ = write_array_len(out, 2);
        let _ = write_str(out, word);
        let _ = write_map_len(out, field.iter().len() as u32);
        if let Some((name, value)) = field {
            let _ = write_str(out, name);
            let _ = write_str(out, value);
        }
        let _ = write_nil(out);
    };
    match answer {
        Answer::Returned(body) => {
            let _ = write_nil(out);
            let _ = write_array_len(out, 2);
            let _ = write_bin(out, body);
            let _ = write_map_len(out, 0);
        }
        Answer::PushedBack(wait) => {
            let wait = wait.map(|w| (w.micros() / 1000).to_string());
            fault(out, "Rejected", wait.as_deref().map(|w| ("holdoff", w)));
        }
        Answer::Errored(why) => fault(out, "Errored", Some(("reason", why))),
        Answer::Pong => {
            let _ = write_nil(out);
            let _ = write_array_len(out, 2);
            let _ = write_bool(out, true);
            let _ = write_map_len(out, 0);
        }
    }
}
