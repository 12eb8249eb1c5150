//! Adapter that lets the simulator drive sailcart's decisions over standard input and output. Each line of
//! input is a batch of events for any number of senders; each line of output contains the actions that the
//! senders decided on.
//!
//! The names in the messages are those of the simulator.

mod instance;
mod message;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use message::Message;
use sailcart_terms::{ValueError, member, read_text};
use serde_json::{Value, json};

/// The state of this process.
#[derive(Default)]
struct Adapter {
    instances: HashMap<i64, Instance>,
    /// The destination lists that events refer to, by their number (`sheet`).
    lists: BTreeMap<u64, Vec<instance::Entry>>,
}

impl Adapter {
    /// Handles one line of input and returns the line to output.
    fn handle_batch(&mut self, line: &str) -> Result<Value, ValueError> {
        let batch: Value = serde_json::from_str(line).map_err(|error| format!("expected JSON: {error}"))?;
        let wall_time = sailcart_terms::read_milliseconds(member(&batch, "wall_ms")?, "wall_ms")?;
        let groups = member(&batch, "groups")?.as_array().ok_or("expected an array in groups")?;
        let mut replies = Vec::with_capacity(groups.len());
        for group in groups {
            let id = member(group, "sender_id")?.as_i64().ok_or("expected a whole number in sender_id")?;
            let input = member(group, "input")?.as_array().ok_or("expected an array in input")?;
            for event in input {
                self.handle_event(id, wall_time, &Message::new(event)?)?;
            }
            if let Some(instance) = self.instances.get_mut(&id) {
                let actions = instance.decide(wall_time);
                if !actions.is_empty() {
                    replies.push(json!({"sender_id": id, "out": actions}));
                }
            }
        }
        Ok(json!({ "groups": replies }))
    }

    fn handle_event(
        &mut self,
        id: i64,
        wall_time: std::time::Duration,
        message: &Message,
    ) -> Result<(), ValueError> {
        match message.name {
            "Init" => {
                let seed = message.unsigned(0, "prng")?;
                self.instances.insert(id, Instance::new(wall_time, seed, message.required(1, "env")?)?);
                return Ok(());
            }
            "Teardown" => {
                self.instances.remove(&id);
                return Ok(());
            }
            "DefineList" => {
                let entries = message
                    .list(1, "rows_in")?
                    .iter()
                    .map(instance::Entry::read)
                    .collect::<Result<_, _>>()?;
                self.lists.insert(message.unsigned(0, "sheet")?, entries);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| format!("expected Init before {}", message.name))?;
        match message.name {
            "Update" => match read_text(message.required(0, "form")?, "form")? {
                "FAILED" => {
                    instance.list_request_failed(wall_time);
                    Ok(())
                }
                form @ ("INCREMENTAL" | "FULL" | "SAVED") => {
                    let number = message.unsigned(2, "sheet")?;
                    let entries =
                        self.lists.get(&number).ok_or("expected the number of a DefineList in sheet")?;
                    instance.update_list(wall_time, form != "INCREMENTAL", entries)
                }
                other => {
                    Err(format!("expected FAILED, INCREMENTAL, FULL or SAVED in form, not {other}").into())
                }
            },
            "Demand" => instance.submit(wall_time, message),
            "Verdict" => instance.complete_dispatch(wall_time, message),
            "Dropped" => instance.withdraw(wall_time, message),
            // No action needed: every batch ends with a round of decisions, and this adapter doesn't support
            // streams, probes and peers.
            "Ring" | "Accepted" | "Pong" | "Memo" => Ok(()),
            other => Err(format!("expected a known event, not {other}").into()),
        }
    }
}

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = match line {
            Ok(line) => adapter.handle_batch(&line),
            Err(error) => Err(format!("expected UTF-8: {error}").into()),
        };
        match reply {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("line {}: {}", number + 1, error.0);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
