//! Finds the end of the first message in the input of a connection.

use super::{MAX_MESSAGE_BYTES, MessageError};
use rmp::Marker;

/// Maximum nesting of arrays and maps. A valid message has three levels (message, parameters, fields); the rest is
/// reserve.
const MAX_NESTING: usize = 8;
/// Maximum number of fields of a map. A request has seven, and clients may add some.
const MAX_MAP_FIELDS: usize = 64;
/// Maximum number of values of an array. A client can take back as many requests at once.
const MAX_ARRAY_VALUES: usize = 4096;

/// Incremental scanner for the end of a message. Keeps its position between calls, so that the cost of a message that
/// arrives in pieces is linear in its length and not quadratic.
#[derive(Debug, Default)]
pub struct FrameScanner {
    /// Number of bytes of the message that were discarded before its end was known.
    discarded: usize,
    /// Number of bytes scanned after the discarded ones.
    scanned: usize,
    /// Number of bytes still expected of a value of which the beginning was discarded.
    discarded_value_rest: usize,
    /// Number of values still expected in each open array or map, outermost first.
    remaining_values: Vec<usize>,
}

/// The size of one value, without the elements of an array or map.
struct ValueSize {
    /// Length in bytes of the marker, the length field and the extension type.
    header: usize,
    /// Length in bytes of the content.
    body: usize,
    /// Number of values that follow as elements of an array, or as keys and values of a map.
    items: usize,
}

impl ValueSize {
    const fn with_body(header: usize, body: usize) -> ValueSize {
        ValueSize { header, body, items: 0 }
    }

    const fn with_items(header: usize, items: usize) -> ValueSize {
        ValueSize { header, body: 0, items }
    }
}

impl FrameScanner {
    /// Returns the length of the first message, without its discarded bytes, once the message is complete. `bytes` must
    /// start with the bytes of the previous call that were not discarded.
    pub fn complete_length(&mut self, bytes: &[u8]) -> Result<Option<usize>, MessageError> {
        if self.discarded_value_rest > 0 {
            let received = self.discarded_value_rest.min(bytes.len());
            self.discarded_value_rest -= received;
            self.scanned = received;
            if self.discarded_value_rest > 0 {
                return Ok(None);
            }
            if self.end_value() {
                return Ok(Some(self.scanned));
            }
        }
        loop {
            let rest = &bytes[self.scanned..];
            let Some(marker) = rest.first().map(|byte| Marker::from_u8(*byte)) else { return Ok(None) };
            let Some(ValueSize { header, body, items }) = value_size(marker, rest)? else { return Ok(None) };
            let end = self.scanned.saturating_add(header).saturating_add(body);
            if self.discarded.saturating_add(end) > MAX_MESSAGE_BYTES {
                return Err(MessageError::TooLong);
            }
            if end > bytes.len() {
                return Ok(None);
            }
            self.scanned = end;
            if items > 0 {
                if self.remaining_values.len() >= MAX_NESTING {
                    return Err(MessageError::NestedTooDeep);
                }
                self.remaining_values.push(items);
            } else if self.end_value() {
                return Ok(Some(self.scanned));
            }
        }
    }

    /// Discards the received bytes of a message whose end `complete_length` has not found in them. Returns how many
    /// bytes to remove from the front; those that remain belong to the header of a value.
    pub fn discard(&mut self, bytes: &[u8]) -> usize {
        let value = &bytes[self.scanned..];
        let size = value.first().and_then(|byte| value_size(Marker::from_u8(*byte), value).ok().flatten());
        let discarded = match size {
            Some(ValueSize { header, body, .. }) => {
                self.discarded_value_rest = header + body - value.len();
                bytes.len()
            }
            None if self.discarded_value_rest > 0 => bytes.len(),
            None => self.scanned,
        };
        self.discarded += discarded;
        self.scanned = 0;
        discarded
    }

    /// Counts a complete value, and the arrays and maps that end with it. Returns true if the message is complete.
    fn end_value(&mut self) -> bool {
        while let Some(remaining) = self.remaining_values.last_mut() {
            *remaining -= 1;
            if *remaining > 0 {
                return false;
            }
            self.remaining_values.pop();
        }
        true
    }
}

/// The size of the value that starts with `marker`; `None` if its length field is incomplete.
fn value_size(marker: Marker, rest: &[u8]) -> Result<Option<ValueSize>, MessageError> {
    // Reads a big-endian length field of the given size after the marker.
    let length = |bytes: usize| {
        rest.get(1..1 + bytes)
            .map(|b| b.iter().fold(0_usize, |length, byte| length << 8 | usize::from(*byte)))
    };
    let body = |bytes: usize| length(bytes).map(|n| ValueSize::with_body(1 + bytes, n));
    let typed_body = |bytes: usize| length(bytes).map(|n| ValueSize::with_body(2 + bytes, n));
    let array = |bytes: usize| {
        length(bytes).map(|values| match values {
            ..=MAX_ARRAY_VALUES => Ok(ValueSize::with_items(1 + bytes, values)),
            _ => Err(MessageError::TooManyValues),
        })
    };
    let map = |bytes: usize| {
        length(bytes).map(|fields| match fields {
            ..=MAX_MAP_FIELDS => Ok(ValueSize::with_items(1 + bytes, 2 * fields)),
            _ => Err(MessageError::TooManyValues),
        })
    };
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Some(ValueSize::with_body(1, 0))
        }
        Marker::U8 | Marker::I8 => Some(ValueSize::with_body(1, 1)),
        Marker::U16 | Marker::I16 => Some(ValueSize::with_body(1, 2)),
        Marker::U32 | Marker::I32 | Marker::F32 => Some(ValueSize::with_body(1, 4)),
        Marker::U64 | Marker::I64 | Marker::F64 => Some(ValueSize::with_body(1, 8)),
        Marker::FixStr(n) => Some(ValueSize::with_body(1, usize::from(n))),
        Marker::Str8 | Marker::Bin8 => body(1),
        Marker::Str16 | Marker::Bin16 => body(2),
        Marker::Str32 | Marker::Bin32 => body(4),
        Marker::FixArray(n) => Some(ValueSize::with_items(1, usize::from(n))),
        Marker::Array16 => array(2).transpose()?,
        Marker::Array32 => array(4).transpose()?,
        Marker::FixMap(n) => Some(ValueSize::with_items(1, 2 * usize::from(n))),
        Marker::Map16 => map(2).transpose()?,
        Marker::Map32 => map(4).transpose()?,
        Marker::FixExt1 => Some(ValueSize::with_body(2, 1)),
        Marker::FixExt2 => Some(ValueSize::with_body(2, 2)),
        Marker::FixExt4 => Some(ValueSize::with_body(2, 4)),
        Marker::FixExt8 => Some(ValueSize::with_body(2, 8)),
        Marker::FixExt16 => Some(ValueSize::with_body(2, 16)),
        Marker::Ext8 => typed_body(1),
        Marker::Ext16 => typed_body(2),
        Marker::Ext32 => typed_body(4),
        Marker::Reserved => return Err(MessageError::NotMessagePack),
    })
}
