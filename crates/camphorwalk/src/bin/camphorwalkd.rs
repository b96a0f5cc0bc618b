//! The daemon that runs an entry host.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context as _, Result};
use argh::FromArgs;
use camphorwalk::exit::Exit;
use camphorwalk::logs;
use camphorwalk::node::{Error, Host, Secrets, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry host. When it is ready to listen it prints one JSON line with its addresses.
/// SIGTERM and SIGINT have it leave: it finishes what runs, hands back what it holds and ends.
/// Without --settings it runs on the users' platform, whose settings file it finds by the
/// environment.
#[derive(FromArgs, Debug)]
#[argh(example = "Check the settings:\n  {command_name} --settings a1.json --check")]
#[argh(example = "Check the settings file that the platform wrote:\n  {command_name} --check")]
struct Args {
    /// the settings, a JSON file
    #[argh(option)]
    settings: Option<PathBuf>,

    /// read the settings, report every fault and end
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = camphorwalk::arguments::from_env();

    let Some(settings) = &args.settings else {
        return camphorwalk::platform_host::main(args.check).into();
    };

    let exit = match load(settings) {
        Err(e) => {
            report(&e);
            Exit::Refused
        }
        Ok(_) if args.check => Exit::Done,
        Ok((settings, secrets)) => run(settings, secrets),
    };

    exit.into()
}

fn load(path: &Path) -> camphorwalk::node::Result<(Settings, Secrets)> {
    let settings = Settings::load(path)?;
    let secrets = Secrets::load(&settings)?;

    Ok((settings, secrets))
}

/// Prints an error to standard error. Each fault of the settings goes on its own line.
fn report(e: &Error) {
    match e {
        Error::Settings(faults) => faults.iter().for_each(|fault| eprintln!("settings: {fault}")),
        e => eprintln!("camphorwalkd: {e}"),
    }
}

fn run(settings: Settings, secrets: Secrets) -> Exit {
    logs::start(settings.log.json, &settings.log.level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build();

    let end = runtime
        .context("cannot start the traffic threads")
        .and_then(|runtime| runtime.block_on(serve(settings, secrets)));
    match end {
        Ok(()) => Exit::Done,
        Err(e) => {
            tracing::error!("host: {e:#}");
            Exit::Unreachable
        }
    }
}

async fn serve(settings: Settings, secrets: Secrets) -> Result<()> {
    let name = settings.name.clone();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let host = Host::start(settings, secrets).await?;
    announce(&name, &host)?;

    tokio::select! {
        _ = terminate.recv() => tracing::info!("host: received SIGTERM, shutting down"),
        _ = interrupt.recv() => tracing::info!("host: received SIGINT, shutting down"),
        () = host.wait_for_phase(camphorwalk::node::host::Phase::Leaving) => {
            tracing::info!("host: drained by an operator, shutting down");
        }
    }
    host.drain().await;

    Ok(())
}

fn announce(name: &str, host: &Host) -> Result<()> {
    let line = serde_json::json!({
        "name": name,
        "callers": host.caller_address(),
        "operators": host.operator_address(),
        "peers": host.peer_address(),
    });
    let mut out = std::io::stdout().lock();

    writeln!(out, "{line}")?;
    Ok(out.flush()?)
}
