//! Which gateways of a fleet are alive, as one of them knows it: SWIM with Lifeguard's extensions.
//!
//! The crate does no I/O: points in time, datagrams and a random seed come in, datagrams and changes go out. The options
//! weighed, and what is kept and changed of the sources, stand in docs/membership.md.

#![deny(missing_docs)]

pub mod datagram;
pub mod fleet_size;
pub mod gossip_queue;
pub mod local_health;
pub mod member_update;
pub mod membership;
pub mod suspicion;
