//! `camphorwalk explain`: finds the log lines of a request or program.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::Value;

use crate::exit::Exit;
use crate::output;

/// The fields of a log line that are compared with the requested id.
const ID_FIELDS: [&str; 3] = ["request", "program", "previous"];

/// Prints what hosts logged of a request or a program, in the order of time. Files are the hosts'
/// standard output; what stands before the JSON of a line is kept, and lines that are not JSON
/// are passed over. Exit codes: 0 something was found, 1 nothing was, 2 usage.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "explain",
    example = "Follow a request:\n  {command_name} 9c41d07be2a35f68 host-1.log host-2.log"
)]
pub struct Explain {
    /// the id of a request or a program
    #[argh(positional)]
    id: String,

    /// the hosts' logs
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A log line and its time.
struct Line {
    timestamp: Box<str>,
    text: Box<str>,
}

impl Explain {
    /// Runs the command and returns its exit code.
    pub fn run(&self) -> Exit {
        if self.files.is_empty() {
            eprintln!("explain: name the hosts' logs");
            return Exit::Usage;
        }

        let mut lines = Vec::new();
        for file in &self.files {
            match read(file, &self.id) {
                Ok(found) => lines.extend(found),
                Err(e) => {
                    eprintln!("explain: cannot read {}: {e}", file.display());
                    return Exit::Refused;
                }
            }
        }

        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        lines.iter().for_each(|line| output::line(&line.text));
        if lines.is_empty() { Exit::Refused } else { Exit::Done }
    }
}

fn read(file: &Path, id: &str) -> std::io::Result<Vec<Line>> {
    let bytes = std::fs::read(file)?;
    let text = String::from_utf8_lossy(&bytes);

    Ok(text.lines().filter_map(|line| parse_if_matching(line, id)).collect())
}

/// Returns the line if one of its id fields has this id. Text before the JSON object is kept.
fn parse_if_matching(line: &str, id: &str) -> Option<Line> {
    let json: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let matches = ID_FIELDS.iter().any(|name| json[name].as_str() == Some(id));

    matches.then(|| Line {
        timestamp: json["timestamp"].as_str().unwrap_or_default().into(),
        text: line.into(),
    })
}
