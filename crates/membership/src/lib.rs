//! Membership of the gateway fleet: each gateway detects which gateways are alive with the SWIM protocol and its
//! Lifeguard extensions.
//!
//! The crate does no I/O. Its inputs are timestamps, datagrams and a random seed; its outputs are datagrams and member
//! changes. docs/membership.md explains the choice of protocol and the differences from the papers.

#![deny(missing_docs)]

pub mod datagram;
pub mod fleet_size;
pub mod gossip_queue;
pub mod local_health;
pub mod member_update;
pub mod membership;
pub mod suspicion;
