//! The parts one by one, as tables.

use larchfall_leases::bid::{Bid, Terms};
use larchfall_leases::elector::{Bounds, Elector};
use larchfall_leases::fitness::{Fitness, Lines, Sight};
use larchfall_leases::permit::Fence;
use larchfall_leases::probing::{Probing, Reading, Settings, duty, duty_of};
use larchfall_leases::quorum::Electors;
use larchfall_leases::record::{BEFORE, CURRENT, Damage, Disk, Found, NEW, Record, find, keep};
use larchfall_leases::spread;
use larchfall_leases::wire::{Letter, Matter, Unreadable, Want, Who, pages};
use larchfall_policy::time::{Duration, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Timestamp {
    Timestamp::from_micros(n * 1000)
}

fn list(names: &str) -> std::collections::BTreeSet<String> {
    names.chars().map(String::from).collect()
}

fn electors(now: &str, before: &str) -> Electors {
    Electors { now: list(now), before: Some(list(before)).filter(|b| !b.is_empty()) }
}

#[test]
fn a_lease_counts_from_the_ask_that_a_majority_of_each_list_granted() {
    let terms = Terms { length: ms(1000), margin: 100 };
    // (electors, those before, who granted and when asked, till when)
    let cases = [
        ("abc", "", "a1", None),
        ("abc", "", "a1 b5", Some(901)),
        ("abc", "", "a1 b5 c9", Some(905)),
        ("abc", "", "a9 a1 b5", Some(905)),
        ("abcde", "", "a1 b2 c3", Some(901)),
        ("abc", "", "x1 y1 a1", None),
        ("abc", "cde", "a1 b5", None),
        ("abc", "cde", "a1 c5 d7", Some(901)),
    ];
    for (now, before, granted, until) in cases {
        let mut bid = Bid::new(1);
        for word in granted.split(' ') {
            bid.granted(&word[..1], at(word[1..].parse().unwrap()), terms);
        }
        let electors = electors(now, before);
        assert_eq!(bid.until(&electors), until.map(at), "{now} {before}: {granted}");
        if let Some(until) = until {
            assert!(bid.is_held(&electors, at(until - 1)) && !bid.is_held(&electors, at(until)));
        }
    }
}

/// Files that are read again, or that differ: what was granted for less does not come to count for more.
#[test]
fn other_terms_make_no_lease_longer_than_it_was_granted() {
    let (short, long) = (Terms { length: ms(1000), margin: 0 }, Terms { length: ms(9000), margin: 0 });
    let mut bid = Bid::new(1);
    bid.granted("a", at(0), short);
    bid.granted("b", at(0), short);
    bid.granted("c", at(500), long);
    assert_eq!(bid.until(&electors("abc", "")), Some(at(1000)));
    let bounds = Bounds { longest: ms(1000), most: 9, keeps: false };
    let (mut elector, who) = (Elector::new(bounds, None, 0, at(0)), Who { name: "a".into(), generation: 1 });
    let want = |length_us| Want { duty: "x".into(), token: 9, length_us };
    assert_eq!(elector.ask(&who, &want(1_000_001), 1, at(1000)), None);
    assert!(elector.ask(&who, &want(1_000_000), 1, at(1000)).is_some_and(|vote| vote.granted));
    // The longest of all that were in force is remembered.
    elector.set(Bounds { longest: ms(4000), ..bounds });
    elector.set(Bounds { longest: ms(2000), ..bounds });
    assert_eq!(elector.record().longest_us, 4_000_000);
}

#[test]
fn electors_may_change_only_where_all_majorities_meet() {
    let cases = [
        (("abc", ""), ("abc", ""), true),
        (("abc", ""), ("abd", ""), false),
        (("abc", ""), ("abcde", ""), false),
        (("abc", ""), ("abd", "abc"), true),
        (("abd", "abc"), ("abd", ""), true),
        (("abd", "abc"), ("abe", ""), false),
    ];
    for ((now, before), (next, then), may) in cases {
        assert_eq!(
            electors(next, then).meets(&electors(now, before)),
            may,
            "{now}/{before} to {next}/{then}"
        );
    }
}

#[test]
fn an_elector_grants_one_gateway_at_a_time_and_no_token_twice() {
    let bounds = Bounds { longest: ms(1000), most: 2, keeps: false };
    let mut elector = Elector::new(bounds, None, 50, at(0));
    let who = |name: &str, generation| Who { name: name.into(), generation };
    let (a, b, a2) = (who("a", 1), who("b", 1), who("a", 2));
    let want = |duty: &str, token| Want { duty: duty.into(), token, length_us: 500_000 };
    // (when, who, duty, token, whether it is granted; none: it says nothing)
    let cases = [
        (999, &a, "x", 60, None),
        (1000, &a, "x", 50, Some(false)),
        (1000, &a, "x", 51, Some(true)),
        (1100, &b, "x", 99, Some(false)),
        (1400, &a, "x", 51, Some(true)),
        (1899, &a2, "x", 99, Some(false)),
        (1900, &b, "x", 51, Some(false)),
        (1900, &b, "x", 52, Some(true)),
        (1950, &b, "x", 53, Some(true)),
        (1960, &b, "x", 52, Some(false)),
        (1960, &a, "y", 51, Some(true)),
        (1960, &a, "z", 51, None),
    ];
    for (now, who, duty, token, granted) in cases {
        let vote = elector.ask(who, &want(duty, token), 1, at(now));
        assert_eq!(vote.map(|vote| vote.granted), granted, "at {now}: {} asks for {duty} {token}", who.name);
    }
    // An older token given up late takes nothing away; the one that runs is free at once.
    elector.gone(&b, "x", 52);
    elector.gone(&a, "x", 53);
    assert_eq!(elector.leases(None, at(1970)).count(), 2);
    elector.gone(&b, "x", 53);
    assert_eq!(elector.leases(None, at(1970)).count(), 1);
    assert_eq!(elector.ask(&b, &want("x", 53), 1, at(1970)).map(|v| v.granted), Some(false));
}

#[test]
fn a_token_is_granted_once_it_is_on_disk_and_a_failing_disk_takes_nothing_away() {
    let bounds = Bounds { longest: ms(1000), most: 9, keeps: true };
    let mut elector = Elector::new(bounds, None, 0, at(0));
    let (a, now) = (Who { name: "a".into(), generation: 1 }, at(1000));
    let want = |token| Want { duty: "x".into(), token, length_us: 500_000 };
    assert_eq!(elector.ask(&a, &want(1), 7, now), None);
    let record = elector.to_write().unwrap();
    assert_eq!(record.highest, BTreeMap::from([("x".into(), 1)]));
    assert_eq!(elector.to_write(), None, "one at a time");
    let late = elector.written(true, at(1200));
    assert!(late[0].vote.granted && late[0].round == 7 && late[0].to == a);
    assert_eq!(elector.leases(None, at(1699)).count(), 1, "counted from the answer");
    // A newer token that can't be kept: the one before still runs, and only that.
    assert_eq!(elector.ask(&a, &want(2), 8, at(1300)), None);
    assert!(elector.to_write().is_some());
    assert_eq!(elector.written(false, at(1310)), []);
    assert_eq!(elector.to_write(), None, "not again and again");
    assert!(!elector.ask(&a, &want(2), 9, at(1320)).unwrap().granted);
    let other = Who { name: "b".into(), generation: 1 };
    assert!(elector.ask(&other, &want(3), 9, at(1690)).unwrap().taken);
    assert!(elector.ask(&a, &want(1), 9, at(1690)).unwrap().granted);
    // Started anew it waits as long as any lease of the record, and goes on from its tokens or from the clock.
    let old = Record { longest_us: 5_000_000, ..record };
    let mut next = Elector::new(bounds, Some(&old), 40, at(2000));
    assert!(next.is_silent(at(6999)) && !next.is_silent(at(7000)));
    assert_eq!(next.ask(&a, &want(40), 1, at(7000)).unwrap().highest, 40);
}

#[test]
fn an_older_token_is_refused_once_a_newer_was_seen() {
    let mut fence = Fence::default();
    for (duty, token, admitted) in
        [("x", 5, true), ("x", 5, true), ("x", 7, true), ("x", 6, false), ("y", 1, true)]
    {
        assert_eq!(fence.admits(duty, token), admitted, "{duty} {token}");
    }
    assert_eq!(fence.refused, 1);
}

#[test]
fn a_gateway_that_goes_moves_only_what_it_was_first_for() {
    let gateways: Vec<String> = (0..20).map(|i| format!("n{i}")).collect();
    let names = || gateways.iter().map(String::as_str);
    for d in 0..200 {
        let duty = format!("d{d}");
        let first = spread::order(&duty, names())[0];
        let without = spread::order(&duty, names().filter(|n| *n != "n3"))[0];
        assert!(first == "n3" || first == without, "{duty} moved from {first} to {without}");
        assert_eq!(spread::better(&duty, first, names(), 0.0), None);
    }
}

#[test]
fn letters_are_read_whole_or_told_apart_by_why() {
    let me = Who { name: "n0".into(), generation: 7 };
    let letter = Letter::new("c", &me, Matter::Yours { duty: "x".into(), token: 3 });
    let bytes = letter.seal();
    assert_eq!(Letter::open(&bytes, "c"), Ok(letter));
    assert_eq!(Letter::open(&bytes, "d"), Err(Unreadable::OtherCluster));
    for i in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[i] ^= 1;
        assert!(Letter::open(&flipped, "c").is_err(), "byte {i}");
        assert!(Letter::open(&bytes[..i], "c").is_err(), "cut at {i}");
    }
    let unsound = Letter::new("c", &me, Matter::Yours { duty: "x".repeat(49), token: 3 });
    assert_eq!(Letter::open(&unsound.seal(), "c"), Err(Unreadable::Unsound));
    let parts: Vec<u64> = (0..1000).map(|n| n << 20).collect();
    let paged = pages(parts.iter().copied(), 600);
    assert_eq!(paged.concat(), parts);
    let wants =
        |page: &Vec<u64>| page.iter().map(|t| Want { duty: "d".into(), token: *t, length_us: 1 }).collect();
    for page in pages(parts.iter().copied(), 300) {
        assert!(Letter::new("c", &me, Matter::Ask { round: 1, wants: wants(&page) }).seal().len() <= 1200);
    }
}

