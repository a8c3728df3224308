//! Gateways of one program, each a process, that know each other through a network that tests can break.

use crate::gateway_config::{MembershipConfig, config, gateway_name};
use crate::gateway_process::{EnvironmentVariable, GatewayFiles, GatewayProcess};
use crate::network::Network;
use crate::process_log::{ProcessLog, field};
use crate::proxy::{Proxies, ProxyMode};
use crate::wait::wait_until;
use larchfall_stub::discovery::Discovery;
use std::net::SocketAddr;
use std::sync::Arc;

/// Gateways that ask for the members' table first.
const SEEDS: [usize; 2] = [0, 1];
const MAX_CONNECTIONS: usize = 256;

/// The log of a process, by the name of its gateway.
pub struct NamedLog {
    /// The name under which it was started.
    pub name: String,
    /// What it wrote.
    pub log: Arc<ProcessLog>,
}

type ByGateway<T> = Box<dyn Fn(usize) -> T>;

/// The gateways, by number; one that does not run is `None`. Each has a discovery service of its own, which lists no engine
/// unless it is told to.
pub struct GatewayCluster {
    /// What is between them.
    pub network: Network,
    /// Those that run.
    pub gateways: Vec<Option<GatewayProcess>>,
    /// Of the network, and of what tests draw.
    pub seed: u64,
    /// Of each process that was ever started, in order.
    pub logs: Vec<NamedLog>,
    program: &'static str,
    operator_tables: Vec<String>,
    environment: ByGateway<Vec<EnvironmentVariable>>,
    config: Box<dyn Fn(usize, SocketAddr) -> String>,
    zone: ByGateway<String>,
    counts_living: bool,
    /// From each gateway to its discovery service.
    discovery_proxies: Vec<Option<Proxies>>,
}

impl GatewayCluster {
    /// A cluster whose gateways all run.
    pub fn start(program: &'static str, gateways: usize, seed: u64) -> GatewayCluster {
        GatewayCluster::new(program, gateways, seed).start_all()
    }

    /// A cluster of which no gateway runs yet.
    ///
    /// # Panics
    ///
    /// If there are no free ports.
    pub fn new(program: &'static str, gateways: usize, seed: u64) -> GatewayCluster {
        GatewayCluster {
            network: Network::start(gateways, seed).unwrap(),
            gateways: (0..gateways).map(|_| None).collect(),
            seed,
            logs: Vec::new(),
            program,
            operator_tables: vec![String::new(); gateways],
            environment: Box::new(|_| Vec::new()),
            config: Box::new(|_, discovery| config("127.0.0.1:0", discovery, None, MAX_CONNECTIONS)),
            zone: Box::new(|_| "east".to_owned()),
            counts_living: true,
            discovery_proxies: (0..gateways).map(|_| None).collect(),
        }
    }

    /// What a gateway's operator file has beside its membership.
    #[must_use]
    pub fn with_operator_tables(mut self, tables: impl Fn(usize) -> String) -> GatewayCluster {
        self.operator_tables = (0..self.gateways.len()).map(tables).collect();
        self
    }

    /// What is added to a gateway's environment.
    #[must_use]
    pub fn with_environment(
        mut self,
        environment: impl Fn(usize) -> Vec<EnvironmentVariable> + 'static,
    ) -> GatewayCluster {
        self.environment = Box::new(environment);
        self
    }

    /// A gateway's configuration, by the address of its discovery service.
    #[must_use]
    pub fn with_config(mut self, config: impl Fn(usize, SocketAddr) -> String + 'static) -> GatewayCluster {
        self.config = Box::new(config);
        self
    }

    /// The name of a gateway's zone.
    #[must_use]
    pub fn with_zones(mut self, zone: impl Fn(usize) -> String + 'static) -> GatewayCluster {
        self.zone = Box::new(zone);
        self
    }

    /// Whether gateways divide quotas by the number of those that live, rather than by the settings' number.
    #[must_use]
    pub fn counting_living(mut self, counts_living: bool) -> GatewayCluster {
        self.counts_living = counts_living;
        self
    }

    /// Starts all gateways, one after the other.
    #[must_use]
    pub fn start_all(mut self) -> GatewayCluster {
        (0..self.gateways.len()).for_each(|gateway| self.start_gateway(gateway));
        self
    }

