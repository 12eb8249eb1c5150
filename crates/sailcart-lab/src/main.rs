//! The command line interface.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sailcart_lab::experiment::{self, Experiment, Mode};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::PolicyName;
use sailcart_lab::results::{Outcome, compare};
use sailcart_lab::{capacity, run, shipped, soak, sockets};

/// The laboratory of sailcart: emulated receivers, load, a watcher of the rules, reports
#[derive(Parser)]
#[command(name = "sailcart-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment; exit code 0 if all rules and bounds hold, 1 if one does not, 2 on a usage error
    Run {
        /// A file, or the name of a built-in experiment
        file: String,
        /// Seed to use instead of the one in the file
        #[arg(long)]
        seed: Option<u64>,
        /// Number of seeds to run, counted up from the first, each into its own folder
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Mode to use instead of the one in the file
        #[arg(long)]
        mode: Option<Mode>,
        /// What makes the decisions of the senders, in virtual mode
        #[arg(long, default_value = "sailcart")]
        policy: PolicyName,
        /// Folder for the results
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// Change a value of the file; may be repeated
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Also write all observations to events.jsonl.zst
        #[arg(long)]
        events: bool,
        /// The sender executable, in sockets mode; by default the one next to this program
        #[arg(long)]
        sender: Option<PathBuf>,
    },
    /// Compare the results in two folders, seed by seed
    Compare {
        a: PathBuf,
        b: PathBuf,
        /// Maximum number of results to use from each folder
        #[arg(long)]
        runs: Option<usize>,
    },
    /// Generate report.html again from the result.json of a folder
    Report { folder: PathBuf },
    /// Run every policy on an experiment and print a table
    Table {
        file: String,
        /// Number of seeds to run per policy
        #[arg(long, default_value_t = 5)]
        runs: u64,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Run only the receivers of an experiment and discovery, to try out a sender by hand
    Receivers {
        file: String,
        /// Address that discovery listens on
        #[arg(long, default_value = "127.0.0.1:8500")]
        discovery: SocketAddr,
        /// Address that the sender will listen on
        #[arg(long, default_value = "127.0.0.1:6379")]
        sender: SocketAddr,
        /// Folder for the configuration and the state of the sender
        #[arg(long, default_value = "lab-sender")]
        folder: PathBuf,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Run only the load of an experiment, against a running sender
    Load {
        file: String,
        /// Address of the sender
        #[arg(long)]
        to: SocketAddr,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Become a sender that ends with the process PARENT; the laboratory calls this itself
    #[command(hide = true)]
    Keep {
        parent: i32,
        program: PathBuf,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<String>,
    },
    /// Measure what a sender costs by size, and compare it with the planned size
    Capacity(capacity::Options),
    /// Overlap troubles of peers, processes, machines and links, run after run; exit code 0 if all runs
    /// passed, 1 if one failed
    Soak(soak::Options),
    /// Print the history of one packet, from the folder of a run that a soak kept
    Story { folder: PathBuf, packet: u64 },
    /// List the built-in experiments
    List,
    /// Describe an experiment in words
    Explain { file: String },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
        }
    };
    match execute(cli.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("sailcart-lab: {error}");
            ExitCode::from(2)
        }
    }
}

/// `Ok(false)` if the command ran, but a rule or a bound does not hold.
type CommandResult = Result<bool, String>;

fn execute(command: Command) -> CommandResult {
    match command {
        Command::Run { file, seed, runs, mode, policy, out, set, events, sender } => {
            let mut experiment = load_experiment(&file, &set)?;
            experiment.mode = mode.unwrap_or(experiment.mode);
            let first = seed.unwrap_or(experiment.seed);
            let mut all_held = true;
            for seed in first..first + runs.max(1) {
                let folder = if runs > 1 { out.join(format!("seed-{seed}")) } else { out.clone() };
                let request = run::RunRequest {
                    experiment: experiment.clone(),
                    seed,
                    policy,
                    events: events.then_some(folder.as_path()),
                    sender: sender.as_deref(),
                };
                let finished = run::execute(request).map_err(|error| error.0)?;
                all_held &= write_result(&finished, &folder)?;
            }
            Ok(all_held)
        }
        Command::Compare { a, b, runs } => {
            let read_results = |folder: &Path| compare::read_outcomes(folder).map_err(|e| format!("{e}"));
            let (mut a, mut b) = (read_results(&a)?, read_results(&b)?);
            a.truncate(runs.unwrap_or(usize::MAX));
            b.truncate(runs.unwrap_or(usize::MAX));
            let differences = compare::compare(&a, &b);
            if differences.is_empty() {
                return Err("the folders have no results of the same experiment and seed".to_owned());
            }
            print!("{}", compare::format_table(&differences));
            Ok(true)
        }
        Command::Report { folder } => {
            let outcome = Outcome::read(&folder).map_err(|e| e.to_string())?;
            outcome.write(&folder).map_err(|e| e.to_string())?;
            println!("{}", folder.join("report.html").display());
            Ok(true)
        }
        Command::Table { file, runs, set } => table(&load_experiment(&file, &set)?, runs),
        Command::Receivers { file, discovery, sender, folder, set } => {
            let experiment = load_experiment(&file, &set)?;
            let plan = Plan::new(experiment.clone(), experiment.seed).map_err(|error| error.0)?;
            sockets::run_receivers(&plan, discovery, sender, &folder).map_err(|error| error.0)?;
            Ok(true)
        }
        Command::Load { file, to, out, set } => {
            let experiment = load_experiment(&file, &set)?;
            let plan = Plan::new(experiment.clone(), experiment.seed).map_err(|error| error.0)?;
            let outcome = sockets::run_clients(&plan, to, &mut |_| {}).map_err(|error| error.0)?;
            outcome.write(&out).map_err(|e| e.to_string())?;
            println!("{}", load_summary(&outcome));
            Ok(true)
        }
        Command::Keep { parent, program, words } => {
            Err(sockets::exec_sender(parent, &program, &words).to_string())
        }
        Command::Capacity(options) => {
            print!("{}", capacity::run(&options).map_err(|error| error.0)?);
            Ok(true)
        }
        Command::Story { folder, packet } => {
            print!(
                "{}",
                soak::packet_trace::trace_packet(&folder, packet)
                    .map_err(|e| format!("{}: {e}", folder.display()))?
            );
            Ok(true)
        }
        Command::Soak(options) => soak::run(&options).map_err(|error| error.0),
        Command::List => {
            for (name, text) in shipped::ALL {
                let experiment = experiment::read_text(text, &[]).map_err(|error| error.0)?;
                println!("{name:20} {}", experiment.about);
            }
            Ok(true)
        }
        Command::Explain { file } => {
            let experiment = load_experiment(&file, &[])?;
            print!("{}", shipped::explain(&experiment).map_err(|error| error.0)?);
            Ok(true)
        }
    }
}

