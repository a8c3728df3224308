//! A client's request before admission, independent of the client's protocol. Validates the text of its fields and
//! converts them to numbers.

use larchfall_policy::time::Duration;

/// Largest timeout or work hint, in milliseconds: one day. No client means a longer one.
const MAX_MILLISECONDS: f64 = 86_400_000.0;
/// Largest memory hint, in megabytes: 1 TB. No query uses that much, and no engine could be asked for more than that.
const MAX_MEGABYTES: f64 = 1_048_576.0;
/// Number of hex digits of a request id, and the maximum number of an ordering key.
const ID_HEX_DIGITS: usize = 16;
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// A request with parsed fields, whose class and tenant have not been looked up yet.
#[derive(Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Request id: 16 hex digits.
    pub id: &'a str,
    /// Numeric value of `id`.
    pub id_number: u64,
    /// Name of the tenant; empty if the request names none.
    pub tenant: &'a str,
    /// How long the client waits for the answer; `None` if the request has no timeout.
    pub timeout: Option<Duration>,
    /// Key by which engines recognize and drop a repeated request.
    pub idempotency_key: Option<&'a str>,
    /// Requests with the same key run one at a time, in order.
    pub ordering_key: Option<u64>,
    /// The client's estimate of the processing time on one core; `None` if unknown.
    pub work_hint: Option<Duration>,
    /// The client's estimate of the memory in megabytes; `None` if unknown.
    pub memory_hint_mb: Option<f64>,
    /// Statement for the engine.
    pub statement: &'a [u8],
}

/// Parses up to 16 hex digits. `from_str_radix` alone would also accept a sign.
fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.len() <= ID_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex)
}

/// Parses a number from 0 to `maximum`. Rejects infinity and NaN.
fn parse_number_up_to(text: &str, maximum: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| (0.0..=maximum).contains(number))
}

/// Parses a request id: exactly 16 hex digits.
pub fn parse_id(text: &str) -> Option<u64> {
    parse_hex(text).filter(|_| text.len() == ID_HEX_DIGITS)
}

/// Parses an ordering key: up to 16 hex digits.
pub fn parse_ordering_key(text: &str) -> Option<u64> {
    parse_hex(text)
}

/// Whether an idempotency key can be sent to engines in an HTTP header: 1 to 128 ASCII letters, digits and hyphens.
pub fn is_valid_idempotency_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES && text.bytes().all(is_allowed)
}

/// Parses a timeout in milliseconds, from 1 to `MAX_MILLISECONDS`.
pub fn parse_timeout(text: &str) -> Option<Duration> {
    parse_number_up_to(text, MAX_MILLISECONDS).filter(|ms| *ms >= 1.0).map(|ms| Duration::from_secs(ms / 1e3))
}

/// Parses a client's estimate of the processing time on one core, in milliseconds. Zero means unknown and returns
/// `Some(None)`.
pub fn parse_work_hint(text: &str) -> Option<Option<Duration>> {
    parse_number_up_to(text, MAX_MILLISECONDS)
        .map(|ms| Some(Duration::from_secs(ms / 1e3)).filter(|_| ms > 0.0))
}

/// Parses a client's estimate of memory in megabytes. Zero means unknown and returns `Some(None)`.
pub fn parse_memory_hint(text: &str) -> Option<Option<f64>> {
    parse_number_up_to(text, MAX_MEGABYTES).map(|mb| Some(mb).filter(|_| mb > 0.0))
}
