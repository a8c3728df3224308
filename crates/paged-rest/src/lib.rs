//! The paged REST protocol that distributed SQL engines publish for their clients, free of input and output:
//! `call` reads what clients send, `words` says what a request is made of, `cursor` and `results` decide who may
//! ask for which page and until when, `slug` makes addresses that can't be guessed, `document` is the JSON.

pub mod call;
pub mod cursor;
pub mod document;
pub mod results;
pub mod slug;
pub mod words;
