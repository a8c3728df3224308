//! What clients speak: one file each. All take batches in by the same way, `intake`, and each hands out what its
//! readers are given in its own words.

pub mod rest;
pub mod rpc;
