//! The command line that runs one stand-in in its own process.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, bail};
use argh::FromArgs;
use serde::Serialize;

use crate::{Engine, EngineOptions, Platform, PlatformOptions, Service, ServiceOptions};

/// Runs a stand-in for the platform, a model engine or a plain service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "standin")]
pub struct Args {
    /// which one
    #[argh(subcommand)]
    pub command: Command,
}

/// The stand-ins.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// The platform.
    Platform(PlatformArgs),
    /// An engine.
    Engine(EngineArgs),
    /// A service.
    Service(ServiceArgs),
}

/// Runs a platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// where to listen; port 0 takes any free port
    #[argh(option)]
    listen: SocketAddr,
}

/// Runs a model engine.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// where to listen; port 0 takes any free port
    #[argh(option)]
    listen: SocketAddr,
    /// most requests that run at once
    #[argh(option)]
    batch: Option<usize>,
    /// most tokens that stay in the cache
    #[argh(option)]
    cache_tokens: Option<u64>,
    /// milliseconds between two tokens
    #[argh(option)]
    token_interval_ms: Option<u64>,
    /// tokens of a prompt read a second; 0 for at once
    #[argh(option)]
    prefill_tokens_per_second: Option<u64>,
    /// milliseconds by which load lags
    #[argh(option)]
    load_lag_ms: Option<u64>,
    /// milliseconds by which events are late
    #[argh(option)]
    event_delay_ms: Option<u64>,
    /// every n-th event is lost; 0 for none
    #[argh(option)]
    event_loss: Option<u64>,
    /// obey orders with an old fence
    #[argh(switch)]
    ignores_fencing: bool,
    /// text that brings the engine down
    #[argh(option)]
    crash_mark: Option<String>,
    /// seed of the outputs
    #[argh(option)]
    seed: Option<u64>,
}

/// Runs a plain service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// where to listen; port 0 takes any free port
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds that an operation takes
    #[argh(option, default = "0")]
    delay_ms: u64,
}

/// The JSON line that is printed when the stand-in is ready.
#[derive(Serialize)]
struct Ready {
    /// The address at which the stand-in listens.
    address: SocketAddr,
}

/// Runs a stand-in until its server has stopped. Returns an error if an engine has crashed.
pub async fn run(args: Args) -> Result<()> {
    match args.command {
        Command::Platform(args) => {
            let platform = Platform::start(args.listen, PlatformOptions::default()).await?;
            print_ready(platform.address())?;
            platform.wait_closed().await;
        }
        Command::Engine(args) => {
            let engine = Engine::start(args.listen, engine_options(&args)).await?;
            print_ready(engine.address())?;
            engine.wait_closed().await;
            bail!("engine: crashed");
        }
        Command::Service(args) => {
            let options = ServiceOptions {
                delay: Duration::from_millis(args.delay_ms),
                ..Default::default()
            };
            let service = Service::start(args.listen, options).await?;
            print_ready(service.address())?;
            service.wait_closed().await;
        }
    }

    Ok(())
}

/// Prints the readiness line.
fn print_ready(address: SocketAddr) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", serde_json::to_string(&Ready { address })?)?;

    Ok(stdout.flush()?)
}

/// Converts arguments to options. Arguments that are not given keep their default.
fn engine_options(args: &EngineArgs) -> EngineOptions {
    let defaults = EngineOptions::default();
    let millis = |given: Option<u64>, default| given.map_or(default, Duration::from_millis);

    EngineOptions {
        batch: args.batch.unwrap_or(defaults.batch),
        cache_tokens: args.cache_tokens.unwrap_or(defaults.cache_tokens),
        token_interval: millis(args.token_interval_ms, defaults.token_interval),
        prefill_tokens_per_second: args
            .prefill_tokens_per_second
            .unwrap_or(defaults.prefill_tokens_per_second),
        load_lag: millis(args.load_lag_ms, defaults.load_lag),
        event_delay: millis(args.event_delay_ms, defaults.event_delay),
        event_loss: args.event_loss.unwrap_or(defaults.event_loss),
        checks_fencing: !args.ignores_fencing,
        crash_mark: args.crash_mark.as_deref().map(Into::into),
        seed: args.seed.unwrap_or(defaults.seed),
    }
}
