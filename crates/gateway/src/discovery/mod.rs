//! The discovery service: which engines there are, and what state they are in.

mod client;

pub use client::{MAX_EVENT_DELAY, apply_event, start_client};
