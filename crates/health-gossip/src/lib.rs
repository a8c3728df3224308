//! Health gossip: gateways share their observations of engines for outlier detection.
//!
//! Each gateway reports only its own observations and forwards nothing. Reports carry cumulative counts, so that
//! reordered, duplicated and lost datagrams do no harm. Reports from several independent sources are needed before
//! failures count ([`aggregation`]), and gateways take turns at probing ejected engines ([`probe_slots`]). The crate
//! does no I/O.

#![deny(missing_docs)]

pub mod aggregation;
pub mod counts;
pub mod datagram;
pub mod health_gossip;
pub mod observation_store;
pub mod observations;
pub mod probe_slots;

use serde::{Deserialize, Serialize};

/// Identifies a process of an engine. A restarted engine has the same address but is another process. Encoded by
/// position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineProcess {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// Start time of the process according to the endpoint list, in milliseconds.
    pub started_ms: u64,
}
