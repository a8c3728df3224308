//! Wire formats of the gateway: conversion between bytes and typed values. Only this module knows the field names that
//! other programs use. The codecs read no clock, socket or setting.

pub mod client_request;
pub mod discovery;
pub mod engine_http;
pub mod message_pack;
pub mod statement;

/// A value that was decoded from the start of a byte slice.
#[derive(Debug, PartialEq)]
pub struct Decoded<T> {
    /// The decoded value.
    pub value: T,
    /// Number of bytes that the value's encoding occupies.
    pub length: usize,
}
