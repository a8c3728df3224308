//! The fields of a request: each from a header, a property of the session, or a value that always holds, as the
//! operator's file says. The first source that a call has counts; what it says is not repaired.

use crate::call::Call;
use percent_encoding::percent_decode_str;
use serde::Deserialize;

/// The two families of header names; a source's name is written without the family's prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Family")]
pub enum HeaderFamily {
    /// `X-Trino-…`
    #[default]
    Trino,
    /// `X-Presto-…`
    Presto,
    /// Whichever the client writes; a call with both is refused.
    Both,
}

/// Where a field of a request is found.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, expecting = "enum Source")]
pub enum FieldSource {
    /// A header of the family: `user` is `X-Trino-User`.
    #[serde(rename = "header")]
    FamilyHeader(String),
    /// A header by its full name.
    #[serde(rename = "field")]
    Header(String),
    /// A property in the family's `Session` header.
    #[serde(rename = "session")]
    SessionProperty(String),
    /// This, always.
    Value(String),
}

/// The sources of each field, in the order in which they are tried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default, expecting = "struct Sources")]
pub struct FieldSources {
    /// The request class.
    #[serde(rename = "group")]
    pub class: Vec<FieldSource>,
    /// The tenant.
    #[serde(rename = "customer")]
    pub tenant: Vec<FieldSource>,
    /// The idempotency key.
    #[serde(rename = "reference")]
    pub idempotency_key: Vec<FieldSource>,
    /// Requests of one key run in their order.
    #[serde(rename = "key")]
    pub ordering_key: Vec<FieldSource>,
    /// Milliseconds on one core.
    #[serde(rename = "work")]
    pub work_hint: Vec<FieldSource>,
    /// Megabytes.
    #[serde(rename = "memory")]
    pub memory_hint_mb: Vec<FieldSource>,
    /// Milliseconds that the client waits in all.
    #[serde(rename = "time-limit")]
    pub timeout: Vec<FieldSource>,
}

/// The fields of a request as its client wrote them; units as in [`FieldSources`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "each is a field of `FieldSources`")]
pub struct RequestFields {
    pub class: Option<String>,
    pub tenant: Option<String>,
    pub idempotency_key: Option<String>,
    pub ordering_key: Option<String>,
    pub work_hint: Option<String>,
    pub memory_hint_mb: Option<String>,
    pub timeout: Option<String>,
}

/// Why the fields of a call can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum FieldError {
    #[error("headers of both families, X-Trino and X-Presto")]
    BothFamilies,
    #[error("{header} is there twice")]
    DuplicateHeader { header: String },
    #[error("{header}: '{part}' has no value")]
    PropertyWithoutValue { header: String, part: String },
    #[error("{header}: {property} is no text")]
    PropertyNotText { header: String, property: String },
    #[error("{header}: {property} is there twice")]
    DuplicateProperty { header: String, property: String },
}

const TRINO_PREFIX: &str = "x-trino-";
const PRESTO_PREFIX: &str = "x-presto-";

/// The prefix of the headers that a call uses.
fn header_prefix(call: &Call, family: HeaderFamily) -> Result<&'static str, FieldError> {
    let uses = |prefix: &str| call.headers.iter().any(|(name, _)| name.starts_with(prefix));
    match family {
        HeaderFamily::Trino => Ok(TRINO_PREFIX),
        HeaderFamily::Presto => Ok(PRESTO_PREFIX),
        HeaderFamily::Both if !uses(PRESTO_PREFIX) => Ok(TRINO_PREFIX),
        HeaderFamily::Both if !uses(TRINO_PREFIX) => Ok(PRESTO_PREFIX),
        HeaderFamily::Both => Err(FieldError::BothFamilies),
    }
}

/// The fields of a call; an error names the header of one that is there twice or can't be read.
pub fn read(call: &Call, family: HeaderFamily, sources: &FieldSources) -> Result<RequestFields, FieldError> {
    let prefix = header_prefix(call, family)?;
    let find = |sources: &[FieldSource]| -> Result<Option<String>, FieldError> {
        for source in sources {
            let found = match source {
                FieldSource::Value(value) => Some(value.clone()),
                FieldSource::FamilyHeader(name) => {
                    single_header(call, &format!("{prefix}{}", name.to_ascii_lowercase()))?
                }
                FieldSource::Header(name) => single_header(call, &name.to_ascii_lowercase())?,
                FieldSource::SessionProperty(name) => {
                    session_property(call, &format!("{prefix}session"), name)?
                }
            };
            if found.is_some() {
                return Ok(found);
            }
        }
        Ok(None)
    };
    Ok(RequestFields {
        class: find(&sources.class)?,
        tenant: find(&sources.tenant)?,
        idempotency_key: find(&sources.idempotency_key)?,
        ordering_key: find(&sources.ordering_key)?,
        work_hint: find(&sources.work_hint)?,
        memory_hint_mb: find(&sources.memory_hint_mb)?,
        timeout: find(&sources.timeout)?,
    })
}

/// The one value of a header; an empty one counts as left out.
fn single_header(call: &Call, name: &str) -> Result<Option<String>, FieldError> {
    let mut values = call.header_values(name);
    let first = values.next().filter(|value| !value.is_empty()).map(str::to_owned);
    if values.next().is_some() {
        return Err(FieldError::DuplicateHeader { header: name.to_owned() });
    }
    Ok(first)
}

/// A property of the session: `name=value` parts with commas between, in one line or several, values percent-encoded.
fn session_property(call: &Call, header: &str, wanted: &str) -> Result<Option<String>, FieldError> {
    let mut found = None;
    let parts = call.header_values(header).flat_map(|line| line.split(',')).map(str::trim);
    for part in parts.filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').ok_or_else(|| FieldError::PropertyWithoutValue {
            header: header.to_owned(),
            part: part.to_owned(),
        })?;
        if name.trim() != wanted {
            continue;
        }
        let not_text =
            |_| FieldError::PropertyNotText { header: header.to_owned(), property: wanted.to_owned() };
        let value = percent_decode_str(value.trim()).decode_utf8().map_err(not_text)?.into_owned();
        if found.replace(value).is_some() {
            let property = wanted.to_owned();
            return Err(FieldError::DuplicateProperty { header: header.to_owned(), property });
        }
    }
    Ok(found)
}
