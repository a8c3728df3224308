//! Many storms side by side, each a process of its own: which seeds fail, and how the figures spread over all.

use crate::storm::play::Summary;
use crate::storm::rows;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// What is searched, by which program, and where its finds go.
pub struct Search<'a> {
    /// The storm's own program, and that of the gateway.
    pub storm: &'a Path,
    pub gateway: &'a str,
    pub setting: &'a Path,
    /// Pieces that are left out.
    pub without: &'a [String],
    pub seeds: std::ops::Range<u64>,
    pub beside: usize,
    pub out: &'a Path,
}

impl Search<'_> {
    fn one(&self, seed: u64, folder: &Path) -> io::Result<Summary> {
        let mut command = Command::new(self.storm);
        command.arg("run").arg(self.setting).args(["--seed", &seed.to_string(), "--program", self.gateway]);
        command.arg("--out").arg(folder);
        command.args(self.without.iter().flat_map(|piece| ["--without", piece]));
        let ended = command.stdout(Stdio::null()).stderr(Stdio::null()).status()?;
        let lines: Vec<Summary> = rows::read(&folder.join("summary.csv")).unwrap_or_default();
        // One that ended without a line says so itself.
        Ok(lines.into_iter().next().unwrap_or_else(|| Summary {
            seed,
            faults: 1,
            first: format!("no summary: {ended}"),
            ..Summary::default()
        }))
    }

    /// All of them, in the order of their seeds; `results.csv` stands in the folder.
    pub fn run(&self, told: impl Fn(&Summary) + Sync) -> io::Result<Vec<Summary>> {
        let (next, all) = (AtomicU64::new(self.seeds.start), Mutex::new(Vec::new()));
        std::fs::create_dir_all(self.out)?;
        thread::scope(|scope| {
            for _ in 0..self.beside.max(1) {
                scope.spawn(|| {
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= self.seeds.end {
                            return;
                        }
                        let folder: PathBuf = self.out.join(format!("seed-{seed}"));
                        if let Ok(summary) = self.one(seed, &folder) {
                            told(&summary);
                            super::load::lock(&all).push(summary);
                        }
                    }
                });
            }
        });
        let mut all = all.into_inner().unwrap_or_else(|e| e.into_inner());
        all.sort_by_key(|summary| summary.seed);
        rows::write(&self.out.join("results.csv"), &all)?;
        Ok(all)
    }
}

/// Mean, least and most of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub least: f64,
    pub most: f64,
}

pub fn spread(figures: impl Iterator<Item = f64> + Clone) -> Spread {
    let n = figures.clone().count().max(1) as f64;
    let (mut sum, mut least, mut most) = (0.0, f64::INFINITY, f64::NEG_INFINITY);
    for figure in figures {
        (sum, least, most) = (sum + figure, least.min(figure), most.max(figure));
    }
    Spread { mean: sum / n, least, most }
}

type Figure = (&'static str, fn(&Summary) -> f64);

/// The figures that are told of many storms.
pub const FIGURES: [Figure; 6] = [
    ("in time", |s| s.in_time),
    ("returned", |s| s.returned),
    ("pushed back", |s| s.pushed_back),
    ("further dispatches a batch", |s| s.further as f64 / s.requests.max(1) as f64),
    ("plain after, ms", |s| s.plain_ms as f64),
    ("longest gap of a duty, ms", |s| s.gap_ms as f64),
];
