//! Outlier observations of several gateways, brought together.
//!
//! Each gateway reports only what it observed of engines itself, in counts that only grow, so that order, duplication and
//! loss of datagrams do not matter and nothing is forwarded. How much another's report counts follows from how independent
//! it is ([`aggregation`]), and gateways take turns at probing ejected engines ([`probe_slots`]). The crate does no I/O.

#![deny(missing_docs)]

pub mod aggregation;
pub mod counts;
pub mod datagram;
pub mod health_gossip;
pub mod observation_store;
pub mod observations;
pub mod probe_slots;

use serde::{Deserialize, Serialize};

/// A process of an engine. Another process at the same address is another one. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineProcess {
    /// The engine's id in the endpoint list.
    pub id: u32,
    /// When the endpoint list says that it started, in milliseconds.
    pub started_ms: u64,
}
