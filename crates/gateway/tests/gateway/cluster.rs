//! Membership between several gateway processes, with faults on the simulated network between them. The last argument
//! of `GatewayCluster::start` is the seed of the network's faults.

use crate::common::{PROGRAM, wait_for};
use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{MembershipConfig, PROTOCOL_PERIOD, gateway_name};
use larchfall_fault_tests::gateway_process::GatewayProcess;
use larchfall_fault_tests::network::Link;
use std::net::UdpSocket;
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

fn wait_for_duration(description: &str, duration: Duration) {
    let start = Instant::now();
    wait_for(description, || (start.elapsed() > duration).then_some(()));
}

#[test]
fn members_see_a_killed_gateway_as_dead_and_its_next_process_as_alive() {
    let mut cluster = GatewayCluster::start(PROGRAM, 8, 11);
    cluster.wait_until_joined();
    cluster.gateways[5] = None;
    cluster.wait_until_held(&[5], "dead");
    cluster.start_gateway(5);
    cluster.wait_until_joined();
    // On SIGTERM a gateway announces that it leaves, so no member has to detect its failure.
    cluster.gateway(3).signal("-TERM");
    cluster.gateway(3).log.wait_for("shutdown complete");
    cluster.gateways[3] = None;
    cluster.wait_until_held(&[3], "left");
    for by in cluster.running() {
        assert_eq!(
            cluster.gateway(by).log.count("name: n03, state: dead"),
            0,
            "{} declared the leaving gateway dead",
            gateway_name(by)
        );
    }
}

#[test]
fn a_gateway_stalled_for_five_periods_declares_no_member_dead_and_is_alive_again() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 12);
    cluster.wait_until_joined();
    cluster.gateway(2).suspend();
    wait_for_duration("five protocol periods to pass", PROTOCOL_PERIOD * 5);
    cluster.gateway(2).resume();
    cluster.wait_for_datagrams(400);
    assert_eq!(
        cluster.gateway(2).log.count(", state: dead"),
        0,
        "the stalled gateway declared other members dead"
    );
    cluster.wait_until_joined();
}

#[test]
fn partitions_declare_each_other_dead_and_agree_after_the_network_heals() {
    struct Case {
        gateways: usize,
        partitions: usize,
        seed: u64,
    }
    let cases =
        [Case { gateways: 8, partitions: 2, seed: 13 }, Case { gateways: 12, partitions: 3, seed: 17 }];
    for Case { gateways, partitions, seed } in cases {
        let cluster = GatewayCluster::start(PROGRAM, gateways, seed);
        cluster.wait_until_joined();
        cluster.network.set_links(|a, b| a % partitions != b % partitions, Link::CUT);
        wait_for("each partition to declare the others dead", || {
            let is_dead = |by: usize, of: usize| cluster.member_state(by, of).as_deref() == Some("dead");
            let all_others_dead = |by: usize| {
                let mut others = (0..gateways).filter(|of| of % partitions != by % partitions);
                others.all(|of| is_dead(by, of))
            };
            (0..gateways).all(all_others_dead).then_some(())
        });
        // A reload during the partition changes the seed members and must keep the known members.
        cluster.gateway(0).reload_operator_config(&MembershipConfig::of(0, &[1, 3]).table(&cluster.network));
        cluster.gateway(0).log.wait_for("configuration reloaded");
        cluster.network.heal();
        cluster.wait_until_joined();
    }
}

/// Guards against an isolated gateway that counts only the members within reach: it would take itself for the only
/// gateway and send an engine in slow start the load that all gateways together may send.
#[test]
fn the_gateway_count_drops_dead_members_and_keeps_unreachable_ones() {
    let mut cluster = GatewayCluster::start(PROGRAM, 6, 21);
    cluster.wait_until_joined();
    let counted = |cluster: &GatewayCluster, by: usize| {
        let line = cluster.gateway(by).log.last("gateways counted, count: ")?;
        line.split("count: ").nth(1)?.split(',').next()?.parse::<usize>().ok()
    };
    wait_for("all six gateways to count six", || {
        (0..6).all(|i| counted(&cluster, i) == Some(6)).then_some(())
    });
    // The isolated gateway 5 declares all others dead in the end and still counts them; the others stop counting it.
    cluster.network.set_links(|a, b| (a == 5) != (b == 5), Link::CUT);
    wait_for("the other five gateways to count five", || {
        (0..5).all(|i| counted(&cluster, i) == Some(5)).then_some(())
    });
    assert_eq!(counted(&cluster, 5), Some(6));
    cluster.network.heal();
    wait_for("all six gateways to count six again", || {
        (0..6).all(|i| counted(&cluster, i) == Some(6)).then_some(())
    });
    // A minority that dies is no longer counted in the end. A majority that seems dead stays counted, since it may be
    // the larger side of a partition.
    cluster.gateways[4] = None;
    cluster.gateways[5] = None;
    wait_for("the remaining four gateways to count four", || {
        (0..4).all(|i| counted(&cluster, i) == Some(4)).then_some(())
    });
}

