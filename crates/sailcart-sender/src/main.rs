//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};
use sailcart_sender::{config, inspect, life};

const USAGE: &str = "\
usage: sailcart COMMAND [--config FILE]
       sailcart store check|show FOLDER
       sailcart store salvage FOLDER NEW

  serve     run a sender until SIGTERM
  check     read and check the configuration, and say how it was understood
  store     what stands in a state folder, also of a sender that runs; salvage copies what can be read
            of a damaged one into a new folder, and says what it gives up
  version   print the version

The configuration is the file that --config or ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN,
ROUTER_DISCOVERY and ROUTER_STATE go before what it says. RUST_LOG sets what is logged (info).";

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("sailcart: {words}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let (mut command, mut file, mut rest) = (None, None, Vec::new());
    let mut words = Parser::from_env();
    while let Some(word) = words.next().map_err(|e| e.to_string())? {
        match word {
            Arg::Long("config") => file = Some(PathBuf::from(words.value().map_err(|e| e.to_string())?)),
            Arg::Long("help") | Arg::Short('h') => command = Some("help".to_owned()),
            Arg::Long("version") | Arg::Short('V') => command = Some("version".to_owned()),
            Arg::Value(word) if command.is_none() => {
                command = Some(word.string().map_err(|e| e.to_string())?)
            }
            Arg::Value(word) if command.as_deref() == Some("store") => rest.push(PathBuf::from(word)),
            other => return Err(format!("{}\n{USAGE}", other.unexpected())),
        }
    }
    let read = move || config::read(file.clone(), &|name| std::env::var(name).ok());
    match command.as_deref() {
        Some("serve") => {
            let mandate = read().map_err(|fault| fault.0)?;
            life::start::serve(mandate, Box::new(read)).map_err(|fault| fault.to_string())
        }
        Some("check") => {
            println!("{}", config::summary(&read().map_err(|fault| fault.0)?));
            Ok(())
        }
        Some("store") => {
            let (what, folders) = rest.split_first().ok_or(USAGE)?;
            let said = match (what.to_str(), folders) {
                (Some("check"), [folder]) => inspect::check(folder),
                (Some("show"), [folder]) => inspect::show(folder),
                (Some("salvage"), [folder, new]) => inspect::salvage(folder, new),
                _ => return Err(USAGE.to_owned()),
            };
            println!("{}", said?);
            Ok(())
        }
        Some("version") => {
            println!("sailcart {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            println!("{USAGE}");
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other}\n{USAGE}")),
        None => Err(USAGE.to_owned()),
    }
}
