//! The real gateway: larchfall's policy on real sockets. A request comes by one of the protocols in `client`, is admitted in
//! `admission`, lives in `request` and is sent by `engine`; `codec` turns bytes into typed values, `state` is what memory
//! keeps. `cli` is the command line; `startup`, `reload` and `shutdown` are the life of the process; `cluster` is what
//! gateways do among themselves.

#![deny(missing_docs)]

pub mod admission;
pub mod cli;
pub mod client;
pub mod cluster;
pub mod codec;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod logging;
pub mod platform;
pub mod reload;
pub mod request;
pub mod request_context;
pub mod shutdown;
pub mod signals;
pub mod startup;
pub mod state;
pub mod subsetting;
pub mod timer;
