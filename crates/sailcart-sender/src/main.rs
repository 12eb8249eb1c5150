//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};
use sailcart_sender::{config, life};

const USAGE: &str = "\
usage: sailcart COMMAND [--config FILE]

  serve     run a sender until SIGTERM
  check     read and check the configuration, and say how it was understood
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
    let (mut command, mut file) = (None, None);
    let mut words = Parser::from_env();
    while let Some(word) = words.next().map_err(|e| e.to_string())? {
        match word {
            Arg::Long("config") => file = Some(PathBuf::from(words.value().map_err(|e| e.to_string())?)),
            Arg::Long("help") | Arg::Short('h') => command = Some("help".to_owned()),
            Arg::Long("version") | Arg::Short('V') => command = Some("version".to_owned()),
            Arg::Value(word) if command.is_none() => {
                command = Some(word.string().map_err(|e| e.to_string())?)
            }
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
