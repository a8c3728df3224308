//! Client connections of the paged REST protocol. `listener` accepts connections, `connection` reads calls and writes
//! their responses one at a time, `calls` dispatches each call, `statement` admits requests, `result_reader` turns rows
//! into pages, and `pages` returns the pages to clients. `larchfall_paged_rest` decides which result a page belongs to
//! and how long the page is kept.

mod calls;
mod connection;
mod listener;
mod pages;
mod request_fields;
mod responses;
mod result_reader;
mod service;
mod statement;

pub use listener::accept;
pub use pages::abandon_request;
pub use service::RestService;
