//! Disks that fail, records that are damaged, clocks that are off.

use crate::test_bed::{LEASE, Setup, TestBed};
use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::gateway_name;
use larchfall_fault_tests::process_log::field;
use larchfall_fault_tests::wait::wait_until;
use std::path::PathBuf;
use std::time::Instant;

#[test]
fn disks_that_fail_lose_writes_or_are_slow() {
    struct Case {
        seed: u64,
        test: &'static str,
        /// What the disks of all voters do.
        disk: &'static str,
        /// Whether a new holder is found while they do.
        found: bool,
    }
    let cases = [
        Case { seed: 41, test: "disk41", disk: "full", found: false },
        Case { seed: 42, test: "disk42", disk: "read-only", found: false },
        Case { seed: 43, test: "disk43", disk: "lies", found: true },
        Case { seed: 44, test: "disk44", disk: "slow 3000", found: false },
    ];
    for Case { seed, test, disk, found } in cases {
        let test_bed = TestBed::start(test, 4, 3, 1, seed);
        (0..3).for_each(|voter| test_bed.files.set_disk_words(voter, disk));
        let holder = test_bed.holder("writer0");
        test_bed.cluster.gateway(holder.gateway).suspend();
        let deadline = Instant::now() + LEASE * 4;
        let has_successor =
            || test_bed.resource.last_accepted("writer0").is_some_and(|action| action.token > holder.token);
        wait_until("four leases, or another", || has_successor() || Instant::now() > deadline);
        assert_eq!(has_successor(), found, "{disk}");
        // Healthy again, and running: somebody has it.
        (0..3).for_each(|voter| test_bed.files.set_disk_words(voter, ""));
        test_bed.cluster.gateway(holder.gateway).resume();
        test_bed.wait_until_all_act_after(holder.token);
        test_bed.assert_in_token_order();
    }
}

/// A voter's process ends at each step of a write, and starts with what is there.
#[test]
fn power_lost_at_any_step_of_a_write() {
    let mut test_bed = TestBed::start("power", 6, 5, 1, 45);
    for step in 1..=7 {
        let holder = test_bed.holder("writer0");
        let voter = (0..5).find(|voter| *voter != holder.gateway).unwrap();
        test_bed.files.set_disk_words(voter, &format!("dies {step}"));
        test_bed.cluster.start_gateway(voter);
        test_bed.cluster.wait_until_joined();
        // Silent for its first longest lease, it writes when the next holder asks.
        let silent_since = Instant::now();
        wait_until("its silence to end", || silent_since.elapsed() > LEASE * 2);
        test_bed.cluster.network.isolate(holder.gateway);
        test_bed.wait_for_successor("writer0", holder, Instant::now());
        test_bed.cluster.network.heal();
        test_bed.files.set_disk_words(voter, "");
        test_bed.cluster.start_gateway(voter);
        test_bed.cluster.wait_until_joined();
        test_bed.assert_in_token_order();
    }
}

#[derive(Clone, Copy, PartialEq)]
enum RecordDamage {
    Outdated,
    Lost,
    BitFlipped,
}

/// A voter's record, and what it was at first.
struct VoterRecordFile {
    file: PathBuf,
    first: Option<Vec<u8>>,
}

impl VoterRecordFile {
    fn damage(&self, damage: RecordDamage) {
        let _ = std::fs::remove_file(self.file.with_extension("record.before"));
        match (damage, std::fs::read(&self.file)) {
            (RecordDamage::Outdated, _) => {
                if let Some(first) = &self.first {
                    std::fs::write(&self.file, first).unwrap();
                }
            }
            (RecordDamage::BitFlipped, Ok(mut bytes)) => {
                let middle = bytes.len() / 2;
                bytes[middle] ^= 16;
                std::fs::write(&self.file, bytes).unwrap();
            }
            _ => drop(std::fs::remove_file(&self.file)),
        }
    }
}