/// A gateway that gets a fifth of a core, in slices, answers probes late. Other members may suspect it, and it must
/// refute the suspicion in time.
#[test]
fn a_gateway_short_of_processor_time_is_not_declared_dead() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 22);
    cluster.wait_until_joined();
    let start = Instant::now();
    while start.elapsed() < PROTOCOL_PERIOD * 25 {
        cluster.gateway(4).suspend();
        wait_for_duration("the suspended slice to pass", Duration::from_millis(120));
        cluster.gateway(4).resume();
        wait_for_duration("the running slice to pass", Duration::from_millis(30));
    }
    assert_eq!(cluster.death_count(), 0, "seed 22");
    cluster.wait_until_joined();
}

#[test]
fn no_member_is_declared_dead_over_a_flapping_link() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 18);
    cluster.wait_until_joined();
    for flap in 0..24 {
        let link = Link { cut: flap % 2 == 0, ..Link::HEALTHY };
        cluster.network.set_links(|a, b| (a == 2) != (b == 2), link);
        wait_for_duration("half a protocol period to pass", PROTOCOL_PERIOD / 2);
    }
    cluster.network.heal();
    assert_eq!(cluster.death_count(), 0, "seed 18");
    cluster.wait_until_joined();
}

#[test]
fn members_agree_after_most_of_a_cluster_is_killed_at_once_and_restarted() {
    let mut cluster = GatewayCluster::start(PROGRAM, 12, 19);
    cluster.wait_until_joined();
    let killed: Vec<usize> = (0..8).collect();
    killed.iter().for_each(|i| cluster.gateways[*i] = None);
    // Both seed members are among the killed gateways. The restarted gateways rejoin since the survivors keep probing
    // dead members at their addresses.
    killed.iter().skip(2).for_each(|i| cluster.start_gateway(*i));
    let rejoined: Vec<usize> = (2..12).collect();
    cluster.wait_until_held(&rejoined, "alive");
    cluster.wait_until_held(&[0, 1], "dead");
    killed.iter().take(2).for_each(|i| cluster.start_gateway(*i));
    cluster.wait_until_joined();
}

#[test]
fn a_restart_has_a_new_generation_and_the_later_of_two_processes_with_one_name_keeps_it() {
    let mut cluster = GatewayCluster::start(PROGRAM, 6, 20);
    cluster.wait_until_joined();
    let generation = |cluster: &GatewayCluster, by: usize| {
        let line = cluster.gateway(by).log.last("member changed, name: n04, state: alive")?;
        line.split("generation: ").nth(1)?.split(',').next()?.parse::<u64>().ok()
    };
    let before = generation(&cluster, 0).unwrap();
    cluster.start_gateway(4);
    wait_for("all members to learn the next generation", || {
        let newer = |by: usize| generation(&cluster, by).is_some_and(|g| g > before);
        [0, 1, 2, 3, 5].into_iter().all(newer).then_some(())
    });
    // A second process with the name n04 at the network address of gateway 5.
    cluster.gateways[5] = None;
    cluster.start_gateway_named(5, 4);
    cluster.gateway(4).log.wait_for("another process has this name");
    assert_eq!(cluster.gateway(5).log.count("another process has this name"), 0);
}

#[test]
fn no_member_is_declared_dead_under_datagram_loss_or_over_a_one_way_link() {
    struct Case {
        is_affected: fn(usize, usize) -> bool,
        link: Link,
        gateways: usize,
        datagrams: u64,
        seed: u64,
    }
    let lossy = Link { loss: 0.5, duplication: 0.2, max_delay: Duration::from_millis(25), ..Link::HEALTHY };
    let cut = Link::CUT;
    let cases = [
        Case { is_affected: |_, _| true, link: lossy, gateways: 8, datagrams: 2_500, seed: 14 },
        Case { is_affected: |a, b| (a, b) == (1, 4), link: cut, gateways: 6, datagrams: 1_500, seed: 15 },
    ];
    for Case { is_affected, link, gateways, datagrams, seed } in cases {
        let cluster = GatewayCluster::start(PROGRAM, gateways, seed);
        cluster.wait_until_joined();
        cluster.network.set_links(is_affected, link);
        cluster.wait_for_datagrams(datagrams);
        assert_eq!(cluster.death_count(), 0, "seed {seed}");
        cluster.network.heal();
        cluster.wait_until_joined();
    }
}

