//! The decisions of larchfall, without input or output: where each request of a client goes, or not yet, or never.
//!
//! The caller drives one [`policy::Policy`]: it admits a request, routes it until the decision is final, and reports
//! each attempt's end; the endpoint list, progress updates, load reports and a periodic tick come besides. Values that go
//! in and out are in [`types`], time in [`time`]; each further module makes one decision and holds its state.

#![deny(missing_docs)]

pub mod attempt_ledger;
mod cancellation;
mod capacity_pool;
mod class_state;
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
mod memory_grant;
mod outlier_detection;
pub mod policy;
mod request_class;
mod request_record;
mod retry_budget;
mod slow_start;
mod tenant_quota;
pub mod time;
pub mod types;
mod work_estimate;
