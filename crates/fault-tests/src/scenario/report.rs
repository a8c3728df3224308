//! One page of a run, or of two beside each other: the time line of faults, how requests ended, whom each gateway held
//! alive, quotas, and what was healthy again when.

use crate::scenario::findings::Summary;
use crate::scenario::records::{Record, RecordKind};
use crate::scenario::search::{FIGURES, spread};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, RED, SVGBackend,
    TRANSPARENT, WHITE,
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 220);
/// A chart with more lines has no legend.
const MAX_LEGEND_LINES: usize = 12;
/// Capacities that get a chart: those that were seen most often.
const CHARTED_CAPACITIES: usize = 3;
/// The largest value is drawn this much below the top.
const HEADROOM: f64 = 1.05;

/// Why a page could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A chart could not be drawn.
    #[error("a chart could not be drawn: {0}")]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
}

/// A run, under the name that its page or table shows.
#[derive(Clone, Debug)]
pub struct Named<T> {
    /// The name.
    pub name: String,
    /// The rows of a run, or the summaries of a search.
    pub rows: Vec<T>,
}

#[derive(Clone, Copy)]
struct Point {
    seconds: f64,
    value: f64,
}

/// Lines of a chart by name.
type Series = BTreeMap<String, Vec<Point>>;

/// A step of the script.
struct Mark<'a> {
    seconds: f64,
    step: &'a str,
}

fn seconds(at_ms: u64) -> f64 {
    at_ms as f64 / 1000.0
}

fn of_kind(records: &[Record], kind: RecordKind) -> impl Iterator<Item = &Record> {
    records.iter().filter(move |record| record.kind == kind)
}

/// The records of one kind as lines, one for each name that `name_of` gives for a subject.
fn series(records: &[Record], kind: RecordKind, name_of: impl Fn(&str) -> Option<String>) -> Series {
    let mut series = Series::new();
    for record in of_kind(records, kind) {
        if let Some(name) = name_of(&record.subject) {
            let point = Point { seconds: seconds(record.at_ms), value: record.value };
            series.entry(name).or_default().push(point);
        }
    }
    series
}

fn series_by_subject(records: &[Record], kind: RecordKind) -> Series {
    series(records, kind, |subject| Some(subject.to_owned()))
}

fn marks(records: &[Record]) -> Vec<Mark<'_>> {
    of_kind(records, RecordKind::Fault)
        .map(|record| Mark { seconds: seconds(record.at_ms), step: &record.subject })
        .collect()
}

/// Lines over time, with a thin one where a fault began.
fn chart(title: &str, series: &Series, marks: &[Mark<'_>]) -> Result<Markup, ReportError> {
    let mut svg = String::new();
    let points = || series.values().flatten();
    let times = points().map(|point| point.seconds).chain(marks.iter().map(|mark| mark.seconds));
    let end = times.fold(1.0, f64::max);
    let top = points().map(|point| point.value).fold(1.0, f64::max) * HEADROOM;
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().light_line_style(TRANSPARENT).draw()?;
        let thin =
            |mark: &Mark<'_>| PathElement::new(vec![(mark.seconds, 0.0), (mark.seconds, top)], RED.mix(0.25));
        chart.draw_series(marks.iter().map(thin))?;
        for (number, (name, line)) in series.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let points = line.iter().map(|point| (point.seconds, point.value));
            chart
                .draw_series(LineSeries::new(points, &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], colour));
        }
        if series.len() <= MAX_LEGEND_LINES {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
        area.present()?;
    }
    Ok(PreEscaped(svg))
}

/// A subject of two words, as of quotas: gateway and capacity.
struct TwoWords<'a> {
    first: &'a str,
    rest: &'a str,
}

fn two_words(subject: &str) -> TwoWords<'_> {
    let (first, rest) = subject.split_once(' ').unwrap_or((subject, ""));
    TwoWords { first, rest }
}