#[test]
fn corrupt_datagrams_from_unknown_senders_change_nothing() {
    let cluster = GatewayCluster::start(PROGRAM, 3, 16);
    cluster.wait_until_joined();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000_u32 {
        let bytes = [1, n as u8, (n >> 8) as u8, 7, 7, 7];
        unknown_sender.send_to(&bytes[..usize::from(bytes[1]) % 6], cluster.network.bind_address(1)).unwrap();
    }
    let before = cluster.network.delivered();
    wait_for("the members to exchange further datagrams", || {
        (cluster.network.delivered() > before + 100).then_some(())
    });
    cluster.gateway(1).signal("-USR1");
    let counters = cluster.gateway(1).log.wait_for("membership counters");
    let corrupt = counters.split("corrupt: ").nth(1).unwrap().split(',').next().unwrap();
    assert!(corrupt.parse::<u64>().unwrap() > 0, "{counters}");
    cluster.gateway(1).log.wait_for("member, ");
    cluster.wait_until_joined();
}

/// A command that queries a running gateway. Operators' scripts call the command by its name of earlier versions and read
/// its columns.
struct StatusCommand {
    verb: &'static str,
    former_verb: &'static str,
    columns: &'static str,
    rows: usize,
}

const STATUS_COMMANDS: [StatusCommand; 3] = [
    StatusCommand {
        verb: "members",
        former_verb: "fronts",
        columns: "front standing generation address zone since s heard s ago",
        rows: 3,
    },
    // The clusters of these tests have neither leases nor quotas.
    StatusCommand {
        verb: "leases",
        former_verb: "duties",
        columns: "duty holder token left ms last ended here",
        rows: 0,
    },
    StatusCommand {
        verb: "quotas",
        former_verb: "shares",
        columns: "what part by kept here: fronts in use jain factor",
        rows: 0,
    },
];

/// Runs a status command with the configuration files of the gateway that it queries.
fn run_status_command(gateway: &GatewayProcess, verb: &str, with_operator_config: bool) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg(verb).arg("--config").arg(&gateway.config_file);
    if with_operator_config {
        command.arg("--site").arg(&gateway.operator_file);
    }
    command.output().unwrap()
}

#[test]
fn status_commands_print_the_same_table_under_their_former_names() {
    let cluster = GatewayCluster::start(PROGRAM, 3, 23);
    cluster.wait_until_joined();
    for StatusCommand { verb, former_verb, columns, rows } in STATUS_COMMANDS {
        for verb in [verb, former_verb] {
            let output = run_status_command(cluster.gateway(0), verb, true);
            assert_eq!(output.status.code(), Some(0), "{verb}: {output:?}");
            let table = String::from_utf8(output.stdout).unwrap();
            let words: Vec<&str> = table.lines().next().unwrap().split_whitespace().collect();
            assert_eq!(words.join(" "), columns, "{verb}");
            assert_eq!(table.lines().count(), 1 + rows, "{verb}: {table}");
        }
    }
}

#[test]
fn status_commands_fail_in_the_same_way_under_their_former_names() {
    let cluster = GatewayCluster::start(PROGRAM, 1, 24);
    let gateway = cluster.gateway(0);
    gateway.signal("-KILL");
    thread::scope(|scope| {
        for verb in STATUS_COMMANDS.iter().flat_map(|command| [command.verb, command.former_verb]) {
            scope.spawn(move || {
                let rejected = run_status_command(gateway, verb, false);
                assert_eq!(rejected.status.code(), Some(2), "{verb}: {rejected:?}");
                let error = String::from_utf8_lossy(&rejected.stderr).into_owned();
                let expected = "larchfall: the site file has no [fronts] table; give --site FILE\n";
                assert_eq!(error, expected, "{verb}");
                let unanswered = run_status_command(gateway, verb, true);
                assert_eq!(unanswered.status.code(), Some(1), "{verb}: {unanswered:?}");
                let error = String::from_utf8_lossy(&unanswered.stderr).into_owned();
                assert!(error.starts_with("larchfall: no gateway answered at "), "{verb}: {error}");
            });
        }
    });
}
