//! The paged REST protocol that distributed SQL engines publish for their clients, without input or output: [`call`]
//! reads calls and writes responses, [`request_fields`] finds the fields of a request in a call, [`cursor`] and
//! [`results`] decide who may ask for which page and until when, [`page_address`] makes addresses that can't be
//! guessed, [`document`] is the JSON.

#![deny(missing_docs)]

pub mod call;
pub mod cursor;
pub mod document;
pub mod page_address;
pub mod request_fields;
pub mod results;
