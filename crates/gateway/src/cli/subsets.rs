//! `larchfall subsets`: computes from the files alone which engines each of a number of gateways would use under the
//! operator's `[subsets]` table. No gateway is queried.

use super::CommandError;
use super::arguments::FilePaths;
use super::table::format_table;
use crate::config::Config;
use crate::state::engine_table::EngineTable;
use larchfall_operator_config::SubsettingConfig;
use larchfall_subsetting::survey::{PlanChurn, PlanSurvey, Spread, survey};
use larchfall_subsetting::{Gateway, ReadyEngine};
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Display;
use xxhash_rust::xxh3::xxh3_64;

/// Largest accepted value of `--fronts`. A plan for more gateways has no use.
const MAX_GATEWAYS: usize = 10_000;
/// Width and height of the SVG chart.
const CHART_PIXELS: (u32, u32) = (900, 320);

/// Why the engines of each gateway could not be computed or drawn.
#[derive(Debug, thiserror::Error)]
pub enum SubsetsError {
    /// The operator's file has no `[subsets]` table, or the number of gateways is out of range.
    #[error("needs --site FILE with a [subsets] table, and --fronts within 1 to {max_gateways}")]
    Usage {
        /// The highest allowed number of gateways.
        max_gateways: usize,
    },
    /// The chart could not be drawn or written.
    #[error("{path}: cannot write the chart: {reason}")]
    Chart {
        /// Path of the chart, from `--chart`.
        path: String,
        /// The error of the drawing library.
        reason: String,
    },
}

pub(super) fn run(paths: FilePaths, gateways: usize, chart: Option<&str>) -> Result<(), CommandError> {
    let files = paths.load()?;
    let subsetting = files
        .operator_config
        .and_then(|file| file.config.subsetting)
        .filter(|_| (1..=MAX_GATEWAYS).contains(&gateways))
        .ok_or(SubsetsError::Usage { max_gateways: MAX_GATEWAYS })?;
    let engines = listed_engines(&files.config);
    let plan_survey = survey_gateways(&files.config, &engines, &subsetting, gateways);
    println!("{}", format_survey(&engines, &plan_survey));
    if let Some(path) = chart {
        draw_chart(path, &plan_survey)?;
    }
    Ok(())
}

/// The ready engines in the configuration's endpoint list.
fn listed_engines(config: &Config) -> Vec<ReadyEngine> {
    let mut engines = EngineTable::default();
    for event in &config.endpoint_list {
        engines.apply(event);
    }
    engines.ready().into_iter().map(|ready| ReadyEngine { id: ready.id, engine: ready.engine }).collect()
}

/// Computes the plan for numbered gateways, which take the zones of the configuration in turn.
fn survey_gateways(
    config: &Config,
    engines: &[ReadyEngine],
    subsetting: &SubsettingConfig,
    gateway_count: usize,
) -> PlanSurvey {
    let zones = config.settings.names.zones.len().max(1);
    let gateway = |i: usize| Gateway {
        // The plan depends on these hashes: another text would give another plan than earlier releases printed.
        key: xxh3_64(format!("front {i}").as_bytes()),
        zone: Some(i % zones),
    };
    let gateways: BTreeSet<Gateway> = (0..gateway_count).map(gateway).collect();
    survey(subsetting.plan, &gateways, engines, &config.settings.policy.classes)
}

fn format_survey(engines: &[ReadyEngine], survey: &PlanSurvey) -> String {
    let row = |engine: &ReadyEngine| {
        let gateway_count = survey.plan.gateway_counts.get(&engine.id).copied().unwrap_or(0);
        vec![
            format!("{:08x}", engine.id),
            engine.engine.zone.to_string(),
            engine.engine.kind.to_string(),
            engine.engine.cell.to_string(),
            gateway_count.to_string(),
        ]
    };
    let rows = format_table(&["engine", "zone", "kind", "cell", "fronts"], engines.iter().map(row).collect());
    let PlanSurvey { pairs, all_pairs, gateways_per_engine, churn, .. } = survey;
    let Spread { min, mean, max } = gateways_per_engine;
    let PlanChurn { by_gateway, by_engine } = churn;
    format!(
        "{rows}\n{pairs} of {all_pairs} gateway-engine pairs in use; gateways per engine: minimum {min}, mean {mean:.1}, maximum {max}\n\
         pairs added per pair removed: {by_gateway:.2} if a gateway leaves, {by_engine:.2} if an engine leaves"
    )
}

/// Draws the number of gateways of each engine as bars in ascending order.
fn draw_chart(path: &str, survey: &PlanSurvey) -> Result<(), SubsetsError> {
    let chart_error =
        |error: &dyn Display| SubsetsError::Chart { path: path.to_owned(), reason: error.to_string() };
    let mut gateway_counts: Vec<usize> = survey.plan.gateway_counts.values().copied().collect();
    gateway_counts.sort();
    let area = SVGBackend::new(path, CHART_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| chart_error(&error))?;
    let y_max = gateway_counts.last().copied().unwrap_or(0) as f64 * 1.1 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .caption("gateways per engine", ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..gateway_counts.len().max(1) as f64, 0.0..y_max)
        .map_err(|error| chart_error(&error))?;
    chart.configure_mesh().disable_x_mesh().draw().map_err(|error| chart_error(&error))?;
    let bar = |(position, count): (usize, &usize)| {
        let corners = [(position as f64 + 0.1, 0.0), (position as f64 + 0.9, *count as f64)];
        Rectangle::new(corners, BLUE.mix(0.6).filled())
    };
    chart.draw_series(gateway_counts.iter().enumerate().map(bar)).map_err(|error| chart_error(&error))?;
    area.present().map_err(|error| chart_error(&error))
}
