//! Puts the parts together and lets them run.

use super::config::Config;
use super::parts::Parts;
use super::{log, reload, stop};
use crate::cluster::duties::{Duty, Keeper, Shared};
use crate::cluster::signals::Signals;
use crate::cluster::{self, Gateways};
use crate::engine::cancellation::UNOBSERVED_ATTEMPT_LIFETIME;
use crate::protocols::rest::{self, RestService};
use crate::protocols::rpc;
use crate::state::State;
use crate::state::client_connections::ClientConnections;
use crate::state::clock::Clock;
use crate::state::connection_pool::ConnectionPool;
use crate::state::counters::Counters;
use crate::state::discovery_status::DiscoveryStatus;
use crate::state::policy_handle::PolicyHandle;
use crate::state::settings::TransportSettings;
use crate::state::shutdown::Shutdown;
use crate::state::stall_detector::StallDetector;
use crate::state::timers::Timers;
use crate::subset::{self, Subset};
use crate::{discovery, timer};
use larchfall_leases::load_sharing::{LoadReportSharing, LoadSharingSettings};
use larchfall_leases::messages::MemberId;
use larchfall_membership::fleet_size::FleetSize;
use larchfall_membership::member_update::MemberInfo;
use larchfall_membership::membership::Membership;
use larchfall_operator_config::{Kinds, Site};
use larchfall_policy::interface::{Caps, PolicyConfig};
use larchfall_policy::policy::Policy;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::capacity::Capacity;
use may::net::TcpListener;
use slog::{info, warn};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

/// Bytes of each coroutine's stack. Only pages that were touched count as memory; see docs/front.md.
const STACK: usize = 64 * 1024;
/// Coroutines that are kept for reuse, and made at the start. Each has touched two pages of its stack: a thousand, as
/// the crate has it unless told, are 8 MB and two thousand page faults of a gateway that uses some dozens.
const SPARE_COROUTINES: usize = 64;
const PAUSE: Duration = Duration::from_millis(2);
/// One in so many places for clients is kept free.
const SPARE: usize = 8;
/// A connection that is newer than this may be about to speak. Clients write as soon as they are connected: with
/// more, hundreds that say nothing keep those that would speak waiting in the queue.
const FRESH: Duration = Duration::from_millis(50);
/// What waited in the listener's queue while nobody was taken in is out of it by so long after.
const QUEUE_EMPTIES: Duration = Duration::from_millis(100);

