//! Leased roles: work that one gateway of a fleet does at a time.
//!
//! A gateway holds a role while a majority of voters has granted it a lease, and acts under a fencing token that grows
//! with each holder. The crate does no I/O: clock, random seed, datagrams and the disk are the caller's.

#![deny(missing_docs)]

pub mod candidacy;
pub mod fencing;
pub mod fitness;
pub mod load_sharing;
pub mod manager;
pub mod messages;
pub mod quorum;
pub mod spread;
pub mod voter;
pub mod voter_record;
