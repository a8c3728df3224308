//! The simulator's wire format: `reader` decodes fields, `event` decodes events, and `reply` encodes actions. Event
//! names and numeric codes of the wire format occur only in this module and in error messages.

pub(crate) mod event;
pub(crate) mod reader;
pub(crate) mod reply;

/// Address and port of an engine, six bytes in wire format, which are compared and copied but never interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EngineAddress(pub(crate) [u8; 6]);
