//! Errors of invalid settings. An error of a value names the field by its keys in the JSON text, such as
//! `classes[0].aim`.

/// Why settings are invalid.
#[derive(Debug, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum SettingsError {
    /// The text is not JSON, or a value has the wrong type.
    #[error("settings: {error}")]
    Syntax { error: serde_json::Error },
    #[error("settings: {field}: {problem}")]
    Field { field: String, problem: Problem },
}

impl SettingsError {
    pub(crate) fn field(field: impl Into<String>, problem: Problem) -> SettingsError {
        SettingsError::Field { field: field.into(), problem }
    }
}

/// What is wrong with the value of one field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum Problem {
    #[error("{gateway} is not less than instances ({gateways})")]
    GatewayOutOfRange { gateway: usize, gateways: usize },
    #[error("{zone} is not an index into zones, which has {zones} entries")]
    ZoneOutOfRange { zone: usize, zones: usize },
    #[error("{value} is not a finite number of at least 0")]
    NegativeOrNotFinite { value: f64 },
    #[error("the name is missing or empty")]
    EmptyName,
    #[error("'{name}' is listed twice")]
    Duplicate { name: String },
    #[error("missing or zero; must be at least 1 microsecond, or no request can meet its deadline")]
    NoTimeLimit,
    #[error("missing or zero; must be at least 1 microsecond, or no request can meet its objective")]
    NoLatencyObjective,
    #[error("missing or zero; must be at least 1 microsecond if effect is idempotency_key")]
    NoDeduplicationWindow,
    #[error("the list is empty, which allows no engine")]
    EmptyAllowList,
    #[error("index {index} is out of range: the settings define {length}")]
    IndexOutOfRange { index: usize, length: usize },
    #[error("has {entries} entries for {classes} classes")]
    TooManyEntries { entries: usize, classes: usize },
    #[error("has {entries} entries for {kinds} models")]
    TooFewEntries { entries: usize, kinds: usize },
    #[error("{value} is not between 0 and 1")]
    NotAFraction { value: f64 },
    #[error("missing or zero; must be greater than 0 if fall and fall_multiple are set")]
    NoInitialWarmUpFactor,
    #[error("missing or zero; must be at least 1 microsecond if budget_free or extra_per_request is set")]
    NoRetryWindow,
    #[error("unknown value '{value}'; expected {expected}")]
    UnknownValue { value: String, expected: &'static str },
}
