//! Fault scenarios: a cluster of processes with all features on and every fault of a script, drawn from a seed; an audit of
//! the rules over all gateways, and of whether the cluster is healthy again once the last fault is healed. A search over
//! seeds, the shrinking of scripts that fail, and a report.

pub mod client;
pub mod cluster_view;
pub mod config;
pub mod engines;
pub mod findings;
pub mod observer;
mod processes;
pub mod records;
pub mod report;
pub mod run;
pub mod search;
pub mod shrink;