fn write_result(finished: &run::FinishedRun, folder: &Path) -> CommandResult {
    let outcome = &finished.outcome;
    outcome.write(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    println!("{}", outcome.summary());
    if outcome.mode == Mode::Virtual {
        let speedup = finished.simulated_time.as_secs_f64() / finished.wall_time.as_secs_f64().max(1e-6);
        eprintln!(
            "{:.1} s for {:.0} simulated seconds ({speedup:.1} per second), peak memory {:.0} MB",
            finished.wall_time.as_secs_f64(),
            finished.simulated_time.as_secs_f64(),
            finished.peak_memory_mb
        );
    }
    println!("{}", folder.join("report.html").display());
    Ok(outcome.all_rules_kept() && outcome.all_bounds_met())
}

fn load_summary(outcome: &Outcome) -> String {
    let figure = |name| outcome.figure(name);
    format!(
        "{:.0} packets in {:.0} s, {:.0} dismissed; answer time at the client p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
        figure("handed_in"),
        outcome.span_s,
        figure("dismissed"),
        figure("answer_p50_ms"),
        figure("answer_p99_ms"),
        figure("answer_p999_ms")
    )
}

/// Runs every policy on every seed and prints the mean figures, with the standard deviation of the credit.
fn table(experiment: &Experiment, runs: u64) -> CommandResult {
    println!(
        "| policy | credit | worst 10 s | full | dispatches | rules broken |\n| --- | --- | --- | --- | --- | --- |"
    );
    for policy in PolicyName::ALL {
        let mut outcomes = Vec::new();
        for seed in experiment.seed..experiment.seed + runs.max(1) {
            let experiment = experiment.clone();
            let request = run::RunRequest { experiment, seed, policy, events: None, sender: None };
            outcomes.push(run::execute(request).map_err(|error| error.0)?.outcome);
        }
        let mean = |name: &str| {
            outcomes.iter().map(|outcome| outcome.figure(name)).sum::<f64>() / outcomes.len() as f64
        };
        let standard_deviation = {
            let squared_deviation = |outcome: &Outcome| (outcome.figure("credit") - mean("credit")).powi(2);
            (outcomes.iter().map(squared_deviation).sum::<f64>() / (outcomes.len() as f64 - 1.0).max(1.0))
                .sqrt()
        };
        let broken: Vec<String> = outcomes[0]
            .rules
            .iter()
            .enumerate()
            .map(|(index, line)| {
                (line.rule, outcomes.iter().map(|outcome| outcome.rules[index].violations).sum::<u64>())
            })
            .filter(|(_, violations)| *violations > 0)
            .map(|(rule, violations)| format!("{rule:?} {violations}"))
            .collect();
        println!(
            "| {} | {:.3} ± {standard_deviation:.3} | {:.3} | {:.0} | {:.0} | {} |",
            policy.name(),
            mean("credit"),
            mean("credit_worst_10s"),
            mean("full"),
            mean("dispatches"),
            if broken.is_empty() { "none".to_owned() } else { broken.join(", ") }
        );
    }
    Ok(true)
}

fn load_experiment(file: &str, set: &[String]) -> Result<Experiment, String> {
    let path = Path::new(file);
    let name = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or(file);
    let experiment = match shipped::ALL.iter().find(|(builtin, _)| *builtin == name) {
        Some((_, text)) if !path.exists() && path.components().count() == 1 => {
            experiment::read_text(text, set)
        }
        _ => experiment::read(path, set),
    };
    experiment.map_err(|error| error.0)
}