#[test]
fn readings_are_taken_from_the_newest_holder_while_they_are_fresh() {
    let settings = Settings { duties: 2, every: ms(100), fresh: ms(300) };
    let (mut holder, mut other) = (Probing::new(settings, at(0)), Probing::new(settings, at(0)));
    let engine = (0..).find(|e| duty_of(*e, 2) == 1).unwrap();
    let reading = Reading { engine, age_us: 0, in_hand: Some(2.0), busy: None };
    holder.read(reading, at(10));
    let told = holder.to_tell(1, at(60));
    assert_eq!(told, [Reading { age_us: 50_000, ..reading }]);
    assert_eq!(holder.to_tell(1, at(60)), [], "told once");
    let stamped =
        |duty: String, token| larchfall_leases::permit::Stamped { duty, token, action: told.clone() };
    // (duty, token, when, readings taken; none: refused)
    let cases = [
        (duty(1), 5, 70, Some(1)),
        (duty(1), 5, 70, Some(0)),
        (duty(1), 4, 100, None),
        (duty(0), 9, 100, Some(0)),
        (duty(7), 9, 100, None),
        (duty(1), 6, 5000, Some(1)),
    ];
    for (duty, token, now, taken) in cases {
        let told = stamped(duty, token);
        let heard = other.hear(&told, at(now)).map(|readings| readings.len());
        assert_eq!(heard, taken, "{} {token} at {now}", told.duty);
    }
    assert!(!other.is_fresh(engine, at(9999)) && other.is_fresh(engine, at(5100)));
}

