//! One request as its client words it, in any protocol: texts become figures here, once.

use larchfall_policy::time::Duration;

/// No wait or work of a day and no memory of a terabyte is meant: what is beyond is no figure of ours, and would
/// only reach an engine that can't use it.
const MOST_MS: f64 = 86_400_000.0;
const MOST_MB: f64 = 1_048_576.0;
/// Hex digits of a request's id, and of a key at most.
const ID_DIGITS: usize = 16;
const LONGEST_REFERENCE: usize = 128;

#[derive(Debug, PartialEq)]
pub struct ClientRequest<'a> {
    pub class: &'a str,
    pub id: &'a str,
    /// The same as a number.
    pub number: u64,
    pub tenant: &'a str,
    /// How long its client waits; none where it does not say.
    pub wait: Option<Duration>,
    pub reference: Option<&'a str>,
    pub key: Option<u64>,
    pub work: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub statement: &'a [u8],
}

/// Digits alone: a number's own reader takes signs as well.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() <= ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

fn figure(text: &str, most: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| (0.0..=most).contains(n))
}

pub fn id(text: &str) -> Option<u64> {
    hex(text).filter(|_| text.len() == ID_DIGITS)
}

pub fn key(text: &str) -> Option<u64> {
    hex(text)
}

/// A reference as it may stand in a head of HTTP.
pub fn is_reference(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    !text.is_empty() && text.len() <= LONGEST_REFERENCE && text.bytes().all(plain)
}

/// Milliseconds, one at least.
pub fn wait(text: &str) -> Option<Duration> {
    figure(text, MOST_MS).filter(|ms| *ms >= 1.0).map(|ms| Duration::from_secs(ms / 1e3))
}

/// Milliseconds on one core; none inside where nothing is known.
pub fn work(text: &str) -> Option<Option<Duration>> {
    figure(text, MOST_MS).map(|ms| Some(Duration::from_secs(ms / 1e3)).filter(|_| ms > 0.0))
}

/// Megabytes; none inside where nothing is known.
pub fn memory(text: &str) -> Option<Option<f64>> {
    figure(text, MOST_MB).map(|mb| Some(mb).filter(|_| mb > 0.0))
}
