//! The demo: runs hosts, engines, a service and the platform stand-in in one process on loopback
//! and sends one program through them.

mod fleet;
mod walkthrough;

use std::io::Write as _;

use anyhow::Result;

pub(crate) use self::fleet::{Fleet, TEMPLATE};

/// Runs one program from its opening to its end. Returns an error if any answer or side effect is
/// not as expected.
pub async fn run() -> Result<()> {
    println!("demo: starting a platform, two engines, a service and three hosts");
    let fleet = Fleet::start().await?;
    walkthrough::run(&fleet).await?;
    println!("demo: all is as promised");

    Ok(())
}

/// Starts the fleet, prints the addresses of its servers as one JSON line and runs until
/// interrupted by SIGINT.
pub async fn serve() -> Result<()> {
    let fleet = Fleet::start().await?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", fleet.addresses())?;
    out.flush()?;
    drop(out);

    tokio::signal::ctrl_c().await?;

    Ok(())
}
