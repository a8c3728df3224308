//! The storm: a fleet of processes with all pieces on and every fault that the rig has, drawn by a seed; an audit of all rules
//! over all gateways, and of whether the fleet is plain and healthy again once the last fault is healed. A search over seeds, the
//! shrinking of what fails, and a report.

pub mod engines;
pub mod health;
pub mod load;
pub mod play;
pub mod report;
pub mod rows;
pub mod search;
pub mod setting;
pub mod shrink;
