//! Leased roles: tasks that only one gateway of a cluster performs at a time, such as health checks or quota
//! allocation.
//!
//! A gateway holds a role while a majority of voters has granted it a lease. It acts under a fencing token that
//! increases with each lease holder. The crate does no I/O: the caller supplies the time and a random seed, sends and
//! receives the datagrams, and writes the voter record to disk.

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
