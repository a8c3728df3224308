//! `larchfall subsets`: what the operator's `[subsets]` comes to over so many gateways, from the files alone; no gateway is asked.

use super::config::Config;
use crate::cluster::ask::table;
use crate::state::engine_table::EngineTable;
use larchfall_operator_config::Subsets;
use larchfall_subsetting::survey::{Moved, PlanSurvey, Spread, survey};
use larchfall_subsetting::{Gateway, ReadyEngine};
use plotters::prelude::*;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

const SIZE: (u32, u32) = (900, 320);

/// The engines that the configuration names, and gateways by number, spread over the zones that it names.
pub fn of(config: &Config, site: &Subsets, gateways: usize) -> (Vec<ReadyEngine>, PlanSurvey) {
    let mut engines = EngineTable::default();
    for event in &config.known {
        engines.apply(event);
    }
    let engines: Vec<ReadyEngine> =
        engines.ready().into_iter().map(|ready| ReadyEngine { id: ready.id, engine: ready.engine }).collect();
    let zones = config.settings.names.zones.len().max(1);
    let gateway = |i: usize| Gateway { key: xxh3_64(format!("front {i}").as_bytes()), zone: Some(i % zones) };
    let gateways: BTreeSet<Gateway> = (0..gateways).map(gateway).collect();
    let all = survey(site.plan, &gateways, &engines, &config.settings.given.classes);
    (engines, all)
}

pub fn text(engines: &[ReadyEngine], all: &PlanSurvey) -> String {
    let row = |x: &ReadyEngine| {
        let users = all.plan.gateway_counts.get(&x.id).copied().unwrap_or(0);
        [
            format!("{:08x}", x.id),
            x.engine.zone.to_string(),
            x.engine.kind.to_string(),
            x.engine.cell.to_string(),
            users.to_string(),
        ]
        .into()
    };
    let rows = table(&["engine", "zone", "kind", "cell", "fronts"], engines.iter().map(row).collect());
    let PlanSurvey { pairs, all_pairs, gateways_per_engine, moved, .. } = all;
    let Spread { min, mean, max } = gateways_per_engine;
    let Moved { by_gateway, by_engine } = moved;
    format!(
        "{rows}\n{pairs} pairs of {all_pairs}; fronts of an engine: {min} at least, {mean:.1} in the mean, {max} at most\n\
         new to those that stay, in parts of what the one that went had: {by_gateway:.2} as a front goes, {by_engine:.2} as an engine goes"
    )
}

/// Gateways by engine as bars, in the order of their number.
pub fn chart(file: &str, all: &PlanSurvey) -> Result<(), String> {
    let said = |e: &dyn std::fmt::Display| format!("{file}: {e}");
    let mut users: Vec<usize> = all.plan.gateway_counts.values().copied().collect();
    users.sort();
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| said(&e))?;
    let most = users.last().copied().unwrap_or(0) as f64 * 1.1 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .caption("fronts that use an engine, by engine", ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..users.len().max(1) as f64, 0.0..most)
        .map_err(|e| said(&e))?;
    chart.configure_mesh().disable_x_mesh().draw().map_err(|e| said(&e))?;
    let bar = |(n, users): (usize, &usize)| {
        let corners = [(n as f64 + 0.1, 0.0), (n as f64 + 0.9, *users as f64)];
        Rectangle::new(corners, BLUE.mix(0.6).filled())
    };
    chart.draw_series(users.iter().enumerate().map(bar)).map_err(|e| said(&e))?;
    area.present().map_err(|e| said(&e))
}
