//! Communication with engines: attempts, load reports, and the connections for both. Independent of the protocol by
//! which a client sent its request.

pub mod attempt;
pub mod cancellation;
pub mod connection;
pub mod load_report;
mod polling;
mod result_pages;
