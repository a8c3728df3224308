//! The `[rest]` table: the paged REST protocol for clients.

use crate::error::{ConfigError, Problem};
use crate::table::{Table, default_count, default_ms};
use larchfall_config::Names;
use larchfall_paged_rest::cursor::ResultWindow;
use larchfall_paged_rest::request_fields::{FieldSource, FieldSources, HeaderFamily};
use larchfall_paged_rest::results::ResultLimits;
use larchfall_policy::time::Duration;
use serde::Deserialize;
use std::net::SocketAddrV4;
use toml::Spanned;

/// Keys of the file as error messages name them.
const CLASS_KEY: &str = "batch.group";
const TENANT_KEY: &str = "batch.customer";

/// Settings of the paged REST protocol.
#[derive(Clone, Debug)]
pub struct PagedRestConfig {
    /// Address on which clients connect.
    pub listen: SocketAddrV4,
    /// Scheme, host and port of the URLs of result pages; `None` to use the host that the client's call names.
    pub base_url: Option<String>,
    /// Family of the header names that clients send.
    pub header_family: HeaderFamily,
    /// Largest number of client connections, which are subtracted from those of MessagePack-RPC.
    pub max_connections: usize,
    /// Largest length of a statement, in bytes.
    pub max_statement_bytes: usize,
    /// Longest time for which a call waits for a result page that is not available yet.
    pub poll_timeout: Duration,
    /// Limits on results and the memory they use.
    pub limits: ResultLimits,
    /// Where the fields of a request are read from.
    pub sources: FieldSources,
}

/// The deserialized table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct RawRest {
    listen: Spanned<String>,
    #[serde(rename = "base")]
    base_url: Option<Spanned<String>>,
    #[serde(rename = "headers", default)]
    header_family: HeaderFamily,
    #[serde(rename = "connections", default = "default_count::<32>")]
    max_connections: Spanned<usize>,
    #[serde(rename = "statement-bytes", default = "default_count::<65_536>")]
    max_statement_bytes: Spanned<usize>,
    #[serde(rename = "poll-ms", default = "default_ms::<1_000>")]
    poll_timeout_ms: Spanned<u64>,
    #[serde(rename = "kept-for-ms", default = "default_ms::<10_000>")]
    retention_ms: Spanned<u64>,
    #[serde(rename = "results", default = "default_count::<256>")]
    max_results: Spanned<usize>,
    #[serde(rename = "in-hand", default = "default_count::<32>")]
    max_in_flight: Spanned<usize>,
    #[serde(rename = "result-pages", default = "default_count::<4>")]
    max_result_pages: Spanned<usize>,
    #[serde(rename = "result-bytes", default = "default_count::<65_536>")]
    max_result_bytes: Spanned<usize>,
    #[serde(rename = "all-bytes", default = "default_count::<8_388_608>")]
    max_total_bytes: Spanned<usize>,
    #[serde(rename = "batch")]
    sources: Spanned<FieldSources>,
}

pub(crate) fn check(text: &str, raw: RawRest, names: &Names) -> Result<PagedRestConfig, ConfigError> {
    let table = Table::new(text, "rest");
    let listen = raw.listen.get_ref();
    let invalid = |_| table.invalid(&raw.listen, "listen", Problem::InvalidAddress { value: listen.clone() });
    let listen = listen.parse().map_err(invalid)?;
    if let Some(base) = &raw.base_url {
        let value = base.get_ref();
        if !(value.starts_with("http://") || value.starts_with("https://")) {
            return Err(table.invalid(base, "base", Problem::InvalidBaseUrl { value: value.clone() }));
        }
    }
    let poll_timeout = table.duration(&raw.poll_timeout_ms, "poll-ms", 1, 60_000)?;
    let limits = result_limits(&table, &raw, poll_timeout)?;
    check_sources(&table, &raw.sources, names)?;
    Ok(PagedRestConfig {
        listen,
        base_url: raw.base_url.map(|base| base.into_inner().trim_end_matches('/').to_owned()),
        header_family: raw.header_family,
        max_connections: table.count(&raw.max_connections, "connections", 1, 100_000)?,
        max_statement_bytes: table.count(&raw.max_statement_bytes, "statement-bytes", 1, 1 << 20)?,
        poll_timeout,
        limits,
        sources: raw.sources.into_inner(),
    })
}

fn result_limits(table: &Table, raw: &RawRest, poll_timeout: Duration) -> Result<ResultLimits, ConfigError> {
    let retention = table.duration(&raw.retention_ms, "kept-for-ms", 100, 3_600_000)?;
    if retention <= poll_timeout {
        let problem = Problem::RetentionTooShort {
            retention_ms: *raw.retention_ms.get_ref(),
            poll_ms: *raw.poll_timeout_ms.get_ref(),
        };
        return Err(table.invalid(&raw.retention_ms, "kept-for-ms", problem));
    }
    let window = ResultWindow {
        max_pages: table.count(&raw.max_result_pages, "result-pages", 1, 1024)?,
        max_bytes: table.count(&raw.max_result_bytes, "result-bytes", 1024, 64 << 20)?,
        retention,
    };
    Ok(ResultLimits {
        max_results: table.count(&raw.max_results, "results", 1, 100_000)?,
        max_in_flight: table.count(&raw.max_in_flight, "in-hand", 1, 100_000)?,
        max_bytes: table.count(&raw.max_total_bytes, "all-bytes", 1024, 1 << 40)?,
        window,
    })
}

/// Checks that a request has sources of its class, and of its tenant if the settings define tenants, and that constant
/// values are names in the settings.
fn check_sources(table: &Table, sources: &Spanned<FieldSources>, names: &Names) -> Result<(), ConfigError> {
    let FieldSources { class, tenant, .. } = sources.get_ref();
    if class.is_empty() {
        return Err(table.invalid(sources, CLASS_KEY, Problem::NoClassSource));
    }
    for (key, field_sources, known_names) in
        [(CLASS_KEY, class, &names.classes), (TENANT_KEY, tenant, &names.tenants)]
    {
        let unknown_value = field_sources.iter().find_map(|source| match source {
            FieldSource::Value(value) if !known_names.contains(value) => Some(value.clone()),
            _ => None,
        });
        if let Some(value) = unknown_value {
            return Err(table.invalid(sources, key, Problem::UnknownName { value }));
        }
    }
    if !names.tenants.is_empty() && tenant.is_empty() {
        return Err(table.invalid(sources, TENANT_KEY, Problem::NoTenantSource));
    }
    Ok(())
}
