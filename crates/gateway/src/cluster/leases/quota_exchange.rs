//! Exchanges quotas with other gateways: each gateway requests its quotas of all capacities from the holders of the
//! quota-allocator leases, and answers requests while it holds such a lease itself.

use super::{LeaseService, MAX_LIST_BYTES};
use crate::cluster::Cluster;
use crate::state::{State, lock};
use larchfall_config::Settings;
use larchfall_leases::fencing::Fenced;
use larchfall_leases::load_sharing::{quota_allocator_role, role_index};
use larchfall_leases::messages::{MemberId, Payload, paginate};
use larchfall_operator_config::{QuotaConfig, QuotaKinds};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{RequestClass, SlowStartConfig};
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::{CapacityDemand, Demand};
use larchfall_quotas::manager::{QuotaManager, QuotaSettings, QuotaStatus, RequestTerms};
use larchfall_quotas::{QuotaDemand, QuotaGrant, QuotaTerms};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

/// Maximum number of capacities with quotas. A gateway uses its default fraction of any further capacity.
const MAX_CAPACITIES: usize = 4096;
/// Longest time between two timer runs of the lease service if no quotas are exchanged.
pub(super) const DEFAULT_TIMER_INTERVAL: Duration = Duration::from_millis(1000);

/// Platform settings that quotas are computed from.
pub struct QuotaInputs {
    /// Maximum number of gateways that run at the same time.
    pub max_gateways: usize,
    slow_start: SlowStartConfig,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
}

struct Tenant {
    name: String,
    capacity: Capacity,
}

impl QuotaInputs {
    /// Copies the inputs from the platform's settings.
    pub fn new(platform: &Settings) -> QuotaInputs {
        let tenant = |name: &String| Tenant { name: name.clone(), capacity: Capacity::tenant(name) };
        QuotaInputs {
            max_gateways: platform.policy.topology.gateway_count,
            slow_start: platform.policy.slow_start.clone(),
            classes: platform.policy.classes.clone(),
            tenants: platform.names.tenants.iter().map(tenant).collect(),
        }
    }
}

/// Quotas that this gateway has, and quotas that it allocates to others.
pub(super) struct QuotaExchange {
    pub(super) manager: Mutex<QuotaManager>,
    /// Kinds of capacities with quotas, from the operator's file.
    kinds: QuotaKinds,
    inputs: QuotaInputs,
}

impl QuotaExchange {
    pub(super) fn new(
        state: &State,
        config: QuotaConfig,
        drift_margin_per_mille: u32,
        inputs: QuotaInputs,
        now: Timestamp,
    ) -> QuotaExchange {
        let QuotaConfig { allocators, lifetime, kinds } = config;
        let strict = QuotaTerms {
            max_gateways: inputs.max_gateways,
            lifetime,
            drift_margin_per_mille,
            usage_window: inputs.slow_start.window,
            strict: true,
        };
        let soft = QuotaTerms { usage_window: Duration::ZERO, strict: false, ..strict };
        let settings = QuotaSettings { strict, soft, allocators, max_capacities: MAX_CAPACITIES };
        let manager = QuotaManager::new(settings, now);
        if kinds.slow_start {
            state.policy.enable_quotas(manager.strict_default_fraction());
        }
        QuotaExchange { manager: Mutex::new(manager), kinds, inputs }
    }

    pub(super) fn time_to_next_request(&self, now: Timestamp) -> Duration {
        lock(&self.manager).next_request().since(now)
    }

    /// Returns this gateway's demand for each capacity with quotas.
    fn capacity_demands(&self, state: &State, demand: &Demand) -> Vec<CapacityDemand> {
        let mut demands = Vec::new();
        for ready in state.policy.quota_engines(&self.inputs.slow_start) {
            let weight = demand.engine_demand(&ready.engine, &self.inputs.classes);
            if self.kinds.slow_start && ready.in_slow_start {
                demands.push(CapacityDemand { capacity: Capacity::SlowStart(ready.id), weight });
            }
            if self.kinds.threads {
                demands.push(CapacityDemand { capacity: Capacity::Threads(ready.id), weight });
            }
        }
        if self.kinds.tenants {
            let tenants = self.inputs.tenants.iter().enumerate();
            demands.extend(tenants.map(|(index, tenant)| CapacityDemand {
                capacity: tenant.capacity,
                weight: demand.tenant_demand(index),
            }));
        }
        demands
    }

