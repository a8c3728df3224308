//! Follows the discovery service, which lists the engines and their states.

mod client;

pub use client::{MAX_EVENT_DELAY, apply_event, start_client};
