//! The demo: the whole path in one process on loopback.

mod fleet;
mod story;

use std::io::Write as _;

use anyhow::Result;

pub(crate) use self::fleet::{Fleet, TEMPLATE};

/// Runs one program from its opening to its end, and fails if anything is not as promised.
pub async fn run() -> Result<()> {
    println!("demo: starting a platform, two engines, a service and three hosts");
    let fleet = Fleet::start().await?;
    story::tell(&fleet).await?;
    println!("demo: all is as promised");

    Ok(())
}

/// Starts the fleet, prints where everything listens and stays up until interrupted.
pub async fn serve() -> Result<()> {
    let fleet = Fleet::start().await?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", fleet.addresses())?;
    out.flush()?;
    drop(out);

    tokio::signal::ctrl_c().await?;

    Ok(())
}
