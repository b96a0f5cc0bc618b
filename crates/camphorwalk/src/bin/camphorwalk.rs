//! The operators' command.

use std::process::ExitCode;

use argh::FromArgs;
use camphorwalk::commands::demo::Demo;
use camphorwalk::exit::Exit;

/// Operates a camphorwalk deployment.
#[derive(FromArgs, Debug)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    camphorwalk::logs::start(false, "warn");

    let exit: Exit = match args.command {
        Command::Demo(demo) => demo.run().await,
    };

    exit.into()
}
