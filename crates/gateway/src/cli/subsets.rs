//! `larchfall subsets`: what the operator's `[subsets]` comes to over so many gateways, from the files alone; no gateway
//! is asked.

use super::CommandError;
use super::arguments::FilePaths;
use super::table::format_table;
use crate::config::Config;
use crate::state::engine_table::EngineTable;
use larchfall_operator_config::SubsettingConfig;
use larchfall_subsetting::survey::{Moved, PlanSurvey, Spread, survey};
use larchfall_subsetting::{Gateway, ReadyEngine};
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Display;
use xxhash_rust::xxh3::xxh3_64;

/// A plan for more gateways is no use to anybody.
const MAX_GATEWAYS: usize = 10_000;
const CHART_PIXELS: (u32, u32) = (900, 320);

/// Why the engines that gateways would use could not be shown.
#[derive(Debug, thiserror::Error)]
pub enum SubsetsError {
    /// No `[subsets]` table, or no number of gateways that makes sense.
    #[error("wanted --site FILE with a [subsets] table, and --fronts from 1 to {max_gateways}")]
    Usage {
        /// The highest number of gateways.
        max_gateways: usize,
    },
    /// The chart could not be written.
    #[error("{path}: {reason}")]
    Chart {
        /// The file that was named for it.
        path: String,
        /// What the drawing library says.
        reason: String,
    },
}

pub(super) fn run(paths: FilePaths, gateways: usize, chart: Option<&str>) -> Result<(), CommandError> {
    let files = paths.load()?;
    let subsets = files
        .operator_config
        .and_then(|file| file.config.subsetting)
        .filter(|_| (1..=MAX_GATEWAYS).contains(&gateways))
        .ok_or(SubsetsError::Usage { max_gateways: MAX_GATEWAYS })?;
    let engines = listed_engines(&files.config);
    let result = survey_gateways(&files.config, &engines, &subsets, gateways);
    println!("{}", format_survey(&engines, &result));
    if let Some(path) = chart {
        draw_chart(path, &result)?;
    }
    Ok(())
}

/// The engines that the configuration names.
fn listed_engines(config: &Config) -> Vec<ReadyEngine> {
    let mut engines = EngineTable::default();
    for event in &config.endpoint_list {
        engines.apply(event);
    }
    engines.ready().into_iter().map(|ready| ReadyEngine { id: ready.id, engine: ready.engine }).collect()
}

/// Gateways by number, spread over the zones that the configuration names.
fn survey_gateways(
    config: &Config,
    engines: &[ReadyEngine],
    subsets: &SubsettingConfig,
    gateways: usize,
) -> PlanSurvey {
    let zones = config.settings.names.zones.len().max(1);
    let gateway = |i: usize| Gateway {
        // These names are what earlier versions hashed: another name is another plan.
        key: xxh3_64(format!("front {i}").as_bytes()),
        zone: Some(i % zones),
    };
    let gateways: BTreeSet<Gateway> = (0..gateways).map(gateway).collect();
    survey(subsets.plan, &gateways, engines, &config.settings.policy.classes)
}

fn format_survey(engines: &[ReadyEngine], survey: &PlanSurvey) -> String {
    let row = |engine: &ReadyEngine| {
        let users = survey.plan.gateway_counts.get(&engine.id).copied().unwrap_or(0);
        vec![
            format!("{:08x}", engine.id),
            engine.engine.zone.to_string(),
            engine.engine.kind.to_string(),
            engine.engine.cell.to_string(),
            users.to_string(),
        ]
    };
    let rows = format_table(&["engine", "zone", "kind", "cell", "fronts"], engines.iter().map(row).collect());
    let PlanSurvey { pairs, all_pairs, gateways_per_engine, moved, .. } = survey;
    let Spread { min, mean, max } = gateways_per_engine;
    let Moved { by_gateway, by_engine } = moved;
    format!(
        "{rows}\n{pairs} pairs of {all_pairs}; fronts of an engine: {min} at least, {mean:.1} in the mean, {max} at most\n\
         new to those that stay, in parts of what the one that went had: {by_gateway:.2} as a front goes, {by_engine:.2} as an engine goes"
    )
}

/// Gateways by engine as bars, from the engine with the fewest on.
fn draw_chart(path: &str, survey: &PlanSurvey) -> Result<(), SubsetsError> {
    let failed =
        |error: &dyn Display| SubsetsError::Chart { path: path.to_owned(), reason: error.to_string() };
    let mut users: Vec<usize> = survey.plan.gateway_counts.values().copied().collect();
    users.sort();
    let area = SVGBackend::new(path, CHART_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let most = users.last().copied().unwrap_or(0) as f64 * 1.1 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .caption("fronts that use an engine, by engine", ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..users.len().max(1) as f64, 0.0..most)
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().disable_x_mesh().draw().map_err(|error| failed(&error))?;
    let bar = |(position, users): (usize, &usize)| {
        let corners = [(position as f64 + 0.1, 0.0), (position as f64 + 0.9, *users as f64)];
        Rectangle::new(corners, BLUE.mix(0.6).filled())
    };
    chart.draw_series(users.iter().enumerate().map(bar)).map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
