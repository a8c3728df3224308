//! Where the first message in a connection's bytes ends.

use super::{MAX_MESSAGE_BYTES, MessageError};
use rmp::Marker;

/// Levels of values within each other: a message, its parameters, the fields, and some to spare.
const MAX_LEVELS: usize = 8;

/// How far the first message in some bytes has been scanned. Bytes that come in pieces are not scanned from the start
/// again with each piece: a message costs its length, not its square.
#[derive(Debug, Default)]
pub struct FrameScanner {
    scanned: usize,
    /// Values still to come, by level.
    remaining: Vec<usize>,
}

/// The extent of one value, without the values that are part of it.
struct Extent {
    head: usize,
    body: usize,
    /// How many values follow as parts of this one.
    items: usize,
}

impl Extent {
    const fn of_body(head: usize, body: usize) -> Extent {
        Extent { head, body, items: 0 }
    }

    const fn of_items(head: usize, items: usize) -> Extent {
        Extent { head, body: 0, items }
    }
}

impl FrameScanner {
    /// The length of the first message once it is complete. Each call is given the same bytes and more.
    pub fn complete_length(&mut self, bytes: &[u8]) -> Result<Option<usize>, MessageError> {
        loop {
            let rest = &bytes[self.scanned..];
            let Some(marker) = rest.first().map(|byte| Marker::from_u8(*byte)) else { return Ok(None) };
            let Some(Extent { head, body, items }) = extent(marker, rest)? else { return Ok(None) };
            let end = self.scanned.saturating_add(head).saturating_add(body);
            if end > MAX_MESSAGE_BYTES || items > MAX_MESSAGE_BYTES {
                return Err(MessageError::TooLong);
            }
            if end > bytes.len() {
                return Ok(None);
            }
            self.scanned = end;
            if items > 0 {
                if self.remaining.len() >= MAX_LEVELS {
                    return Err(MessageError::NestedTooDeep);
                }
                self.remaining.push(items);
            } else if self.value_ended() {
                return Ok(Some(self.scanned));
            }
        }
    }

    /// Counts a value that holds no others, and every value that ends with it; true when the message ended.
    fn value_ended(&mut self) -> bool {
        while let Some(remaining) = self.remaining.last_mut() {
            *remaining -= 1;
            if *remaining > 0 {
                return false;
            }
            self.remaining.pop();
        }
        true
    }
}

/// The extent of the value that starts here; `None` while its head is not complete.
fn extent(marker: Marker, rest: &[u8]) -> Result<Option<Extent>, MessageError> {
    // A big-endian length of so many bytes behind the marker.
    let length = |bytes: usize| {
        rest.get(1..1 + bytes).map(|b| b.iter().fold(0_usize, |n, byte| n << 8 | usize::from(*byte)))
    };
    let body = |bytes: usize| length(bytes).map(|n| Extent::of_body(1 + bytes, n));
    let typed_body = |bytes: usize| length(bytes).map(|n| Extent::of_body(2 + bytes, n));
    let items = |bytes: usize, per_entry: usize| {
        length(bytes).map(|n| Extent::of_items(1 + bytes, n.saturating_mul(per_entry)))
    };
    Ok(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            Some(Extent::of_body(1, 0))
        }
        Marker::U8 | Marker::I8 => Some(Extent::of_body(1, 1)),
        Marker::U16 | Marker::I16 => Some(Extent::of_body(1, 2)),
        Marker::U32 | Marker::I32 | Marker::F32 => Some(Extent::of_body(1, 4)),
        Marker::U64 | Marker::I64 | Marker::F64 => Some(Extent::of_body(1, 8)),
        Marker::FixStr(n) => Some(Extent::of_body(1, usize::from(n))),
        Marker::Str8 | Marker::Bin8 => body(1),
        Marker::Str16 | Marker::Bin16 => body(2),
        Marker::Str32 | Marker::Bin32 => body(4),
        Marker::FixArray(n) => Some(Extent::of_items(1, usize::from(n))),
        Marker::Array16 => items(2, 1),
        Marker::Array32 => items(4, 1),
        Marker::FixMap(n) => Some(Extent::of_items(1, 2 * usize::from(n))),
        Marker::Map16 => items(2, 2),
        Marker::Map32 => items(4, 2),
        Marker::FixExt1 => Some(Extent::of_body(2, 1)),
        Marker::FixExt2 => Some(Extent::of_body(2, 2)),
        Marker::FixExt4 => Some(Extent::of_body(2, 4)),
        Marker::FixExt8 => Some(Extent::of_body(2, 8)),
        Marker::FixExt16 => Some(Extent::of_body(2, 16)),
        Marker::Ext8 => typed_body(1),
        Marker::Ext16 => typed_body(2),
        Marker::Ext32 => typed_body(4),
        Marker::Reserved => return Err(MessageError::NotMessagePack),
    })
}
