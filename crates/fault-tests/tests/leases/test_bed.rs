//! A cluster with leases, and a resource that the operator's programs act on under them.

use larchfall_fault_tests::fault_script::fault_files::{FaultFiles, STEADY_CLOCK_VARIABLE};
use larchfall_fault_tests::fenced_resource::{Action, FencedResource};
use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::name_list;
use larchfall_fault_tests::gateway_process::EnvironmentVariable;
use larchfall_fault_tests::wait::{wait_for, wait_until};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
pub(crate) const LEASE: Duration = Duration::from_millis(1000);
/// A lease, the wait of those that come later in order, polls and rounds, and a machine that is busy.
pub(crate) const TAKEOVER_LIMIT: Duration = Duration::from_millis(6000);
pub(crate) const ACTION_INTERVAL: Duration = Duration::from_millis(15);

pub(crate) fn lease_table(voters: &[usize], record_folder: &Path) -> String {
    format!(
        "[duties]\nelectors = {}\nlease-ms = {}\nlongest-ms = 1500\nleast-ms = 60000\nrecord = \"{}\"\n",
        name_list(voters.iter().copied()),
        LEASE.as_millis(),
        record_folder.display()
    )
}

pub(crate) fn program_table(lease: &str, command: &str) -> String {
    format!("[[duty]]\nname = \"{lease}\"\ncommand = {command}\nend-ms = 100\n")
}

/// Who holds a lease, under which token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) gateway: usize,
    pub(crate) token: u64,
}

/// What a cluster with leases is started with.
pub(crate) struct Setup {
    /// Names its folder.
    pub(crate) test: &'static str,
    pub(crate) gateways: usize,
    /// The first gateways are voters.
    pub(crate) voters: usize,
    pub(crate) leases: usize,
    pub(crate) seed: u64,
    /// Programs act this often.
    pub(crate) action_interval: Duration,
    /// The rate of a gateway's steady clock.
    pub(crate) clock_rate: fn(usize) -> Option<&'static str>,
    /// Changes the table of leases.
    pub(crate) edit: fn(String) -> String,
}

impl Setup {
    pub(crate) fn new(test: &'static str, gateways: usize, voters: usize, leases: usize, seed: u64) -> Setup {
        Setup {
            test,
            gateways,
            voters,
            leases,
            seed,
            action_interval: ACTION_INTERVAL,
            clock_rate: |_| None,
            edit: |table| table,
        }
    }

    pub(crate) fn start(self) -> TestBed {
        let resource = FencedResource::start().unwrap();
        let command = resource.command(self.action_interval);
        self.start_with(resource, &command)
    }

    pub(crate) fn start_with(self, resource: FencedResource, command: &str) -> TestBed {
        let folder = std::env::temp_dir().join(format!("larchfall-{}-{}", std::process::id(), self.test));
        let _ = std::fs::remove_dir_all(&folder);
        let files = FaultFiles::new(&folder, self.gateways).unwrap();
        let leases: Vec<String> = (0..self.leases).map(|lease| format!("writer{lease}")).collect();
        let programs: String = leases.iter().map(|lease| program_table(lease, command)).collect();
        let voters: Vec<usize> = (0..self.voters).collect();
        let environments: Vec<Vec<EnvironmentVariable>> = (0..self.gateways)
            .map(|gateway| {
                let rate = (self.clock_rate)(gateway);
                let rate = rate
                    .map(|rate| EnvironmentVariable { name: STEADY_CLOCK_VARIABLE, value: rate.to_owned() });
                rate.into_iter().chain(files.environment(gateway)).collect()
            })
            .collect();
        let cluster = GatewayCluster::new(PROGRAM, self.gateways, self.seed)
            .with_operator_tables(|gateway| {
                (self.edit)(lease_table(&voters, &files.record_folder(gateway))) + &programs
            })
            .with_environment(move |gateway| environments[gateway].clone())
            .start_all();
        let test_bed = TestBed { cluster, resource, files, folder, leases };
        test_bed.wait_until_all_act();
        test_bed
    }
}

/// A cluster of which some are voters, with disks and clocks that can be told to be wrong, and programs that act under leases.
pub(crate) struct TestBed {
    pub(crate) cluster: GatewayCluster,
    pub(crate) resource: FencedResource,
    pub(crate) files: FaultFiles,
    /// Goes with the test.
    pub(crate) folder: PathBuf,
    pub(crate) leases: Vec<String>,
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TestBed {
    pub(crate) fn start(
        test: &'static str,
        gateways: usize,
        voters: usize,
        leases: usize,
        seed: u64,
    ) -> TestBed {
        Setup::new(test, gateways, voters, leases, seed).start()
    }

    /// Waits until there is an action under each lease from now on.
    pub(crate) fn wait_until_all_act(&self) {
        self.wait_until_all_act_as(|_| true);
    }

    /// Waits until there is an action under each lease from now on, with a token newer than this.
    pub(crate) fn wait_until_all_act_after(&self, token: u64) {
        self.wait_until_all_act_as(|action| action.token > token);
    }

    pub(crate) fn wait_until_all_act_as(&self, expected: impl Fn(&Action) -> bool) {
        let began = Instant::now();
        for lease in &self.leases {
            wait_until(&format!("seed {}: an action under {lease}", self.cluster.seed), || {
                let last = self.resource.last_accepted(lease);
                last.is_some_and(|action| action.at > began && expected(&action))
            });
        }
    }

    /// The gateway whose log says that it acquired the newest token that was acted under.
    pub(crate) fn holder(&self, lease: &str) -> Holder {
        wait_for("a holder", || {
            let token = self.resource.last_accepted(lease)?.token;
            Some(Holder { gateway: self.cluster.lease_holder(lease, token)?, token })
        })
    }

    /// Waits for an action under a newer token than this holder's; how long nobody acted since then.
    pub(crate) fn wait_for_successor(&self, lease: &str, holder: Holder, since: Instant) -> Duration {
        wait_until(&format!("seed {}: another to act under {lease}", self.cluster.seed), || {
            self.resource.last_accepted(lease).is_some_and(|action| action.token > holder.token)
        });
        self.resource.longest_gap(lease, since)
    }

    pub(crate) fn assert_in_token_order(&self) {
        let rejected = self.resource.rejected();
        assert_eq!(rejected, [], "seed {}: actions out of token order", self.cluster.seed);
    }
}
