//! The command-line tool for operators.

use std::process::ExitCode;

use argh::FromArgs;
use camphorwalk::commands::apply::Apply;
use camphorwalk::commands::bench::Bench;
use camphorwalk::commands::check::Check;
use camphorwalk::commands::demo::Demo;
use camphorwalk::commands::diff::Diff;
use camphorwalk::commands::drain::Drain;
use camphorwalk::commands::explain::Explain;
use camphorwalk::commands::status::Status;
use camphorwalk::commands::withdraw::Withdraw;
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
    Apply(Apply),
    Bench(Bench),
    Check(Check),
    Demo(Demo),
    Diff(Diff),
    Drain(Drain),
    Explain(Explain),
    Status(Status),
    Withdraw(Withdraw),
    Standin(camphorwalk_standin::program::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = camphorwalk::arguments::from_env();
    camphorwalk::logs::start(false, "warn");

    let exit: Exit = match args.command {
        Command::Apply(apply) => apply.run().await,
        Command::Bench(bench) => bench.run().await,
        Command::Check(check) => check.run(),
        Command::Demo(demo) => demo.run().await,
        Command::Diff(diff) => diff.run().await,
        Command::Drain(drain) => drain.run().await,
        Command::Explain(explain) => explain.run(),
        Command::Status(status) => status.run().await,
        Command::Withdraw(withdraw) => withdraw.run().await,
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
