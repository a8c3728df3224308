//! What this gateway says to engines: attempts, load reports, and the connections that carry both. Nothing here knows
//! which protocol a request came by.

pub mod attempt;
pub mod cancellation;
pub mod connection;
pub mod load_report;
mod polling;
mod result_pages;
