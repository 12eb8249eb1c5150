//! Renders a report as `docs/CAPACITY.md`. All figures on the page come from the JSON file.

use std::fmt::Write;

use super::fit::{Fit, Point};
use super::model::{Mechanism, Row};
use super::report::{MeasurementRun, Report};
use super::series::{Quantity, QuantityLabel, Series};
use super::unit::{Unit, format_factor};

/// The text of the page.
pub fn render(report: &Report) -> String {
    let mut text = String::from(INTRODUCTION);
    let _ = writeln!(
        text,
        "\n## The planned size against the budgets\n\n{ROWS_INTRODUCTION}\n\n{}",
        table(&report.rows)
    );
    text.push_str(&inputs_section(report));
    text.push_str(&slopes_section(&report.measured));
    if let Some(before) = &report.before {
        text.push_str(&comparison_section(before, &report.measured));
    }
    text.push_str(&points_section(&report.measured));
    text
}

const INTRODUCTION: &str = "# Capacity

Written by `sailcart-lab capacity` from `capacity.json` beside it; a test holds the two together. What it costs one sender to list,
hold, remember, connect and deliver, as measured at several sizes, and what that comes to at the size planned for two years from now.

    cargo build --release --locked -p sailcart-sender -p sailcart-lab
    target/release/sailcart-lab capacity --json docs/capacity.json --page docs/CAPACITY.md      # measures anew
    target/release/sailcart-lab capacity --from docs/capacity.json --json docs/capacity.json --page docs/CAPACITY.md
";

const ROWS_INTRODUCTION: &str = "Factor is need over budget: above 1 the budget is passed. Basis: measured at that size or between measured ones;
extrapolated along the straight line beyond the largest measured size; computed from planned inputs alone; assumed where an input that
nobody measured decides. Measured and extrapolated speak of the slope: inputs and budgets that the last column names may be assumed, as
their table says. A budget of one event lost stands for none. Where the mechanism is missing, the row says what one would have to carry, not what is there.";

const SLOPES_INTRODUCTION: &str = "Straight lines by least squares over all sizes; the residual is the largest distance of a point from its line. Memory is VmRSS and
VmHWM, processor what the scheduler accounts to the threads (`/proc/PID/task/*/schedstat`). Configured with `limits.memory_mb` 4096,
`disk_mb` 1024, `sockets` 16000 and 2,600 senders, so that no limit of the sender is met. Bodies of held and delivered packets have 1,024 bytes.
Changes come at 28 a second; pauses are round trips of `PING` a millisecond after the last, p99 corrected for those that a long one held up.
Where a sender falls behind them, several come in one answer (list-changes-together), and each costs less than one alone would.
The hollow senders are the decision module alone, with a made-up clock.

Of destinations that have left the list, what was learned is kept for at most 4,096 upstreams, of about 870 bytes each: 3.6 MB of memory
with 4,096 waits, 3.0 MB behind 200,000 destinations that told a wait and went (the decision module alone, aarch64).";

/// The rows as a Markdown table, in their order.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| factor | area | role | what | need | budget | basis | mechanism | from |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let factor = match (row.factor, row.within_budget()) {
            (Some(factor), Some(false)) => format!("**{}**", format_factor(factor)),
            (Some(factor), _) => format_factor(factor),
            (None, _) => "-".to_owned(),
        };
        let mechanism = match &row.mechanism {
            Mechanism::Exists(file) => format!("`{file}`"),
            Mechanism::Missing(missing) => format!("missing: {missing}"),
        };
        let _ = writeln!(
            text,
            "| {factor} | {} | {} | {}: {} | {} | {} | {} | {mechanism} | {} |",
            row.area.page_name(),
            row.role.page_name(),
            row.resource.page_name(),
            row.description,
            row.need.map_or("-".to_owned(), |need| row.unit.format(need)),
            row.unit.format(row.budget),
            row.basis.page_name(),
            row.derivation,
        );
    }
    text
}

