//! Several fronts as programs of their own, and a net between them that breaks. Each failure names the seed.

use crate::common::{Front, config, wait_for};
use larchfall_rig::{Link, Net, SOUND};
use larchfall_toy::board::Board;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_millis(200);

struct Fleet {
    net: Net,
    fronts: Vec<Option<Front>>,
    seed: u64,
}

fn name(i: usize) -> String {
    format!("n{i:02}")
}

fn fronts_table(net: &Net, i: usize, seeds: &[usize]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{}\"", net.address(*s))).collect();
    format!(
        "[fronts]\ncluster = \"toy\"\nname = \"{}\"\naddress = \"{}\"\ntold = \"{}\"\nseeds = [{}]\n\
         networks = [\"127.0.0.0/8\"]\nzone = \"east\"\nperiod-ms = {}\nanswer-ms = 60\ntable-ms = 600\n",
        name(i),
        net.home(i),
        net.address(i),
        seeds.join(", "),
        PERIOD.as_millis()
    )
}

impl Fleet {
    fn start(n: usize, seed: u64) -> Fleet {
        let net = Net::start(n, seed).unwrap();
        let mut fleet = Fleet { net, fronts: Vec::new(), seed };
        for i in 0..n {
            fleet.fronts.push(None);
            fleet.begin(i);
        }
        fleet
    }

    /// A process under this name, the first or another.
    fn begin(&mut self, i: usize) {
        let board = Board::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", board.address, None, 256);
        let site = fronts_table(&self.net, i, &[0, 1]);
        self.fronts[i] = Some(Front::start_members(board, &text, &site));
    }

    fn front(&self, i: usize) -> &Front {
        self.fronts[i].as_ref().unwrap()
    }

    fn up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.fronts.len()).filter(|i| self.fronts[*i].is_some())
    }

    /// How this front's log last calls that one.
    fn held(&self, by: usize, of: usize) -> Option<String> {
        let line = self.front(by).log.last(&format!("fronts: {} is ", name(of)))?;
        Some(line.split(" is ").nth(1)?.split(',').next()?.to_owned())
    }

    /// Waits until all that are up hold these so.
    fn wait_until_held(&self, of: &[usize], standing: &str) {
        let what = format!("seed {}: all to hold {of:?} for {standing}", self.seed);
        wait_for(&what, || {
            let held =
                |by: usize| of.iter().all(|of| *of == by || self.held(by, *of).as_deref() == Some(standing));
            self.up().all(held).then_some(())
        });
    }

    fn joined(&self) {
        let all: Vec<usize> = self.up().collect();
        self.wait_until_held(&all, "alive");
    }

    fn deaths(&self) -> usize {
        self.up().map(|i| self.front(i).log.count(" is dead")).sum()
    }

    /// Lets the fronts go on until so many datagrams have passed between them.
    fn until_passed(&self, datagrams: u64) {
        let until = self.net.passed() + datagrams;
        wait_for("datagrams to pass", || (self.net.passed() >= until).then_some(()));
    }
}

#[test]
fn a_front_killed_is_held_for_dead_by_all_and_its_next_process_for_alive() {
    let mut fleet = Fleet::start(8, 11);
    fleet.joined();
    fleet.fronts[5] = None;
    fleet.wait_until_held(&[5], "dead");
    fleet.begin(5);
    fleet.joined();
    // Told to stop, it says so itself: nobody has to find it silent.
    fleet.front(3).signal("-TERM");
    fleet.front(3).log.wait_for("ended");
    fleet.fronts[3] = None;
    fleet.wait_until_held(&[3], "left");
    for by in fleet.up() {
        assert_eq!(fleet.front(by).log.count("n03 is dead"), 0, "{} found it silent", name(by));
    }
}

#[test]
fn a_front_stopped_for_some_periods_buries_nobody_and_is_alive_again() {
    let fleet = Fleet::start(6, 12);
    fleet.joined();
    fleet.front(2).signal("-STOP");
    let from = Instant::now();
    wait_for("five periods", || (from.elapsed() > PERIOD * 5).then_some(()));
    fleet.front(2).signal("-CONT");
    fleet.until_passed(400);
    assert_eq!(fleet.front(2).log.count(" is dead"), 0, "it held others for dead");
    fleet.joined();
}

#[test]
fn halves_of_a_split_hold_each_other_for_dead_and_agree_once_it_heals() {
    let fleet = Fleet::start(8, 13);
    fleet.joined();
    fleet.net.set(|a, b| a % 2 != b % 2, Link { cut: true, ..SOUND });
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..8).partition(|i| i % 2 == 0);
    wait_for("both sides to hold the other for dead", || {
        let dead = |by: &usize, of: &usize| fleet.held(*by, *of).as_deref() == Some("dead");
        let all = even.iter().all(|a| odd.iter().all(|b| dead(a, b) && dead(b, a)));
        all.then_some(())
    });
    // A file read again in the middle of it changes seeds, and keeps who is known.
    fleet.front(0).reload_site(&fronts_table(&fleet.net, 0, &[1, 3]));
    fleet.front(0).log.wait_for("configuration read again");
    fleet.net.heal();
    fleet.joined();
}

#[test]
fn half_of_all_datagrams_lost_and_many_doubled_and_late_bury_nobody() {
    let fleet = Fleet::start(8, 14);
    fleet.joined();
    let bad = Link { loses: 0.5, doubles: 0.2, delays: Duration::from_millis(25), ..SOUND };
    fleet.net.set(|_, _| true, bad);
    fleet.until_passed(2_500);
    assert_eq!(fleet.deaths(), 0, "seed 14");
    fleet.net.heal();
    fleet.joined();
}

#[test]
fn who_hears_one_way_only_is_asked_through_others() {
    let fleet = Fleet::start(6, 15);
    fleet.joined();
    fleet.net.set(|a, b| (a, b) == (1, 4), Link { cut: true, ..SOUND });
    fleet.until_passed(1_500);
    assert_eq!(fleet.deaths(), 0, "seed 15");
}

#[test]
fn noise_and_strangers_by_the_thousand_change_nothing() {
    let fleet = Fleet::start(3, 16);
    fleet.joined();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..20_000_u32 {
        let bytes = [1, n as u8, (n >> 8) as u8, 7, 7, 7];
        stranger.send_to(&bytes[..usize::from(bytes[1]) % 6], fleet.net.home(1)).unwrap();
    }
    let before = fleet.net.passed();
    wait_for("the others to go on", || (fleet.net.passed() > before + 100).then_some(()));
    fleet.front(1).signal("-USR1");
    let counters = fleet.front(1).log.wait_for("fronts: counters");
    let spoilt: u64 = counters.split("spoilt: ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!(spoilt > 0, "{counters}");
    fleet.front(1).log.wait_for("fronts: member");
    fleet.joined();
}
