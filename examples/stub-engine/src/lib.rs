//! Toy counterparts of a front: a query engine, a notice board and a client. They speak the protocols and no
//! more; the front's tests and `main.rs` beside this use them.

pub mod board;
pub mod client;
pub mod engine;
pub mod hall;
pub mod rest;