    /// Starts a process of this gateway; one that runs is killed before.
    pub fn start_gateway(&mut self, gateway: usize) {
        self.start_gateway_named(gateway, gateway);
    }

    /// Starts a process at the place of one gateway, under the name of another.
    pub fn start_gateway_named(&mut self, gateway: usize, named_as: usize) {
        // Two processes cannot have one address.
        self.gateways[gateway] = None;
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let proxy = Proxies::start(1, &[discovery.address]).unwrap();
        let config = (self.config)(gateway, proxy.address(0, 0));
        self.discovery_proxies[gateway] = Some(proxy);
        let seeds = &SEEDS[..SEEDS.len().min(self.gateways.len())];
        let membership = MembershipConfig {
            named_as,
            zone: (self.zone)(gateway),
            counts_living: self.counts_living,
            ..MembershipConfig::of(gateway, seeds)
        };
        let operator_config = membership.table(&self.network) + &self.operator_tables[gateway];
        let files = GatewayFiles {
            config: &config,
            operator_config: Some(&operator_config),
            environment: &(self.environment)(gateway),
        };
        let process = GatewayProcess::start(self.program, discovery, &files);
        // One that ends because its address is taken is noticed here, and not as a member of which nobody ever hears.
        process.log.wait_for("listening to members");
        self.logs.push(NamedLog { name: gateway_name(named_as), log: process.log.clone() });
        self.gateways[gateway] = Some(process);
    }

    /// Kills a gateway, if it runs.
    pub fn kill(&mut self, gateway: usize) {
        self.gateways[gateway] = None;
    }

    /// A gateway that runs.
    ///
    /// # Panics
    ///
    /// If it does not run.
    pub fn gateway(&self, gateway: usize) -> &GatewayProcess {
        self.gateways[gateway].as_ref().unwrap()
    }

    /// What becomes of the connections between this gateway and its discovery service.
    ///
    /// # Panics
    ///
    /// If it never ran.
    pub fn set_discovery_mode(&self, gateway: usize, mode: ProxyMode) {
        self.discovery_proxies[gateway].as_ref().unwrap().set_mode(|_, _| true, mode);
    }

    /// The numbers of the gateways that run.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways.len()).filter(|gateway| self.gateways[*gateway].is_some())
    }

    /// The state of one gateway in the last line that another logged of it.
    pub fn member_state(&self, by: usize, of: usize) -> Option<String> {
        let line =
            self.gateway(by).log.last(&format!("member changed, name: {}, state: ", gateway_name(of)))?;
        field(&line, "state").map(str::to_owned)
    }

    /// The gateway that runs and has logged that it acquired a lease under this token.
    pub fn lease_holder(&self, lease: &str, token: u64) -> Option<usize> {
        let token = token.to_string();
        // Fields are compared whole: token 1 is not token 12.
        let acquired = |line: &str| {
            line.contains("lease acquired")
                && field(line, "lease") == Some(lease)
                && field(line, "token") == Some(&token)
        };
        self.running().find(|gateway| self.gateway(*gateway).log.has_line(acquired))
    }

    /// Waits until all that run hold each of these in this state, themselves excepted.
    pub fn wait_until_held(&self, of: &[usize], state: &str) {
        let what = format!("seed {}: all to hold {of:?} in state {state}", self.seed);
        wait_until(&what, || {
            let holds = |by: usize| {
                of.iter().all(|of| *of == by || self.member_state(by, *of).as_deref() == Some(state))
            };
            self.running().all(holds)
        });
    }

    /// Waits until all that run hold each other alive.
    pub fn wait_until_joined(&self) {
        let all: Vec<usize> = self.running().collect();
        self.wait_until_held(&all, "alive");
    }

    /// How often a gateway that runs declared another one dead.
    pub fn death_count(&self) -> usize {
        self.running().map(|gateway| self.gateway(gateway).log.count(", state: dead")).sum()
    }

    /// Waits until this many more datagrams have been delivered between gateways.
    pub fn wait_for_datagrams(&self, datagrams: u64) {
        let until = self.network.delivered() + datagrams;
        wait_until("datagrams to be delivered", || self.network.delivered() >= until);
    }
}