    /// Passes this gateway's current quota fractions to the policy.
    fn apply_quotas(&self, state: &State, now: Timestamp) {
        let to_entry = |quota: QuotaStatus| Some((Capacity::from_key(quota.capacity)?, quota.fraction));
        let fractions: BTreeMap<Capacity, f64> =
            lock(&self.manager).quotas(now).filter_map(to_entry).collect();
        let tenants: Vec<Capacity> = self.inputs.tenants.iter().map(|tenant| tenant.capacity).collect();
        state.policy.set_quotas(&tenants, &fractions);
    }

    /// Name of a capacity in the log and in the output of `larchfall quotas`. Operators' scripts parse the prefixes,
    /// so they must not change.
    pub(super) fn capacity_name(&self, key: u64) -> String {
        match Capacity::from_key(key) {
            Some(Capacity::SlowStart(id)) => format!("cold/{id:08x}"),
            Some(Capacity::Threads(id)) => format!("threads/{id:08x}"),
            Some(capacity) => {
                let tenant = self.inputs.tenants.iter().find(|tenant| tenant.capacity == capacity);
                format!("customer/{}", tenant.map_or("", |tenant| &tenant.name))
            }
            None => key.to_string(),
        }
    }
}

impl LeaseService {
    /// Requests this gateway's quotas if a request is due, and passes the current quotas to the policy.
    pub(super) fn request_quotas(&self, state: &State, cluster: &Cluster) {
        let Some(exchange) = &self.quota_exchange else { return };
        let now = self.now();
        let (requests, terms) = {
            let mut manager = lock(&exchange.manager);
            let allocators = manager.allocators();
            let demands = |demand: &Demand| exchange.capacity_demands(state, demand);
            let allocator_of = |capacity| role_index(capacity, allocators);
            let requests = manager.due_requests(|| state.policy.arrivals(), demands, allocator_of, now);
            (requests, manager.request_terms())
        };
        exchange.apply_quotas(state, now);
        for request in requests {
            let role = quota_allocator_role(request.allocator);
            let holder = lock(&self.manager).holder(&role, now).map(str::to_owned);
            let Some(holder) = holder else { continue };
            for demands in paginate(request.demands, MAX_LIST_BYTES) {
                let message = Payload::RequestQuotas {
                    role: role.clone(),
                    round: request.round,
                    gateways: terms.max_gateways as u32,
                    length_us: terms.lifetime.micros(),
                    demands,
                };
                self.send_quota_message(state, cluster, &holder, message);
            }
        }
    }

    /// Sends a quota message to the member `to`; a message to this gateway itself is handled without the network.
    fn send_quota_message(&self, state: &State, cluster: &Cluster, to: &str, message: Payload) {
        if to == self.member_id.name {
            self.on_quota_message(state, cluster, &self.member_id, &message);
        } else {
            self.send(cluster, to, message);
        }
    }

    pub(super) fn on_quota_message(
        &self,
        state: &State,
        cluster: &Cluster,
        sender: &MemberId,
        message: &Payload,
    ) {
        let Some(exchange) = &self.quota_exchange else { return };
        match message {
            Payload::RequestQuotas { role, round, gateways, length_us, demands } => {
                let terms = RequestTerms {
                    max_gateways: *gateways as usize,
                    lifetime: Duration::from_micros(*length_us),
                };
                let Some(fenced) = self.allocate_quotas(exchange, role, &sender.name, terms, demands) else {
                    return;
                };
                for page in paginate(fenced.content, MAX_LIST_BYTES) {
                    let grants = Fenced { role: fenced.role.clone(), token: fenced.token, content: page };
                    let message = Payload::Quotas { round: *round, grants };
                    self.send_quota_message(state, cluster, &sender.name, message);
                }
            }
            Payload::Quotas { round, grants } => {
                let now = self.now();
                let accepted = lock(&exchange.manager).on_grants(*round, grants.token, &grants.content, now);
                self.counters.quota_grants.fetch_add(accepted as u64, Ordering::Relaxed);
                exchange.apply_quotas(state, now);
            }
            _ => {}
        }
    }

    /// Allocates quotas to the gateway `requester`; `None` if this gateway does not hold the allocator lease of
    /// `role`.
    fn allocate_quotas(
        &self,
        exchange: &QuotaExchange,
        role: &str,
        requester: &str,
        terms: RequestTerms,
        demands: &[QuotaDemand],
    ) -> Option<Fenced<Vec<QuotaGrant>>> {
        let now = self.now();
        // The lock on the lease manager is held until the grants carry the fencing token, so that no quota is
        // allocated after the lease has ended. The next lease holder waits until all quotas that were allocated under
        // the lease have expired, and would not wait for such a late quota.
        let manager = lock(&self.manager);
        let permit = manager.permit(role, now)?;
        let grants = lock(&exchange.manager).on_request(permit.token, requester, terms, demands, now);
        Some(permit.fence(grants))
    }
}
