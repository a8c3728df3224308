//! Membership between several gateways as programs of their own, with faults on the network between them. Each failure
//! names the seed.

use crate::common::{PROGRAM, wait_for};
use larchfall_fault_tests::gateway_cluster::GatewayCluster;
use larchfall_fault_tests::gateway_config::{MembershipConfig, PROTOCOL_PERIOD, gateway_name};
use larchfall_fault_tests::gateway_process::GatewayProcess;
use larchfall_fault_tests::network::Link;
use std::net::UdpSocket;
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

fn wait_until_past(what: &str, duration: Duration) {
    let from = Instant::now();
    wait_for(what, || (from.elapsed() > duration).then_some(()));
}

#[test]
fn a_killed_gateway_is_dead_to_all_members_and_its_next_process_alive() {
    let mut cluster = GatewayCluster::start(PROGRAM, 8, 11);
    cluster.wait_until_joined();
    cluster.gateways[5] = None;
    cluster.wait_until_held(&[5], "dead");
    cluster.start_gateway(5);
    cluster.wait_until_joined();
    // On SIGTERM it says itself that it leaves: no member has to find it silent.
    cluster.gateway(3).signal("-TERM");
    cluster.gateway(3).log.wait_for("shutdown complete");
    cluster.gateways[3] = None;
    cluster.wait_until_held(&[3], "left");
    for by in cluster.running() {
        assert_eq!(
            cluster.gateway(by).log.count("name: n03, state: dead"),
            0,
            "{} found it silent",
            gateway_name(by)
        );
    }
}

#[test]
fn a_gateway_stalled_for_some_periods_declares_no_member_dead_and_is_alive_again() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 12);
    cluster.wait_until_joined();
    cluster.gateway(2).suspend();
    wait_until_past("five periods", PROTOCOL_PERIOD * 5);
    cluster.gateway(2).resume();
    cluster.wait_for_datagrams(400);
    assert_eq!(cluster.gateway(2).log.count(", state: dead"), 0, "it declared others dead");
    cluster.wait_until_joined();
}

#[test]
fn partitions_declare_each_other_dead_and_agree_once_they_are_joined() {
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
        // A file that is reloaded meanwhile changes the seeds, and keeps the members that are known.
        cluster.gateway(0).reload_operator_config(&MembershipConfig::of(0, &[1, 3]).table(&cluster.network));
        cluster.gateway(0).log.wait_for("configuration reloaded");
        cluster.network.heal();
        cluster.wait_until_joined();
    }
}

/// Guards against a gateway that is cut off and counts only the members that it reaches: alone it would send an engine in
/// slow start what all gateways together may send it.
#[test]
fn the_gateway_count_follows_members_that_are_alive_and_keeps_those_out_of_reach() {
    let mut cluster = GatewayCluster::start(PROGRAM, 6, 21);
    cluster.wait_until_joined();
    let counted = |cluster: &GatewayCluster, by: usize| {
        let line = cluster.gateway(by).log.last("gateways counted, count: ")?;
        line.split("count: ").nth(1)?.split(',').next()?.parse::<usize>().ok()
    };
    wait_for("all six to count", || (0..6).all(|i| counted(&cluster, i) == Some(6)).then_some(()));
    // Cut off, it declares all others dead in the end, and still counts them; they go on without it.
    cluster.network.set_links(|a, b| (a == 5) != (b == 5), Link::CUT);
    wait_for("the others to count five", || (0..5).all(|i| counted(&cluster, i) == Some(5)).then_some(()));
    assert_eq!(counted(&cluster, 5), Some(6));
    cluster.network.heal();
    wait_for("all six again", || (0..6).all(|i| counted(&cluster, i) == Some(6)).then_some(()));
    // Two that die are not counted in the end. If more than half died, they might as well be the larger side of a
    // partition.
    cluster.gateways[4] = None;
    cluster.gateways[5] = None;
    wait_for("four to count", || (0..4).all(|i| counted(&cluster, i) == Some(4)).then_some(()));
}

/// A gateway that gets a fifth of its core, in slices, answers late, is perhaps suspected, and refutes that.
#[test]
fn a_gateway_short_of_processor_time_is_not_declared_dead() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 22);
    cluster.wait_until_joined();
    let from = Instant::now();
    while from.elapsed() < PROTOCOL_PERIOD * 25 {
        cluster.gateway(4).suspend();
        wait_until_past("a slice", Duration::from_millis(120));
        cluster.gateway(4).resume();
        wait_until_past("a slice", Duration::from_millis(30));
    }
    assert_eq!(cluster.death_count(), 0, "seed 22");
    cluster.wait_until_joined();
}

#[test]
fn a_flapping_link_has_no_member_declared_dead() {
    let cluster = GatewayCluster::start(PROGRAM, 6, 18);
    cluster.wait_until_joined();
    for flap in 0..24 {
        let link = Link { cut: flap % 2 == 0, ..Link::HEALTHY };
        cluster.network.set_links(|a, b| (a == 2) != (b == 2), link);
        wait_until_past("half a period", PROTOCOL_PERIOD / 2);
    }
    cluster.network.heal();
    assert_eq!(cluster.death_count(), 0, "seed 18");
    cluster.wait_until_joined();
}

