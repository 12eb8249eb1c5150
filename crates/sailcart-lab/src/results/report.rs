//! Renders `report.html`: one self-contained page with SVG charts drawn by `plotters`.

use std::fmt::Write;

use plotters::prelude::*;

use super::figures::{FIGURES, Figure};
use super::outcome::{Outcome, Series};
use crate::experiment::Mode;

/// Size of each chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 260);
/// Colour of the periods in which a trouble is active.
const TROUBLE_COLOUR: RGBColor = RGBColor(220, 60, 60);

const STYLE: &str = "body{font:15px/1.4 system-ui,sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:.5em 0 1.5em}td,th{padding:.2em .8em;text-align:left;\
border-bottom:1px solid #ddd}td.n{text-align:right;font-variant-numeric:tabular-nums}\
.bad{color:#b00020;font-weight:bold}.good{color:#176b2c}svg{max-width:100%;height:auto}";

/// Renders the page of a result.
pub fn render_page(outcome: &Outcome) -> String {
    let mut html = String::new();
    let title = format!("{} ({}, seed {})", outcome.experiment, outcome.policy.name(), outcome.seed);
    let where_run = match outcome.mode {
        Mode::Virtual => "simulated time, the module itself",
        Mode::Sockets => "real processes on loopback",
    };
    let _ = write!(
        html,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style>\
        <h1>{0}</h1><p>{1}</p><p>{where_run}; {2} senders, {3} destinations, {4} endpoints, {5:.0} s</p>",
        escape_html(&title),
        escape_html(&outcome.about),
        outcome.senders,
        outcome.destinations,
        outcome.endpoints,
        outcome.span_s
    );
    write_rules_and_bounds(outcome, &mut html);
    write_time_charts(outcome, &mut html);
    write_distribution_charts(outcome, &mut html);
    write_tables(outcome, &mut html);
    html.push_str("</html>\n");
    html
}

/// Writes one chart for all series with the same chart title, in the order of the result.
fn write_time_charts(outcome: &Outcome, html: &mut String) {
    let mut titles: Vec<&str> = Vec::new();
    for series in &outcome.series {
        if !titles.contains(&series.chart.as_str()) {
            titles.push(&series.chart);
        }
    }
    for title in titles {
        let lines: Vec<&Series> = outcome.series.iter().filter(|series| series.chart == title).collect();
        let _ = write!(html, "<h2>{}</h2>", escape_html(title));
        html.push_str(&time_chart(outcome, &lines).unwrap_or_else(|error| escape_html(&error)));
    }
}

fn write_distribution_charts(outcome: &Outcome, html: &mut String) {
    for (heading, buckets) in [
        ("time to delivery, from the intended moment", &outcome.delivery_ms),
        ("time to the client's answer", &outcome.answer_ms),
    ] {
        if !buckets.is_empty() {
            let _ = write!(html, "<h2>{heading}</h2>");
            html.push_str(&distribution_chart(buckets).unwrap_or_else(|error| escape_html(&error)));
        }
    }
}

fn write_rules_and_bounds(outcome: &Outcome, html: &mut String) {
    html.push_str("<h2>rules</h2><table>");
    for line in &outcome.rules {
        let (class, word) = match line.violations {
            0 => ("good", "kept".to_owned()),
            times => ("bad", format!("broken {times} times")),
        };
        let _ = write!(html, "<tr><td>{}<td class=\"{class}\">{word}", escape_html(&line.description));
    }
    html.push_str("</table>");
    if !outcome.violations.is_empty() {
        html.push_str("<h2>what shows it</h2><table><tr><th>rule<th>packet<th>events");
        for violation in &outcome.violations {
            let packet = violation.packet.map_or("-".to_owned(), |id| id.to_string());
            let events = escape_html(&violation.events.join("; "));
            let _ = write!(html, "<tr><td>{:?}<td>{packet}<td>{events}", violation.rule);
        }
        html.push_str("</table>");
    }
    if !outcome.bounds.is_empty() {
        html.push_str("<h2>bounds</h2><table>");
        for line in &outcome.bounds {
            let (class, word) = if line.held { ("good", "held") } else { ("bad", "missed") };
            let bound = escape_html(&line.bound);
            let _ = write!(html, "<tr><td>{bound}<td class=\"n\">{}<td class=\"{class}\">{word}", line.value);
        }
        html.push_str("</table>");
    }
}