/// A record of last week, none at all, and a flipped bit: at all voters at once, all started anew.
#[test]
fn tokens_grow_over_records_that_are_outdated_lost_or_corrupt() {
    let mut test_bed = TestBed::start("records", 4, 3, 1, 51);
    let record = |voter: usize| test_bed.files.record_folder(voter).join("duties.record");
    wait_until("records", || (0..3).filter(|voter| record(*voter).exists()).count() > 1);
    let records: Vec<VoterRecordFile> = (0..3)
        .map(|voter| VoterRecordFile { file: record(voter), first: std::fs::read(record(voter)).ok() })
        .collect();
    for damage in [RecordDamage::Outdated, RecordDamage::Lost, RecordDamage::BitFlipped] {
        let newest = test_bed.resource.last_accepted("writer0").unwrap().token;
        (0..4).for_each(|gateway| test_bed.cluster.kill(gateway));
        records.iter().for_each(|record| record.damage(damage));
        (0..4).for_each(|gateway| test_bed.cluster.start_gateway(gateway));
        if damage == RecordDamage::BitFlipped {
            wait_until("the damage to be logged", || {
                let log = |voter: usize| &test_bed.cluster.gateway(voter).log;
                (0..3).any(|voter| log(voter).count("duties.record, reason: ") > 0)
            });
        }
        test_bed.wait_until_all_act_after(newest);
        test_bed.assert_in_token_order();
    }
}

#[test]
fn a_clock_that_runs_fast_and_two_gateways_of_one_name_make_no_second_holder() {
    // The clock of one voter runs five in a hundred fast, that of another gateway as much too slow.
    let clock_rate = |gateway| match gateway {
        0 => Some("1.05"),
        3 => Some("0.95"),
        _ => None,
    };
    let mut test_bed = Setup { clock_rate, ..Setup::new("clock", 5, 3, 2, 61) }.start();
    for _ in 0..3 {
        let holder = test_bed.holder("writer0");
        test_bed.cluster.gateway(holder.gateway).suspend();
        test_bed.wait_for_successor("writer0", holder, Instant::now());
        test_bed.cluster.gateway(holder.gateway).resume();
        test_bed.cluster.wait_until_joined();
    }
    test_bed.assert_in_token_order();
    // A second process under the name of a holder, at another address.
    let holder = test_bed.holder("writer0").gateway;
    let other = (3..5).find(|gateway| *gateway != holder).unwrap();
    test_bed.cluster.kill(other);
    test_bed.cluster.start_gateway_named(other, holder);
    test_bed.cluster.gateway(holder).log.wait_for("another process has this name");
    test_bed.wait_until_all_act();
    test_bed.assert_in_token_order();
}

/// The generation of a member, as a gateway last logged it.
fn known_generation(cluster: &GatewayCluster, by: usize, of: usize) -> Option<u64> {
    let alive = format!("member changed, name: {}, state: alive", gateway_name(of));
    let line = cluster.gateway(by).log.last(&alive)?;
    field(&line, "generation")?.parse().ok()
}

/// Unix clocks jump, ahead and back, of the holder and of a voter: only steady time counts.
#[test]
fn unix_clocks_that_jump_bury_nobody_and_end_no_lease() {
    let mut test_bed = TestBed::start("wall", 5, 3, 1, 62);
    test_bed.cluster.wait_until_joined();
    let holder = test_bed.holder("writer0");
    let voter = (0..3).find(|voter| *voter != holder.gateway).unwrap();
    for seconds in [3_600, -86_400, 0] {
        for gateway in [holder.gateway, voter] {
            test_bed.files.set_clock_offset(gateway, seconds);
            // A gateway that reads its file again looks at that clock too.
            let gateway = test_bed.cluster.gateway(gateway);
            let unchanged = std::fs::read_to_string(&gateway.operator_file).unwrap();
            gateway.reload_operator_config(&unchanged);
        }
        test_bed.cluster.wait_for_datagrams(300);
    }
    assert_eq!(test_bed.cluster.death_count(), 0);
    assert_eq!(test_bed.holder("writer0"), holder);
    // One that starts with its clock a day back is the member that it was, and a later process of it.
    test_bed.files.set_clock_offset(holder.gateway, -86_400);
    let before = known_generation(&test_bed.cluster, voter, holder.gateway);
    test_bed.cluster.start_gateway(holder.gateway);
    wait_until("the next generation", || known_generation(&test_bed.cluster, voter, holder.gateway) > before);
    test_bed.cluster.wait_until_joined();
    test_bed.wait_until_all_act();
    test_bed.assert_in_token_order();
}
