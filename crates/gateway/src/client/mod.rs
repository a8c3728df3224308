//! What clients speak, one module for each protocol. Requests of both are admitted by `intake`, and each protocol
//! hands results to its clients in its own form.

mod close_reason;
pub mod message_pack;
pub mod paged_rest;

use close_reason::CloseReason;
