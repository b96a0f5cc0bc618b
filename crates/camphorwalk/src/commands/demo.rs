//! `camphorwalk demo`: runs the demo.

use argh::FromArgs;

use crate::demo::{run, serve};
use crate::exit::Exit;

/// Runs the whole path in one process on loopback: stand-ins for the platform, two engines
/// and a service, three hosts in two availability zones, and one program from its opening to
/// its end.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "demo",
    example = "Run one program and check what came of it:\n  {command_name}",
    example = "Stay up and print where everything listens:\n  {command_name} --serve"
)]
pub struct Demo {
    /// stay up; the first line of output is JSON and says where everything listens
    #[argh(switch)]
    serve: bool,
}

impl Demo {
    /// Runs the command and returns its exit code.
    pub async fn run(self) -> Exit {
        let end = if self.serve { serve().await } else { run().await };

        match end {
            Ok(()) => Exit::Done,
            Err(e) => {
                eprintln!("demo: {e:#}");
                Exit::Refused
            }
        }
    }
}
