//! Quotas, exchanged between gateways: each asks the holders of the allocating leases for its part of each capacity, and
//! answers those that ask it where it holds such a lease itself.

use super::{LIST_BYTES, LeaseService};
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

/// Of more capacities than this gateways use their own fraction only.
const MAX_CAPACITIES: usize = 4096;
/// When to look again where no quotas are exchanged.
pub(super) const IDLE: Duration = Duration::from_millis(1000);

/// What of the platform's settings quotas are worked out from.
pub struct QuotaInputs {
    /// How many gateways there are at most.
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
    /// From the platform's settings.
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

/// This gateway's quotas, and those that it allocates.
pub(super) struct QuotaExchange {
    pub(super) quotas: Mutex<QuotaManager>,
    /// Which kinds of capacity are allocated, by the operator's file.
    kinds: QuotaKinds,
    inputs: QuotaInputs,
}

impl QuotaExchange {
    pub(super) fn new(
        state: &State,
        config: QuotaConfig,
        margin: u32,
        inputs: QuotaInputs,
        now: Timestamp,
    ) -> QuotaExchange {
        let QuotaConfig { allocators, lifetime, kinds } = config;
        let strict = QuotaTerms {
            max_gateways: inputs.max_gateways,
            length: lifetime,
            drift_margin_per_mille: margin,
            usage_window: inputs.slow_start.window,
            strict: true,
        };
        let soft = QuotaTerms { usage_window: Duration::ZERO, strict: false, ..strict };
        let settings = QuotaSettings { strict, soft, allocators, max_capacities: MAX_CAPACITIES };
        let quotas = QuotaManager::new(settings, now);
        if kinds.slow_start {
            state.policy.enable_quotas(quotas.strict_default_fraction());
        }
        QuotaExchange { quotas: Mutex::new(quotas), kinds, inputs }
    }

    pub(super) fn due_in(&self, now: Timestamp) -> Duration {
        lock(&self.quotas).next_request().since(now)
    }

    /// How much this gateway wants of each capacity that is allocated.
    fn wanted(&self, state: &State, demand: &Demand) -> Vec<CapacityDemand> {
        let mut wanted = Vec::new();
        for ready in state.policy.quota_engines(&self.inputs.slow_start) {
            let weight = demand.of_engine(&ready.engine, &self.inputs.classes);
            if self.kinds.slow_start && ready.in_slow_start {
                wanted.push(CapacityDemand { capacity: Capacity::SlowStart(ready.id), weight });
            }
            if self.kinds.threads {
                wanted.push(CapacityDemand { capacity: Capacity::Threads(ready.id), weight });
            }
        }
        if self.kinds.tenants {
            let tenants = self.inputs.tenants.iter().enumerate();
            wanted.extend(tenants.map(|(index, tenant)| CapacityDemand {
                capacity: tenant.capacity,
                weight: demand.of_tenant(index),
            }));
        }
        wanted
    }

    /// Tells the policy what this gateway may use.
    fn apply(&self, state: &State, now: Timestamp) {
        let fraction = |quota: QuotaStatus| Some((Capacity::from_key(quota.capacity)?, quota.fraction));
        let fractions: BTreeMap<Capacity, f64> =
            lock(&self.quotas).quotas(now).filter_map(fraction).collect();
        let tenants: Vec<Capacity> = self.inputs.tenants.iter().map(|tenant| tenant.capacity).collect();
        state.policy.set_quotas(&tenants, &fractions);
    }

    /// What a capacity is called in the log and by `larchfall quotas`.
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
    /// Asks for this gateway's quotas where it is time, and tells the policy what it may use now.
    pub(super) fn request_quotas(&self, state: &State, cluster: &Cluster) {
        let Some(exchange) = &self.quotas else { return };
        let now = self.now();
        let (requests, terms) = {
            let mut quotas = lock(&exchange.quotas);
            let allocators = quotas.allocators();
            let wanted = |demand: &Demand| exchange.wanted(state, demand);
            let allocator_of = |capacity| role_index(capacity, allocators);
            let requests = quotas.requests(|| state.policy.arrivals(), wanted, allocator_of, now);
            (requests, quotas.request_terms())
        };
        exchange.apply(state, now);
        for request in requests {
            let lease = quota_allocator_role(request.allocator);
            let holder = lock(&self.leases).holder(&lease, now).map(str::to_owned);
            let Some(holder) = holder else { continue };
            for demands in paginate(request.demands, LIST_BYTES) {
                let message = Payload::RequestQuotas {
                    role: lease.clone(),
                    round: request.round,
                    gateways: terms.max_gateways as u32,
                    length_us: terms.length.micros(),
                    demands,
                };
                self.send_quota_message(state, cluster, &holder, message);
            }
        }
    }

    /// To a member, which may be this gateway itself.
    fn send_quota_message(&self, state: &State, cluster: &Cluster, to: &str, message: Payload) {
        if to == self.me.name {
            self.on_quota_message(state, cluster, &self.me, &message);
        } else {
            self.send(cluster, to, message);
        }
    }

    pub(super) fn on_quota_message(
        &self,
        state: &State,
        cluster: &Cluster,
        from: &MemberId,
        message: &Payload,
    ) {
        let Some(exchange) = &self.quotas else { return };
        match message {
            Payload::RequestQuotas { role: lease, round, gateways, length_us, demands } => {
                let terms = RequestTerms {
                    max_gateways: *gateways as usize,
                    length: Duration::from_micros(*length_us),
                };
                let Some(granted) = self.allocate(exchange, lease, &from.name, terms, demands) else {
                    return;
                };
                for page in paginate(granted.content, LIST_BYTES) {
                    let grants = Fenced { role: granted.role.clone(), token: granted.token, content: page };
                    let message = Payload::Quotas { round: *round, grants };
                    self.send_quota_message(state, cluster, &from.name, message);
                }
            }
            Payload::Quotas { round, grants } => {
                let now = self.now();
                let accepted = lock(&exchange.quotas).on_grants(*round, grants.token, &grants.content, now);
                self.counters.quotas.fetch_add(accepted as u64, Ordering::Relaxed);
                exchange.apply(state, now);
            }
            _ => {}
        }
    }

    /// Quotas for a gateway that asked, where this one holds the lease that allocates them.
    fn allocate(
        &self,
        exchange: &QuotaExchange,
        lease: &str,
        requester: &str,
        terms: RequestTerms,
        demands: &[QuotaDemand],
    ) -> Option<Fenced<Vec<QuotaGrant>>> {
        let now = self.now();
        // Held until the quotas are stamped: none is allocated that the next holder may not know to be over in time.
        let leases = lock(&self.leases);
        let permit = leases.permit(lease, now)?;
        let grants = lock(&exchange.quotas).on_request(permit.token, requester, terms, demands, now);
        Some(permit.fence(grants))
    }
}
