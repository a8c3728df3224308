//! The fields of a request as the operator's sources name them, checked and turned into the gateway's own.

use crate::admission::InvalidRequest;
use crate::codec::client_request::{self, ClientRequest};
use larchfall_paged_rest::request_fields::RequestFields;

/// Why the fields of a statement can't be used. Its client is told in these words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FieldError {
    #[error("{field} is missing")]
    Missing { field: &'static str },
    #[error("{field} is unusable")]
    Invalid { field: &'static str },
}

/// The text for a request that was not admitted. The fields have other names here than in MessagePack-RPC.
pub(super) fn invalid_request_text(invalid: InvalidRequest) -> String {
    match invalid {
        InvalidRequest::MissingIdempotencyKey => FieldError::Missing { field: "reference" }.to_string(),
        InvalidRequest::MissingOrderingKey => FieldError::Missing { field: "key" }.to_string(),
        other => other.to_string(),
    }
}

pub(super) fn client_request<'a>(
    fields: &'a RequestFields,
    id_number: u64,
    id: &'a str,
    statement: &'a [u8],
) -> Result<ClientRequest<'a>, FieldError> {
    let idempotency_key = fields.idempotency_key.as_deref();
    if idempotency_key.is_some_and(|key| !client_request::is_valid_idempotency_key(key)) {
        return Err(FieldError::Invalid { field: "reference" });
    }
    let ordering_key = parse(fields.order_key.as_deref(), "key", client_request::parse_ordering_key)?;
    let class = fields.class.as_deref().ok_or(FieldError::Missing { field: "group" })?;
    let timeout = parse(fields.timeout.as_deref(), "time-limit", client_request::parse_timeout)?;
    let work_estimate = parse(fields.work.as_deref(), "work", client_request::parse_work_estimate)?;
    let memory_mb = parse(fields.memory.as_deref(), "memory", client_request::parse_memory)?;
    Ok(ClientRequest {
        class,
        id,
        id_number,
        tenant: fields.tenant.as_deref().unwrap_or(""),
        timeout,
        idempotency_key,
        ordering_key,
        work_estimate: work_estimate.flatten(),
        memory_mb: memory_mb.flatten(),
        statement,
    })
}

/// Reads a field that may be left out.
fn parse<T>(
    text: Option<&str>,
    field: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, FieldError> {
    text.map(|text| parse(text).ok_or(FieldError::Invalid { field })).transpose()
}
