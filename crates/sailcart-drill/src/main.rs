//! The bench's wire on standard input and output, one sender for each instance.

mod instance;
mod row;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use row::Row;
use sailcart_terms::{Fault, member, take_text};
use serde_json::{Value, json};

/// All that this process hosts.
#[derive(Default)]
struct Drill {
    instances: HashMap<i64, Instance>,
    sheets: BTreeMap<u64, Vec<instance::Entry>>,
}

impl Drill {
    /// Answers one line of input.
    fn batch(&mut self, line: &str) -> Result<Value, Fault> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("expected JSON: {e}"))?;
        let wall = sailcart_terms::span(member(&batch, "wall_ms")?, "wall_ms")?;
        let groups = member(&batch, "groups")?.as_array().ok_or("expected an array in groups")?;
        let mut answers = Vec::with_capacity(groups.len());
        for group in groups {
            let id = member(group, "sender_id")?.as_i64().ok_or("expected a whole number in sender_id")?;
            let input = member(group, "input")?.as_array().ok_or("expected an array in input")?;
            for event in input {
                self.event(id, wall, &Row::new(event)?)?;
            }
            if let Some(instance) = self.instances.get_mut(&id) {
                let out = instance.decide(wall);
                if !out.is_empty() {
                    answers.push(json!({"sender_id": id, "out": out}));
                }
            }
        }
        Ok(json!({ "groups": answers }))
    }

    fn event(&mut self, id: i64, wall: std::time::Duration, row: &Row) -> Result<(), Fault> {
        match row.name {
            "Init" => {
                let seed = row.whole(0, "prng")?;
                self.instances.insert(id, Instance::new(wall, seed, row.at(1, "env")?)?);
                return Ok(());
            }
            "Teardown" => {
                self.instances.remove(&id);
                return Ok(());
            }
            "DefineList" => {
                let entries =
                    row.list(1, "rows_in")?.iter().map(instance::Entry::read).collect::<Result<_, _>>()?;
                self.sheets.insert(row.whole(0, "sheet")?, entries);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| format!("expected Init before {}", row.name))?;
        match row.name {
            "Update" => match take_text(row.at(0, "form")?, "form")? {
                "FAILED" => {
                    instance.list_failed(wall);
                    Ok(())
                }
                form @ ("INCREMENTAL" | "FULL" | "SAVED") => {
                    let sheet = row.whole(2, "sheet")?;
                    let entries =
                        self.sheets.get(&sheet).ok_or("expected the number of a DefineList in sheet")?;
                    instance.update(wall, form != "INCREMENTAL", entries)
                }
                other => Err(format!("expected a known form of Update, not {other}").into()),
            },
            "Demand" => instance.demand(wall, row),
            "Verdict" => instance.verdict(wall, row),
            "Dropped" => instance.dropped(wall, row),
            // The deciding step follows every round; streams, probes and peers are not part of this family.
            "Ring" | "Accepted" | "Pong" | "Memo" => Ok(()),
            other => Err(format!("expected a known event, not {other}").into()),
        }
    }
}

fn main() -> ExitCode {
    let mut drill = Drill::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = match line {
            Ok(line) => drill.batch(&line),
            Err(e) => Err(format!("expected UTF-8: {e}").into()),
        };
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(fault) => {
                eprintln!("line {}: {}", number + 1, fault.0);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
