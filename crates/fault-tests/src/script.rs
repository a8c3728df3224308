//! What happens to a fleet, and when: drawn by a seed, kept as text, played again from it. A run leaves its script, each
//! gateway's log and one time line of all of them, so that a failure names its seed and what came before it.

use crate::net::{Link, SOUND};
use crate::process::{Fleet, name};
use crate::relay::{Relays, Way};
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Killed, and another process under its name.
    Restart {
        #[serde(rename = "front")]
        gateway: usize,
    },
    Stop {
        #[serde(rename = "front")]
        gateway: usize,
    },
    Wake {
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// Told to end, and another process under its name.
    Replace {
        #[serde(rename = "front")]
        gateway: usize,
    },
    /// From and to all other gateways nothing passes.
    CutOff {
        #[serde(rename = "front")]
        gateway: usize,
    },
    OneWay {
        from: usize,
        to: usize,
    },
    /// So many islands.
    Islands {
        number: usize,
    },
    Worse {
        loses: f64,
        doubles: f64,
        delays_ms: u64,
    },
    /// Between gateways all is sound again.
    Heal,
    EngineCut {
        #[serde(rename = "front")]
        gateway: usize,
        engine: usize,
    },
    EngineStalls {
        #[serde(rename = "front")]
        gateway: usize,
        engine: usize,
    },
    EngineSlow {
        #[serde(rename = "front")]
        gateway: usize,
        engine: usize,
        ms: u64,
    },
    /// To engines all is sound again.
    EnginesHeal,
    /// Between a gateway and its discovery service.
    #[serde(rename = "board-cut")]
    DiscoveryCut {
        #[serde(rename = "front")]
        gateway: usize,
    },
    #[serde(rename = "board-stalls")]
    DiscoveryStalls {
        #[serde(rename = "front")]
        gateway: usize,
    },
    #[serde(rename = "boards-heal")]
    DiscoveriesHeal,
    /// Clients keep so many times as much open as before.
    Load {
        times: u32,
    },
    /// A gateway's Unix clock is off by so many seconds.
    Clock {
        #[serde(rename = "front")]
        gateway: usize,
        seconds: i64,
    },
    /// What a gateway's disk does from now on.
    Disk {
        #[serde(rename = "front")]
        gateway: usize,
        does: Does,
    },
    /// The operator's file of a gateway is spoilt, or as it was, and the gateway is told to read it again.
    Spoil {
        #[serde(rename = "front")]
        gateway: usize,
    },
    Mend {
        #[serde(rename = "front")]
        gateway: usize,
    },
}

/// As `larchfall-faulty` reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Does {
    Sound,
    Full,
    ReadOnly,
    Lies,
    Slow,
}

impl Does {
    pub fn word(self) -> &'static str {
        match self {
            Does::Sound => "",
            Does::Full => "full",
            Does::ReadOnly => "read-only",
            Does::Lies => "lies",
            Does::Slow => "slow 400",
        }
    }
}

/// What may happen, in the order in which it is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Restart,
    Stop,
    Replace,
    CutOff,
    OneWay,
    Islands,
    Worse,
    EngineCut,
    EngineStalls,
    EngineSlow,
    EnginesHeal,
    #[serde(rename = "board-cut")]
    DiscoveryCut,
    #[serde(rename = "board-stalls")]
    DiscoveryStalls,
    #[serde(rename = "boards-heal")]
    DiscoveriesHeal,
    Heal,
    Surge,
    Clock,
    Disk,
    Reload,
}

/// How likely each of them is beside the others.
pub type Kinds = BTreeMap<Kind, u32>;

/// All that needs neither a clock nor a disk that can be told to be wrong, nor load that can.
pub fn plain_kinds() -> Kinds {
    use Kind::*;
    let once = [Restart, Replace, CutOff, OneWay, Islands, Worse, EngineCut, EngineStalls, EngineSlow];
    let more = [EnginesHeal, DiscoveryCut, DiscoveryStalls, DiscoveriesHeal, Heal];
    once.into_iter().chain(more).map(|kind| (kind, 1)).chain([(Stop, 2)]).collect()
}

