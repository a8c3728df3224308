//! The routing policy of larchfall, without input or output: to which engine each client request is sent, or whether
//! the request waits, is rejected or fails.
//!
//! The caller drives one [`policy::Policy`]: it admits each request, routes the request until the decision is final,
//! and reports the end of each attempt. It also passes in the endpoint list, progress updates and load reports, and
//! calls a periodic tick. [`types`] has the input and output values, [`time`] the time types. Every other module makes
//! one kind of decision and holds the state for it.

#![deny(missing_docs)]

pub mod accept_queue;
pub mod attempt_ledger;
mod cancellation;
mod capacity_pool;
mod class_state;
pub mod client_connection;
mod concurrency_limit;
mod congestion;
mod data_sets;
mod deadline;
mod endpoint_list;
mod engine_record;
mod engine_selection;
pub mod event;
mod health_check;
mod idempotency;
pub mod key_order;
mod load_report;
pub mod memory_budget;
mod memory_grant;
mod outlier_detection;
pub mod policy;
mod request_class;
pub mod request_ids;
mod request_record;
mod retry_budget;
mod slow_start;
mod tenant_quota;
pub mod time;
pub mod types;
mod work_estimate;
