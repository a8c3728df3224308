//! Why settings are refused. Each refusal of a value names its field by the keys of the settings.

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum SettingsError {
    /// No JSON, or a value of another type.
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
    #[error("not under instances")]
    GatewayOutOfRange { gateway: usize, gateways: usize },
    #[error("no place in zones")]
    ZoneOutOfRange { zone: usize, zones: usize },
    #[error("no number from zero up")]
    NotNonNegative { value: f64 },
    #[error("without a name")]
    EmptyName,
    #[error("'{name}' comes twice")]
    Duplicate { name: String },
    #[error("missing or zero: nothing can be answered in time")]
    NoTimeLimit,
    #[error("missing or zero: nothing is ever on time")]
    NoLatencyObjective,
    #[error("missing or zero where repeats are known by a key")]
    NoDeduplicationWindow,
    #[error("leaves no engine open")]
    EmptyAllowList,
    #[error("names a place that is not in the settings")]
    IndexOutOfRange { index: usize, length: usize },
    #[error("of {named} classes, and there are {classes}")]
    TooManyEntries { named: usize, classes: usize },
    #[error("does not name each of models")]
    TooFewEntries { named: usize, kinds: usize },
    #[error("no share between 0 and 1")]
    NotAFraction { value: f64 },
    #[error("missing or zero where an engine in slow start falls at a multiple of it")]
    NoInitialCapacity,
    #[error("missing or zero where further attempts have a budget")]
    NoRetryWindow,
    #[error("unknown word '{value}'")]
    UnknownValue { value: String },
}
