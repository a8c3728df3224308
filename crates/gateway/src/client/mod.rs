//! Client protocols, one module for each. Requests of both protocols are admitted by `crate::admission`; each protocol
//! returns results in its own format.

mod close_reason;
mod linger;
pub mod message_pack;
pub mod paged_rest;
mod readiness;
mod transfer;

use close_reason::CloseReason;
