//! Starts the paged REST protocol: creates its service, binds its listener and reserves its client connections.

use super::StartupError;
use super::listener::bind;
use crate::client::paged_rest::RestService;
use crate::state::limits::Limits;
use larchfall_operator_config::PagedRestConfig;
use may::net::TcpListener;
use slog::{Logger, info};
use std::sync::Arc;

/// The paged REST service with its bound listener.
pub(super) struct PagedRest {
    pub(super) service: Arc<RestService>,
    pub(super) listener: TcpListener,
    settings: PagedRestConfig,
}

impl PagedRest {
    pub(super) fn open(settings: PagedRestConfig, seed: u64) -> Result<PagedRest, StartupError> {
        let service = RestService::new(settings.clone(), seed).map_err(StartupError::Randomness)?;
        let listener = bind(settings.listen)?;
        Ok(PagedRest { service: Arc::new(service), listener, settings })
    }

    pub(super) fn log_address(&self, log: &Logger) {
        let address = self.listener.local_addr().unwrap_or(self.settings.listen.into());
        info!(log, "listening for paged REST"; "connections" => self.settings.max_connections,
            "results" => self.settings.limits.max_results, "address" => address.to_string());
    }
}

/// Subtracts the client connections of the paged REST protocol from the limits, which leaves those of MessagePack-RPC.
/// Fails if none are left, or if the paged REST protocol may use more than half of the engine connections.
pub(super) fn remaining_limits(
    limits: Limits,
    paged_rest: Option<&PagedRest>,
) -> Result<Limits, StartupError> {
    let connections = paged_rest.map_or(0, |rest| rest.settings.max_connections);
    let limits = limits.reserve_client_connections(connections).ok_or(StartupError::NoConnectionsLeft)?;
    let engine_connections = limits.engine_connections;
    if paged_rest.is_some_and(|rest| rest.settings.limits.max_in_flight > engine_connections / 2) {
        return Err(StartupError::TooManyQueries { engine_connections });
    }
    Ok(limits)
}
