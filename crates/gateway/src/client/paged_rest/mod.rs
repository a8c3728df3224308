//! Client connections of the paged REST protocol: `listener` accepts them, `connection` reads calls and writes their
//! responses one after the other, `calls` tells what each call asks for, `statement` admits requests, `pages` answers
//! with the pages of their results, `result_reader` fills these. Which page is whose, and until when, is decided by
//! `larchfall_paged_rest`.

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