/// A folder in memory: what was not synced may be lost, in part and in any combination, when the power goes.
#[derive(Clone, Default)]
struct Model {
    /// What would be read now, and what is sure to be there after power was lost.
    files: BTreeMap<String, Vec<u8>>,
    sure: BTreeMap<String, Vec<u8>>,
    steps: Vec<Step>,
    /// Power is lost after so many steps.
    left: usize,
}

#[derive(Clone)]
enum Step {
    Write(String, Vec<u8>),
    Rename(String, String),
}

impl Model {
    fn step(&mut self) -> io::Result<()> {
        self.left = self.left.checked_sub(1).ok_or(io::ErrorKind::Interrupted)?;
        Ok(())
    }

    /// What is there afterwards: of the steps since the last sync those that `kept` names, writes perhaps cut short.
    fn after_power(&self, kept: &[bool], cut: usize) -> Model {
        let mut files = self.sure.clone();
        for (step, _) in self.steps.iter().zip(kept).filter(|(_, kept)| **kept) {
            match step {
                Step::Write(file, bytes) => {
                    drop(files.insert(file.clone(), bytes[..cut.min(bytes.len())].to_vec()))
                }
                Step::Rename(from, to) => {
                    // A name may come to stand for a file of which not all is there.
                    if let Some(bytes) = files.remove(from) {
                        files.insert(to.clone(), bytes);
                    }
                }
            }
        }
        Model { sure: files.clone(), files, steps: Vec::new(), left: usize::MAX }
    }
}

impl Disk for Model {
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(file).cloned())
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        self.files.insert(file.into(), bytes.into());
        self.steps.push(Step::Write(file.into(), bytes.into()));
        Ok(())
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.step()?;
        let is_it = |step: &Step| matches!(step, Step::Write(name, _) if name == file);
        if let Some(i) = self.steps.iter().rposition(is_it)
            && let Step::Write(file, bytes) = self.steps.remove(i)
        {
            self.sure.insert(file, bytes);
        }
        self.steps.retain(|step| !is_it(step));
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let bytes = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.into(), bytes);
        self.steps.push(Step::Rename(from.into(), to.into()));
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.sure = self.files.clone();
        self.steps.clear();
        Ok(())
    }
}

