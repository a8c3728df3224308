//! Table-driven tests of the routing policy, without engines, network or clock.

mod cancellation;
#[path = "../common/mod.rs"]
mod common;
mod engines;
mod limits;
mod outlier_detection;
mod requests;
mod rules;
mod selection;