#[test]
fn members_agree_after_most_of_a_fleet_is_killed_at_once_and_started_again() {
    let mut cluster = GatewayCluster::start(PROGRAM, 12, 19);
    cluster.wait_until_joined();
    let killed: Vec<usize> = (0..8).collect();
    killed.iter().for_each(|i| cluster.gateways[*i] = None);
    // Both seeds are among them: those that stay try the dead at their addresses, and are found so.
    killed.iter().skip(2).for_each(|i| cluster.start_gateway(*i));
    let back: Vec<usize> = (2..12).collect();
    cluster.wait_until_held(&back, "alive");
    cluster.wait_until_held(&[0, 1], "dead");
    killed.iter().take(2).for_each(|i| cluster.start_gateway(*i));
    cluster.wait_until_joined();
}

#[test]
fn a_restart_is_a_new_generation_and_of_two_processes_with_one_name_the_later_keeps_it() {
    let mut cluster = GatewayCluster::start(PROGRAM, 6, 20);
    cluster.wait_until_joined();
    let generation = |cluster: &GatewayCluster, by: usize| {
        let line = cluster.gateway(by).log.last("member changed, name: n04, state: alive")?;
        line.split("generation: ").nth(1)?.split(',').next()?.parse::<u64>().ok()
    };
    let before = generation(&cluster, 0).unwrap();
    cluster.start_gateway(4);
    wait_for("the next generation to be known to all", || {
        let newer = |by: usize| generation(&cluster, by).is_some_and(|g| g > before);
        [0, 1, 2, 3, 5].into_iter().all(newer).then_some(())
    });
    // A second process under that name, at another address of the net.
    cluster.gateways[5] = None;
    cluster.start_gateway_named(5, 4);
    cluster.gateway(4).log.wait_for("another process has this name");
    assert_eq!(cluster.gateway(5).log.count("another process has this name"), 0);
}

#[test]
fn heavy_datagram_loss_or_a_one_way_link_has_no_member_declared_dead() {
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
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000_u32 {
        let bytes = [1, n as u8, (n >> 8) as u8, 7, 7, 7];
        stranger.send_to(&bytes[..usize::from(bytes[1]) % 6], cluster.network.bind_address(1)).unwrap();
    }
    let before = cluster.network.delivered();
    wait_for("the others to go on", || (cluster.network.delivered() > before + 100).then_some(()));
    cluster.gateway(1).signal("-USR1");
    let counters = cluster.gateway(1).log.wait_for("membership counters");
    let corrupt = counters.split("corrupt: ").nth(1).unwrap().split(',').next().unwrap();
    assert!(corrupt.parse::<u64>().unwrap() > 0, "{counters}");
    cluster.gateway(1).log.wait_for("member, ");
    cluster.wait_until_joined();
}

/// A command that asks a running gateway. Scripts of operators call it by the name of earlier versions and read its columns.
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
    // These fleets have neither leases nor quotas.
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

/// Runs the program with the files of a gateway.
fn ask(gateway: &GatewayProcess, verb: &str, with_operator_config: bool) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg(verb).arg("--config").arg(&gateway.config_file);
    if with_operator_config {
        command.arg("--site").arg(&gateway.operator_file);
    }
    command.output().unwrap()
}

#[test]
fn status_commands_answer_alike_by_their_new_and_their_former_names() {
    let cluster = GatewayCluster::start(PROGRAM, 3, 23);
    cluster.wait_until_joined();
    for StatusCommand { verb, former_verb, columns, rows } in STATUS_COMMANDS {
        for verb in [verb, former_verb] {
            let answered = ask(cluster.gateway(0), verb, true);
            assert_eq!(answered.status.code(), Some(0), "{verb}: {answered:?}");
            let table = String::from_utf8(answered.stdout).unwrap();
            let words: Vec<&str> = table.lines().next().unwrap().split_whitespace().collect();
            assert_eq!(words.join(" "), columns, "{verb}");
            assert_eq!(table.lines().count(), 1 + rows, "{verb}: {table}");
        }
    }
}

#[test]
fn status_commands_fail_alike_by_their_new_and_their_former_names() {
    let cluster = GatewayCluster::start(PROGRAM, 1, 24);
    let gateway = cluster.gateway(0);
    gateway.signal("-KILL");
    thread::scope(|scope| {
        for verb in STATUS_COMMANDS.iter().flat_map(|command| [command.verb, command.former_verb]) {
            scope.spawn(move || {
                let rejected = ask(gateway, verb, false);
                assert_eq!(rejected.status.code(), Some(2), "{verb}: {rejected:?}");
                let error = String::from_utf8_lossy(&rejected.stderr).into_owned();
                let expected = "larchfall: the site file has no [fronts] table; give --site FILE\n";
                assert_eq!(error, expected, "{verb}");
                let unanswered = ask(gateway, verb, true);
                assert_eq!(unanswered.status.code(), Some(1), "{verb}: {unanswered:?}");
                let error = String::from_utf8_lossy(&unanswered.stderr).into_owned();
                assert!(error.starts_with("larchfall: no gateway answered at "), "{verb}: {error}");
            });
        }
    });
}
