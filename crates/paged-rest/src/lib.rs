//! The server side of the paged REST protocol of distributed SQL engines (Trino and Presto), without input and output.
//! A client submits a statement and fetches its result page by page; each page has the address of the next page.
//!
//! - A *call* is an HTTP request of a client; [`call`] decodes calls and encodes their responses. A *request* is the
//!   statement that the gateway routes to an engine; [`request_fields`] finds the fields of a request in a call.
//! - [`call_slots`] bounds the calls that wait for pages.
//! - [`cursor`] buffers the pages of one result, and decides which pages a client may fetch and until when.
//!   [`results`] holds all open results and limits their number and memory.
//! - [`page_address`] makes page addresses that can't be guessed.
//! - [`document`] encodes pages as JSON.

#![deny(missing_docs)]

pub mod call;
pub mod call_slots;
pub mod cursor;
pub mod document;
pub mod page_address;
pub mod request_fields;
pub mod results;
