//! Errors of an invalid operator's file. An error of a value names its line, table and field.

/// Why an operator's file could not be loaded.
#[derive(Debug, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ReadError {
    #[error("{path}: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Invalid { path: String, error: ConfigError },
}

/// Why the text of an operator's file is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ConfigError {
    /// The text is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("line {line}: {message}")]
    Syntax { line: usize, message: String },
    /// A syntax error whose line the parser does not report.
    #[error("{message}")]
    SyntaxWithoutLine { message: String },
    #[error("line {line}: {table}.{field}: {problem}")]
    Field { line: usize, table: &'static str, field: &'static str, problem: Problem },
    #[error("line {line}: duty: needs a [duties] table")]
    ProgramWithoutLeases { line: usize },
}

/// What is wrong with the value of one field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum Problem {
    #[error("{value} is not within {minimum} to {maximum}")]
    OutOfRange { value: usize, minimum: usize, maximum: usize },
    #[error("{milliseconds} ms is not within {minimum} to {maximum}")]
    DurationOutOfRange { milliseconds: u64, minimum: u64, maximum: u64 },
    #[error("must be 1 to {maximum} bytes long, got '{value}'")]
    NameLength { value: String, maximum: usize },
    #[error("must be an IPv4 address with a port, got '{value}'")]
    InvalidIpv4Address { value: String },
    #[error("must be an IPv4 address with a port, got '{value}'")]
    InvalidAddress { value: String },
    #[error("must be an IPv4 network such as 10.0.0.0/24, got '{value}'")]
    InvalidNetwork { value: String },
    #[error("other gateways need a specific address and a nonzero port, got {address}")]
    UnreachableAddress { address: std::net::SocketAddrV4 },
    #[error(
        "{reply_timeout_ms} ms exceeds half of period-ms ({period_ms} ms), which leaves too little time for an indirect ping"
    )]
    ReplyTimeoutTooLong { reply_timeout_ms: u64, period_ms: u64 },
    #[error("needs a [fronts] table")]
    NeedsMembership,
    #[error("must list 3, 5 or 7 different gateway names of 1 to {maximum} bytes, got {names:?}")]
    InvalidVoterNames { names: Vec<String>, maximum: usize },
    #[error(
        "{maximum_ms} ms is less than lease-ms ({lease_ms} ms), so voters would reject leases of this length"
    )]
    MaximumBelowLease { maximum_ms: u64, lease_ms: u64 },
    #[error(
        "{fresh_ms} ms is less than probe-ms ({probe_ms} ms), so each load report would expire before the next"
    )]
    StaleBeforeNextProbe { fresh_ms: u64, probe_ms: u64 },
    #[error("must be 1 to {maximum} bytes long and name no other role, got '{value}'")]
    InvalidRoleName { value: String, maximum: usize },
    #[error("must start with the name of a program")]
    EmptyCommand,
    #[error("must be http:// or https:// followed by host and port, got '{value}'")]
    InvalidBaseUrl { value: String },
    #[error(
        "{retention_ms} ms is not longer than poll-ms ({poll_ms} ms), so a result could expire during a call for its page"
    )]
    RetentionTooShort { retention_ms: u64, poll_ms: u64 },
    #[error("must list at least one source of the request class")]
    NoClassSource,
    #[error("must list at least one source, since the platform's settings define tenants")]
    NoTenantSource,
    #[error("'{value}' is not defined in the platform's settings")]
    UnknownName { value: String },
}
