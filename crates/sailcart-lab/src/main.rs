//! The command line, nothing else.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sailcart_lab::experiment::{self, Experiment, Mode};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::PolicyName;
use sailcart_lab::results::{Outcome, compare};
use sailcart_lab::{capacity, run, shipped, soak, sockets};

/// The laboratory of sailcart: emulated receivers, load, a watcher of the rules, reports.
#[derive(Parser)]
#[command(name = "sailcart-lab", version)]
struct Words {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment; 0 if all held, 1 if a rule broke or a bound was missed, 2 for wrong use
    Run {
        /// A file, or the name of an experiment that is shipped
        file: String,
        /// In place of the seed in the file
        #[arg(long)]
        seed: Option<u64>,
        /// Play so many seeds, from the first on, each into a folder of its own
        #[arg(long, default_value_t = 1)]
        runs: u64,
        #[arg(long)]
        mode: Option<Mode>,
        /// Who decides, in virtual mode
        #[arg(long, default_value = "sailcart")]
        policy: PolicyName,
        /// Where results go
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// Change a value of the file
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Also write all that was seen to events.jsonl.zst
        #[arg(long)]
        events: bool,
        /// The sender's program, in mode sockets; the one beside this program without it
        #[arg(long)]
        sender: Option<PathBuf>,
    },
    /// Compare two folders of results, seed by seed
    Compare {
        a: PathBuf,
        b: PathBuf,
        /// Of each folder, only so many
        #[arg(long)]
        runs: Option<usize>,
    },
    /// Draw report.html anew from a folder's result.json
    Report { folder: PathBuf },
    /// Play every policy on an experiment, and print a table
    Table {
        file: String,
        #[arg(long, default_value_t = 5)]
        runs: u64,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// The receivers of an experiment alone, with discovery, for trying a sender by hand
    Receivers {
        file: String,
        /// Where discovery listens
        #[arg(long, default_value = "127.0.0.1:8500")]
        discovery: SocketAddr,
        /// Where the sender will listen
        #[arg(long, default_value = "127.0.0.1:6379")]
        sender: SocketAddr,
        /// Where the sender's configuration and its state go
        #[arg(long, default_value = "lab-sender")]
        folder: PathBuf,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// The load of an experiment alone, at a sender that runs
    Load {
        file: String,
        #[arg(long)]
        to: SocketAddr,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Becomes a sender that ends with the process PARENT; the lab calls this itself
    #[command(hide = true)]
    Keep {
        parent: i32,
        program: PathBuf,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<String>,
    },
    /// Measure what a sender costs by size, and hold it against the planned size
    Capacity(capacity::Options),
    /// Overlap troubles of peers, processes, machines and links, run after run; 0 if all held, 1 if one failed
    Soak(soak::Options),
    /// One packet's life, from the folder of a run that a soak kept
    Story { folder: PathBuf, packet: u64 },
    /// The experiments that are shipped
    List,
    /// Say in words what an experiment does
    Explain { file: String },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let words = match Words::try_parse() {
        Ok(words) => words,
        Err(fault) => {
            let _ = fault.print();
            return ExitCode::from(if fault.use_stderr() { 2 } else { 0 });
        }
    };
    match carry_out(words.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("sailcart-lab: {fault}");
            ExitCode::from(2)
        }
    }
}

type Held = Result<bool, String>;

fn carry_out(command: Command) -> Held {
    match command {
        Command::Run { file, seed, runs, mode, policy, out, set, events, sender } => {
            let mut experiment = find(&file, &set)?;
            experiment.mode = mode.unwrap_or(experiment.mode);
            let first = seed.unwrap_or(experiment.seed);
            let mut held = true;
            for seed in first..first + runs.max(1) {
                let folder = if runs > 1 { out.join(format!("seed-{seed}")) } else { out.clone() };
                let order = run::Order {
                    experiment: experiment.clone(),
                    seed,
                    policy,
                    events: events.then_some(folder.as_path()),
                    sender: sender.as_deref(),
                };
                let played = run::play(order).map_err(|fault| fault.0)?;
                held &= report(&played, &folder)?;
            }
            Ok(held)
        }
        Command::Compare { a, b, runs } => {
            let gather = |folder: &Path| compare::gather(folder).map_err(|e| format!("{e}"));
            let (mut a, mut b) = (gather(&a)?, gather(&b)?);
            a.truncate(runs.unwrap_or(usize::MAX));
            b.truncate(runs.unwrap_or(usize::MAX));
            let differences = compare::compare(&a, &b);
            if differences.is_empty() {
                return Err("no two results of one experiment and seed".to_owned());
            }
            print!("{}", compare::table(&differences));
            Ok(true)
        }
        Command::Report { folder } => {
            let outcome = Outcome::read(&folder).map_err(|e| e.to_string())?;
            outcome.write(&folder).map_err(|e| e.to_string())?;
            println!("{}", folder.join("report.html").display());
            Ok(true)
        }
        Command::Table { file, runs, set } => table(&find(&file, &set)?, runs),
        Command::Receivers { file, discovery, sender, folder, set } => {
            let experiment = find(&file, &set)?;
            let plan = Plan::new(experiment.clone(), experiment.seed).map_err(|fault| fault.0)?;
            sockets::receivers(&plan, discovery, sender, &folder).map_err(|fault| fault.0)?;
            Ok(true)
        }
        Command::Load { file, to, out, set } => {
            let experiment = find(&file, &set)?;
            let plan = Plan::new(experiment.clone(), experiment.seed).map_err(|fault| fault.0)?;
            let outcome = sockets::load(&plan, to, &mut |_| {}).map_err(|fault| fault.0)?;
            outcome.write(&out).map_err(|e| e.to_string())?;
            println!("{}", load_line(&outcome));
            Ok(true)
        }
        Command::Keep { parent, program, words } => Err(sockets::keep(parent, &program, &words).to_string()),
        Command::Capacity(options) => {
            print!("{}", capacity::run(&options).map_err(|fault| fault.0)?);
            Ok(true)
        }
        Command::Story { folder, packet } => {
            print!(
                "{}",
                soak::story::story(&folder, packet).map_err(|e| format!("{}: {e}", folder.display()))?
            );
            Ok(true)
        }
        Command::Soak(options) => soak::run(&options).map_err(|fault| fault.0),
        Command::List => {
            for (name, text) in shipped::ALL {
                let experiment = experiment::read_text(text, &[]).map_err(|fault| fault.0)?;
                println!("{name:20} {}", experiment.about);
            }
            Ok(true)
        }
        Command::Explain { file } => {
            let experiment = find(&file, &[])?;
            print!("{}", shipped::explain(&experiment).map_err(|fault| fault.0)?);
            Ok(true)
        }
    }
}

fn report(played: &run::Played, folder: &Path) -> Held {
    let outcome = &played.outcome;
    outcome.write(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    println!("{}", outcome.summary());
    if outcome.mode == Mode::Virtual {
        let ratio = played.simulated.as_secs_f64() / played.took.as_secs_f64().max(1e-6);
        eprintln!(
            "{:.1} s for {:.0} simulated seconds ({ratio:.1} a second), {:.0} MB at most",
            played.took.as_secs_f64(),
            played.simulated.as_secs_f64(),
            played.memory_mb
        );
    }
    println!("{}", folder.join("report.html").display());
    Ok(outcome.rules_kept() && outcome.bounds_kept())
}

fn load_line(outcome: &Outcome) -> String {
    let figure = |name| outcome.figure(name);
    format!(
        "{:.0} packets in {:.0} s, {:.0} dismissed; client's answer p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
        figure("handed_in"),
        outcome.span_s,
        figure("dismissed"),
        figure("answer_p50_ms"),
        figure("answer_p99_ms"),
        figure("answer_p999_ms")
    )
}

/// Every policy on every seed, and how far apart they are.
fn table(experiment: &Experiment, runs: u64) -> Held {
    println!(
        "| policy | credit | worst 10 s | full | dispatches | rules broken |\n| --- | --- | --- | --- | --- | --- |"
    );
    for policy in PolicyName::ALL {
        let mut all = Vec::new();
        for seed in experiment.seed..experiment.seed + runs.max(1) {
            let experiment = experiment.clone();
            let order = run::Order { experiment, seed, policy, events: None, sender: None };
            all.push(run::play(order).map_err(|fault| fault.0)?.outcome);
        }
        let mean = |name: &str| all.iter().map(|one| one.figure(name)).sum::<f64>() / all.len() as f64;
        let spread = {
            let by = |one: &Outcome| (one.figure("credit") - mean("credit")).powi(2);
            (all.iter().map(by).sum::<f64>() / (all.len() as f64 - 1.0).max(1.0)).sqrt()
        };
        let broken: Vec<String> = all[0]
            .rules
            .iter()
            .enumerate()
            .map(|(at, line)| (line.rule, all.iter().map(|one| one.rules[at].broken).sum::<u64>()))
            .filter(|(_, times)| *times > 0)
            .map(|(rule, times)| format!("{rule:?} {times}"))
            .collect();
        println!(
            "| {} | {:.3} ± {spread:.3} | {:.3} | {:.0} | {:.0} | {} |",
            policy.word(),
            mean("credit"),
            mean("credit_worst_10s"),
            mean("full"),
            mean("dispatches"),
            if broken.is_empty() { "none".to_owned() } else { broken.join(", ") }
        );
    }
    Ok(true)
}

fn find(file: &str, set: &[String]) -> Result<Experiment, String> {
    let path = Path::new(file);
    let name = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or(file);
    let found = match shipped::ALL.iter().find(|(known, _)| *known == name) {
        Some((_, text)) if !path.exists() && path.components().count() == 1 => {
            experiment::read_text(text, set)
        }
        _ => experiment::read(path, set),
    };
    found.map_err(|fault| fault.0)
}
