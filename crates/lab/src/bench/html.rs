//! Renders the report as one HTML page with SVG plots.

use std::fmt::Write;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::RGBColor;
use plotters::prelude::Rectangle;
use plotters::prelude::Text;

use crate::bench::BenchError;
use crate::bench::Case;
use crate::bench::Condition;
use crate::bench::Policy;
use crate::bench::Report;
use crate::plot::PlotResult;
use crate::plot::draw_svg;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 320);

/// Height of the labels above the axis, relative to the highest bar.
const LABEL_HEIGHT: f64 = 1.12;

/// Color of the bars for the ideal latency.
const IDEAL_COLOR: RGBColor = RGBColor(120, 120, 120);

const STYLESHEET: &str = "body{font:14px sans-serif;margin:2em;max-width:70em}td,th{padding:.2em .6em;text-align:right}\
    td:first-child,th:first-child{text-align:left}.missed{color:#b00}";

fn choose_color(policy: Policy) -> RGBColor {
    match policy {
        Policy::Plain => RGBColor(200, 80, 60),
        Policy::Fixed => RGBColor(220, 160, 40),
        Policy::Full => RGBColor(40, 110, 180),
    }
}

/// Renders the page.
pub(crate) fn render(report: &Report) -> Result<String, BenchError> {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>limpetwick benchmark</title>\
         <style>{STYLESHEET}</style><h1>limpetwick benchmark</h1><p>Seed {}. Policies: \
         <b style=\"color:#c8503c\">(a)</b> no hedge, no limit, random replica; \
         <b style=\"color:#dca028\">(b)</b> fixed hedge delay; \
         <b style=\"color:#286eb4\">(c)</b> full policy; \
         <b style=\"color:#787878\">ideal</b> lower bound of the latency.</p>",
        report.seed
    );
    render_targets(report, &mut page);
    let mut workloads: Vec<&str> = report.cases.iter().map(|case| &*case.workload).collect();
    workloads.dedup();
    for workload in workloads {
        let matching = report.cases.iter().filter(|case| case.workload == workload);
        let cases: Vec<&Case> = matching.collect();
        let _ = write!(page, "<h2>{workload}</h2><h3>p99 by condition, in ms</h3>");
        page.push_str(&plot_p99(&cases).map_err(convert_plot_error)?);
        let _ = write!(page, "<pre>{}</pre>", list_cases(&cases));
        page.push_str("<h3>Latency by service with 1% slow replies</h3>");
        for name in cases
            .first()
            .into_iter()
            .flat_map(|case| case.services.keys())
        {
            let _ = write!(page, "<h4>{name}</h4>");
            page.push_str(&plot_service(&cases, name).map_err(convert_plot_error)?);
        }
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn convert_plot_error(reason: impl std::fmt::Display) -> BenchError {
    BenchError::Plot {
        reason: reason.to_string(),
    }
}

fn render_targets(report: &Report, page: &mut String) {
    page.push_str(
        "<h2>Targets</h2><table><tr><th>target<th>value<th>bound<th>result<th>cause</tr>",
    );
    for target in &report.targets {
        let met = target.is_met();
        let (class, result) = if met {
            ("met", "met")
        } else {
            ("missed", "missed")
        };
        let relation = if target.at_least { "≥" } else { "≤" };
        let _ = write!(
            page,
            "<tr class=\"{class}\"><td>{}<td>{:.6}<td>{relation} {:.6}<td>{result}<td>{}</tr>",
            target.name, target.value, target.bound, target.note
        );
    }
    page.push_str("</table><h2>CPU of the state machine</h2><table><tr><th>fan-out<th>ns per shard<th>sub-requests/s</tr>");
    for cost in &report.costs {
        let _ = write!(
            page,
            "<tr><td>{}<td>{:.0}<td>{:.0}</tr>",
            cost.fanout, cost.shard_ns, cost.rate
        );
    }
    page.push_str("</table>");
}

fn list_cases(cases: &[&Case]) -> String {
    let mut text = String::new();
    for case in cases {
        let _ = writeln!(
            text,
            "{:<17} {} p50 {:>6.1} p99 {:>6.1} p99.9 {:>6.1} coverage {:.6} goodput {:.3} extra {:.4} codes {:?}",
            case.condition.name(),
            case.policy.name(),
            case.latency.p50,
            case.latency.p99,
            case.latency.p999,
            case.coverage,
            case.goodput,
            case.extra,
            case.codes
        );
    }
    text
}

/// Draws a group of four bars for each condition: the three policies, then the ideal latency.
fn plot_p99(cases: &[&Case]) -> PlotResult<String> {
    let highest = cases
        .iter()
        .map(|case| case.latency.p99)
        .fold(1.0, f64::max);
    draw_svg(PLOT_SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(
                0.0..Condition::ALL.len() as f64,
                0.0..highest * (LABEL_HEIGHT + 0.02),
            )?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .y_desc("p99 in ms")
            .draw()?;
        let labels = Condition::ALL.iter().enumerate().map(|(group, condition)| {
            let position = (group as f64 + 0.05, highest * LABEL_HEIGHT);
            Text::new(condition.name(), position, ("sans-serif", 10))
        });
        chart.draw_series(labels)?;
        for case in cases {
            let group = Condition::ALL
                .iter()
                .position(|other| *other == case.condition);
            let left = group.unwrap_or(0) as f64 + 0.1 + 0.2 * case.policy as u8 as f64;
            let bar = |left: f64, value: f64, color: RGBColor| {
                Rectangle::new([(left, 0.0), (left + 0.18, value)], color.filled())
            };
            chart.draw_series([bar(left, case.latency.p99, choose_color(case.policy))])?;
            if case.policy == Policy::Full {
                chart.draw_series([bar(left + 0.2, case.ideal.p99, IDEAL_COLOR)])?;
            }
        }
        Ok(())
    })
}

/// Draws, over the latency, the fraction of a service's queries that took longer.
fn plot_service(cases: &[&Case], name: &str) -> PlotResult<String> {
    draw_svg(PLOT_SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d((1.0..2000.0).log_scale(), (0.0005..1.0).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("latency in ms")
            .y_desc("fraction slower")
            .draw()?;
        let matching = cases
            .iter()
            .filter(|case| case.condition == Condition::RandomSlow1);
        for case in matching {
            if let Some(metrics) = case.services.get(name) {
                let points = compute_slower_fractions(&metrics.histogram);
                let style = choose_color(case.policy).stroke_width(2);
                chart.draw_series(LineSeries::new(points, style))?;
            }
        }
        Ok(())
    })
}

/// Returns the fraction of values above the upper bound of each bucket, with that bound.
fn compute_slower_fractions(histogram: &[(f64, u64)]) -> Vec<(f64, f64)> {
    let total: u64 = histogram.iter().map(|(_, count)| count).sum();
    let mut remaining = total;
    let slower = |(upper_ms, count): &(f64, u64)| {
        remaining -= count;
        (*upper_ms, remaining as f64 / total.max(1) as f64)
    };
    histogram.iter().map(slower).collect()
}