fn inputs_section(report: &Report) -> String {
    let mut text = String::from(
        "\n## Inputs of the model\n\n`--inputs FILE` (TOML, `name = value`) changes any of them.\n\n\
         | name | value | source | meaning |\n| --- | --- | --- | --- |\n",
    );
    for input in report.inputs.named_inputs() {
        let (name, source, description) = (input.name, input.source.page_name(), input.description);
        let _ = writeln!(
            text,
            "| `{name}` | {} | {source} | {description} |",
            with_thousands_separators(input.value)
        );
    }
    text
}

fn slopes_section(measured: &MeasurementRun) -> String {
    let MeasurementRun { date, command, program, machine, .. } = measured;
    let mut text = format!(
        "\n## Slopes\n\n`{command}`, {date}, {program}; {machine}.\n\n{SLOPES_INTRODUCTION}\n\n\
         | quantity | for each | slope | at nothing | largest residual | largest size |\n\
         | --- | --- | --- | --- | --- | --- |\n"
    );
    for series in &measured.series {
        let QuantityLabel { title, unit, size_unit } = series.quantity.label();
        let _ = writeln!(
            text,
            "| {}: {title} | {size_unit} | {} | {} |",
            serialized_name(series.quantity),
            fit_cells(series.fit, unit),
            with_thousands_separators(series.largest_size())
        );
    }
    text
}

fn fit_cells(fit: Option<Fit>, unit: Unit) -> String {
    let Some(Fit { intercept, slope, largest_residual }) = fit else { return "- | - | -".to_owned() };
    format!("{} | {} | {}", unit.format(slope), unit.format(intercept), unit.format(largest_residual))
}

/// Compares the list's quantities for two programs: the slopes, the largest measured list, and the values
/// there.
fn comparison_section(before: &MeasurementRun, after: &MeasurementRun) -> String {
    let mut text = format!(
        "\n## Before and after\n\nBefore: `{}`, {}, {}; {}. After: as above.\n\n\
         | quantity | before: slope | largest size | there | after: slope | largest size | there |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
        before.command, before.date, before.program, before.machine
    );
    for quantity in Quantity::ALL.into_iter().filter(|quantity| quantity.label().size_unit == LISTED) {
        let Some((earlier, later)) = before.series(quantity).zip(after.series(quantity)) else { continue };
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            serialized_name(quantity),
            comparison_cells(earlier),
            comparison_cells(later)
        );
    }
    text
}

/// Size unit of the quantities that depend on the list.
const LISTED: &str = "listed destination";

fn comparison_cells(series: &Series) -> String {
    let unit = series.quantity.label().unit;
    let largest = series.largest_size();
    let value_at_largest =
        series.estimate_at(largest).map_or("-".to_owned(), |estimate| unit.format(estimate.value));
    let slope = series.fit.map_or("-".to_owned(), |fit| unit.format(fit.slope));
    format!("{slope} | {} | {value_at_largest}", with_thousands_separators(largest))
}

fn points_section(measured: &MeasurementRun) -> String {
    let mut text = String::from("\n## Points\n\n| quantity | size: value |\n| --- | --- |\n");
    for series in &measured.series {
        let unit = series.quantity.label().unit;
        let size_and_value = |point: &Point| {
            let value = point.value.map_or("refused".to_owned(), |value| unit.format(value));
            format!("{}: {value}", with_thousands_separators(point.size))
        };
        let cells: Vec<String> = series.points.iter().map(size_and_value).collect();
        let _ = writeln!(text, "| {} | {} |", serialized_name(series.quantity), cells.join("; "));
    }
    text
}

/// The name that the quantity has in JSON.
fn serialized_name(quantity: Quantity) -> String {
    let value = serde_json::to_value(quantity).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Formats an integer with commas between thousands; other numbers as they are.
fn with_thousands_separators(value: f64) -> String {
    if value.fract() != 0.0 || value.abs() >= 1e15 {
        return format!("{value}");
    }
    let digits = format!("{}", value.abs() as u64);
    let mut text = String::new();
    for (position, digit) in digits.chars().enumerate() {
        if position > 0 && (digits.len() - position).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
