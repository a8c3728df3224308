//! What tests and measurements of several gateways need: gateways as processes, with a network, clocks and disks that break;
//! stub engines and clients around them; an audit of what they recorded; and simulations of whole clusters in one process.

#![deny(missing_docs)]

pub mod audit;
pub mod fault_script;
pub mod fenced_resource;
pub mod gateway_cluster;
pub mod gateway_config;
pub mod gateway_process;
pub mod load;
pub mod network;
pub mod probing_cluster;
pub mod process_log;
pub mod proxy;
pub mod recording_engine;
pub mod scenario;
pub mod simulation;
pub mod sync;
pub mod usual_clients;
pub mod wait;
