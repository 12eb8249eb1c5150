//! One run of `sailcart-lab capacity`: measures or reads an earlier run, computes the model, and writes the
//! results.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

use super::model::{self, Inputs};
use super::report::{MeasurementRun, Report};
use super::series::Measurements;
use super::sizes::Sizes;
use super::{decision_module, page, processes};
use crate::experiment::LabError;

/// Options of `sailcart-lab capacity`
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Options {
    /// Measure fewer and smaller sizes
    #[arg(long)]
    pub quick: bool,
    /// Path of the sender program [default: `sailcart` in the folder of this program]
    #[arg(long)]
    pub sender: Option<PathBuf>,
    /// Destinations in the lists of sender processes, in place of the default sizes
    #[arg(long, value_delimiter = ',')]
    pub sizes: Vec<usize>,
    /// TOML file with inputs of the model, in place of those of the planned size
    #[arg(long, value_name = "FILE")]
    pub inputs: Option<PathBuf>,
    /// Folder for capacity.json and CAPACITY.md
    #[arg(long, default_value = "lab-results")]
    pub out: PathBuf,
    /// Path of the JSON file, in place of capacity.json in the results folder
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Path of the page, in place of CAPACITY.md in the results folder
    #[arg(long, value_name = "FILE")]
    pub page: Option<PathBuf>,
    /// Use the JSON file of an earlier run instead of measuring
    #[arg(long, value_name = "FILE")]
    pub from: Option<PathBuf>,
    /// JSON file of a run with an older program, to compare with
    #[arg(long, value_name = "FILE")]
    pub before: Option<PathBuf>,
    /// Measure only the decision module, without sender processes
    #[arg(long = "hollow-only")]
    pub module_only: bool,
}

/// Runs the command and returns the table of rows to print.
pub fn run(options: &Options) -> Result<String, LabError> {
    let inputs = options.inputs.as_deref().map(Inputs::read).transpose()?;
    let (measured, earlier) = match &options.from {
        Some(from) => {
            let report = Report::read(from)?;
            (report.measured, Some((report.inputs, report.before)))
        }
        None => (measure(options)?, None),
    };
    let (earlier_inputs, earlier_before) = earlier.unzip();
    let inputs = inputs.or(earlier_inputs).unwrap_or_default();
    let before = match &options.before {
        Some(path) => Some(Report::read(path)?.measured),
        None => earlier_before.flatten(),
    };
    let rows = model::rows(&measured, &inputs);
    let report = Report { measured, inputs, rows, before };
    write_results(options, &report)?;
    Ok(page::table(&report.rows))
}

fn measure(options: &Options) -> Result<MeasurementRun, LabError> {
    let mut sizes = if options.quick { Sizes::quick() } else { Sizes::full() };
    if !options.sizes.is_empty() {
        sizes.destinations.clone_from(&options.sizes);
    }
    let (date, command) = (utc_now(), command_line());
    let machine = describe_machine();
    let mut measurements = Measurements::default();
    let mut program = "no process measured".to_owned();
    if !options.module_only {
        let path = find_sender_program(options.sender.as_deref())?;
        program = sender_version(&path)?;
        processes::measure(&path, &sizes, &mut measurements)?;
    }
    decision_module::measure(&sizes, &mut measurements)?;
    let series = measurements.to_series(&command, &date);
    Ok(MeasurementRun { date, command, program, machine, series })
}

fn find_sender_program(given: Option<&Path>) -> Result<PathBuf, LabError> {
    let default = || Some(std::env::current_exe().ok()?.with_file_name("sailcart"));
    let path = given.map(Path::to_path_buf).or_else(default).filter(|path| path.is_file());
    path.ok_or_else(|| LabError("--sender: sender program not found".to_owned()))
}

fn sender_version(program: &Path) -> Result<String, LabError> {
    let output = Command::new(program).arg("version").output();
    let output = output.map_err(|error| LabError(format!("{}: {error}", program.display())))?;
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

fn utc_now() -> String {
    humantime::format_rfc3339_seconds(SystemTime::now()).to_string()
}

/// The command line with file names in place of paths, because folders mean nothing on another machine.
fn command_line() -> String {
    let without_folder = |word: String| match word.rsplit_once('/') {
        Some((_, name)) => name.to_owned(),
        None => word,
    };
    std::env::args().map(without_folder).collect::<Vec<_>>().join(" ")
}

fn describe_machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default().to_owned();
    format!("{cores} cores, load {load} at the start")
}

/// Writes the JSON file, and the page from the JSON file as read back, so that both state the same values.
fn write_results(options: &Options, report: &Report) -> Result<(), LabError> {
    let json = options.json.clone().unwrap_or_else(|| options.out.join("capacity.json"));
    let page = options.page.clone().unwrap_or_else(|| options.out.join("CAPACITY.md"));
    write_file(&json, &report.to_json()?)?;
    write_file(&page, &page::render(&Report::read(&json)?))
}

fn write_file(path: &Path, text: &str) -> Result<(), LabError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(path, text));
    written.map_err(|error| LabError(format!("{}: {error}", path.display())))
}
