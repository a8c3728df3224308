//! The real gateway: larchfall's decisions on real sockets. `protocols` is what clients speak, `engines` what engines
//! speak, between them a request on its way; `wire` turns bytes into small typed values, `state` is what memory keeps.
//! `cli` is the command line; `startup`, `reload` and `shutdown` are the life of the process; `cluster` is what
//! gateways do among themselves.

pub mod cli;
pub mod client_listener;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod engines;
pub mod intake;
pub mod logging;
pub mod platform;
pub mod protocols;
pub mod reload;
pub mod request;
pub mod shutdown;
pub mod signals;
pub mod startup;
pub mod state;
pub mod subsetting;
pub mod task;
pub mod timer;
pub mod wire;
