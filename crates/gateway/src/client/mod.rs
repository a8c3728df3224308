//! Client protocols, one module for each. Connections of both protocols are accepted by `listener`, and their requests
//! are admitted by `crate::admission`; each protocol returns results in its own format.

mod close_reason;
mod input_clock;
mod linger;
mod listener;
pub mod message_pack;
mod pacing;
pub mod paged_rest;
mod readiness;
mod transfer;

use close_reason::CloseReason;
