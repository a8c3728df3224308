//! What engines speak: one file each, and the connections to them. They know what is to be sent and who reads the
//! rows, and nothing of how either came in.

pub mod attempt;
pub mod link;
mod result;
