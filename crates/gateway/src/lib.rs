//! The real gateway: larchfall's decisions on real sockets. `protocols` is what clients speak, `engines` what engines
//! speak, between them a request on its way; `wire` turns bytes into small typed values, `state` is what memory keeps,
//! `run` starts and stops; beside them the coroutines.

pub mod cluster;
pub mod discovery;
pub mod engines;
pub mod intake;
pub mod protocols;
pub mod request;
pub mod run;
pub mod state;
pub mod subset;
pub mod task;
pub mod timer;
pub mod wire;
