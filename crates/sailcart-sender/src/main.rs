//! The command line of `sailcart`: parses the arguments and runs the command.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{CommandFactory, Parser, Subcommand};
use sailcart_sender::{config, inspect, life, log_format};

/// A dispatcher of notifications to outside receivers.
#[derive(Parser)]
#[command(name = "sailcart", version, after_help = "RUST_LOG sets the log filter (default: info).")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a sender until SIGTERM or SIGINT
    Serve(ConfigFile),
    /// Check the configuration and print a summary of it
    Check(ConfigFile),
    /// Show the configuration and its documentation
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Inspect a state folder, also while its sender is running
    #[command(subcommand)]
    Store(StoreCommand),
    /// Print the version
    Version,
    /// Print a completion script for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
}

#[derive(clap::Args)]
struct ConfigFile {
    /// Path of sailcart.toml, or of the platform's JSON. ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and
    /// ROUTER_STATE override its values
    #[arg(long = "config", env = "ROUTER_CONFIG", value_name = "FILE")]
    file: Option<PathBuf>,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the effective values and the origin of each
    Show(ConfigFile),
    /// Print a JSON Schema of sailcart.toml
    Schema,
    /// Print an example of sailcart.toml to start from
    Example,
    /// Print the reference (the content of docs/configuration.md)
    Reference,
}

#[derive(Subcommand)]
enum StoreCommand {
    /// Check whether the folder can be read, and print a one-line summary
    Check { folder: PathBuf },
    /// Print each packet that is not completed and each pending notice
    Show { folder: PathBuf },
    /// Copy the readable records of a damaged folder into a new one, and report what is lost
    Salvage { folder: PathBuf, new: PathBuf },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(log_format::write_line)
        .init();
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            message.lines().for_each(|line| eprintln!("sailcart: {line}"));
            ExitCode::FAILURE
        }
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn run(command: Command) -> Result<(), String> {
    let read = |file: ConfigFile| move || config::read(file.file.clone(), &environment_variable);
    let output = match command {
        Command::Serve(file) => {
            let read = read(file);
            let sender_config = read().map_err(|error| error.0)?;
            return life::start::serve(sender_config, Arc::new(read)).map_err(|error| error.to_string());
        }
        Command::Check(file) => config::summary(&read(file)().map_err(|error| error.0)?),
        Command::Config(subcommand) => run_config(subcommand)?,
        Command::Store(subcommand) => run_store(subcommand)?,
        Command::Version => format!("sailcart {}", env!("CARGO_PKG_VERSION")),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "sailcart", &mut std::io::stdout());
            return Ok(());
        }
        Command::Man => {
            let page = clap_mangen::Man::new(Cli::command());
            return page.render(&mut std::io::stdout()).map_err(|error| error.to_string());
        }
    };
    println!("{}", output.trim_end());
    Ok(())
}

fn run_config(command: ConfigCommand) -> Result<String, String> {
    match command {
        ConfigCommand::Show(file) => {
            config::show_effective(file.file, &environment_variable).map_err(|error| error.0)
        }
        ConfigCommand::Schema => {
            serde_json::to_string_pretty(&config::show::schema()).map_err(|error| error.to_string())
        }
        ConfigCommand::Example => Ok(config::show::EXAMPLE.to_owned()),
        ConfigCommand::Reference => Ok(config::show::reference()),
    }
}

fn run_store(command: StoreCommand) -> Result<String, String> {
    match command {
        StoreCommand::Check { folder } => inspect::check(&folder),
        StoreCommand::Show { folder } => inspect::show(&folder),
        StoreCommand::Salvage { folder, new } => inspect::salvage(&folder, &new),
    }
}