fn drawn(kinds: &Kinds, chance: &mut WyRand) -> Option<Kind> {
    let all: u32 = kinds.values().sum();
    let mut left = (all > 0).then(|| chance.generate_range(0..all))?;
    kinds
        .iter()
        .find(|(_, weight)| {
            let here = left < **weight;
            left = left.saturating_sub(**weight);
            here
        })
        .map(|(kind, _)| *kind)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    /// From the start of the script.
    pub at_ms: u64,
    pub step: Step,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    pub seed: u64,
    pub steps: Vec<Timed>,
}

impl Script {
    /// A step every `every` in the mean; who is stopped wakes, and what is broken heals by the end.
    pub fn draw(
        seed: u64,
        (gateways, engines): (usize, usize),
        (length, every): (Duration, Duration),
        kinds: &Kinds,
    ) -> Script {
        let mut chance = WyRand::new_seed(seed);
        let (length, every) = (length.as_millis() as u64, every.as_millis() as u64);
        let (mut at, mut steps) = (0, Vec::new());
        loop {
            at += chance.generate_range(every / 2..=every * 3 / 2);
            if at >= length {
                break;
            }
            let (gateway, to) = (chance.generate_range(0..gateways), chance.generate_range(0..gateways));
            let engine = chance.generate_range(0..engines.max(1));
            let Some(kind) = drawn(kinds, &mut chance) else { break };
            let mut ends = |least: u64, most: u64, step| {
                let at_ms = (at + chance.generate_range(least..most)).min(length);
                steps.push(Timed { at_ms, step });
            };
            let step = match kind {
                Kind::Restart => Step::Restart { gateway },
                Kind::Stop => {
                    ends(100, 1_500, Step::Wake { gateway });
                    Step::Stop { gateway }
                }
                Kind::Replace => Step::Replace { gateway },
                Kind::CutOff => Step::CutOff { gateway },
                Kind::OneWay => Step::OneWay { from: gateway, to },
                Kind::Islands => Step::Islands { number: chance.generate_range(2..=3) },
                Kind::Worse => Step::Worse { loses: 0.4, doubles: 0.3, delays_ms: 300 },
                Kind::EngineCut => Step::EngineCut { gateway, engine },
                Kind::EngineStalls => {
                    // What was on its way comes in late. Gateways count on that being within 8 s (docs/front.md).
                    ends(500, 4_000, Step::EnginesHeal);
                    Step::EngineStalls { gateway, engine }
                }
                Kind::EngineSlow => Step::EngineSlow { gateway, engine, ms: 40 },
                Kind::EnginesHeal => Step::EnginesHeal,
                Kind::DiscoveryCut => Step::DiscoveryCut { gateway },
                Kind::DiscoveryStalls => Step::DiscoveryStalls { gateway },
                Kind::DiscoveriesHeal => Step::DiscoveriesHeal,
                Kind::Heal => Step::Heal,
                Kind::Surge => {
                    ends(500, 3_000, Step::Load { times: 1 });
                    Step::Load { times: chance.generate_range(2..=4) }
                }
                Kind::Clock => {
                    ends(500, 4_000, Step::Clock { gateway, seconds: 0 });
                    Step::Clock {
                        gateway,
                        seconds: [-86_400, -5, 3, 3_600][chance.generate_range(0..4_usize)],
                    }
                }
                Kind::Disk => {
                    ends(500, 4_000, Step::Disk { gateway, does: Does::Sound });
                    let does = [Does::Full, Does::ReadOnly, Does::Lies, Does::Slow];
                    Step::Disk { gateway, does: does[chance.generate_range(0..does.len())] }
                }
                Kind::Reload => {
                    ends(200, 1_500, Step::Mend { gateway });
                    Step::Spoil { gateway }
                }
            };
            steps.push(Timed { at_ms: at, step });
        }
        let heals = [Step::Heal, Step::EnginesHeal, Step::DiscoveriesHeal];
        steps.extend(heals.map(|step| Timed { at_ms: length, step }));
        steps.sort_by_key(|timed| timed.at_ms);
        Script { seed, steps }
    }

    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    pub fn read(text: &str) -> Result<Script, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }
}

/// What was done, and when.
pub type Done = Vec<(Instant, Step)>;

