//! Renders the journal of measured runs as an HTML page: worth by day and commit, to compare successive changes.
//!
//! `journal/` has one file for each run of the users' bench, in the format of the bench; see CONTRIBUTING.md.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::Color;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::WHITE;
use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::plot::PlotResult;
use crate::plot::draw_svg;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (1_000, 380);

/// Length of the abbreviated commit hashes in the table.
const COMMIT_CHARS: usize = 8;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:75em}td,th{padding:.2em .6em;text-align:left;\
    vertical-align:top}.broken{color:#b00}";

/// The page can't be rendered.
#[derive(Debug, Snafu)]
pub enum JournalError {
    /// The directory or one of its files can't be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the directory or file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw the plot of {site}: {reason}"))]
    Plot {
        /// Site of the plot.
        site: String,
        /// Error of the plotting library.
        reason: String,
    },
}

/// A run of the bench.
#[derive(Debug, Deserialize)]
struct Run {
    /// Start and end time.
    at: Vec<String>,
    #[serde(rename = "cmd")]
    verb: String,
    /// Purpose of the run.
    why: String,
    /// Commit of the sources.
    head: String,
    /// Whether the sources had uncommitted changes.
    dirty: bool,
    site: Option<String>,
    score: Option<f64>,
    #[serde(default)]
    days: Vec<Day>,
}

/// The result of one day of a run.
#[derive(Debug, Deserialize)]
struct Day {
    name: String,
    /// Credit minus prices.
    #[serde(rename = "G")]
    worth: Option<f64>,
    /// Number of violations of each violated rule.
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
}

/// Renders the journal in a directory as an HTML page, which lists files that can't be parsed at its end.
///
/// # Errors
///
/// Returns an error when a file can't be read or a plot can't be drawn.
pub fn render_journal(dir: &Path) -> Result<String, JournalError> {
    let (runs, invalid_files) = read_runs(dir)?;
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>limpetwick journal</title>\
         <style>{STYLE}</style><h1>limpetwick journal</h1><p>{} runs.</p>",
        runs.len()
    );
    let mut sites: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        sites
            .entry(run.site.as_deref().unwrap_or("no site"))
            .or_default()
            .push(run);
    }
    for (site, runs) in sites {
        let _ = write!(page, "<h2>{}</h2>", escape(site));
        let lines = collect_lines(&runs);
        if !lines.is_empty() {
            let plot = plot_lines(&lines, runs.len()).map_err(|error| JournalError::Plot {
                site: site.to_owned(),
                reason: error.to_string(),
            })?;
            page.push_str(&plot);
        }
        write_table(&runs, &mut page);
    }
    for (file, reason) in invalid_files {
        let _ = write!(
            page,
            "<p>{} is not a run: {}</p>",
            escape(&file),
            escape(&reason)
        );
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Names of files that can't be parsed, with the errors.
type InvalidFiles = Vec<(String, String)>;

fn read_runs(dir: &Path) -> Result<(Vec<Run>, InvalidFiles), JournalError> {
    let read_error = |path: &Path| ReadSnafu {
        path: path.display().to_string(),
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).context(read_error(dir))? {
        let path = entry.context(read_error(dir))?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    // File names begin with the time of the run.
    files.sort();
    let mut runs = Vec::new();
    let mut invalid_files = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(&path).context(read_error(&path))?;
        match serde_json::from_str(&text) {
            Ok(run) => runs.push(run),
            Err(error) => {
                let name = path.file_name().unwrap_or_default().to_string_lossy();
                invalid_files.push((name.into_owned(), error.to_string()));
            }
        }
    }
    Ok((runs, invalid_files))
}

/// Returns the points (run number, worth) of each standard day over the runs of a site.
///
/// Days with a single point are omitted.
fn collect_lines<'a>(runs: &[&'a Run]) -> BTreeMap<&'a str, Vec<(f64, f64)>> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (number, run) in runs.iter().enumerate() {
        let is_standard = matches!(run.verb.as_str(), "score" | "run");
        for day in run.days.iter().filter(|_| is_standard) {
            if let Some(worth) = day.worth {
                lines
                    .entry(&day.name)
                    .or_default()
                    .push((number as f64, worth));
            }
        }
    }
    lines.retain(|_, points| points.len() > 1);
    lines
}

fn plot_lines(lines: &BTreeMap<&str, Vec<(f64, f64)>>, runs: usize) -> PlotResult<String> {
    draw_svg(PLOT_SIZE, |area| {
        let worths = lines.values().flatten().map(|(_, worth)| *worth);
        let lowest = worths.fold(0.0, f64::min);
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..runs as f64, lowest..1.0)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("run")
            .y_desc("worth")
            .draw()?;
        for (index, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &color))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
            let dots = points
                .iter()
                .map(|&point| Circle::new(point, 2, color.filled()));
            chart.draw_series(dots)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        Ok(())
    })
}

fn write_table(runs: &[&Run], page: &mut String) {
    page.push_str(
        "<table><tr><th>run<th>begun<th>commit<th>verb<th>score<th>worth by day<th>broken rules<th>why</tr>",
    );
    for (number, run) in runs.iter().enumerate() {
        let started = run.at.first().map_or("?", String::as_str);
        let commit: String = run.head.chars().take(COMMIT_CHARS).collect();
        let dirty_mark = if run.dirty { "+" } else { "" };
        let score = run.score.map(|score| format!("{score:.3}"));
        let mut worths = String::new();
        let mut violated_rules = Vec::new();
        for day in &run.days {
            if let Some(worth) = day.worth {
                let _ = write!(worths, "{} {worth:.3}<br>", escape(&day.name));
            }
            violated_rules.extend(
                day.rules
                    .keys()
                    .map(|rule| format!("{rule} ({})", day.name)),
            );
        }
        let _ = write!(
            page,
            "<tr><td>{number}<td>{}<td>{}{dirty_mark}<td>{}<td>{}<td>{worths}<td class=\"broken\">{}<td>{}</tr>",
            escape(started),
            escape(&commit),
            escape(&run.verb),
            score.unwrap_or_default(),
            escape(&violated_rules.join(", ")),
            escape(&run.why)
        );
    }
    page.push_str("</table>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
