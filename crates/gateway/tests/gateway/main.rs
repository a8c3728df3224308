//! The gateway's tests: codecs and memory as tables of cases, and the program on loopback sockets.

mod cli;
mod cluster;
mod codecs;
mod common;
mod cost;
mod crossings;
mod memory;
mod rest;
mod sockets;
mod together;