/// Runs a gateway to its end; a failure with the exit code for it.
pub fn run(
    file: String,
    config: Config,
    site: Option<(String, Site)>,
    parts: Parts,
    caught: stop::Caught,
) -> Result<(), (u8, String)> {
    may::config().set_workers(1).set_stack_size(STACK / size_of::<usize>()).set_worker_pin(false);
    may::config().set_pool_capacity(SPARE_COROUTINES);
    let address = config.listen;
    let listener = listen(address)?;
    let (site_file, site) = site.map_or((None, Site::default()), |(file, site)| (Some(file), site));
    let Site { rest, gateways, duties, subsets, signals: told } = site;
    let rest = match rest {
        Some(site) => {
            let service = RestService::new(site.clone(), config.seed)
                .map_err(|e| (1, format!("no chance to be had for addresses: {e}")))?;
            Some((Arc::new(service), listen(site.listen)?, site))
        }
        None => None,
    };
    let limits = config.limits.reserve_clients(rest.as_ref().map_or(0, |(_, _, site)| site.connections));
    let limits = limits.ok_or((2, "rest.connections: none are left for MessagePack-RPC".to_owned()))?;
    if rest.as_ref().is_some_and(|(_, _, site)| site.caps.making > limits.engine_connections / 2) {
        return Err((
            2,
            format!("rest.in-hand: more than half of {} connections to engines", limits.engine_connections),
        ));
    }
    let (log, _writes_the_rest) = log::start(&config.name);
    let (seed, discovery_address) = (config.seed, config.discovery);
    let known = config.known;
    let s = &config.settings;
    let shared = Shared {
        gateways: s.given.fleet.gateways,
        slow_start: s.given.slow_start.clone(),
        classes: s.given.classes.clone(),
        tenants: s.names.tenants.iter().map(|name| Capacity::tenant(name)).collect(),
        kinds: Kinds::default(),
    };
    let subset = subsets.map(|site| Subset::new(site, s.given.classes.clone(), s.given.fleet.clone()));
    let probing = duties.as_ref().and_then(|site| site.probing);
    let clock = Clock::start((parts.wall)());
    let state = Arc::new(start(config.settings, limits, seed, log, probing, clock));
    // The configuration's list is as good as the discovery service's, now.
    state.policy.confirm_endpoints(state.clock.now());
    for event in &known {
        discovery::take(&state, event);
    }
    let looks = timer::EventPollProbe::open().map_err(|e| (1, format!("a pair of sockets: {e}")))?;
    let mut signals = stop::Signals::listen(caught).map_err(|e| (1, format!("signals: {e}")))?;
    info!(state.log, "listening"; "clients" => state.limits.client_connections, "engine_connections" => state.limits.engine_connections,
        "requests" => state.limits.requests, "address" => listener.local_addr().unwrap_or(address.into()).to_string());
    if let Some((_, listener, site)) = &rest {
        info!(state.log, "listening for paged REST"; "connections" => site.connections, "results" => site.caps.results,
            "address" => listener.local_addr().unwrap_or(site.listen.into()).to_string());
    }
    let (gateways, keeper) = match gateways {
        Some(site) => {
            let (gateways, keeper) = join_gateways(&state, site, (duties, told), shared, seed, parts)?;
            (Some(gateways), keeper)
        }
        None => (None, None),
    };
    if let (Some(keeper), Some(gateways)) = (keeper, &gateways) {
        keeper.run(&state, gateways).map_err(|e| (1, format!("the thread that keeps records: {e}")))?;
    }
    let (timed, service) = (state.clone(), rest.as_ref().map(|(service, ..)| service.clone()));
    let timer = std::thread::Builder::new().name("timer".to_owned());
    timer
        .spawn(move || timer::run(&timed, service.as_ref()))
        .map_err(|e| (1, format!("the timer's thread: {e}")))?;
    let main = {
        let state = state.clone();
        may::go!(move || {
            if let Some(gateways) = gateways.clone() {
                let state = state.clone();
                may::go!(move || cluster::run(&state, &gateways));
            }
            if let Some(subset) = subset {
                subset::start(&state, gateways.clone(), subset);
            }
            let (s2, s3) = (state.clone(), state.clone());
            let service = rest.as_ref().map(|(service, ..)| service.clone());
            let era = s2.discovery.next_client();
            may::go!(move || discovery::follow(&s2, discovery_address, seed, era));
            if let Some(asked) = signals.reload.take() {
                let (state, service, gateways) = (state.clone(), service.clone(), gateways.clone());
                let files = reload::Files { config: file, site: site_file };
                may::go!(move || reload::on_signal(
                    &state,
                    asked,
                    &files,
                    (service.as_ref(), gateways.as_deref()),
                    seed
                ));
            }
            let looker = state.clone();
            may::go!(move || timer::record_event_polls(&looker, looks));
            may::go!(move || accept(&s3, &listener));
            if let Some((service, listener, _)) = rest {
                let state = state.clone();
                may::go!(move || rest::accept(&state, &listener, &service));
            }
            stop::until_ended(&state, signals, service.as_ref(), gateways);
        })
    };
    let ended = main.join();
    state.log_counters();
    ended.map_err(|_| (1, "the coroutine that waits for signals panicked".to_owned()))
}

