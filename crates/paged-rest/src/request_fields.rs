//! Finds the fields of a request in a call. The operator's configuration lists the sources of each field: headers,
//! session properties and constant values. The first source that is present in the call supplies the field. The value
//! is not checked here, and an invalid value doesn't fall back to the next source.

use crate::call::Call;
use percent_encoding::percent_decode_str;
use serde::Deserialize;

/// The header prefixes that a gateway accepts. The protocol has two variants with different prefixes. Sources name a
/// header without its prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Family")]
pub enum HeaderFamily {
    /// Headers that start with `X-Trino-`.
    #[default]
    Trino,
    /// Headers that start with `X-Presto-`.
    Presto,
    /// Either prefix. A call with both prefixes is an error.
    Both,
}

/// A source of a request field.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, expecting = "enum Source")]
pub enum FieldSource {
    /// A header of the accepted family, without the prefix: `user` stands for `X-Trino-User` or `X-Presto-User`.
    #[serde(rename = "header")]
    FamilyHeader(String),
    /// A header with this full name.
    #[serde(rename = "field")]
    Header(String),
    /// A property in the `Session` header of the accepted family.
    #[serde(rename = "session")]
    SessionProperty(String),
    /// A constant value.
    Value(String),
}

/// The sources of each request field, in order of precedence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default, expecting = "struct Sources")]
pub struct FieldSources {
    /// Name of the request class.
    #[serde(rename = "group")]
    pub class: Vec<FieldSource>,
    /// Name of the tenant.
    #[serde(rename = "customer")]
    pub tenant: Vec<FieldSource>,
    /// Idempotency key: identifies a request that a client may submit more than once.
    #[serde(rename = "reference")]
    pub idempotency_key: Vec<FieldSource>,
    /// Ordering key: requests with the same key run in the order in which they were received.
    #[serde(rename = "key")]
    pub ordering_key: Vec<FieldSource>,
    /// CPU time that the client expects the request to take, in milliseconds on one core.
    #[serde(rename = "work")]
    pub work_hint: Vec<FieldSource>,
    /// Memory that the client expects the request to take, in megabytes.
    #[serde(rename = "memory")]
    pub memory_hint_mb: Vec<FieldSource>,
    /// Total time that the client waits for the result, in milliseconds.
    #[serde(rename = "time-limit")]
    pub timeout: Vec<FieldSource>,
}

/// The fields of a request in the client's notation, unchecked. Units are those of [`FieldSources`]. A field is `None`
/// if the call has none of its sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "the fields are described at `FieldSources`")]
pub struct RequestFields {
    pub class: Option<String>,
    pub tenant: Option<String>,
    pub idempotency_key: Option<String>,
    pub ordering_key: Option<String>,
    pub work_hint: Option<String>,
    pub memory_hint_mb: Option<String>,
    pub timeout: Option<String>,
}

// Clients receive these error texts, so they must not change.
/// Why the request fields of a call are invalid. Clients receive this text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the error text of each variant describes it")]
pub enum FieldError {
    #[error("headers of both families, X-Trino and X-Presto")]
    MixedFamilies,
    #[error("{header} is there twice")]
    DuplicateHeader { header: String },
    #[error("{header}: '{part}' has no value")]
    PropertyWithoutValue { header: String, part: String },
    #[error("{header}: {property} is no text")]
    PropertyNotUtf8 { header: String, property: String },
    #[error("{header}: {property} is there twice")]
    DuplicateProperty { header: String, property: String },
}

const TRINO_PREFIX: &str = "x-trino-";
const PRESTO_PREFIX: &str = "x-presto-";

/// Returns the header prefix to use for a call. With [`HeaderFamily::Both`], the call's own headers decide.
fn header_prefix(call: &Call, family: HeaderFamily) -> Result<&'static str, FieldError> {
    let has_prefix = |prefix: &str| call.headers.iter().any(|(name, _)| name.starts_with(prefix));
    match family {
        HeaderFamily::Trino => Ok(TRINO_PREFIX),
        HeaderFamily::Presto => Ok(PRESTO_PREFIX),
        HeaderFamily::Both if !has_prefix(PRESTO_PREFIX) => Ok(TRINO_PREFIX),
        HeaderFamily::Both if !has_prefix(TRINO_PREFIX) => Ok(PRESTO_PREFIX),
        HeaderFamily::Both => Err(FieldError::MixedFamilies),
    }
}

/// Returns the request fields of a call. Returns an error that names the header if a source is repeated or malformed.
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

/// Returns the value of a header, or `None` if the header is absent or empty. A repeated header is an error.
fn single_header(call: &Call, name: &str) -> Result<Option<String>, FieldError> {
    let mut values = call.header_values(name);
    let first = values.next().filter(|value| !value.is_empty()).map(str::to_owned);
    if values.next().is_some() {
        return Err(FieldError::DuplicateHeader { header: name.to_owned() });
    }
    Ok(first)
}

/// Returns a session property, or `None` if absent. Session headers contain comma-separated `name=value` parts with
/// percent-encoded values, and may be repeated.
fn session_property(call: &Call, header: &str, property: &str) -> Result<Option<String>, FieldError> {
    let mut found = None;
    let parts = call.header_values(header).flat_map(|line| line.split(',')).map(str::trim);
    for part in parts.filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').ok_or_else(|| FieldError::PropertyWithoutValue {
            header: header.to_owned(),
            part: part.to_owned(),
        })?;
        if name.trim() != property {
            continue;
        }
        let not_utf8 =
            |_| FieldError::PropertyNotUtf8 { header: header.to_owned(), property: property.to_owned() };
        let value = percent_decode_str(value.trim()).decode_utf8().map_err(not_utf8)?.into_owned();
        if found.replace(value).is_some() {
            let property = property.to_owned();
            return Err(FieldError::DuplicateProperty { header: header.to_owned(), property });
        }
    }
    Ok(found)
}
