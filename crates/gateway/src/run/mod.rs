//! Start and stop: configuration, command line, listening, signals, the end.

pub mod command;
pub mod config;
pub mod log;
pub mod parts;
pub mod reload;
pub mod serve;
pub mod stop;
pub mod survey;
