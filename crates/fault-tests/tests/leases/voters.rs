//! Voters that are gone, split, started anew, or replaced by others.

use crate::test_bed::{ACTION_INTERVAL, TestBed, lease_table, program_table};
use larchfall_fault_tests::gateway_config::MembershipConfig;
use larchfall_fault_tests::network::Link;
use larchfall_fault_tests::wait::wait_until;
use std::time::{Duration, Instant};

#[test]
fn voters_split_killed_all_at_once_or_always_starting_anew() {
    let mut test_bed = TestBed::start("electors", 7, 5, 2, 35);
    // Three and two: those with two hold nothing.
    test_bed.cluster.network.set_links(|from, to| (from < 2) != (to < 2), Link::CUT);
    test_bed.wait_until_all_act();
    wait_until("the minority to hold nothing", || {
        test_bed.leases.iter().all(|lease| test_bed.holder(lease).gateway >= 2)
    });
    test_bed.cluster.network.heal();
    // Two of five dead.
    test_bed.cluster.kill(0);
    test_bed.cluster.kill(1);
    test_bed.wait_until_all_act();
    test_bed.assert_in_token_order();
    // All killed at once and started in turn; their tokens go on.
    let last_token = |lease: &String| test_bed.resource.last_accepted(lease).unwrap().token;
    let newest = test_bed.leases.iter().map(last_token).max().unwrap();
    (0..7).for_each(|gateway| test_bed.cluster.kill(gateway));
    (0..7).for_each(|gateway| test_bed.cluster.start_gateway(gateway));
    test_bed.wait_until_all_act_after(newest);
    // One that starts anew again and again is never heard, and does no harm.
    for _ in 0..4 {
        test_bed.cluster.start_gateway(3);
        test_bed.cluster.wait_for_datagrams(150);
    }
    test_bed.wait_until_all_act();
    test_bed.assert_in_token_order();
}

/// Gateways whose operator files name other voters.
struct VoterChange {
    test_bed: TestBed,
    command: String,
}

impl VoterChange {
    /// A gateway reads a file with these lines in place of its list of voters.
    fn reload(&self, gateway: usize, voters: &str) {
        let cluster = &self.test_bed.cluster;
        let table = lease_table(&[0, 1, 2], &self.test_bed.files.record_folder(gateway));
        let table = table.replace("electors = [\"n00\", \"n01\", \"n02\"]", voters);
        let membership = MembershipConfig::of(gateway, &[0, 1]).table(&cluster.network);
        let operator_config = membership + &table + &program_table("writer0", &self.command);
        cluster.gateway(gateway).reload_operator_config(&operator_config);
    }

    /// Waits until all have read their files this often, and those that read another one besides.
    fn wait_until_read(&self, times: usize) {
        wait_until("all to have read it", || {
            let besides = |gateway| usize::from(gateway == 1) + usize::from(gateway == 4 && times == 2);
            let reloads =
                |gateway| self.test_bed.cluster.gateway(gateway).log.count("configuration reloaded");
            (0..5).all(|gateway| reloads(gateway) >= times + besides(gateway))
        });
        self.test_bed.wait_until_all_act();
    }
}

#[test]
fn other_voters_are_rejected_unless_both_lists_are_named_for_a_time() {
    let test_bed = TestBed::start("change", 5, 3, 1, 81);
    let command = test_bed.resource.command(ACTION_INTERVAL);
    let change = VoterChange { test_bed, command };
    let log = |gateway: usize| &change.test_bed.cluster.gateway(gateway).log;
    let old = "[\"n00\", \"n01\", \"n02\"]";
    let new = "[\"n02\", \"n03\", \"n04\"]";
    change.reload(1, &format!("electors = {new}"));
    log(1).wait_for("lease settings rejected, reason: electors");
    let both = format!("electors = {new}\nelectors-before = {old}");
    (0..5).for_each(|gateway| change.reload(gateway, &both));
    change.wait_until_read(1);
    // The new voters are silent at first, and nobody may go on before all have read it.
    let changed = Instant::now();
    change.reload(4, &format!("electors = {new}"));
    log(4).wait_for("lease settings rejected, reason: electors: voters were changed too recently");
    wait_until("three longest leases", || changed.elapsed() > Duration::from_millis(4_600));
    change.test_bed.wait_until_all_act();
    (0..5).for_each(|gateway| change.reload(gateway, &format!("electors = {new}")));
    change.wait_until_read(2);
    let rejections = |gateway| log(gateway).count("lease settings rejected");
    assert!((0..4).all(|gateway| rejections(gateway) == usize::from(gateway == 1)));
    // Two of the old are gone for good, and nothing needs them.
    let mut test_bed = change.test_bed;
    let holder = test_bed.holder("writer0");
    [0, 1, holder.gateway].into_iter().for_each(|gateway| test_bed.cluster.kill(gateway));
    test_bed.wait_for_successor("writer0", holder, Instant::now());
    test_bed.wait_until_all_act();
    test_bed.assert_in_token_order();
}
