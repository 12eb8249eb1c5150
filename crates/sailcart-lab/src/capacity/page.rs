//! `docs/CAPACITY.md` as it is made of a report: nothing on it stands elsewhere than in the JSON.

use std::fmt::Write;

use super::fit::{Fit, Point};
use super::model::{Mechanism, Row};
use super::report::{Measured, Report};
use super::series::{Naming, Quantity, Series};
use super::unit::{Unit, show_factor};

/// The whole page.
pub fn page(report: &Report) -> String {
    let mut text = String::from(HEAD);
    let _ = writeln!(text, "\n## The planned size against the budgets\n\n{ROWS}\n\n{}", table(&report.rows));
    text.push_str(&inputs(report));
    text.push_str(&slopes(&report.measured));
    if let Some(before) = &report.before {
        text.push_str(&compared(before, &report.measured));
    }
    text.push_str(&points(&report.measured));
    text
}

const HEAD: &str = "# Capacity

Written by `sailcart-lab capacity` from `capacity.json` beside it; a test holds the two together. What it costs one sender to list,
hold, remember, connect and deliver, as measured at several sizes, and what that comes to at the size planned for two years from now.

    cargo build --release --locked -p sailcart-sender -p sailcart-lab
    target/release/sailcart-lab capacity --json docs/capacity.json --page docs/CAPACITY.md      # measures anew
    target/release/sailcart-lab capacity --from docs/capacity.json --json docs/capacity.json --page docs/CAPACITY.md
";

const ROWS: &str = "Factor is need over budget: above 1 the budget is passed. Basis: measured at that size or between measured ones;
extrapolated along the straight line beyond the largest measured size; computed from planned inputs alone; assumed where an input that
nobody measured decides. Measured and extrapolated speak of the slope: inputs and budgets that the last column names may be assumed, as
their table says. A budget of one event lost stands for none. Where the mechanism is missing, the row says what one would have to carry, not what is there.";

const SLOPES: &str = "Straight lines by least squares over all sizes; the residual is the largest distance of a point from its line. Memory is VmRSS and
VmHWM, processor what the scheduler accounts to the threads (`/proc/PID/task/*/schedstat`). Configured with `limits.memory_mb` 4096,
`disk_mb` 1024, `sockets` 16000 and 2,600 senders, so that no limit of the sender is met. Bodies of held and delivered packets have 1,024 bytes.
Changes come at 28 a second; pauses are round trips of `PING` a millisecond after the last, p99 corrected for those that a long one held up.
Where a sender falls behind them, several come in one answer (list-changes-together), and each costs less than one alone would.
The hollow senders are the decision module alone, with a made-up clock.";

/// The rows for people; those over their budget first.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| factor | area | role | what | need | budget | basis | mechanism | from |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let factor = match (row.factor, row.kept()) {
            (Some(factor), Some(false)) => format!("**{}**", show_factor(factor)),
            (Some(factor), _) => show_factor(factor),
            (None, _) => "-".to_owned(),
        };
        let mechanism = match &row.mechanism {
            Mechanism::Exists(file) => format!("`{file}`"),
            Mechanism::Missing(what) => format!("missing: {what}"),
        };
        let _ = writeln!(
            text,
            "| {factor} | {} | {} | {}: {} | {} | {} | {} | {mechanism} | {} |",
            row.area.word(),
            row.role.word(),
            row.resource.word(),
            row.what,
            row.need.map_or("-".to_owned(), |need| row.unit.show(need)),
            row.unit.show(row.budget),
            row.basis.word(),
            row.from,
        );
    }
    text
}

fn inputs(report: &Report) -> String {
    let mut text = String::from(
        "\n## Inputs of the model\n\n`--inputs FILE` (TOML, `name = value`) changes any of them.\n\n\
         | name | value | source | meaning |\n| --- | --- | --- | --- |\n",
    );
    for input in report.inputs.named() {
        let (name, source, about) = (input.name, input.source.word(), input.about);
        let _ = writeln!(text, "| `{name}` | {} | {source} | {about} |", plain(input.value));
    }
    text
}

fn slopes(measured: &Measured) -> String {
    let Measured { date, command, program, machine, .. } = measured;
    let mut text = format!(
        "\n## Slopes\n\n`{command}`, {date}, {program}; {machine}.\n\n{SLOPES}\n\n\
         | quantity | for each | slope | at nothing | largest residual | largest size |\n\
         | --- | --- | --- | --- | --- | --- |\n"
    );
    for series in &measured.series {
        let Naming { title, unit, per } = series.quantity.naming();
        let _ = writeln!(
            text,
            "| {}: {title} | {per} | {} | {} |",
            name(series.quantity),
            line(series.fit, unit),
            plain(series.largest())
        );
    }
    text
}

fn line(fit: Option<Fit>, unit: Unit) -> String {
    let Some(Fit { intercept, slope, largest_residual }) = fit else { return "- | - | -".to_owned() };
    format!("{} | {} | {}", unit.show(slope), unit.show(intercept), unit.show(largest_residual))
}

/// The list's slopes of two programs, and the largest list that each took.
fn compared(before: &Measured, after: &Measured) -> String {
    let mut text = format!(
        "\n## Before and after\n\nBefore: `{}`, {}, {}; {}. After: as above.\n\n\
         | quantity | before: slope | largest size | there | after: slope | largest size | there |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
        before.command, before.date, before.program, before.machine
    );
    for quantity in Quantity::ALL.into_iter().filter(|quantity| quantity.naming().per == LISTED) {
        let Some((old, new)) = before.series(quantity).zip(after.series(quantity)) else { continue };
        let _ = writeln!(text, "| {} | {} | {} |", name(quantity), side(old), side(new));
    }
    text
}

const LISTED: &str = "listed destination";

fn side(series: &Series) -> String {
    let unit = series.quantity.naming().unit;
    let largest = series.largest();
    let there = series.at(largest).map_or("-".to_owned(), |estimate| unit.show(estimate.value));
    let slope = series.fit.map_or("-".to_owned(), |fit| unit.show(fit.slope));
    format!("{slope} | {} | {there}", plain(largest))
}

fn points(measured: &Measured) -> String {
    let mut text = String::from("\n## Points\n\n| quantity | size: value |\n| --- | --- |\n");
    for series in &measured.series {
        let unit = series.quantity.naming().unit;
        let one = |point: &Point| {
            let value = point.value.map_or("refused".to_owned(), |value| unit.show(value));
            format!("{}: {value}", plain(point.size))
        };
        let all: Vec<String> = series.points.iter().map(one).collect();
        let _ = writeln!(text, "| {} | {} |", name(series.quantity), all.join("; "));
    }
    text
}

/// As the JSON has it.
fn name(quantity: Quantity) -> String {
    let value = serde_json::to_value(quantity).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// A plain number with commas between thousands.
fn plain(value: f64) -> String {
    if value.fract() != 0.0 || value.abs() >= 1e15 {
        return format!("{value}");
    }
    let digits = format!("{}", value.abs() as u64);
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
