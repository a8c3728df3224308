//! The gateway's tests: codecs and memory as tables of cases, and the program on loopback sockets.

mod cluster;
mod codecs;
mod combined_faults;
mod common;
mod memory;
mod protocol_cost;
mod races;
mod rest;
mod scripted_engine;
mod sockets;