/// The capacities that were seen most often, as engines come and go.
fn charted_capacities(records: &[Record]) -> Vec<&str> {
    let mut times_seen: BTreeMap<&str, usize> = BTreeMap::new();
    for record in of_kind(records, RecordKind::Quota) {
        *times_seen.entry(two_words(&record.subject).rest).or_default() += 1;
    }
    let mut capacities: Vec<&str> = times_seen.keys().copied().collect();
    capacities.sort_by_key(|capacity| Reverse(times_seen[capacity]));
    capacities.truncate(CHARTED_CAPACITIES);
    capacities
}

fn charts(records: &[Record], marks: &[Mark<'_>]) -> Result<Vec<Markup>, ReportError> {
    let by_subject = |kind| series_by_subject(records, kind);
    let mut charts = vec![
        chart("requests ended in half a second", &by_subject(RecordKind::Requests), marks)?,
        chart("gateways held alive, by gateway", &by_subject(RecordKind::Members), marks)?,
    ];
    for capacity in charted_capacities(records) {
        let quotas = series(records, RecordKind::Quota, |subject| {
            let words = two_words(subject);
            (words.rest == capacity).then(|| words.first.to_owned())
        });
        charts.push(chart(&format!("quotas of {capacity}"), &quotas, marks)?);
    }
    charts.push(chart("engines ejected, by gateway", &by_subject(RecordKind::Ejected), marks)?);
    Ok(charts)
}

fn section(run: &Named<Record>) -> Result<Markup, ReportError> {
    let records = &run.rows[..];
    let marks = marks(records);
    let charts = charts(records, &marks)?;
    let table = |kind| of_kind(records, kind);
    // Gateways hold leases too; a token begins with a digit.
    let terms = || table(RecordKind::Holds).filter(|record| !record.subject.starts_with('n'));
    Ok(html! {
        section {
            h2 { (run.name) }
            @for chart in &charts { (chart) }
            h3 { "Healthy again after the last fault was healed" }
            table { @for record in table(RecordKind::Recovery) { tr { td { (record.subject) } td { (record.value) " ms" } } } }
            h3 { "Leases: first and last action under each token" }
            table {
                @for record in terms() {
                    tr { td { (seconds(record.at_ms)) } td { (record.subject) } td { @if record.value > 0.0 { "first" } @else { "last" } } }
                }
            }
            h3 { "Processes at the end" }
            table {
                @for record in table(RecordKind::Memory) { tr { td { (record.subject) } td { (format!("{:.1}", record.value)) " MB" } } }
                @for record in table(RecordKind::Descriptors) { tr { td { (record.subject) } td { (record.value) " descriptors" } } }
            }
            h3 { "What was done" }
            table { @for mark in &marks { tr { td { (format!("{:.2}", mark.seconds)) } td { (mark.step) } } } }
        }
    })
}

/// A page of some runs.
pub fn page(runs: &[Named<Record>]) -> Result<String, ReportError> {
    let sections: Vec<Markup> = runs.iter().map(section).collect::<Result<_, _>>()?;
    let style = "body{font:14px sans-serif;display:flex;gap:2em;flex-wrap:wrap}td{padding:0 .8em 0 0}";
    let page = html! {
        (DOCTYPE)
        html {
            head { meta charset="utf-8"; title { "larchfall fault scenario" } style { (style) } }
            body { @for section in &sections { (section) } }
        }
    };
    Ok(page.into_string())
}

/// A table of the figures of searches beside each other.
pub fn table(searches: &[Named<Summary>]) -> String {
    let row = |title: &str, cell: &dyn Fn(&Named<Summary>) -> String| {
        let cells: Vec<String> = searches.iter().map(cell).collect();
        format!("| {title} | {} |", cells.join(" | "))
    };
    let mut lines = vec![row("figure", &|search| format!("{} ({} runs)", search.name, search.rows.len()))];
    lines.push(format!("| --- {}|", "| --- ".repeat(searches.len())));
    for figure in FIGURES {
        lines.push(row(figure.name, &|search| {
            let spread = spread(search.rows.iter().map(figure.of));
            format!("{:.3} ({:.3} to {:.3})", spread.mean, spread.least, spread.most)
        }));
    }
    lines.push(row("failed", &|search| {
        search.rows.iter().filter(|summary| summary.violations > 0).count().to_string()
    }));
    lines.join("\n")
}
