//! The discovery service: which engines there are, and what state they are in.

mod client;

pub use client::{REPORTED_WITHIN, apply, start};
