//! Table-driven tests of the codecs. Complete frames, requests and replies are also decoded truncated at every byte.

mod discovery;
mod engine_http;
mod message_pack;
mod statement;