/// Opens the socket between gateways; who is there is found out once it runs, and until then as many count as the
/// settings name.
fn join_gateways(
    state: &State,
    site: larchfall_operator_config::Gateways,
    (duties, signals): (
        Option<larchfall_operator_config::Duties>,
        Option<larchfall_operator_config::Signals>,
    ),
    shared: Shared,
    seed: u64,
    parts: Parts,
) -> Result<(Arc<Gateways>, Option<Keeper>), (u8, String)> {
    let about = MemberInfo { address: site.told, zone: site.zone, requests_per_second: site.serves };
    let now = state.clock.now();
    let count = site.count.map(|settings| FleetSize::new(settings, shared.gateways, now));
    let me = MemberId { name: site.name, generation: now.micros() };
    let cluster = site.settings.cluster.clone();
    let members = Membership::new(&me.name, me.generation, about, site.settings, seed, now);
    let opened = duties.map(|duties| Duty::open(state, duties, me.clone(), seed, parts, shared));
    let opened = opened.transpose().map_err(|e| (1, format!("duties: {e}")))?;
    let (duties, keeper) = opened.map_or((None, None), |(duties, keeper)| (Some(duties), keeper));
    let signals = signals.map(|site| Signals::new(state, site, seed, now));
    let opened = Gateways::open(site.address, members, (cluster, me.name.clone()), count, duties, signals);
    let gateways = opened.map_err(|e| (2, format!("fronts.address: {}: {e}", site.address)))?;
    info!(state.log, "listening to members"; "name" => &me.name, "address" => gateways.address().to_string());
    Ok((gateways, keeper))
}

/// may's listener shares its port with any other of ours; a plain one finds out whether the port is free.
fn listen(address: SocketAddrV4) -> Result<TcpListener, (u8, String)> {
    let free = std::net::TcpListener::bind(address).map(drop);
    free.and_then(|()| TcpListener::bind(address)).map_err(|e| (2, format!("listen: {address}: {e}")))
}

fn start(
    s: larchfall_config::Settings,
    limits: crate::state::limits::Limits,
    seed: u64,
    log: slog::Logger,
    probing: Option<LoadSharingSettings>,
    clock: Clock,
) -> State {
    let settings = TransportSettings::new(&s);
    let caps = Caps {
        unobserved_attempt_lifetime: Some(UNOBSERVED_ATTEMPT_LIFETIME),
        idle_connection_lifetime: ConnectionPool::idle_lifetime(s.idle_close),
        endpoint_list_lifetime: Some(discovery::TOLD_WITHIN + s.drain_grace),
        single_attempt: s.single_attempt,
        ..s.given.caps
    };
    let timers = Arc::new(Timers::new(clock));
    let policy = Policy::new(seed, PolicyConfig { caps, ..s.given });
    State {
        clock,
        stall_detector: StallDetector::start(clock.now()),
        log,
        counters: Counters::new(settings.classes.len()),
        settings,
        limits,
        policy: PolicyHandle::new(policy, clock, limits.requests, timers.clone()),
        timers,
        client_connections: ClientConnections::new(limits.unread_bytes),
        engine_connections: Arc::new(ConnectionPool::new(limits.engine_connections, s.idle_close)),
        shutdown: Shutdown::default(),
        discovery: DiscoveryStatus::new(clock.now()),
        shared_load_reports: probing
            .map(|settings| Mutex::new(LoadReportSharing::new(settings, clock.now()))),
    }
}

/// Takes connections in while there are descriptors for them. What has to wait in the listener's queue counts as
/// taken all the same, and a request in it would be overtaken by later ones of its key: so the last places are
/// kept free by ending connections that nobody uses.
fn accept(state: &Arc<State>, listener: &TcpListener) {
    let most = state.limits.client_connections;
    let spare = most / SPARE + 1;
    // Since when nobody was taken in, and when that was over.
    let mut held_up: Option<(Timestamp, Timestamp)> = None;
    loop {
        let called = state.clock.now();
        if state.client_connections.len() + spare >= most {
            state.client_connections.close_idle(spare, called - FRESH);
        }
        if state.client_connections.len() >= most || state.stall_detector.is_event_poll_overdue(called) {
            state.sleep(PAUSE);
            held_up = Some((held_up.map_or(called, |(since, _)| since), state.clock.now()));
            continue;
        }
        held_up = held_up.filter(|(_, until)| called.since(*until) < QUEUE_EMPTIES);
        match listener.accept() {
            Ok((stream, from)) => {
                let queued_since = held_up.map(|(since, _)| since);
                let (state, joined) = (state.clone(), rpc::join(state, stream, from, queued_since));
                may::go!(move || rpc::serve(&state, joined));
                may::coroutine::yield_now();
            }
            Err(e) => {
                warn!(state.log, "accept failed"; "error" => e.to_string());
                state.sleep(PAUSE);
            }
        }
    }
}
