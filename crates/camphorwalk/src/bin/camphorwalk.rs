//! The operators' command.

use std::process::ExitCode;

use argh::FromArgs;
use camphorwalk::commands::bench::Bench;
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
    Bench(Bench),
    Demo(Demo),
    Standin(camphorwalk_standin::program::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    camphorwalk::logs::start(false, "warn");

    let exit: Exit = match args.command {
        Command::Bench(bench) => bench.run().await,
        Command::Demo(demo) => demo.run().await,
        Command::Standin(args) => match camphorwalk_standin::program::run(args).await {
            Ok(()) => Exit::Done,
            Err(e) => {
                eprintln!("standin: {e:#}");
                Exit::Refused
            }
        },
    };

    exit.into()
}
