//! A client's request before it is admitted, whichever protocol it came in: the values of its fields are checked and
//! turned from text into numbers here.

use larchfall_policy::time::Duration;

/// No client means a timeout or an estimate of more than a day.
const MAX_MILLISECONDS: f64 = 86_400_000.0;
/// No query uses a terabyte of memory; an engine could not be asked for more either.
const MAX_MEGABYTES: f64 = 1_048_576.0;
/// Hex digits of a request's id, and of an order key at most.
const ID_DIGITS: usize = 16;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// A request with all its fields read, before its class and tenant are looked up.
#[derive(Debug, PartialEq)]
pub struct ClientRequest<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// Its id: 16 hex digits.
    pub id: &'a str,
    /// The id as a number.
    pub id_number: u64,
    /// The name of its tenant; empty where it names none.
    pub tenant: &'a str,
    /// How long its client waits for the answer; `None` where the client does not say.
    pub timeout: Option<Duration>,
    /// Engines drop a repeat that has the same key.
    pub idempotency_key: Option<&'a str>,
    /// Requests of the same key run one after the other.
    pub ordering_key: Option<u64>,
    /// Estimated time on one core.
    pub work_estimate: Option<Duration>,
    /// Estimated memory.
    pub memory_mb: Option<f64>,
    /// What an engine is to run.
    pub statement: &'a [u8],
}

/// Reads up to 16 hex digits. `from_str_radix` alone would also take a sign.
fn hex_number(text: &str) -> Option<u64> {
    let only_digits = text.len() <= ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| only_digits)
}

fn number_up_to(text: &str, maximum: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| (0.0..=maximum).contains(number))
}

/// Reads a request's id: exactly 16 hex digits.
pub fn parse_id(text: &str) -> Option<u64> {
    hex_number(text).filter(|_| text.len() == ID_DIGITS)
}

/// Reads an order key: up to 16 hex digits.
pub fn parse_ordering_key(text: &str) -> Option<u64> {
    hex_number(text)
}

/// Whether an idempotency key can be passed on to engines, in the head of an HTTP call.
pub fn is_valid_idempotency_key(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES && text.bytes().all(is_plain)
}

/// Reads a timeout in milliseconds, at least one.
pub fn parse_timeout(text: &str) -> Option<Duration> {
    number_up_to(text, MAX_MILLISECONDS).filter(|ms| *ms >= 1.0).map(|ms| Duration::from_secs(ms / 1e3))
}

/// Reads an estimate in milliseconds on one core. Zero stands for an unknown one and gives `Some(None)`.
pub fn parse_work_estimate(text: &str) -> Option<Option<Duration>> {
    number_up_to(text, MAX_MILLISECONDS).map(|ms| Some(Duration::from_secs(ms / 1e3)).filter(|_| ms > 0.0))
}

/// Reads an estimate in megabytes. Zero stands for an unknown one and gives `Some(None)`.
pub fn parse_memory(text: &str) -> Option<Option<f64>> {
    number_up_to(text, MAX_MEGABYTES).map(|mb| Some(mb).filter(|_| mb > 0.0))
}
