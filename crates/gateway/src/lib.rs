//! The real gateway: larchfall's decisions on real sockets. `client` is what clients speak, `engines` what engines
//! speak, between them a request on its way; `codec` turns bytes into small typed values, `state` is what memory keeps,
//! `run` starts and stops; beside them the coroutines.

pub mod client;
pub mod cluster;
pub mod codec;
pub mod discovery;
pub mod engines;
pub mod intake;
pub mod request;
pub mod run;
pub mod state;
pub mod subset;
pub mod task;
pub mod timer;