fn write_tables(outcome: &Outcome, html: &mut String) {
    if !outcome.troubles.is_empty() {
        html.push_str("<h2>troubles</h2><table><tr><th>what<th>from<th>until");
        for line in &outcome.troubles {
            let description = escape_html(&line.description);
            let _ = write!(html, "<tr><td>{description}<td>{:.1} s<td>{:.1} s", line.from_s, line.until_s);
        }
        html.push_str("</table>");
    }
    html.push_str("<h2>figures</h2><table>");
    for Figure { name, meaning } in FIGURES {
        let value = outcome.figure(name);
        let _ = write!(html, "<tr><td>{name}<td class=\"n\">{value}<td>{meaning}");
    }
    html.push_str("</table>");
    if !outcome.cost.is_empty() {
        html.push_str("<h2>cost</h2><table><tr><th>process<th>CPU<th>memory at most<th>descriptors at most");
        for cost in &outcome.cost {
            let _ = write!(
                html,
                "<tr><td>{}<td class=\"n\">{:.2} s<td class=\"n\">{:.1} MB<td class=\"n\">{}",
                escape_html(&cost.process),
                cost.cpu_s,
                cost.memory_mb,
                cost.descriptors
            );
        }
        html.push_str("</table>");
    }
}

/// Draws series over time, with the periods of the troubles shaded.
fn time_chart(outcome: &Outcome, lines: &[&Series]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        let seconds = lines.iter().map(|line| line.values.len()).max().unwrap_or(1).max(1) as f64;
        let top = lines.iter().flat_map(|line| &line.values).copied().fold(0.0, f64::max).max(1e-9) * 1.05;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..top)
            .map_err(|e| e.to_string())?;
        let mesh = chart.configure_mesh().disable_mesh().x_desc("seconds").draw();
        mesh.map_err(|e| e.to_string())?;
        let shades = outcome.troubles.iter().map(|line| {
            let (from, until) = (line.from_s.min(seconds), line.until_s.min(seconds));
            Rectangle::new([(from, 0.0), (until, top)], TROUBLE_COLOUR.mix(0.08).filled())
        });
        chart.draw_series(shades).map_err(|e| e.to_string())?;
        for (index, line) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = line.values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|e| e.to_string())?
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        let mut legend = chart.configure_series_labels();
        let legend = legend.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2));
        legend.position(SeriesLabelPosition::UpperRight).draw().map_err(|e| e.to_string())?;
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// Draws a histogram with a logarithmic time axis.
fn distribution_chart(buckets: &[(f64, u64)]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        let min_ms = buckets.first().map_or(0.1, |(ms, _)| *ms).max(0.01) / 1.3;
        let max_ms = buckets.last().map_or(1.0, |(ms, _)| *ms).max(min_ms * 2.0) * 1.3;
        let top = buckets.iter().map(|(_, count)| *count).max().unwrap_or(1) as f64 * 1.05;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d((min_ms..max_ms).log_scale(), 0.0..top)
            .map_err(|e| e.to_string())?;
        let mesh = chart.configure_mesh().disable_mesh().x_desc("milliseconds, logarithmic").draw();
        mesh.map_err(|e| e.to_string())?;
        let colour = Palette99::pick(2).to_rgba();
        let bars = buckets.iter().map(|(ms, count)| {
            Rectangle::new([(ms / 1.2, 0.0), (*ms, *count as f64)], colour.mix(0.7).filled())
        });
        chart.draw_series(bars).map_err(|e| e.to_string())?;
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
