//! The front's tests: codecs and memory as tables of cases, and the program on loopback sockets.

mod codecs;
mod common;
mod cost;
mod crossings;
mod fronts;
mod memory;
mod rest;
mod sockets;
mod together;
