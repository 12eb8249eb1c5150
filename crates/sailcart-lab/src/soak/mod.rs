//! The soak test: runs a few dozen sender processes while peers, network links and the machine fail in
//! combination, and checks the senders from outside. Each run has two groups of three overlapping troubles; a
//! sufficient number of runs covers every pair of kinds. The seed determines the schedule of a run but not
//! the interleaving of its processes, so a run that fails retains its schedule, logs, events and state
//! folders.

pub mod experiment;
pub mod kinds;
pub mod machine;
pub mod packet_trace;
pub mod proxy;
pub mod schedule;
pub mod verdict;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::events::EventLog;
use crate::experiment::LabError;
use crate::plan::Plan;
use crate::sockets;
use kinds::SoakKind;
use schedule::{KindPair, PlannedTrouble};
use verdict::Verdict;

/// The longest time for which discovery may be unreachable. The grace period of draining endpoints is a
/// little longer, so that changes reported after the outage are not judged as late.
const MAX_DISCOVERY_OUTAGE: Duration = Duration::from_secs(6);

/// Options of the soak test.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Seed of the first run; each further run uses the next seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs
    #[arg(long, default_value_t = 1)]
    pub runs: usize,
    /// Number of sender processes in each run
    #[arg(long, default_value_t = 24)]
    pub senders: usize,
    /// Length of the period with troubles, in seconds
    #[arg(long, default_value_t = 16)]
    pub span: u64,
    /// Packets per second, over all senders
    #[arg(long, default_value_t = 90.0)]
    pub rate: f64,
    /// Run without troubles, to check the test environment itself
    #[arg(long)]
    pub calm: bool,
    /// Use only these kinds of trouble, each during most of the run
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Shrink each schedule that fails: remove troubles and senders as long as two of three runs still fail
    #[arg(long)]
    pub shrink: bool,
    /// Folder for schedules, logs, events and state folders; those of a run that passes are removed
    #[arg(long, default_value = "lab-results/soak")]
    pub out: PathBuf,
    /// Program of the sender [default: the one in the folder of this program]
    #[arg(long)]
    pub sender: Option<PathBuf>,
}

/// The parameters of one run.
#[derive(Clone, Debug)]
struct Run {
    seed: u64,
    senders: usize,
    schedule: Vec<PlannedTrouble>,
}

/// Executes the runs one after the other and prints their verdicts. Returns whether all passed.
///
/// # Errors
/// An unknown kind of trouble, or a run that could not be executed.
pub fn run(options: &Options) -> Result<bool, LabError> {
    let span = Duration::from_secs(options.span);
    let schedules = schedules(options, span)?;
    let (mut covered, mut all_passed) = (BTreeMap::<KindPair, usize>::new(), true);
    for (number, schedule) in schedules.into_iter().enumerate() {
        let run = Run { seed: options.seed + number as u64, senders: options.senders, schedule };
        schedule::overlapping_pairs(&run.schedule)
            .into_iter()
            .for_each(|pair| *covered.entry(pair).or_default() += 1);
        let folder = options.out.join(format!("seed-{}", run.seed));
        let verdict = execute(options, &run, &folder)?;
        println!("seed {}: {} [{}]", run.seed, verdict, format_schedule(&run.schedule));
        if verdict.passed() {
            let _ = fs::remove_dir_all(&folder);
        } else {
            all_passed = false;
            println!("  files kept in {}", folder.display());
            if options.shrink {
                shrink(options, &run)?;
            }
        }
    }
    println!("{}", coverage_table(&covered));
    Ok(all_passed)
}

fn schedules(options: &Options, span: Duration) -> Result<Vec<Vec<PlannedTrouble>>, LabError> {
    if options.calm {
        return Ok(vec![Vec::new(); options.runs]);
    }
    if options.only.is_empty() {
        return Ok(schedule::draw_schedules(options.seed, options.runs, span));
    }
    let find_kind = |name: &String| {
        let found = SoakKind::from_name(name);
        found.ok_or_else(|| LabError(format!("--only: unknown kind of trouble {name}")))
    };
    let kinds: Vec<SoakKind> = options.only.iter().map(find_kind).collect::<Result<_, _>>()?;
    let planned = kinds.iter().map(|kind| {
        let cuts_off_discovery = matches!(kind, SoakKind::PlatformLink | SoakKind::DiscoverySilent);
        let max_duration = if cuts_off_discovery { MAX_DISCOVERY_OUTAGE } else { span };
        PlannedTrouble { kind: *kind, from: span / 8, until: (span / 8 + max_duration).min(span * 7 / 8) }
    });
    Ok(vec![planned.collect(); options.runs])
}