/// By gateway: from when till when its discovery service could not be heard. A new process of it hears its own at once; the one
/// that it takes the place of may take seconds to end, and hears nothing until the next step at the latest.
pub fn unheard(done: &Done) -> Vec<(usize, Instant, Instant)> {
    let (mut open, mut durations): (BTreeMap<usize, Instant>, Vec<_>) = (BTreeMap::new(), Vec::new());
    for (n, (at, step)) in done.iter().enumerate() {
        let next = done.get(n + 1).map_or(*at, |(next, _)| *next);
        let until = if matches!(step, Step::Restart { .. } | Step::Replace { .. }) { next } else { *at };
        let heard: Vec<usize> = match step {
            Step::DiscoveryCut { gateway } | Step::DiscoveryStalls { gateway } => {
                open.entry(*gateway).or_insert(*at);
                continue;
            }
            Step::Restart { gateway } | Step::Replace { gateway } => vec![*gateway],
            Step::DiscoveriesHeal => open.keys().copied().collect(),
            _ => continue,
        };
        durations.extend(heard.into_iter().filter_map(|f| open.remove(&f).map(|from| (f, from, until))));
    }
    durations
}

/// By gateway and engine: from when till when the way between them stood still.
pub fn stood(done: &Done) -> Vec<(usize, usize, Instant, Instant)> {
    let (mut open, mut durations): (BTreeMap<(usize, usize), Instant>, Vec<_>) =
        (BTreeMap::new(), Vec::new());
    for (at, step) in done {
        let over: Vec<(usize, usize)> = match step {
            Step::EngineStalls { gateway, engine } => {
                open.entry((*gateway, *engine)).or_insert(*at);
                continue;
            }
            // What comes now is cut; or it is late by less than this looks at.
            Step::EngineCut { gateway, engine } | Step::EngineSlow { gateway, engine, .. } => {
                vec![(*gateway, *engine)]
            }
            Step::EnginesHeal => open.keys().copied().collect(),
            _ => continue,
        };
        durations.extend(
            over.into_iter().filter_map(|way| open.remove(&way).map(|from| (way.0, way.1, from, *at))),
        );
    }
    durations
}

/// What a script changes beside the fleet and its net.
pub struct Ground<'a> {
    pub relays: &'a Relays,
    /// Clients keep so many times as much open as they are set to.
    pub load: &'a AtomicU32,
    pub folder: &'a Folder,
}

/// Files of each gateway of a fleet: its records, how far off its clock is, what its disk does.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(path: &Path, gateways: usize) -> io::Result<Folder> {
        (0..gateways).try_for_each(|i| std::fs::create_dir_all(path.join(name(i))))?;
        Ok(Folder(path.to_owned()))
    }

    pub fn record(&self, i: usize) -> PathBuf {
        self.0.join(name(i))
    }

    /// What stands in the environment of a gateway so that it reads the others.
    pub fn put(&self, i: usize) -> Vec<(&'static str, String)> {
        let file = |what: &str| self.file(i, what).display().to_string();
        vec![("FAULTY_WALL", file("off")), ("FAULTY_DISK", file("does"))]
    }

    fn file(&self, i: usize, what: &str) -> PathBuf {
        self.0.join(format!("{}.{what}", name(i)))
    }

    fn say(&self, i: usize, what: &str, text: &str) {
        // Whole or not at all: it is read at any moment.
        let (new, file) = (self.file(i, "new"), self.file(i, what));
        let _ = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file));
    }
}

