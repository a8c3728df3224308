//! The real gateway: larchfall's policy on real sockets. A request comes by one of `protocols`, is admitted in
//! `admission`, lives in `request` and is sent by `engine`; `wire` turns bytes into typed values, `state` is what memory
//! keeps, `run` starts and stops; beside them the coroutines.

pub mod admission;
pub mod cluster;
pub mod discovery;
pub mod engine;
pub mod protocols;
pub mod request;
pub mod request_context;
pub mod run;
pub mod state;
pub mod subset;
pub mod timer;
pub mod wire;
