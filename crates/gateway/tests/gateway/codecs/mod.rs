//! Bytes to typed values and back: tables of cases, each input also cut at every byte.

mod discovery;
mod engine_http;
mod message_pack;
mod statement;
