//! Runs one stand-in in its own process.

use argh::FromArgs;
use camphorwalk_standin::program::{Args, Command, run};

/// Runs a stand-in for the platform, a model engine or a plain service.
#[derive(FromArgs, Debug)]
struct Top {
    #[argh(subcommand)]
    command: Command,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let Top { command } = argh::from_env();

    run(Args { command }).await
}
