//! One page of a storm, or of two beside each other: the time line of faults, how requests ended, whom each gateway held for
//! living, parts, and what was plain again when.

use crate::storm::play::Summary;
use crate::storm::rows::{Row, What};
use crate::storm::search::{FIGURES, spread};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;
use std::collections::BTreeMap;

const SIZE: (u32, u32) = (900, 220);
type Series = BTreeMap<String, Vec<(f64, f64)>>;

fn seconds(at_ms: u64) -> f64 {
    at_ms as f64 / 1000.0
}

/// The rows of one kind as lines, one for each name that `of` gives.
fn series(rows: &[Row], what: What, of: impl Fn(&str) -> Option<String>) -> Series {
    let mut all = Series::new();
    for row in rows.iter().filter(|row| row.what == what) {
        if let Some(name) = of(&row.who) {
            all.entry(name).or_default().push((seconds(row.at_ms), row.value));
        }
    }
    all
}

fn faults(rows: &[Row]) -> Vec<(f64, &str)> {
    rows.iter().filter(|row| row.what == What::Fault).map(|row| (seconds(row.at_ms), &row.who[..])).collect()
}

/// Lines over time, with a thin one where a fault began.
fn chart(title: &str, series: &Series, marks: &[(f64, &str)]) -> Result<String, String> {
    let mut svg = String::new();
    let points = || series.values().flatten();
    let last = points().map(|p| p.0).chain(marks.iter().map(|m| m.0)).fold(1.0, f64::max);
    let most = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let plain = |e: &dyn std::fmt::Display| e.to_string();
        area.fill(&WHITE).map_err(|e| plain(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..most)
            .map_err(|e| plain(&e))?;
        chart.configure_mesh().light_line_style(TRANSPARENT).draw().map_err(|e| plain(&e))?;
        let thin = marks.iter().map(|(at, _)| PathElement::new(vec![(*at, 0.0), (*at, most)], RED.mix(0.25)));
        chart.draw_series(thin).map_err(|e| plain(&e))?;
        for (n, (name, line)) in series.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(line.iter().copied(), &colour))
                .map_err(|e| plain(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], colour));
        }
        if series.len() <= 12 {
            let mut legend = chart.configure_series_labels();
            legend.background_style(WHITE.mix(0.8)).draw().map_err(|e| plain(&e))?;
        }
        area.present().map_err(|e| plain(&e))?;
    }
    Ok(svg)
}

/// What stands before the first blank, and after it.
fn two(who: &str) -> (&str, &str) {
    who.split_once(' ').unwrap_or((who, ""))
}

fn run(name: &str, rows: &[Row]) -> Result<Markup, String> {
    let marks = faults(rows);
    let draw = |title: &str, series: &Series| chart(title, series, &marks).map(PreEscaped);
    let whole = |who: &str| Some(who.to_owned());
    let requests = draw("batches ended in half a second", &series(rows, What::Requests, whole))?;
    let members = draw("fronts held for alive, by front", &series(rows, What::Members, whole))?;
    let out = draw("engines left out, by front", &series(rows, What::LeftOut, whole))?;
    let mut capacities: Vec<&str> =
        rows.iter().filter(|row| row.what == What::Part).map(|row| two(&row.who).1).collect();
    capacities.sort();
    capacities.dedup();
    // Of those that were there longest: engines come and go.
    let seen =
        |capacity: &str| rows.iter().filter(|r| r.what == What::Part && two(&r.who).1 == capacity).count();
    capacities.sort_by_key(|capacity| std::cmp::Reverse(seen(capacity)));
    let of_capacity = |capacity: &&str| {
        let lines = series(rows, What::Part, |who| {
            let (gateway, of) = two(who);
            (of == *capacity).then(|| gateway.to_owned())
        });
        draw(&format!("parts of {capacity}"), &lines)
    };
    let parts: Vec<PreEscaped<String>> =
        capacities.iter().take(3).map(of_capacity).collect::<Result<_, _>>()?;
    let table = |what: What| rows.iter().filter(move |row| row.what == what);
    Ok(html! {
        section {
            h2 { (name) }
            (requests) (members)
            @for part in &parts { (part) }
            (out)
            h3 { "Plain again after the last fault was healed" }
            table { @for row in table(What::Plain) { tr { td { (row.who) } td { (row.value) " ms" } } } }
            h3 { "Duties: first and last action under each token" }
            table {
                @for row in table(What::Holds).filter(|r| !r.who.starts_with('n')) {
                    tr { td { (seconds(row.at_ms)) } td { (row.who) } td { @if row.value > 0.0 { "first" } @else { "last" } } }
                }
            }
            h3 { "Processes at the end" }
            table {
                @for row in table(What::Memory) { tr { td { (row.who) } td { (format!("{:.1}", row.value)) " MB" } } }
                @for row in table(What::Descriptors) { tr { td { (row.who) } td { (row.value) " descriptors" } } }
            }
            h3 { "What was done" }
            table { @for (at, step) in &marks { tr { td { (format!("{at:.2}")) } td { (step) } } } }
        }
    })
}

/// A page of runs by name.
pub fn page(runs: &[(String, Vec<Row>)]) -> Result<String, String> {
    let all: Vec<Markup> = runs.iter().map(|(name, rows)| run(name, rows)).collect::<Result<_, _>>()?;
    let style = "body{font:14px sans-serif;display:flex;gap:2em;flex-wrap:wrap}td{padding:0 .8em 0 0}";
    let page = html! {
        (DOCTYPE)
        html {
            head { meta charset="utf-8"; title { "larchfall storm" } style { (style) } }
            body { @for run in &all { (run) } }
        }
    };
    Ok(page.into_string())
}

/// Figures of many storms, or of two sets of them beside each other.
pub fn table(sets: &[(String, Vec<Summary>)]) -> String {
    let mut lines = vec![format!(
        "| figure | {} |",
        sets.iter()
            .map(|(name, all)| format!("{name} ({} storms)", all.len()))
            .collect::<Vec<_>>()
            .join(" | ")
    )];
    lines.push(format!("| --- {}|", "| --- ".repeat(sets.len())));
    for (name, figure) in FIGURES {
        let cell = |(_, all): &(String, Vec<Summary>)| {
            let s = spread(all.iter().map(figure));
            format!("{:.3} ({:.3} to {:.3})", s.mean, s.least, s.most)
        };
        lines.push(format!("| {name} | {} |", sets.iter().map(cell).collect::<Vec<_>>().join(" | ")));
    }
    let failed = |(_, all): &(String, Vec<Summary>)| all.iter().filter(|s| s.faults > 0).count().to_string();
    lines.push(format!("| failed | {} |", sets.iter().map(failed).collect::<Vec<_>>().join(" | ")));
    lines.join("\n")
}
