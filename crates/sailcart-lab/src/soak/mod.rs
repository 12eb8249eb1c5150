//! A soak: a few dozen sender processes among peers, links and a machine that misbehave together, watched from outside. Each run draws
//! two groups of three troubles that overlap; over a row of runs every pair of kinds is met. The seed fixes the schedule, not the
//! interleaving: a run that fails keeps its schedule, logs, events and state folders.

pub mod experiment;
pub mod kinds;
pub mod machine;
pub mod proxy;
pub mod schedule;
pub mod story;
pub mod verdict;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::events::Log;
use crate::experiment::Fault;
use crate::plan::Plan;
use crate::sockets;
use kinds::SoakKind;
use schedule::{Pair, Planned};
use verdict::Verdict;

/// How long discovery may be out of reach: what it has to tell is judged a while after that.
const LONGEST_CUT_OFF: Duration = Duration::from_secs(6);

/// What to play.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Of the first run; each further one has the next
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 1)]
    pub runs: usize,
    /// Sender processes of a run
    #[arg(long, default_value_t = 24)]
    pub senders: usize,
    /// Seconds in which troubles strike
    #[arg(long, default_value_t = 16)]
    pub span: u64,
    /// Packets a second over all senders
    #[arg(long, default_value_t = 90.0)]
    pub rate: f64,
    /// No trouble at all: the rig itself
    #[arg(long)]
    pub calm: bool,
    /// Only these kinds of trouble, each over most of the run
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Shrink each schedule that fails: drop troubles and senders while it still does, in two of three plays
    #[arg(long)]
    pub shrink: bool,
    /// Where schedules, logs, events and state folders go; those of a run that holds are removed
    #[arg(long, default_value = "lab-results/soak")]
    pub out: PathBuf,
    /// The sender's program; the one beside this program without it
    #[arg(long)]
    pub sender: Option<PathBuf>,
}

/// A run as it is played.
#[derive(Clone, Debug)]
struct Run {
    seed: u64,
    senders: usize,
    schedule: Vec<Planned>,
}

/// Plays a row of runs. False if one failed.
pub fn run(options: &Options) -> Result<bool, Fault> {
    let span = Duration::from_secs(options.span);
    let schedules = schedules(options, span)?;
    let (mut met, mut held) = (BTreeMap::<Pair, usize>::new(), true);
    for (number, schedule) in schedules.into_iter().enumerate() {
        let run = Run { seed: options.seed + number as u64, senders: options.senders, schedule };
        schedule::pairs(&run.schedule).into_iter().for_each(|pair| *met.entry(pair).or_default() += 1);
        let folder = options.out.join(format!("seed-{}", run.seed));
        let verdict = play(options, &run, &folder)?;
        println!("seed {}: {} [{}]", run.seed, verdict, words(&run.schedule));
        if verdict.holds() {
            let _ = fs::remove_dir_all(&folder);
        } else {
            held = false;
            println!("  kept: {}", folder.display());
            if options.shrink {
                shrink(options, &run)?;
            }
        }
    }
    println!("{}", table(&met));
    Ok(held)
}

fn schedules(options: &Options, span: Duration) -> Result<Vec<Vec<Planned>>, Fault> {
    if options.calm {
        return Ok(vec![Vec::new(); options.runs]);
    }
    if options.only.is_empty() {
        return Ok(schedule::row(options.seed, options.runs, span));
    }
    let named = |word: &String| {
        let known = SoakKind::named(word);
        known.ok_or_else(|| Fault(format!("--only: no kind of trouble is named {word}")))
    };
    let kinds: Vec<SoakKind> = options.only.iter().map(named).collect::<Result<_, _>>()?;
    let all = kinds.iter().map(|kind| {
        let cut_off = matches!(kind, SoakKind::PlatformLink | SoakKind::ListSilent);
        let longest = if cut_off { LONGEST_CUT_OFF } else { span };
        Planned { kind: *kind, from: span / 8, until: (span / 8 + longest).min(span * 7 / 8) }
    });
    Ok(vec![all.collect(); options.runs])
}

fn words(schedule: &[Planned]) -> String {
    let one = |planned: &Planned| {
        format!("{} {:.1}-{:.1}", planned.kind, planned.from.as_secs_f64(), planned.until.as_secs_f64())
    };
    schedule.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn play(options: &Options, run: &Run, folder: &Path) -> Result<Verdict, Fault> {
    let failed = |e: std::io::Error| Fault(format!("{}: {e}", folder.display()));
    let _ = fs::remove_dir_all(folder);
    fs::create_dir_all(folder).map_err(failed)?;
    let span = Duration::from_secs(options.span);
    let experiment = experiment::of(&run.schedule, run.senders, span, options.rate);
    fs::write(folder.join("schedule.txt"), words(&run.schedule)).map_err(failed)?;
    let plan = Plan::new(experiment, run.seed)?;
    let log = Log::create(folder).map_err(failed)?;
    let machine = machine::troubles(&run.schedule, run.senders, run.seed);
    let outcome = sockets::soak(&plan, log, options.sender.as_deref(), folder, &machine)?;
    outcome.write(folder).map_err(failed)?;
    Ok(Verdict::of(&outcome, folder))
}

/// Plays of a smaller schedule, of which so many must fail for it to count as failing.
const PLAYS: usize = 3;
const FAILING: usize = 2;

/// Drops troubles, then senders, while the run still fails, and tells what is left.
fn shrink(options: &Options, run: &Run) -> Result<(), Fault> {
    let folder = options.out.join(format!("seed-{}-shrunk", run.seed));
    let fails = |run: &Run| -> Result<bool, Fault> {
        let mut failed = 0;
        for _ in 0..PLAYS {
            failed += usize::from(!play(options, run, &folder)?.holds());
        }
        Ok(failed >= FAILING)
    };
    let mut least = run.clone();
    let mut at = 0;
    while at < least.schedule.len() {
        let mut smaller = least.clone();
        smaller.schedule.remove(at);
        if fails(&smaller)? {
            least = smaller;
        } else {
            at += 1;
        }
    }
    while least.senders > 2 {
        let smaller = Run { senders: least.senders / 2, ..least.clone() };
        if !fails(&smaller)? {
            break;
        }
        least = smaller;
    }
    println!("  shrunk: {} senders [{}]", least.senders, words(&least.schedule));
    Ok(())
}

/// How often each pair of kinds was met.
fn table(met: &BTreeMap<Pair, usize>) -> String {
    let all = schedule::all_pairs();
    let mut text = format!("{} of {} pairs of kinds met", met.len(), all.len());
    let missing: Vec<String> =
        all.iter().filter(|pair| !met.contains_key(pair)).map(|(a, b)| format!("{a}+{b}")).collect();
    if !missing.is_empty() && missing.len() < 40 {
        text += &format!("; not met: {}", missing.join(" "));
    }
    for (a, b) in met.keys().filter(|pair| met[pair] > 1) {
        text += &format!("\n{a} + {b}: {}", met[&(*a, *b)]);
    }
    text
}