/// Plays it to its end. `begun` hears of each process that takes the place of another, before anything else is done.
pub fn play(
    script: &Script,
    fleet: &mut Fleet,
    ground: &Ground<'_>,
    mut begun: impl FnMut(&Fleet, usize),
) -> Done {
    let (from, mut done) = (Instant::now(), Done::new());
    let (relays, folder) = (ground.relays, ground.folder);
    // Files as they were, by the process that has them.
    let mut spoilt: BTreeMap<PathBuf, String> = BTreeMap::new();
    for Timed { at_ms, step } in &script.steps {
        thread::sleep((from + Duration::from_millis(*at_ms)).saturating_duration_since(Instant::now()));
        done.push((Instant::now(), step.clone()));
        let cut = Link { cut: true, ..SOUND };
        match *step {
            Step::Restart { gateway } => {
                fleet.begin(gateway);
                begun(fleet, gateway);
            }
            Step::Replace { gateway } => {
                // One that stands still hears no signal but the last.
                fleet.gateway(gateway).signal("-CONT");
                fleet.gateway(gateway).signal("-TERM");
                if let Some(ends) = &mut fleet.gateways[gateway] {
                    ends.ended();
                }
                fleet.begin(gateway);
                begun(fleet, gateway);
            }
            Step::Stop { gateway } => fleet.gateway(gateway).stop(),
            Step::Wake { gateway } => fleet.gateway(gateway).signal("-CONT"),
            Step::CutOff { gateway } => fleet.net.set(|a, b| (a == gateway) != (b == gateway), cut),
            Step::OneWay { from, to } => fleet.net.set(|a, b| (a, b) == (from, to), cut),
            Step::Islands { number } => fleet.net.set(|a, b| a % number != b % number, cut),
            Step::Worse { loses, doubles, delays_ms } => {
                let worse = Link { loses, doubles, delays: Duration::from_millis(delays_ms), ..SOUND };
                fleet.net.set(|_, _| true, worse);
            }
            Step::Heal => fleet.net.heal(),
            Step::EngineCut { gateway, engine } => relays.set(|f, e| (f, e) == (gateway, engine), Way::Cut),
            Step::EngineStalls { gateway, engine } => {
                relays.set(|f, e| (f, e) == (gateway, engine), Way::Stalls)
            }
            Step::EngineSlow { gateway, engine, ms } => {
                relays.set(|f, e| (f, e) == (gateway, engine), Way::Slow(Duration::from_millis(ms)));
            }
            Step::EnginesHeal => relays.set(|_, _| true, Way::Sound),
            Step::DiscoveryCut { gateway } => fleet.discovery_way(gateway, Way::Cut),
            Step::DiscoveryStalls { gateway } => fleet.discovery_way(gateway, Way::Stalls),
            Step::DiscoveriesHeal => fleet.up().for_each(|i| fleet.discovery_way(i, Way::Sound)),
            Step::Load { times } => ground.load.store(times, Ordering::Relaxed),
            Step::Clock { gateway, seconds } => folder.say(gateway, "off", &seconds.to_string()),
            Step::Disk { gateway, does } => folder.say(gateway, "does", does.word()),
            Step::Spoil { gateway } => {
                let gateway = fleet.gateway(gateway);
                if let Ok(text) = std::fs::read_to_string(&gateway.site_file) {
                    spoilt.entry(gateway.site_file.clone()).or_insert(text);
                    gateway.reload_site("[fronts]\nname = ");
                }
            }
            Step::Mend { gateway } => {
                let gateway = fleet.gateway(gateway);
                if let Some(text) = spoilt.remove(&gateway.site_file) {
                    gateway.reload_site(&text);
                }
            }
        }
    }
    done
}

/// Leaves script, logs and time line in a folder.
pub fn leave(folder: &Path, script: &Script, fleet: &Fleet, done: &Done) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("script.toml"), script.text())?;
    let mut all: Vec<(Instant, String)> =
        done.iter().map(|(at, step)| (*at, format!("rig: {step:?}"))).collect();
    for (n, (name, log)) in fleet.logs.iter().enumerate() {
        let lines = log.lines();
        let text: Vec<&str> = lines.iter().map(|(_, line)| line.as_str()).collect();
        std::fs::write(folder.join(format!("{n:03}-{name}.log")), text.join("\n"))?;
        all.extend(lines.into_iter().map(|(at, line)| (at, format!("{name}: {line}"))));
    }
    all.sort();
    let first = all.first().map(|(at, _)| *at);
    let line = |(at, what): &(Instant, String)| {
        let since = first.map_or(Duration::ZERO, |first| at.saturating_duration_since(first));
        format!("{:9.3} {what}\n", since.as_secs_f64())
    };
    std::fs::write(folder.join("timeline.txt"), all.iter().map(line).collect::<String>())
}
