//! The gateway's integration tests: table-driven tests of codecs and single modules, and tests that run the program on
//! loopback sockets.

mod cli;
mod client_isolation;
mod cluster;
mod codecs;
mod combined_faults;
mod common;
mod engine_connections;
mod in_process;
mod paged_rest;
mod protocol_cost;
mod races;
mod scripted_engine;
mod sockets;
mod state;
mod timers;
