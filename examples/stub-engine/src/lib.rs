//! Stub engines, a stub discovery service and blocking clients for trying out and testing a gateway. They implement the
//! network protocols without executing queries; the tests of the gateway and the `larchfall-stub` program use them.

#![deny(missing_docs)]

pub mod client;
pub mod discovery;
pub mod engine;
mod engine_api;
mod http;
pub mod rest;
pub mod stub_engines;