fn format_schedule(schedule: &[PlannedTrouble]) -> String {
    let format_trouble = |planned: &PlannedTrouble| {
        format!("{} {:.1}-{:.1}", planned.kind, planned.from.as_secs_f64(), planned.until.as_secs_f64())
    };
    schedule.iter().map(format_trouble).collect::<Vec<_>>().join(", ")
}

/// Executes one run, writes its files to the folder, and judges it.
fn execute(options: &Options, run: &Run, folder: &Path) -> Result<Verdict, LabError> {
    let io_error = |e: std::io::Error| LabError(format!("{}: {e}", folder.display()));
    let _ = fs::remove_dir_all(folder);
    fs::create_dir_all(folder).map_err(io_error)?;
    let span = Duration::from_secs(options.span);
    let experiment = experiment::build(&run.schedule, run.senders, span, options.rate);
    fs::write(folder.join("schedule.txt"), format_schedule(&run.schedule)).map_err(io_error)?;
    let plan = Plan::new(experiment, run.seed)?;
    let log = EventLog::create(folder).map_err(io_error)?;
    let machine_troubles = machine::draw_troubles(&run.schedule, run.senders, run.seed);
    let outcome =
        sockets::run_soak_experiment(&plan, log, options.sender.as_deref(), folder, &machine_troubles)?;
    outcome.write(folder).map_err(io_error)?;
    Ok(Verdict::of(&outcome, folder))
}

/// Number of runs of each smaller schedule.
const SHRINK_RUNS: usize = 3;
/// A smaller schedule counts as failing if at least this number of its runs fail.
const MIN_FAILED_RUNS: usize = 2;

/// Removes troubles, then halves the number of senders, as long as the run still fails, and prints what is
/// left.
fn shrink(options: &Options, run: &Run) -> Result<(), LabError> {
    let folder = options.out.join(format!("seed-{}-shrunk", run.seed));
    let fails = |run: &Run| -> Result<bool, LabError> {
        let mut failed_runs = 0;
        for _ in 0..SHRINK_RUNS {
            failed_runs += usize::from(!execute(options, run, &folder)?.passed());
        }
        Ok(failed_runs >= MIN_FAILED_RUNS)
    };
    let mut smallest = run.clone();
    let mut index = 0;
    while index < smallest.schedule.len() {
        let mut smaller = smallest.clone();
        smaller.schedule.remove(index);
        if fails(&smaller)? {
            smallest = smaller;
        } else {
            index += 1;
        }
    }
    while smallest.senders > 2 {
        let smaller = Run { senders: smallest.senders / 2, ..smallest.clone() };
        if !fails(&smaller)? {
            break;
        }
        smallest = smaller;
    }
    println!("  shrunk: {} senders [{}]", smallest.senders, format_schedule(&smallest.schedule));
    Ok(())
}

/// The number of pairs of kinds that were covered, the pairs that were not, and those covered more than once.
fn coverage_table(covered: &BTreeMap<KindPair, usize>) -> String {
    let all = schedule::all_pairs();
    let mut text = format!("{} of {} pairs of kinds covered", covered.len(), all.len());
    let missing: Vec<String> =
        all.iter().filter(|pair| !covered.contains_key(pair)).map(|(a, b)| format!("{a}+{b}")).collect();
    if !missing.is_empty() && missing.len() < 40 {
        text += &format!("; not covered: {}", missing.join(" "));
    }
    for (a, b) in covered.keys().filter(|pair| covered[pair] > 1) {
        text += &format!("\n{a} + {b}: {}", covered[&(*a, *b)]);
    }
    text
}
