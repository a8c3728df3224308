//! What tests and measurements of several gateways need around them: a net between processes that breaks, and whole
//! fleets of members in one process.

pub mod audit;
pub mod duties;
pub mod fleet;
pub mod load;
pub mod net;
pub mod probed;
pub mod process;
pub mod relay;
pub mod script;
pub mod sighted;
pub mod storm;
pub mod vault;
