//! Duties of which each is held by one gateway at a time: who may act, under which token, and for how long yet. Without
//! input or output: clock, chance, datagrams and the disk are the caller's.

pub mod bid;
pub mod duties;
pub mod elector;
pub mod fitness;
pub mod permit;
pub mod probing;
pub mod quorum;
pub mod record;
pub mod spread;
pub mod wire;
