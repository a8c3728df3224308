//! The real front: larchfall's decisions on real sockets. `protocols` is what clients speak, `engines` what engines
//! speak, between them a batch on its way; `wire` turns bytes into small typed values, `state` is what memory keeps,
//! `run` starts and stops; beside them the coroutines.

pub mod batch;
pub mod board;
pub mod engines;
pub mod fronts;
pub mod intake;
pub mod protocols;
pub mod run;
pub mod state;
pub mod subset;
pub mod task;
pub mod timer;
pub mod wire;
