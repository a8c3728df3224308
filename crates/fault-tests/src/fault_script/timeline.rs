//! What a failed run leaves: its script, a log for each process, and one time line of all of them.

use super::FaultScript;
use super::history::PerformedStep;
use crate::gateway_cluster::GatewayCluster;
use crate::process_log::LogLine;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Writes script, logs and time line to a folder.
pub fn write(
    folder: &Path,
    script: &FaultScript,
    cluster: &GatewayCluster,
    performed: &[PerformedStep],
) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("script.toml"), script.text())?;
    let mut timeline: Vec<LogLine> = performed
        .iter()
        .map(|performed| LogLine { at: performed.at, text: format!("script: {:?}", performed.step) })
        .collect();
    for (number, process) in cluster.logs.iter().enumerate() {
        let lines = process.log.lines();
        let texts: Vec<&str> = lines.iter().map(|line| line.text.as_str()).collect();
        fs::write(folder.join(format!("{number:03}-{}.log", process.name)), texts.join("\n"))?;
        let named = |line: LogLine| LogLine { text: format!("{}: {}", process.name, line.text), ..line };
        timeline.extend(lines.into_iter().map(named));
    }
    timeline.sort_by(|a, b| (a.at, &a.text).cmp(&(b.at, &b.text)));
    let first = timeline.first().map(|line| line.at);
    let numbered = |line: &LogLine| {
        let since = first.map_or(Duration::ZERO, |first| line.at.saturating_duration_since(first));
        format!("{:9.3} {}\n", since.as_secs_f64(), line.text)
    };
    fs::write(folder.join("timeline.txt"), timeline.iter().map(numbered).collect::<String>())
}
