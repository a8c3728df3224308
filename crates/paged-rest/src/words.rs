//! What a request is made of: each part from a header field, a property of the session, or a value that always
//! holds, as the operator's file says. The first source that a call has counts; what it says is not repaired.

use crate::call::Call;
use percent_encoding::percent_decode_str;
use serde::Deserialize;

/// The two families of header names; a source's name is written without the family's part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Family {
    #[default]
    Trino,
    Presto,
    /// Whichever the client writes; a call with both is turned away.
    Both,
}

/// Where a part of a request is found.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Source {
    /// A header of the family: `user` is `X-Trino-User`.
    Header(String),
    /// A header as it is named.
    Field(String),
    /// A property in the family's `Session` header.
    Session(String),
    /// This, always.
    Value(String),
}

/// The sources of each part, in the order in which they are tried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Sources {
    #[serde(rename = "group")]
    pub class: Vec<Source>,
    #[serde(rename = "customer")]
    pub tenant: Vec<Source>,
    pub reference: Vec<Source>,
    pub key: Vec<Source>,
    /// Milliseconds on one core.
    pub work: Vec<Source>,
    /// Megabytes.
    pub memory: Vec<Source>,
    /// Milliseconds that the client waits in all.
    pub time_limit: Vec<Source>,
}

/// A request as its client words it; units as in [`Sources`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worded {
    pub class: Option<String>,
    pub tenant: Option<String>,
    pub reference: Option<String>,
    pub key: Option<String>,
    pub work: Option<String>,
    pub memory: Option<String>,
    pub time_limit: Option<String>,
}

/// Which family a call speaks; an error where it can't be told.
fn family(call: &Call, family: Family) -> Result<&'static str, String> {
    let speaks = |prefix: &str| call.head.iter().any(|(name, _)| name.starts_with(prefix));
    match (family, speaks("x-trino-"), speaks("x-presto-")) {
        (Family::Trino, ..) => Ok("x-trino-"),
        (Family::Presto, ..) => Ok("x-presto-"),
        (Family::Both, true, true) => Err("headers of both families, X-Trino and X-Presto".into()),
        (Family::Both, _, presto) => Ok(if presto { "x-presto-" } else { "x-trino-" }),
    }
}

/// The words of a call, each named in the error where it is there twice or can't be read.
pub fn read(call: &Call, spoken: Family, sources: &Sources) -> Result<Worded, String> {
    let prefix = family(call, spoken)?;
    let find = |sources: &[Source]| -> Result<Option<String>, String> {
        for source in sources {
            let found = match source {
                Source::Value(value) => Some(value.clone()),
                Source::Header(name) => one(call, &format!("{prefix}{}", name.to_ascii_lowercase()))?,
                Source::Field(name) => one(call, &name.to_ascii_lowercase())?,
                Source::Session(name) => property(call, &format!("{prefix}session"), name)?,
            };
            if found.is_some() {
                return Ok(found);
            }
        }
        Ok(None)
    };
    Ok(Worded {
        class: find(&sources.class)?,
        tenant: find(&sources.tenant)?,
        reference: find(&sources.reference)?,
        key: find(&sources.key)?,
        work: find(&sources.work)?,
        memory: find(&sources.memory)?,
        time_limit: find(&sources.time_limit)?,
    })
}

fn one(call: &Call, name: &str) -> Result<Option<String>, String> {
    let mut all = call.fields(name);
    let first = all.next().filter(|value| !value.is_empty()).map(str::to_owned);
    if all.next().is_some() {
        return Err(format!("{name} is there twice"));
    }
    Ok(first)
}

/// `name=value` parts with commas between, in one line or several, values percent-encoded.
fn property(call: &Call, header: &str, wanted: &str) -> Result<Option<String>, String> {
    let mut found = None;
    for part in call.fields(header).flat_map(|line| line.split(',')).map(str::trim).filter(|p| !p.is_empty())
    {
        let (name, value) = part.split_once('=').ok_or_else(|| format!("{header}: '{part}' has no value"))?;
        if name.trim() != wanted {
            continue;
        }
        let value = percent_decode_str(value.trim()).decode_utf8();
        let value = value.map_err(|_| format!("{header}: {wanted} is no text"))?.into_owned();
        if found.replace(value).is_some() {
            return Err(format!("{header}: {wanted} is there twice"));
        }
    }
    Ok(found)
}
