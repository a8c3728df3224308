//! Validates the fields of a request, which the operator's configuration maps from headers, and converts them to a
//! `ClientRequest`.

use crate::admission::InvalidRequest;
use crate::codec::client_request::{self, ClientRequest};
use larchfall_paged_rest::request_fields::RequestFields;

/// Why the fields of a request are invalid. Clients receive this text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FieldError {
    #[error("{field} is missing")]
    Missing { field: &'static str },
    #[error("{field} is unusable")]
    Invalid { field: &'static str },
}

/// Error text for a request that was not admitted, with the field names of paged REST instead of MessagePack-RPC.
pub(super) fn invalid_request_text(invalid: InvalidRequest) -> String {
    match invalid {
        InvalidRequest::MissingIdempotencyKey => FieldError::Missing { field: "reference" }.to_string(),
        InvalidRequest::MissingOrderingKey => FieldError::Missing { field: "key" }.to_string(),
        InvalidRequest::DuplicateId => "a statement with this reference is in hand already".to_owned(),
        InvalidRequest::MayHaveRun => "a statement with this reference may have run".to_owned(),
        InvalidRequest::UnknownClass | InvalidRequest::UnknownTenant => invalid.to_string(),
    }
}

/// Status of the response to a request that was not admitted.
pub(super) fn invalid_request_status(invalid: InvalidRequest) -> u16 {
    match invalid {
        InvalidRequest::DuplicateId | InvalidRequest::MayHaveRun => 409,
        InvalidRequest::UnknownClass
        | InvalidRequest::UnknownTenant
        | InvalidRequest::MissingIdempotencyKey
        | InvalidRequest::MissingOrderingKey => 400,
    }
}

/// Builds a request from its fields. `id` is the text form of `id_number`.
pub(super) fn build_client_request<'a>(
    fields: &'a RequestFields,
    id_number: u64,
    id: &'a str,
    statement: &'a [u8],
) -> Result<ClientRequest<'a>, FieldError> {
    let idempotency_key = fields.idempotency_key.as_deref();
    if idempotency_key.is_some_and(|key| !client_request::is_valid_idempotency_key(key)) {
        return Err(FieldError::Invalid { field: "reference" });
    }
    let ordering_key =
        parse_optional(fields.ordering_key.as_deref(), "key", client_request::parse_ordering_key)?;
    let class = fields.class.as_deref().ok_or(FieldError::Missing { field: "group" })?;
    let timeout = parse_optional(fields.timeout.as_deref(), "time-limit", client_request::parse_timeout)?;
    let work_hint = parse_optional(fields.work_hint.as_deref(), "work", client_request::parse_work_hint)?;
    let memory_hint_mb =
        parse_optional(fields.memory_hint_mb.as_deref(), "memory", client_request::parse_memory_hint)?;
    Ok(ClientRequest {
        class,
        id,
        id_number,
        tenant: fields.tenant.as_deref().unwrap_or(""),
        timeout,
        idempotency_key,
        ordering_key,
        work_hint: work_hint.flatten(),
        memory_hint_mb: memory_hint_mb.flatten(),
        statement,
    })
}

/// Parses an optional field. Returns an error if the field is present and invalid.
fn parse_optional<T>(
    text: Option<&str>,
    field: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, FieldError> {
    text.map(|text| parse(text).ok_or(FieldError::Invalid { field })).transpose()
}
