//! Engines as the endpoint list describes them.

use crate::time::Timestamp;

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Index of the engine's zone.
    pub zone: usize,
    /// Index of the engine kind, which determines the number of cores and the memory.
    pub kind: usize,
    /// Index of the engine's cell within the zone.
    pub cell: usize,
    /// Whether the engine accepts new attempts.
    pub state: EngineState,
    /// Time of the last start of the engine's process. `None` means that the start is too long ago for slow
    /// start.
    pub start_time: Option<Timestamp>,
}

/// Whether an engine accepts new attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts new attempts.
    #[default]
    Ready,
    /// The engine finishes the attempts that it has, and rejects new ones after a grace period.
    Draining,
    /// The endpoint list no longer names the engine.
    Gone,
}
