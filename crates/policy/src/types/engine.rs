//! Engines as the endpoint list names them.

use crate::time::Timestamp;

/// One query engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Its zone.
    pub zone: usize,
    /// Its kind, which tells its size.
    pub kind: usize,
    /// Its cell within the zone.
    pub cell: usize,
    /// Whether it takes new attempts.
    pub state: EngineState,
    /// When it last started; `None` is long ago.
    pub start_time: Option<Timestamp>,
}

/// Whether an engine takes new attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    #[default]
    Ready,
    /// It ends what it has, and takes nothing new past a grace period.
    Draining,
    /// It is no longer listed.
    Gone,
}
