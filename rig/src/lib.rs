//! What tests and measurements of several fronts need around them: a net between processes that breaks, and whole
//! fleets of members in one process.

pub mod fleet;
pub mod net;
