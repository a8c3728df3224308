//! The deserialized JSON settings. Times are in microseconds. An error of a wrong type shows the name of the struct; a
//! renamed struct keeps the name of earlier releases in `expecting`.

use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Raw {
    #[serde(rename = "az")]
    pub(crate) zone: usize,
    pub(crate) discovery: String,
    pub(crate) caps: RawCaps,
    pub(crate) classes: Vec<RawClass>,
    pub(crate) domain: RawDomain,
    #[serde(rename = "instances")]
    pub(crate) gateways: usize,
    pub(crate) me: usize,
    #[serde(rename = "models")]
    pub(crate) kinds: Vec<String>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(rename = "period")]
    pub(crate) clock_resolution: u64,
    #[serde(rename = "prices")]
    pub(crate) costs: RawCosts,
    pub(crate) safety: RawSafety,
    #[serde(rename = "stats")]
    pub(crate) load_reports: RawLoadReports,
    pub(crate) zones: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawCaps {
    #[serde(rename = "cancel")]
    pub(crate) can_cancel: bool,
    pub(crate) connect_timeout: u64,
    #[serde(rename = "idle_close")]
    pub(crate) idle_timeout: u64,
    #[serde(rename = "probes")]
    pub(crate) health_checks: bool,
    pub(crate) max_attempts: usize,
    #[serde(rename = "second_copies")]
    pub(crate) hedging: Option<bool>,
    pub(crate) max_retry_after: u64,
    pub(crate) retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct RawGroup")]
pub(crate) struct RawClass {
    #[serde(rename = "aim")]
    pub(crate) latency_objective: u64,
    #[serde(rename = "aim_stretch")]
    pub(crate) objective_stretch: f64,
    #[serde(rename = "dedup_window")]
    pub(crate) deduplication_window: u64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    #[serde(rename = "hard_limit")]
    pub(crate) time_limit: u64,
    #[serde(rename = "keep_order")]
    pub(crate) in_order: bool,
    #[serde(rename = "key_scope")]
    pub(crate) deduplication_scope: String,
    #[serde(rename = "models_open")]
    pub(crate) allowed_kinds: Option<Vec<usize>>,
    pub(crate) name: String,
    #[serde(rename = "stays_in")]
    pub(crate) allowed_zones: Option<Vec<usize>>,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawDomain {
    #[serde(rename = "blocked_by_loads")]
    pub(crate) waits_for_data_lock: Vec<bool>,
    #[serde(rename = "cost_in_answers")]
    pub(crate) outcomes_report_work: bool,
    #[serde(rename = "grants")]
    pub(crate) memory_grants: bool,
    #[serde(rename = "note_period")]
    pub(crate) progress_interval: u64,
    pub(crate) out_of_memory: String,
    #[serde(rename = "size_cores")]
    pub(crate) kind_cores: Vec<f64>,
    #[serde(rename = "size_mb")]
    pub(crate) kind_memory_mb: Vec<f64>,
    #[serde(rename = "threads_by_class")]
    pub(crate) class_threads: Vec<f64>,
    #[serde(rename = "writes_tables")]
    pub(crate) locks_data_set: Vec<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct RawCustomer")]
pub(crate) struct RawTenant {
    #[serde(rename = "allowance_per_s")]
    pub(crate) quota_rate: f64,
    pub(crate) name: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawSafety {
    pub(crate) drain_grace: u64,
    #[serde(rename = "budget_free")]
    pub(crate) free_retries: Option<f64>,
    #[serde(rename = "cold_from")]
    pub(crate) initial_warm_up_factor: f64,
    #[serde(rename = "extra_per_request")]
    pub(crate) retries_per_request: Option<f64>,
    #[serde(rename = "extra_window")]
    pub(crate) retry_window: Option<u64>,
    #[serde(rename = "fall")]
    pub(crate) overload_window: u64,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "key_quiet")]
    pub(crate) key_cooldown: u64,
    #[serde(rename = "ramp_time")]
    pub(crate) warm_up_time: u64,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct RawPrices")]
pub(crate) struct RawCosts {
    #[serde(rename = "handshake")]
    pub(crate) connection: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct RawStats")]
pub(crate) struct RawLoadReports {
    #[serde(rename = "how")]
    pub(crate) source: String,
    pub(crate) fields: Vec<String>,
}