fn record(version: u64) -> Record {
    Record { version, longest_us: 9, highest: BTreeMap::from([("x".into(), version * 10), ("y".into(), 3)]) }
}

proptest! {
    /// Power goes at any step of any write, and any part of what was not synced is lost: what is read is the last that
    /// was kept, or the one under way, whole.
    #[test]
    fn what_is_read_is_a_whole_record_and_none_older_than_the_last_kept(
        writes in 1_u64..5, left in 0_usize..30, kept in proptest::collection::vec(any::<bool>(), 8), cut in 0_usize..40,
    ) {
        let mut disk = Model { left, ..Model::default() };
        let (mut last, mut tried) = (0, 0);
        for version in 1..=writes {
            tried = version;
            match keep(&mut disk, &record(version)) {
                Ok(()) => last = version,
                Err(_) => break,
            }
        }
        let mut disk = disk.after_power(&kept, cut);
        let found = find(&mut disk).record;
        match &found {
            Some(found) => prop_assert!(*found == record(found.version) && (last..=tried).contains(&found.version)),
            None => prop_assert_eq!(last, 0),
        }
        // And the next can be kept on what is left.
        keep(&mut disk, &record(9)).unwrap();
        prop_assert_eq!(find(&mut disk).record, Some(record(9)));
    }

    #[test]
    fn a_record_with_a_bit_flipped_or_cut_is_none(version in 0_u64..1000, bit in 0_usize..400, cut in 0_usize..60) {
        let mut bytes = record(version).seal();
        prop_assert_eq!(Record::open(&bytes), Ok(record(version)));
        let cut = cut.min(bytes.len() - 1);
        prop_assert!(Record::open(&bytes[..cut]).is_err());
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(Record::open(&bytes).is_err());
    }
}

#[test]
fn the_newest_whole_record_counts_and_damage_is_said() {
    let mut disk = Model { left: usize::MAX, ..Model::default() };
    assert_eq!(find(&mut disk), Found::default());
    let mut spoilt = record(5).seal();
    spoilt[9] ^= 4;
    // (current, before, the version that is read, files that are damaged)
    let cases = [
        (record(4).seal(), record(3).seal(), Some(4), 0),
        (spoilt, record(3).seal(), Some(3), 1),
        (record(2).seal(), record(3).seal(), Some(3), 0),
        (Vec::new(), vec![9], None, 2),
    ];
    for (current, before, version, damaged) in cases {
        disk.write(CURRENT, &current).unwrap();
        disk.write(BEFORE, &before).unwrap();
        disk.write(NEW, b"left over").unwrap();
        let found = find(&mut disk);
        assert_eq!((found.record.map(|r| r.version), found.damaged.len()), (version, damaged));
    }
    assert_eq!(Record::open(&[2, 0, 0]), Err(Damage::Form(2)));
}

#[test]
fn a_gateway_holds_duties_with_engines_a_fresh_list_and_health_of_its_own() {
    let lines = Lines { stale: Some(ms(1000)), ill: Some(5) };
    let none = Lines::default();
    let sight = |listed, ready, silence, health| Sight { listed, ready, silence: ms(silence), health };
    // (lines, what is seen one after the other, whether it is fit then)
    let cases = [
        (none, vec![(sight(0, 0, 0, 0), true), (sight(2, 0, 0, 0), false), (sight(2, 1, 99_999, 8), true)]),
        (lines, vec![(sight(2, 2, 1000, 4), true), (sight(2, 2, 1001, 4), false), (sight(2, 2, 0, 4), true)]),
        (lines, vec![(sight(2, 2, 0, 5), false), (sight(2, 2, 0, 3), false), (sight(2, 2, 0, 2), true)]),
        (lines, vec![(sight(2, 2, 0, 3), true), (sight(2, 2, 0, 5), false), (sight(2, 2, 0, 4), false)]),
        (Lines { ill: Some(1), ..none }, vec![(sight(1, 1, 0, 1), false), (sight(1, 1, 0, 0), true)]),
    ];
    for (lines, seen) in cases {
        let mut fitness = Fitness::default();
        for (n, (sight, fit)) in seen.into_iter().enumerate() {
            assert_eq!(fitness.is_fit(lines, sight), fit, "{lines:?} {n}: {sight:?}");
        }
    }
}
