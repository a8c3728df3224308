//! Why an operator's file is refused. Every refusal of a value names its line, table and field.

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ReadError {
    #[error("{path}: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Invalid { path: String, error: ConfigError },
}

/// Why the text of a file can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum ConfigError {
    /// No TOML, or keys that are unknown, missing or of another type.
    #[error("line {line}: {message}")]
    Syntax { line: usize, message: String },
    /// The same where the parser names no place.
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
    #[error("wanted 1 to {maximum} bytes")]
    NameLength { value: String, maximum: usize },
    #[error("no IPv4 address with a port")]
    InvalidIpv4Address { value: String },
    #[error("no address with a port")]
    InvalidAddress { value: String },
    #[error("wanted an address and its bits, as 10.0.0.0/24")]
    InvalidNetwork { value: String },
    #[error("others need an address and a port of it")]
    UnreachableAddress { address: std::net::SocketAddrV4 },
    #[error("others that are asked to help need as long again within a period")]
    ReplyTimeoutTooLong { reply_timeout_ms: u64, period_ms: u64 },
    #[error("needs a [fronts] table")]
    NeedsMembership,
    #[error("wanted the names of 3, 5 or 7 fronts")]
    InvalidVoterNames { names: Vec<String> },
    #[error("electors would grant less than lease-ms")]
    MaximumBelowLease { maximum_ms: u64, lease_ms: u64 },
    #[error("what is read each probe-ms would be old before it is read again")]
    StaleBeforeNextProbe { fresh_ms: u64, probe_ms: u64 },
    #[error("wanted 1 to {maximum} bytes that no other duty has")]
    InvalidRoleName { value: String, maximum: usize },
    #[error("names no program")]
    EmptyCommand,
    #[error("wanted http:// or https://, host and port")]
    InvalidBaseUrl { value: String },
    #[error("a result must be kept for longer than a call for a page is held back")]
    RetentionTooShort { retention_ms: u64, poll_ms: u64 },
    #[error("no source names the service group")]
    NoClassSource,
    #[error("the settings have customers, and no source names one")]
    NoTenantSource,
    #[error("'{value}' is not in the settings")]
    UnknownName { value: String },
}
