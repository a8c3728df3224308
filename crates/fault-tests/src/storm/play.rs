//! Plays one storm: starts the fleet, its engines and clients, breaks what the script says, heals it, waits for plain health,
//! ends all, and audits what was noted.

use crate::audit::{End, RetryBudget, Run, Sent, Tried};
use crate::process::{Fleet, Gateway, config_of, name, settings, wait_for};
use crate::relay::Relays;
use crate::script::{self, Done, Folder, Ground, Script, Step};
use crate::storm::engines::{Listed, replace};
use crate::storm::health::Views;
use crate::storm::load::{Book, Common, GOAL, client, fate, lock};
use crate::storm::rows::{self, Row, What, row};
use crate::storm::setting::{Piece, Setting};
use crate::vault::{Action, Vault};
use larchfall_stub::hall::{Fate, Hall};
use nanorand::WyRand;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const RETRY_BUDGET: RetryBudget =
    RetryBudget { free: 2.0, per_request: 0.1, window: Duration::from_secs(10) };
const GRACE: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(400);
const BIN: Duration = Duration::from_millis(500);
const ACTS: Duration = Duration::from_millis(40);
/// What a gateway's process may grow by over a storm, and the descriptors that its file allows it.
const GROWS: usize = 24 << 20;
const SOCKETS: usize = 256;

/// What came of it, as one line of a table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    pub seed: u64,
    pub faults: usize,
    pub first: String,
    #[serde(rename = "batches")]
    pub requests: usize,
    pub in_time: f64,
    pub returned: f64,
    pub pushed_back: f64,
    pub further: usize,
    /// Requests of the key with the most.
    pub longest_key: usize,
    /// After the last fault was healed, until all was plain.
    pub plain_ms: u64,
    /// The longest time without an action on a duty of the operator's.
    pub gap_ms: u64,
    pub refused: usize,
}

/// All of it.
pub struct Played {
    pub summary: Summary,
    pub faults: Vec<String>,
    pub rows: Vec<Row>,
    pub done: Done,
    pub tried: Tried,
    /// Left there where something is wrong: script, logs, time line.
    pub left: Option<PathBuf>,
}

/// The two of a run that go beside the script: who looks at the fleet, and who replaces engines.
struct Beside<'a> {
    setting: &'a Setting,
    gateways: Vec<SocketAddrV4>,
    from: Instant,
    over: &'a AtomicBool,
}

impl Beside<'_> {
    fn at(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.from).as_millis() as u64
    }

    /// Looks at the fleet until it is over. What was seen, and parts that add up to more than there is.
    fn watch(&self) -> (Vec<Row>, Vec<String>) {
        let (mut rows, mut wrong, mut before) = (Vec::new(), Vec::new(), Views::default());
        while !self.over.load(Ordering::Relaxed) {
            let views = Views::look(&self.gateways);
            rows.extend(views.rows_of(self.at(Instant::now())));
            if self.setting.has(Piece::Shares) {
                wrong.extend(views.beyond(&before));
            }
            before = views;
            thread::sleep(LOOK);
        }
        (rows, wrong)
    }
}

/// The fleet's engines and the ways to them.
fn ground(setting: &Setting, seed: u64, calm: &Arc<AtomicBool>) -> io::Result<(Hall, Relays)> {
    let (chance, calm) = (Mutex::new(WyRand::new_seed(seed)), calm.clone());
    // An address of loopback of its own: another listens there again and again.
    let host = |i: usize| format!("127.{}.{}.{}:0", 100 + std::process::id() % 100, seed % 250, 1 + i);
    let at: Vec<String> = (0..setting.engines).map(host).collect();
    let at: Vec<&str> = at.iter().map(String::as_str).collect();
    let hall = Hall::start(&at, move |_, _| match calm.load(Ordering::Relaxed) {
        true => Fate::Runs(Duration::from_millis(10)),
        false => fate(&chance),
    })?;
    let engines: Vec<SocketAddr> = (0..setting.engines).map(|i| hall.address(i)).collect();
    let relays = Relays::start(setting.gateways, &engines)?;
    Ok((hall, relays))
}

