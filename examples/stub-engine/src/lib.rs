//! Counterparts with which to try and to test a gateway: query engines, a discovery service and clients. They speak the
//! protocols and no more; the gateway's tests and `main.rs` beside this use them.

#![deny(missing_docs)]

pub mod client;
pub mod discovery;
pub mod engine;
mod engine_api;
mod http;
pub mod rest;
pub mod stub_engines;
