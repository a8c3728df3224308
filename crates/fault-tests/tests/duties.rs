//! Duties between several processes of the gateway, with a net, disks and clocks that break, and a vault that they act on.

use larchfall_fault_tests::net::{Link, SOUND};
use larchfall_fault_tests::process::{Fleet, Gateway, gateways_table, name, wait_for};
use larchfall_fault_tests::vault::Vault;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty");
const LEASE: Duration = Duration::from_millis(1000);
/// A lease, the wait of those that come later in order, looks and rounds, and a machine that is busy.
const FOLLOWED: Duration = Duration::from_millis(6000);
const ACTS: Duration = Duration::from_millis(15);
const CUT: Link = Link { cut: true, ..SOUND };

/// A folder for records and what disks do, which goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("larchfall-{}-{test}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn record(&self, i: usize) -> PathBuf {
        let folder = self.0.join(name(i));
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn disk(&self, i: usize) -> PathBuf {
        self.0.join(format!("{}.does", name(i)))
    }

    fn disk_does(&self, i: usize, what: &str) {
        std::fs::write(self.disk(i), what).unwrap();
    }

    fn wall(&self, i: usize) -> PathBuf {
        self.0.join(format!("{}.off", name(i)))
    }

    fn wall_is_off(&self, i: usize, seconds: &str) {
        std::fs::write(self.wall(i), seconds).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn duties_table(electors: &[usize], record: Option<&Path>) -> String {
    let electors: Vec<String> = electors.iter().map(|i| format!("\"{}\"", name(*i))).collect();
    let record = record.map_or(String::new(), |folder| format!("record = \"{}\"\n", folder.display()));
    format!(
        "[duties]\nelectors = [{}]\nlease-ms = {}\nlongest-ms = 1500\nleast-ms = 60000\n{record}",
        electors.join(", "),
        LEASE.as_millis()
    )
}

fn program(duty: &str, command: &str) -> String {
    format!("[[duty]]\nname = \"{duty}\"\ncommand = {command}\nend-ms = 100\n")
}

/// A fleet of which the first so many are electors, with disks that can be told to be wrong, and these duties.
struct Tried {
    fleet: Fleet,
    vault: Vault,
    folder: Folder,
    duties: Vec<String>,
}

impl Tried {
    fn start(test: &str, n: usize, electors: usize, duties: usize, seed: u64) -> Tried {
        Tried::start_with(test, n, electors, duties, seed, |_| Vec::new(), |table| table)
    }

    fn start_with(
        test: &str,
        n: usize,
        electors: usize,
        duties: usize,
        seed: u64,
        put: impl Fn(usize) -> Vec<(&'static str, String)> + 'static,
        edit: impl Fn(String) -> String,
    ) -> Tried {
        Tried::start_as(test, (n, electors, duties), seed, ACTS, put, edit)
    }

    fn start_paced(
        test: &str,
        sizes: (usize, usize, usize),
        seed: u64,
        acts: Duration,
        edit: impl Fn(String) -> String,
    ) -> Tried {
        Tried::start_as(test, sizes, seed, acts, |_| Vec::new(), edit)
    }

    /// Gateways, electors among them, and duties, whose programs act so often.
    fn start_as(
        test: &str,
        (n, electors, duties): (usize, usize, usize),
        seed: u64,
        acts: Duration,
        put: impl Fn(usize) -> Vec<(&'static str, String)> + 'static,
        edit: impl Fn(String) -> String,
    ) -> Tried {
        let (vault, folder) = (Vault::start().unwrap(), Folder::new(test));
        let duties: Vec<String> = (0..duties).map(|d| format!("writer{d}")).collect();
        let command = vault.command(acts);
        let programs: String = duties.iter().map(|duty| program(duty, &command)).collect();
        let electors: Vec<usize> = (0..electors).collect();
        let more = |_: &larchfall_fault_tests::net::Net, i: usize| {
            edit(duties_table(&electors, Some(&folder.record(i)))) + &programs
        };
        let files: Vec<[String; 2]> =
            (0..n).map(|i| [folder.disk(i), folder.wall(i)].map(|file| file.display().to_string())).collect();
        let put = move |i: usize| {
            let [disk, wall] = files[i].clone();
            put(i).into_iter().chain([("FAULTY_DISK", disk), ("FAULTY_WALL", wall)]).collect()
        };
        let fleet = Fleet::new(PROGRAM, n, seed, more, put).begun();
        let tried = Tried { fleet, vault, folder, duties };
        tried.all_act(None);
        tried
    }

    /// Waits until each duty is acted on by one that is not the process before.
    fn all_act(&self, but: Option<u64>) {
        let from = Instant::now();
        for duty in &self.duties {
            wait_for(&format!("seed {}: {duty} to be acted on", self.fleet.seed), || {
                self.vault.last(duty).filter(|a| a.at > from && but.is_none_or(|token| a.token > token))
            });
        }
    }

    /// The gateway whose log says that it took this token.
    fn holder(&self, duty: &str) -> (usize, u64) {
        wait_for("a holder", || {
            let token = self.vault.last(duty)?.token;
            let line = format!("lease acquired, lease: {duty}, token: {token}");
            let holds = |i: &usize| self.fleet.gateway(*i).log.last(&line).is_some();
            Some((self.fleet.up().find(holds)?, token))
        })
    }

    /// Waits for another holder than the one of this token; how long nobody acted.
    fn followed(&self, duty: &str, token: u64, from: Instant) -> Duration {
        wait_for(&format!("seed {}: another to act on {duty}", self.fleet.seed), || {
            self.vault.last(duty).filter(|a| a.token > token)
        });
        self.vault.longest_gap(duty, from)
    }

    fn in_order(&self) {
        assert_eq!(self.vault.refused(), [], "seed {}: actions out of token order", self.fleet.seed);
    }
}

fn signal(process: u32, signal: &str) {
    assert!(Command::new("kill").args([signal, &process.to_string()]).status().unwrap().success());
}

fn cut_off(fleet: &Fleet, i: usize) {
    fleet.net.set(|a, b| (a == i) != (b == i), CUT);
}

#[test]
fn a_holder_that_is_killed_stopped_or_cut_off_is_followed_and_nothing_is_taken_out_of_order() {
    type Fault = (&'static str, fn(&Fleet, usize));
    let faults: [Fault; 5] = [
        ("stopped", |f, i| f.gateway(i).stop()),
        ("cut off", cut_off),
        ("not heard", |f, i| f.net.set(|a, _| a == i, CUT)),
        ("deaf", |f, i| f.net.set(|_, b| b == i, CUT)),
        ("killed", |f, i| f.gateway(i).signal("-KILL")),
    ];
    let tried = Tried::start("falls", 6, 3, 1, 31);
    for (what, fault) in faults {
        let (holder, token) = tried.holder("writer0");
        let from = Instant::now();
        fault(&tried.fleet, holder);
        let gap = tried.followed("writer0", token, from);
        assert!(gap < FOLLOWED, "{what}: nobody acted for {gap:?}");
        if what == "stopped" {
            tried.fleet.gateway(holder).signal("-CONT");
            tried
                .fleet
                .gateway(holder)
                .log
                .wait_for(&format!("lease lost, lease: writer0, token: {token}, reason: Expired"));
        }
        tried.fleet.net.heal();
        if what != "killed" {
            tried.fleet.joined();
        }
        tried.in_order();
    }
}

/// Everything of the holder stands still, its program with it, for longer than the lease: what the program does when it
/// wakes carries an old token, is refused, and is named in the ledger.
#[test]
fn a_late_action_of_a_holder_that_stood_still_is_refused() {
    let tried = Tried::start("late", 4, 3, 1, 32);
    let (holder, token) = tried.holder("writer0");
    let process = tried.vault.last("writer0").unwrap().process;
    let minder = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let minder: u32 = minder.rsplit(") ").next().unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    // The minder first: else it would end the program in time.
    signal(minder, "-STOP");
    signal(process, "-STOP");
    tried.fleet.gateway(holder).stop();
    tried.followed("writer0", token, Instant::now());
    signal(process, "-CONT");
    let late = wait_for("the late action", || tried.vault.refused().first().cloned());
    assert_eq!((late.token, late.process), (token, process));
    signal(minder, "-CONT");
    tried.fleet.gateway(holder).signal("-CONT");
    // Awake, the minder ends it, and nothing more of it comes.
    wait_for("the program to end", || (!Path::new(&format!("/proc/{process}")).exists()).then_some(()));
    assert!(tried.vault.refused().iter().all(|a| a.process == process));
}

#[test]
fn a_planned_end_hands_on_at_once_and_a_program_that_does_not_end_is_killed() {
    // Two of five electors may be among those that end.
    let tried = Tried::start("planned", 6, 5, 2, 33);
    for duty in ["writer0", "writer1"] {
        let (holder, token) = tried.holder(duty);
        let from = Instant::now();
        tried.fleet.gateway(holder).signal("-TERM");
        let gap = tried.followed(duty, token, from);
        // Its program has 100 ms to end, then two rounds.
        assert!(gap < LEASE, "{duty}: nobody acted for {gap:?}");
        println!("{duty}: handed on in {gap:?}");
        let gave = tried.fleet.gateway(holder).log.wait_for(&format!("lease released, lease: {duty},"));
        assert!(gave.contains("successor: n0"), "{gave}");
    }
    tried.in_order();

    let (vault, folder) = (Vault::start().unwrap(), Folder::new("deaf"));
    let deaf = vault.command(Duration::from_millis(15)).replace("while", "trap '' TERM; while");
    let more = |_: &larchfall_fault_tests::net::Net, i: usize| {
        duties_table(&[0, 1, 2], Some(&folder.record(i))) + &program("writer0", &deaf)
    };
    let fleet = Fleet::new(PROGRAM, 4, 34, more, |_| Vec::new()).begun();
    let tried = Tried { fleet, vault, folder: Folder::new("deaf-none"), duties: vec!["writer0".into()] };
    tried.all_act(None);
    let (holder, token) = tried.holder("writer0");
    let process = tried.vault.last("writer0").unwrap().process;
    cut_off(&tried.fleet, holder);
    tried.followed("writer0", token, Instant::now());
    assert!(!Path::new(&format!("/proc/{process}")).exists(), "it runs on beside the next");
    tried.in_order();
}

#[test]
fn electors_split_killed_all_at_once_or_always_starting_anew() {
    let mut tried = Tried::start("electors", 7, 5, 2, 35);
    // Three and two: those with two hold nothing.
    tried.fleet.net.set(|a, b| (a < 2) != (b < 2), CUT);
    tried.all_act(None);
    wait_for("the minority to hold nothing", || {
        let held = |d: &String| tried.holder(d).0;
        tried.duties.iter().all(|d| held(d) >= 2).then_some(())
    });
    tried.fleet.net.heal();
    // Two of five dead.
    tried.fleet.gateways[0] = None;
    tried.fleet.gateways[1] = None;
    tried.all_act(None);
    tried.in_order();
    // All killed at once and started in turn; their tokens go on.
    let before = tried.duties.iter().map(|d| tried.vault.last(d).unwrap().token).max().unwrap();
    (0..7).for_each(|i| tried.fleet.gateways[i] = None);
    for i in 0..7 {
        tried.fleet.begin(i);
    }
    tried.all_act(Some(before));
    // One that starts anew again and again is never heard, and does no harm.
    for _ in 0..4 {
        tried.fleet.begin(3);
        tried.fleet.until_passed(150);
    }
    tried.all_act(None);
    tried.in_order();
}

#[test]
fn disks_that_fail_lie_or_are_slow() {
    // What the disks of all electors do, and whether a new holder is found while they do.
    for (seed, does, found) in
        [(41, "full", false), (42, "read-only", false), (43, "lies", true), (44, "slow 3000", false)]
    {
        let tried = Tried::start(&format!("disk{seed}"), 4, 3, 1, seed);
        (0..3).for_each(|i| tried.folder.disk_does(i, does));
        let (holder, token) = tried.holder("writer0");
        tried.fleet.gateway(holder).stop();
        let until = Instant::now() + LEASE * 4;
        let other = || tried.vault.last("writer0").is_some_and(|a| a.token > token);
        wait_for("four leases, or another", || (other() || Instant::now() > until).then_some(()));
        assert_eq!(other(), found, "{does}");
        // Sound again, and awake: somebody has it.
        (0..3).for_each(|i| tried.folder.disk_does(i, ""));
        tried.fleet.gateway(holder).signal("-CONT");
        tried.all_act(Some(token));
        tried.in_order();
    }
}

/// An elector's process ends at each step of a write, and starts on what is there.
#[test]
fn power_lost_at_any_step_of_a_write() {
    let mut tried = Tried::start("power", 6, 5, 1, 45);
    for step in 1..=7 {
        let (holder, token) = tried.holder("writer0");
        let elector = (0..5).find(|i| *i != holder).unwrap();
        tried.folder.disk_does(elector, &format!("dies {step}"));
        tried.fleet.begin(elector);
        tried.fleet.joined();
        // Silent for its first longest lease, it writes when the next holder asks.
        let silent = Instant::now();
        wait_for("its silence to end", || (silent.elapsed() > LEASE * 2).then_some(()));
        cut_off(&tried.fleet, holder);
        tried.followed("writer0", token, Instant::now());
        tried.fleet.net.heal();
        tried.folder.disk_does(elector, "");
        tried.fleet.begin(elector);
        tried.fleet.joined();
        tried.in_order();
    }
}

/// A record of last week, none at all, and a flipped bit: at all electors at once, all started anew.
#[test]
fn tokens_grow_over_records_that_are_old_lost_or_spoilt() {
    let mut tried = Tried::start("records", 4, 3, 1, 51);
    let record = |i: usize| tried.folder.record(i).join("duties.record");
    wait_for("records", || (0..3).filter(|i| record(*i).exists()).count().gt(&1).then_some(()));
    let files: Vec<(PathBuf, Option<Vec<u8>>)> =
        (0..3).map(|i| (record(i), std::fs::read(record(i)).ok())).collect();
    for damage in ["old", "lost", "spoilt"] {
        let before = tried.vault.last("writer0").unwrap().token;
        (0..4).for_each(|i| tried.fleet.gateways[i] = None);
        for (file, old) in &files {
            let _ = std::fs::remove_file(file.with_extension("record.before"));
            match (damage, std::fs::read(file)) {
                ("old", _) => drop(old.as_ref().map(|old| std::fs::write(file, old).unwrap())),
                ("spoilt", Ok(mut bytes)) => {
                    let middle = bytes.len() / 2;
                    bytes[middle] ^= 16;
                    std::fs::write(file, bytes).unwrap();
                }
                _ => drop(std::fs::remove_file(file)),
            }
        }
        (0..4).for_each(|i| tried.fleet.begin(i));
        if damage == "spoilt" {
            wait_for("the damage to be told", || {
                (0..3).any(|i| tried.fleet.gateway(i).log.count("duties.record, reason: ") > 0).then_some(())
            });
        }
        tried.all_act(Some(before));
        tried.in_order();
    }
}

#[test]
fn a_clock_that_runs_fast_and_two_gateways_of_one_name_make_no_second_holder() {
    // The clock of one elector runs five in a hundred fast, that of another gateway as much too slow.
    let rate = |i: usize| [(0, "1.05"), (3, "0.95")].into_iter().find(|(n, _)| *n == i).map(|(_, rate)| rate);
    let put = move |i: usize| rate(i).map(|rate| ("FAULTY_CLOCK", rate.to_owned())).into_iter().collect();
    let mut tried = Tried::start_with("clock", 5, 3, 2, 61, put, |table| table);
    for _ in 0..3 {
        let (holder, token) = tried.holder("writer0");
        tried.fleet.gateway(holder).stop();
        tried.followed("writer0", token, Instant::now());
        tried.fleet.gateway(holder).signal("-CONT");
        tried.fleet.joined();
    }
    tried.in_order();
    // A second process under the name of a holder, at another address.
    let (holder, _) = tried.holder("writer0");
    let other = (3..5).find(|i| *i != holder).unwrap();
    tried.fleet.gateways[other] = None;
    tried.fleet.begin_as(other, holder);
    tried.fleet.gateway(holder).log.wait_for("another process has this name");
    tried.all_act(None);
    tried.in_order();
}

#[test]
fn ten_duties_of_one_that_dies_are_found_again_and_the_program_says_who_holds_what() {
    let mut tried = Tried::start("ten", 5, 3, 10, 71);
    let (holder, _) = tried.holder("writer0");
    let had: Vec<(String, u64)> = tried
        .duties
        .iter()
        .map(|d| (d.clone(), tried.holder(d)))
        .filter(|(_, (i, _))| *i == holder)
        .map(|(d, (_, token))| (d, token))
        .collect();
    let from = Instant::now();
    tried.fleet.gateways[holder] = None;
    for (duty, token) in &had {
        let gap = tried.followed(duty, *token, from);
        assert!(gap < FOLLOWED, "{duty} of {}: nobody acted for {gap:?}", had.len());
    }
    tried.in_order();
    let asked = |gateway: &Gateway, what: &str| {
        let mut command = Command::new(PROGRAM);
        command.args([what, "--config"]).arg(&gateway.file).arg("--site").arg(&gateway.site_file);
        let out = command.output().unwrap();
        assert!(out.status.success(), "{out:?}");
        String::from_utf8(out.stdout).unwrap()
    };
    let other = tried.fleet.up().next().unwrap();
    wait_for("all to be known", || {
        let table = asked(tried.fleet.gateway(other), "duties");
        let known =
            |duty: &String| table.lines().any(|l| l.trim().starts_with(duty.as_str()) && l.contains(" n0"));
        tried.duties.iter().all(known).then_some(())
    });
    let table = asked(tried.fleet.gateway(other), "fronts");
    assert_eq!(table.lines().filter(|l| l.contains("alive")).count(), 4, "{table}");
}

#[test]
fn other_electors_are_refused_unless_both_lists_are_named_for_a_time() {
    let tried = Tried::start("change", 5, 3, 1, 81);
    let command = tried.vault.command(Duration::from_millis(15));
    let reload = |list: &str, i: usize| {
        let table = duties_table(&[0, 1, 2], Some(&tried.folder.record(i)));
        let table = table.replace("electors = [\"n00\", \"n01\", \"n02\"]", list);
        let file = gateways_table(&tried.fleet.net, i, i, &[0, 1]) + &table + &program("writer0", &command);
        tried.fleet.gateway(i).reload_site(&file);
    };
    let (old, new) = ("[\"n00\", \"n01\", \"n02\"]", "[\"n02\", \"n03\", \"n04\"]");
    reload(&format!("electors = {new}"), 1);
    tried.fleet.gateway(1).log.wait_for("lease settings rejected, reason: electors");
    let read = |times: usize| {
        wait_for("all to have read it", || {
            let more = |i| usize::from(i == 1) + usize::from(i == 4 && times == 2);
            let read = |i| tried.fleet.gateway(i).log.count("configuration reloaded") >= times + more(i);
            (0..5).all(read).then_some(())
        });
        tried.all_act(None);
    };
    (0..5).for_each(|i| reload(&format!("electors = {new}\nelectors-before = {old}"), i));
    read(1);
    // The new electors are silent at first, and nobody may go on before all have read it.
    let changed = Instant::now();
    reload(&format!("electors = {new}"), 4);
    tried.fleet.gateway(4).log.wait_for("lease settings rejected, reason: electors: were changed just now");
    wait_for("three longest leases", || (changed.elapsed() > Duration::from_millis(4_600)).then_some(()));
    tried.all_act(None);
    (0..5).for_each(|i| reload(&format!("electors = {new}"), i));
    read(2);
    assert!(
        (0..4).all(|i| tried.fleet.gateway(i).log.count("lease settings rejected") == usize::from(i == 1))
    );
    // Two of the old are gone for good, and nothing needs them.
    let (holder, token) = tried.holder("writer0");
    let mut tried = tried;
    [0, 1, holder].iter().for_each(|i| tried.fleet.gateways[*i] = None);
    tried.followed("writer0", token, Instant::now());
    tried.all_act(None);
    tried.in_order();
}

/// All letters between gateways come late, by more than a lease, out of order, some lost and some twice.
#[test]
fn answers_late_by_more_than_a_lease_make_no_second_holder() {
    let tried = Tried::start("slow", 5, 3, 2, 82);
    let slow = Link { delays: LEASE * 2, loses: 0.2, doubles: 0.4, ..SOUND };
    tried.fleet.net.set(|_, _| true, slow);
    tried.fleet.until_passed(600);
    tried.in_order();
    tried.fleet.net.heal();
    tried.all_act(None);
    tried.in_order();
}

/// A file that names the duty no more: it is handed on, and not asked for.
#[test]
fn a_file_without_the_duty_hands_it_on() {
    let tried = Tried::start("taken", 4, 3, 1, 83);
    let (holder, token) = tried.holder("writer0");
    let fleet = &tried.fleet;
    let table = duties_table(&[0, 1, 2], Some(&tried.folder.record(holder)));
    fleet.gateway(holder).reload_site(&(gateways_table(&fleet.net, holder, holder, &[0, 1]) + &table));
    let gap = tried.followed("writer0", token, Instant::now());
    assert!(gap < LEASE, "nobody acted for {gap:?}");
    fleet.gateway(holder).log.wait_for("lease released, lease: writer0,");
    assert_ne!(tried.holder("writer0").0, holder);
    tried.in_order();
}

/// Unix clocks jump, ahead and back, of the holder and of an elector: only steady time counts.
#[test]
fn unix_clocks_that_jump_bury_nobody_and_end_no_lease() {
    let mut tried = Tried::start("wall", 5, 3, 1, 62);
    tried.fleet.joined();
    let (holder, token) = tried.holder("writer0");
    let elector = (0..3).find(|i| *i != holder).unwrap();
    for off in ["3600", "-86400", "0"] {
        for i in [holder, elector] {
            tried.folder.wall_is_off(i, off);
            // Whoever reads its file again looks at that clock too.
            let again = std::fs::read_to_string(&tried.fleet.gateway(i).site_file).unwrap();
            tried.fleet.gateway(i).reload_site(&again);
        }
        tried.fleet.until_passed(300);
    }
    assert_eq!(tried.fleet.deaths(), 0);
    assert_eq!(tried.holder("writer0"), (holder, token));
    // One that starts with its clock a day back is the member that it was, and a later process of it.
    tried.folder.wall_is_off(holder, "-86400");
    let known = |fleet: &Fleet| {
        let line = fleet
            .gateway(elector)
            .log
            .last(&format!("member changed, name: {}, state: alive", name(holder)))?;
        line.split("generation: ").nth(1)?.split(',').next()?.parse::<u64>().ok()
    };
    let before = known(&tried.fleet);
    tried.fleet.begin(holder);
    wait_for("the next generation", || (known(&tried.fleet) > before).then_some(()));
    tried.fleet.joined();
    tried.all_act(None);
    tried.in_order();
}

/// Each of its stalls is too short to end the lease; the sum of them tells that it is slow itself.
#[test]
fn a_holder_that_stands_still_again_and_again_hands_on() {
    let slow = |table: String| {
        table
            .replace("lease-ms = 1000", "ill = 4\nlease-ms = 6000")
            .replace("longest-ms = 1500", "longest-ms = 6000")
    };
    let tried = Tried::start_with("ill", 4, 3, 1, 63, |_| Vec::new(), slow);
    tried.fleet.joined();
    let (holder, token) = tried.holder("writer0");
    let gateway = tried.fleet.gateway(holder);
    wait_for("it to be found ill", || {
        gateway.stop();
        std::thread::sleep(Duration::from_millis(700));
        gateway.signal("-CONT");
        std::thread::sleep(Duration::from_millis(30));
        let ends = gateway.log.last("lease ending, lease: writer0,")?;
        assert!(ends.contains("reason: Unfit"), "{ends}");
        Some(())
    });
    tried.followed("writer0", token, Instant::now());
    tried.in_order();
}

/// By hand, a minute and some hundred processes: cargo test -p larchfall-fault-tests --test duties hundred -- --ignored --nocapture
#[test]
#[ignore = "some hundred processes for a minute"]
fn a_hundred_duties_of_24_gateways_are_held_while_a_third_restarts() {
    let calm = |table: String| table.replace("least-ms = 60000", "least-ms = 2000");
    let mut tried = Tried::start_paced("hundred", (24, 5, 100), 84, Duration::from_millis(250), calm);
    tried.fleet.joined();
    let from = Instant::now();
    for round in 0..3 {
        (0..8).map(|i| 3 * i + round).for_each(|i| tried.fleet.begin(i));
        tried.fleet.joined();
    }
    tried.all_act(None);
    tried.in_order();
    let mut gaps: Vec<Duration> =
        tried.duties.iter().map(|duty| tried.vault.longest_gap(duty, from)).collect();
    gaps.sort();
    let per_gateway = |i: usize| tried.duties.iter().filter(|duty| tried.holder(duty).0 == i).count();
    let held: Vec<usize> = (0..24).map(per_gateway).collect();
    println!("longest gap of a duty: p50 {:?}, most {:?}; held by front: {held:?}", gaps[50], gaps[99]);
    assert!(gaps[99] < FOLLOWED * 3, "{gaps:?}");
}