fn fleet(
    program: &'static str,
    setting: &Setting,
    seed: u64,
    (relays, folder, vault): (&Relays, &Folder, &Vault),
) -> Fleet {
    let (n, engines) = (setting.gateways, setting.engines);
    let known: Vec<Vec<SocketAddr>> =
        (0..n).map(|f| (0..engines).map(|e| relays.address(f, e)).collect()).collect();
    let put: Vec<Vec<(&'static str, String)>> = (0..n).map(|i| folder.put(i)).collect();
    let more = |_: &crate::net::Net, i: usize| {
        setting.tables(&folder.record(i).display().to_string(), || vault.command(ACTS))
    };
    let mut fleet = Fleet::new(program, n, seed, more, move |i| put[i].clone());
    let retry_budget = r#""safety":{"budget_free":2.0,"extra_per_request":0.1,"extra_window":10000000,"#;
    let names: Vec<String> = (0..setting.zones).map(|z| format!("\"z{z}\"")).collect();
    let settings = settings()
        .replace(r#""safety":{"#, retry_budget)
        .replace("\"instances\":1", &format!("\"instances\":{n}"))
        .replace("\"zones\":[\"east\"]", &format!("\"zones\":[\"east\",{}]", names.join(",")))
        .replace("\"probes\":false", "\"probes\":true")
        .replace("\"domain\"", "\"stats\":{\"how\":\"probe\"},\"prices\":{\"probe\":0.01},\"domain\"");
    fleet.config =
        Box::new(move |i, discovery| config_of("127.0.0.1:0", discovery, &known[i], SOCKETS, &settings));
    let zones = setting.zones;
    fleet.zone = Box::new(move |i| format!("z{}", i % zones));
    fleet.begun()
}

/// Plays a script. Only what the machine itself refuses is an error; what the fleet does wrong is in what comes back.
pub fn play(program: &'static str, setting: &Setting, script: &Script, left: &Path) -> io::Result<Played> {
    let (seed, n) = (script.seed, setting.gateways);
    let files = std::env::temp_dir().join(format!("larchfall-storm-{seed}-{}", std::process::id()));
    let folder = Folder::new(&files, n)?;
    let calm = Arc::new(AtomicBool::new(false));
    let (hall, relays) = ground(setting, seed, &calm)?;
    let vault = Vault::start()?;
    let mut fleet = fleet(program, setting, seed, (&relays, &folder, &vault));
    fleet.joined();

    let listed = Mutex::new(Listed::new(hall, setting.engines));
    let common = Common {
        seed,
        open: setting.open,
        load: Arc::new(AtomicU32::new(1)),
        over: Arc::new(AtomicBool::new(false)),
        book: Arc::new(Book::default()),
    };
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    // By gateway: the process that it is, as its client has numbered it; and those whose end was no fault of theirs.
    let (mut processes, mut ended): (Vec<usize>, HashSet<usize>) = ((0..n).collect(), HashSet::new());
    // Which process took which place when.
    let mut placed: Vec<(usize, usize, Instant)> = (0..n).map(|i| (i, i, Instant::now())).collect();
    let begin = |gateway: &Gateway, clients: &mut Vec<JoinHandle<()>>| {
        let (to, process, common) = (gateway.address, clients.len(), common.clone());
        clients.push(thread::spawn(move || client(to, process, &common)));
    };
    (0..n).for_each(|i| begin(fleet.gateway(i), &mut clients));
    let held: Vec<usize> = (0..n).map(|i| fleet.gateway(i).used().1).collect();

    // The discovery services are told beside the script: of each gateway that is there when they are.
    let discoveries = Mutex::new(Vec::new());
    let tell = |fleet: &Fleet| {
        *lock(&discoveries) = fleet.up().map(|i| fleet.gateway(i).discovery.clone()).collect();
    };
    tell(&fleet);
    let (healed, over) = (AtomicBool::new(false), AtomicBool::new(false));
    let homes = (0..n).filter_map(|i| match fleet.net.home(i) {
        SocketAddr::V4(home) => Some(home),
        SocketAddr::V6(_) => None,
    });
    let beside = Beside { setting, gateways: homes.collect(), from: Instant::now(), over: &over };
    let often = (Duration::from_millis(setting.replaces_ms), setting.sudden);
    let (done, drained, (mut rows, mut wrong), plain) = thread::scope(|scope| {
        let replacer = scope.spawn(|| replace(&listed, &discoveries, &relays, often, &healed));
        let watcher = scope.spawn(|| beside.watch());
        let ground = Ground { relays: &relays, load: &common.load, folder: &folder };
        let done = script::play(script, &mut fleet, &ground, |fleet, i| {
            tell(fleet);
            lock(&listed).tell(&fleet.gateway(i).discovery, i, &relays);
            ended.insert(std::mem::replace(&mut processes[i], clients.len()));
            placed.push((i, clients.len(), Instant::now()));
            begin(fleet.gateway(i), &mut clients);
        });
        healed.store(true, Ordering::Relaxed);
        calm.store(true, Ordering::Relaxed);
        let drained = replacer.join().unwrap_or_default();
        let plain = until_plain(&beside, &listed);
        over.store(true, Ordering::Relaxed);
        (done, drained, watcher.join().unwrap_or_default(), plain)
    });
    for (i, before) in held.into_iter().enumerate() {
        let (memory, descriptors) = (fleet.gateway(i).used().1, fleet.gateway(i).descriptors());
        let at = beside.at(Instant::now());
        rows.push(row(at, What::Memory, name(i), memory as f64 / 1e6));
        rows.push(row(at, What::Descriptors, name(i), descriptors as f64));
        if processes[i] == i && memory > before + GROWS {
            wrong.push(format!("{} grew from {before} to {memory} bytes", name(i)));
        }
        if descriptors > SOCKETS + 64 {
            wrong.push(format!("{} has {descriptors} descriptors", name(i)));
        }
    }
    common.over.store(true, Ordering::Relaxed);
    wrong.extend(clients.into_iter().filter_map(|c| c.join().err()).map(|_| "a client panicked".to_owned()));
    let hall = listed.into_inner().unwrap_or_else(|e| e.into_inner()).hall;
    wait_for("all to be over at the engines", || (hall.running() == 0).then_some(()));

    let (ledger, sent) = (hall.ledger(), lock(&common.book.sent));
    let process = |gateway: usize, at: Instant| {
        placed.iter().rev().find(|(place, _, from)| *place == gateway && *from <= at).map_or(gateway, |p| p.1)
    };
    let unheard: Vec<_> =
        script::unheard(&done).iter().map(|(f, from, to)| (process(*f, *from), *from, *to)).collect();
    // By processes of the two ends: one engine follows the other at a place in turn.
    let at = |place: usize| placed.iter().filter(move |p| p.0 == place).map(|p| p.1);
    let there = |e: usize| drained.iter().map(|d| d.0).filter(move |process| process % setting.engines == e);
    let ways = script::stood(&done);
    let pairs =
        ways.iter().flat_map(|w| at(w.0).flat_map(move |f| there(w.1).map(move |e| (f, e, w.2, w.3))));
    let stood: Vec<_> = pairs.collect();
    let run = Run {
        ledger: &ledger,
        sent: &sent,
        drained: &drained,
        unheard: &unheard,
        stood: &stood,
        grace: GRACE,
        retry_budget: RETRY_BUDGET,
    };
    let (mut faults, tried) = run.faults();
    faults.extend(wrong);
    faults.extend(plain.iter().filter_map(|(what, after)| match after {
        Ok(_) => None,
        Err(missing) => Some(format!("{what} not plain after {} ms: {missing}", setting.plain_within_ms)),
    }));
    // Whoever was not killed or told to end answered all.
    let gone = || sent.iter().filter(|(_, s)| s.ends == [End::GatewayGone]);
    let unanswered = gone().filter(|(_, s)| !ended.contains(&s.gateway));
    faults
        .extend(unanswered.map(|(id, s)| format!("{id} not answered by process {}, which lives", s.gateway)));
    let actions = vault.ledger();
    faults.extend(out_of_order(&actions));
    // Aborts and panics of a gateway itself, and what no run should log.
    faults.extend(ends_by_itself(&fleet));

    for (what, after) in &plain {
        if let Ok(after) = after {
            rows.push(row(0, What::Plain, *what, after.as_millis() as f64));
        }
    }
    rows.extend(steps(&beside, &done));
    rows.extend(ends(&beside, &common.book));
    rows.extend(holds(&beside, &actions));
    rows.sort_by_key(|row| row.at_ms);
    let summary = summary(seed, (&faults, &tried), &common.book, &sent, (&actions, &plain));
    let _ = std::fs::remove_dir_all(&files);
    let failed = !faults.is_empty();
    let left =
        failed.then(|| script::leave(left, script, &fleet, &done).map(|()| left.to_owned())).transpose()?;
    Ok(Played { summary, faults, rows, done, tried, left })
}

const WHAT: [&str; 4] = ["members", "duties", "shares", "engines"];

type Plain = Vec<(&'static str, Result<Duration, String>)>;

/// Waits until all four are plain at once; when each first was.
fn until_plain(beside: &Beside<'_>, listed: &Mutex<Listed>) -> Plain {
    let (from, within) = (Instant::now(), Duration::from_millis(beside.setting.plain_within_ms));
    let mut first: BTreeMap<&'static str, Duration> = BTreeMap::new();
    loop {
        let ready = lock(listed).ready();
        let missing = Views::look(&beside.gateways).missing(beside.setting, &ready);
        let after = from.elapsed();
        let why = |what: &str| missing.iter().find(|(of, _)| *of == what).map(|(_, why)| why.clone());
        for what in WHAT.into_iter().filter(|what| why(what).is_none()) {
            first.entry(what).or_insert(after);
        }
        if missing.is_empty() || after > within {
            let of = |what| (what, why(what).map_or(Ok(first.get(what).copied().unwrap_or_default()), Err));
            return WHAT.map(of).into();
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Of each duty: nothing is taken under a token older than one that was taken, and nobody tries: the fence is there for what
/// stood still outside of every gateway's reach, and here each program has a process beside it that ends it in time. And no
/// two processes act by turns under one token.
pub fn out_of_order(actions: &[Action]) -> Vec<String> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut acted: BTreeMap<(&str, u64), Vec<u32>> = BTreeMap::new();
    let mut faults = Vec::new();
    for action in actions {
        let token = newest.entry(&action.duty).or_default();
        if action.token < *token {
            let how = if action.taken { "acted" } else { "tried to act" };
            faults.push(format!("{} {how} under {}, after {token}", action.duty, action.token));
        }
        if action.taken {
            *token = action.token.max(*token);
        }
        let processes = acted.entry((&action.duty, action.token)).or_default();
        if processes.last() != Some(&action.process) {
            if processes.contains(&action.process) {
                faults.push(format!("{}: {processes:?} act by turns under {}", action.duty, action.token));
            }
            processes.push(action.process);
        }
    }
    faults
}

/// A gateway's process that ended by a signal of its own or a panic.
fn ends_by_itself(fleet: &Fleet) -> Vec<String> {
    let bad = |line: &str| line.contains("panicked") || line.contains("CRIT");
    let all =
        fleet.logs.iter().flat_map(|(name, log)| log.lines().into_iter().map(move |(_, line)| (name, line)));
    all.filter(|(_, line)| bad(line)).map(|(name, line)| format!("{name}: {line}")).collect()
}

fn steps(beside: &Beside<'_>, done: &Done) -> Vec<Row> {
    let word = |step: &Step| format!("{step:?}");
    done.iter()
        .zip(0..)
        .map(|((at, step), n)| row(beside.at(*at), What::Fault, word(step), f64::from(n)))
        .collect()
}

/// How requests ended, in bins.
fn ends(beside: &Beside<'_>, book: &Book) -> Vec<Row> {
    let mut bins: BTreeMap<(u64, &str), usize> = BTreeMap::new();
    for (at, took, end) in lock(&book.ended).iter() {
        let how = match end {
            End::Returned if *took <= GOAL => "in time",
            End::Returned => "late",
            End::PushedBack => "pushed back",
            End::Errored(_) => "errored",
            End::Left | End::GatewayGone => "front gone",
        };
        let bin = beside.at(*at) / BIN.as_millis() as u64 * BIN.as_millis() as u64;
        *bins.entry((bin, how)).or_default() += 1;
    }
    bins.into_iter().map(|((at, how), n)| row(at, What::Requests, how, n as f64)).collect()
}

/// By process of the operator's programs: from when till when it acted on a duty.
fn holds(beside: &Beside<'_>, actions: &[Action]) -> Vec<Row> {
    let mut durations: BTreeMap<(&str, u64), (Instant, Instant)> = BTreeMap::new();
    for action in actions.iter().filter(|action| action.taken) {
        let duration = durations.entry((&action.duty, action.token)).or_insert((action.at, action.at));
        duration.1 = action.at;
    }
    let both = |((duty, token), (from, to)): ((&str, u64), (Instant, Instant))| {
        let who = format!("{token} {duty}");
        [row(beside.at(from), What::Holds, who.clone(), 1.0), row(beside.at(to), What::Holds, who, 0.0)]
    };
    durations.into_iter().flat_map(both).collect()
}

fn summary(
    seed: u64,
    (faults, tried): (&[String], &Tried),
    book: &Book,
    sent: &std::collections::HashMap<String, Sent>,
    (actions, plain): (&[Action], &Plain),
) -> Summary {
    let all = sent.len().max(1) as f64;
    let part = |holds: &dyn Fn(&Duration, &End) -> bool| {
        lock(&book.ended).iter().filter(|(_, took, end)| holds(took, end)).count() as f64 / all
    };
    let duties: BTreeSet<&str> = actions.iter().map(|a| &a.duty[..]).collect();
    let gap = |duty: &str| {
        let taken: Vec<Instant> =
            actions.iter().filter(|a| a.taken && a.duty == duty).map(|a| a.at).collect();
        taken.windows(2).map(|two| two[1] - two[0]).max().unwrap_or_default()
    };
    let plain = plain.iter().filter_map(|(_, after)| after.as_ref().ok()).max().copied();
    Summary {
        seed,
        faults: faults.len(),
        first: faults.first().cloned().unwrap_or_default(),
        requests: sent.len(),
        in_time: part(&|took, end| *end == End::Returned && *took <= GOAL),
        returned: part(&|_, end| *end == End::Returned),
        pushed_back: part(&|_, end| *end == End::PushedBack),
        further: tried.further,
        longest_key: tried.longest_key,
        plain_ms: plain.unwrap_or_default().as_millis() as u64,
        gap_ms: duties.into_iter().map(gap).max().unwrap_or_default().as_millis() as u64,
        refused: actions.iter().filter(|a| !a.taken).count(),
    }
}

/// Script, rows and the one line, in a folder.
pub fn keep(played: &Played, script: &Script, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("script.toml"), script.text())?;
    std::fs::write(folder.join("faults.txt"), played.faults.join("\n"))?;
    rows::write(&folder.join("rows.csv"), &played.rows)?;
    rows::write(&folder.join("summary.csv"), std::slice::from_ref(&played.summary))
}
