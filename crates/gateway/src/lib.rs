//! The gateway process: connects larchfall's policy to sockets, clocks and files.
//!
//! - `client` accepts requests by MessagePack-RPC and by the paged REST protocol, `admission` admits or rejects them,
//!   `request` tracks their attempts, and `engine` sends the attempts to engines.
//! - `codec` converts between bytes and typed values, and `state` holds what the coroutines share.
//! - `cli` parses the command line; `startup`, `reload` and `shutdown` manage the life of the process.
//! - `cluster` communicates with the other gateways: membership, leases, quotas and health gossip.

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
