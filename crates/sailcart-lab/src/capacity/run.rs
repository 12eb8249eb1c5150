//! One run of `sailcart-lab capacity`: measures or reads, computes, prints and writes.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

use super::model::{self, Inputs};
use super::report::{Measured, Report};
use super::series::Gathered;
use super::sizes::Sizes;
use super::{decision_module, page, processes};
use crate::experiment::Fault;

/// The words of the command line.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Options {
    /// Fewer and smaller sizes
    #[arg(long)]
    pub quick: bool,
    /// The sender's program; the one beside this program without it
    #[arg(long)]
    pub sender: Option<PathBuf>,
    /// Destinations in the lists of sender processes, in place of the usual sizes
    #[arg(long, value_delimiter = ',')]
    pub sizes: Vec<usize>,
    /// Inputs of the model, in place of those of the planned size
    #[arg(long, value_name = "FILE")]
    pub inputs: Option<PathBuf>,
    /// Where capacity.json and CAPACITY.md go, unless named
    #[arg(long, default_value = "lab-results")]
    pub out: PathBuf,
    /// The JSON, in place of capacity.json in the folder of results
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// The page, in place of CAPACITY.md in the folder of results
    #[arg(long, value_name = "FILE")]
    pub page: Option<PathBuf>,
    /// Measure nothing: use the JSON of an earlier run
    #[arg(long, value_name = "FILE")]
    pub from: Option<PathBuf>,
    /// The JSON of a run with an older program, to compare with
    #[arg(long, value_name = "FILE")]
    pub before: Option<PathBuf>,
    /// Hollow senders only: no processes
    #[arg(long)]
    pub hollow_only: bool,
}

/// Runs; the table that it returns is for people.
pub fn run(options: &Options) -> Result<String, Fault> {
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
    write(options, &report)?;
    Ok(page::table(&report.rows))
}

fn measure(options: &Options) -> Result<Measured, Fault> {
    let mut sizes = if options.quick { Sizes::quick() } else { Sizes::full() };
    if !options.sizes.is_empty() {
        sizes.destinations.clone_from(&options.sizes);
    }
    let (date, command) = (now(), command());
    let machine = machine();
    let mut gathered = Gathered::default();
    let mut program = "no process measured".to_owned();
    if !options.hollow_only {
        let path = find(options.sender.as_deref())?;
        program = version(&path)?;
        processes::measure(&path, &sizes, &mut gathered)?;
    }
    decision_module::measure(&sizes, &mut gathered)?;
    let series = gathered.series(&command, &date);
    Ok(Measured { date, command, program, machine, series })
}

/// The sender's program.
fn find(given: Option<&Path>) -> Result<PathBuf, Fault> {
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("sailcart"));
    let path = given.map(Path::to_path_buf).or_else(beside).filter(|path| path.is_file());
    path.ok_or_else(|| Fault("--sender: no sender's program".to_owned()))
}

fn version(program: &Path) -> Result<String, Fault> {
    let output = Command::new(program).arg("version").output();
    let output = output.map_err(|error| Fault(format!("{}: {error}", program.display())))?;
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

fn now() -> String {
    humantime::format_rfc3339_seconds(SystemTime::now()).to_string()
}

/// The command line without folders, which mean nothing elsewhere.
fn command() -> String {
    let word = |word: String| match word.rsplit_once('/') {
        Some((_, name)) => name.to_owned(),
        None => word,
    };
    std::env::args().map(word).collect::<Vec<_>>().join(" ")
}

fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default().to_owned();
    format!("{cores} cores, load {load} at the start")
}

/// The page is made of the JSON as it is read again, so that it says what the file says.
fn write(options: &Options, report: &Report) -> Result<(), Fault> {
    let json = options.json.clone().unwrap_or_else(|| options.out.join("capacity.json"));
    let page = options.page.clone().unwrap_or_else(|| options.out.join("CAPACITY.md"));
    put(&json, &report.text()?)?;
    put(&page, &page::page(&Report::read(&json)?))
}

fn put(path: &Path, text: &str) -> Result<(), Fault> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(path, text));
    written.map_err(|error| Fault(format!("{}: {error}", path.display())))
}
