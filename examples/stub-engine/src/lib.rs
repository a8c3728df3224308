//! Toy counterparts of a gateway: a query engine, a discovery service and a client. They speak the protocols and no
//! more; the gateway's tests and `main.rs` beside this use them.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod hall;
pub mod rest;
