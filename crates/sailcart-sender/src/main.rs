//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{CommandFactory, Parser, Subcommand};
use sailcart_sender::{config, inspect, life};

/// A dispatcher of notifications to outside receivers.
#[derive(Parser)]
#[command(name = "sailcart", version, after_help = "RUST_LOG sets what is logged (info).")]
struct Words {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a sender until SIGTERM
    Serve(File),
    /// Read and check the configuration, and say how it was understood
    Check(File),
    /// What can be configured, and what is
    #[command(subcommand)]
    Config(Configuration),
    /// What stands in a state folder, also of a sender that runs
    #[command(subcommand)]
    Store(Folder),
    /// Print the version
    Version,
    /// Print completions for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
}

#[derive(clap::Args)]
struct File {
    /// sailcart.toml, or the platform's JSON. ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_STATE go
    /// before what it says
    #[arg(long = "config", env = "ROUTER_CONFIG", value_name = "FILE")]
    file: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Configuration {
    /// What is in force, and where each value came from
    Show(File),
    /// A JSON Schema of sailcart.toml
    Schema,
    /// A file to begin with
    Example,
    /// The reference, as docs/configuration.md has it
    Reference,
}

#[derive(Subcommand)]
enum Folder {
    /// Whether it can be read, and what is in it: a line
    Check { folder: PathBuf },
    /// Each packet that is not over, each notice owed
    Show { folder: PathBuf },
    /// Copy what can be read of a damaged folder into a new one, and say what is given up
    Salvage { folder: PathBuf, new: PathBuf },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match carry_out(Words::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            words.lines().for_each(|line| eprintln!("sailcart: {line}"));
            ExitCode::FAILURE
        }
    }
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn carry_out(command: Command) -> Result<(), String> {
    let read = |file: File| move || config::read(file.file.clone(), &environment);
    let said = match command {
        Command::Serve(file) => {
            let read = read(file);
            let mandate = read().map_err(|fault| fault.0)?;
            return life::start::serve(mandate, Arc::new(read)).map_err(|fault| fault.to_string());
        }
        Command::Check(file) => config::summary(&read(file)().map_err(|fault| fault.0)?),
        Command::Config(what) => configuration(what)?,
        Command::Store(what) => store(what)?,
        Command::Version => format!("sailcart {}", env!("CARGO_PKG_VERSION")),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Words::command(), "sailcart", &mut std::io::stdout());
            return Ok(());
        }
        Command::Man => {
            let page = clap_mangen::Man::new(Words::command());
            return page.render(&mut std::io::stdout()).map_err(|fault| fault.to_string());
        }
    };
    println!("{}", said.trim_end());
    Ok(())
}

fn configuration(what: Configuration) -> Result<String, String> {
    match what {
        Configuration::Show(file) => config::in_force(file.file, &environment).map_err(|fault| fault.0),
        Configuration::Schema => {
            serde_json::to_string_pretty(&config::show::schema()).map_err(|e| e.to_string())
        }
        Configuration::Example => Ok(config::show::EXAMPLE.to_owned()),
        Configuration::Reference => Ok(config::show::reference()),
    }
}

fn store(what: Folder) -> Result<String, String> {
    match what {
        Folder::Check { folder } => inspect::check(&folder),
        Folder::Show { folder } => inspect::show(&folder),
        Folder::Salvage { folder, new } => inspect::salvage(&folder, &new),
    }
}
