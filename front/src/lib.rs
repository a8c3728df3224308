//! The real front: larchfall's decisions on real sockets. `wire` turns bytes into small typed values, `state`
//! is what memory keeps, `run` starts and stops; beside them the coroutines.

pub mod batch;
pub mod board;
pub mod client;
pub mod dispatch;
pub mod link;
pub mod run;
pub mod state;
pub mod timer;
pub mod wire;
