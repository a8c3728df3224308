//! Tables of cases on the decisions, without the bench.

mod cancellation;
#[path = "../common/mod.rs"]
mod common;
mod engines;
mod limits;
mod outlier_detection;
mod requests;
mod rules;
mod selection;
