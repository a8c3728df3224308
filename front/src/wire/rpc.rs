//! MessagePack-RPC as clients speak it.

use larchfall::time::Span;
use rmp::Marker;
use rmpv::ValueRef;
use rmpv::decode::read_value_ref_with_max_depth;
use std::io::ErrorKind;

/// A message holds a statement and a few fields; what is longer is no message of ours.
pub const LONGEST: usize = 128 * 1024;
/// No wait or work of a day and no memory of a terabyte is meant: what is beyond is no figure of ours, and would
/// only reach an engine that can't use it.
const MOST_MS: f64 = 86_400_000.0;
const MOST_MB: f64 = 1_048_576.0;
/// Hex digits of a request's id, and of a key at most.
const ID_DIGITS: usize = 16;
/// Levels of values within each other: a message, its parameters, the fields, and some to spare.
const LEVELS: usize = 8;
/// Deep enough for every message of the protocol, each value taking up to three steps of the reader; deeper
/// nesting only costs stack.
const DEPTH: usize = 16;

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    Batch(u32, Request<'a>),
    Ping(u32),
    /// The client stopped waiting for these.
    Abort(Vec<u32>),
    /// A request that can be told apart but not used.
    Unusable(u32, &'static str),
}

/// One batch as its client words it.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    pub group: &'a str,
    pub id: &'a str,
    /// The same as a number.
    pub number: u64,
    pub customer: &'a str,
    pub wait: Span,
    pub reference: Option<&'a str>,
    pub key: Option<u64>,
    pub work: Option<Span>,
    pub memory_mb: Option<f64>,
    pub statement: &'a [u8],
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
                Ok(request) => Message::Batch(id, request),
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

/// Whether a text may stand in a head of HTTP as it is.
fn plain(text: &str, longest: usize) -> bool {
    !text.is_empty() && text.len() <= longest && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
}

/// Digits alone: a number's own reader takes signs as well.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() <= ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

fn figure(text: &str, most: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| (0.0..=most).contains(n))
}

fn request<'a>(group: &'a str, params: &[ValueRef<'a>]) -> Result<Request<'a>, Malformed> {
    let [ValueRef::Map(fields), body] = params else { return Err("wanted fields and a body") };
    let ValueRef::Binary(statement) = body else { return Err("body is no bin") };
    // A field that is there in another form is no field that was left out.
    let field = |name: &str, why: Malformed| match fields.iter().find(|(k, _)| text(k) == Some(name)) {
        None => Ok(None),
        Some((_, value)) => text(value).map(Some).ok_or(why),
    };
    let bad_id = "req is missing or unusable";
    let id = field("req", bad_id)?.ok_or(bad_id)?;
    let number = hex(id).filter(|_| id.len() == ID_DIGITS).ok_or(bad_id)?;
    let bad_wait = "timeout is missing or unusable";
    let wait = field("timeout", bad_wait)?.and_then(|t| figure(t, MOST_MS)).filter(|ms| *ms >= 1.0);
    let bad_reference = "opkey is unusable";
    let reference = field("opkey", bad_reference)?;
    if reference.is_some_and(|r| !plain(r, 128)) {
        return Err(bad_reference);
    }
    let bad_key = "subject is unusable";
    let key = field("subject", bad_key)?.map(|s| hex(s).ok_or(bad_key)).transpose()?;
    let hint = |name, most, why| {
        let said = field(name, why)?.map(|text| figure(text, most).ok_or(why)).transpose()?;
        Ok::<_, Malformed>(said.filter(|n| *n > 0.0))
    };
    Ok(Request {
        group,
        id,
        number,
        customer: field("owner", "owner is unusable")?.unwrap_or(""),
        wait: Span::from_secs(wait.ok_or(bad_wait)? / 1e3),
        reference,
        key,
        work: hint("ms", MOST_MS, "ms is unusable")?.map(|n| Span::from_secs(n / 1e3)),
        memory_mb: hint("est_mb", MOST_MB, "est_mb is unusable")?,
        statement,
    })
}

/// An answer to a client.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    Returned(&'a [u8]),
    /// Trying again is harmless, best after the time given.
    PushedBack(Option<Span>),
    Errored(&'a str),
    Pong,
}

impl Answer<'_> {
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Returned(_) => "returned",
            Answer::PushedBack(_) => "pushed back",
            Answer::Errored(_) => "errored",
            Answer::Pong => "pong",
        }
    }
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
