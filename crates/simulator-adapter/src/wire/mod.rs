//! The simulator's wire: `reader` reads fields, `event` makes events of them, `reply` writes actions. The wire's names
//! and codes are known here only.

pub(crate) mod event;
pub(crate) mod reader;
pub(crate) mod reply;

/// Address and port of an engine, as the wire has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EngineAddress(pub(crate) [u8; 6]);
