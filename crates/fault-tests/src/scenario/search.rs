//! Many runs side by side, each a process of its own: which seeds fail, and how the figures spread over all.

use crate::scenario::findings::Summary;
use crate::scenario::records;
use crate::sync::lock;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// What is searched, by which programs, and where the results go.
pub struct Search<'a> {
    /// The program of scenarios.
    pub scenario_program: &'a Path,
    /// The gateways' program.
    pub gateway_program: &'a str,
    /// The file of the scenario.
    pub scenario: &'a Path,
    /// Words of features that are off.
    pub without: &'a [String],
    /// The seeds, each of which gives one script.
    pub seeds: Range<u64>,
    /// How many run at a time.
    pub parallel: usize,
    /// The folder of results, with a folder in it for each seed.
    pub out: &'a Path,
}

impl Search<'_> {
    fn run_seed(&self, seed: u64, folder: &Path) -> io::Result<Summary> {
        let mut command = Command::new(self.scenario_program);
        command.arg("run").arg(self.scenario);
        command.args(["--seed", &seed.to_string(), "--program", self.gateway_program]);
        command.arg("--out").arg(folder);
        command.args(self.without.iter().flat_map(|feature| ["--without", feature]));
        let status = command.stdout(Stdio::null()).stderr(Stdio::null()).status()?;
        let summaries: Vec<Summary> = records::read(&folder.join("summary.csv")).unwrap_or_default();
        // One that ended without a summary is a violation by itself.
        Ok(summaries.into_iter().next().unwrap_or_else(|| Summary {
            seed,
            violations: 1,
            first_violation: format!("no summary: {status}"),
            ..Summary::default()
        }))
    }

    /// Runs all seeds and returns their summaries in the order of seeds; `results.csv` in the folder has them too. `on_result`
    /// is called as each ends.
    pub fn run(&self, on_result: impl Fn(&Summary) + Sync) -> io::Result<Vec<Summary>> {
        let next_seed = AtomicU64::new(self.seeds.start);
        let results = Mutex::new(Vec::new());
        std::fs::create_dir_all(self.out)?;
        let run_seeds = || {
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= self.seeds.end {
                    return;
                }
                let folder: PathBuf = self.out.join(format!("seed-{seed}"));
                if let Ok(summary) = self.run_seed(seed, &folder) {
                    on_result(&summary);
                    lock(&results).push(summary);
                }
            }
        };
        thread::scope(|scope| {
            for _ in 0..self.parallel.max(1) {
                scope.spawn(run_seeds);
            }
        });
        let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        results.sort_by_key(|summary| summary.seed);
        records::write(&self.out.join("results.csv"), &results)?;
        Ok(results)
    }
}

/// Mean, least and most of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

/// How values spread.
pub fn spread(values: impl Iterator<Item = f64> + Clone) -> Spread {
    let count = values.clone().count().max(1) as f64;
    Spread {
        mean: values.clone().fold(0.0, |sum, value| sum + value) / count,
        least: values.clone().fold(f64::INFINITY, f64::min),
        most: values.fold(f64::NEG_INFINITY, f64::max),
    }
}

/// A figure of many runs.
#[derive(Clone, Copy)]
pub struct Figure {
    /// Its name in tables.
    pub name: &'static str,
    /// Its value in one run.
    pub of: fn(&Summary) -> f64,
}

/// The figures of which tables tell.
pub const FIGURES: [Figure; 6] = [
    Figure { name: "in time", of: |summary| summary.in_time },
    Figure { name: "returned", of: |summary| summary.returned },
    Figure { name: "rejected", of: |summary| summary.rejected },
    Figure {
        name: "retries a request",
        of: |summary| summary.retries as f64 / summary.requests.max(1) as f64,
    },
    Figure { name: "healthy after, ms", of: |summary| summary.recovery_ms as f64 },
    Figure { name: "longest gap of a lease, ms", of: |summary| summary.longest_gap_ms as f64 },
];
