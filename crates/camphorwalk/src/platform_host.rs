//! Runs an entry host on the users' platform, with the settings file that the platform writes.

use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result};
use camphorwalk_adapter::settings;
use camphorwalk_core::entry::EntrySettings;
use camphorwalk_entry::Host;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tracing::{error, warn};

use crate::exit::Exit;
use crate::logs;

/// Runs a host until it is asked to stop. With `check`, only validates the settings file.
pub fn main(check: bool) -> Exit {
    let Some(path) = settings::path() else {
        eprintln!("camphorwalkd: neither --settings nor the platform's settings file is given");
        return Exit::Usage;
    };

    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("camphorwalkd: {e:#}");
            return Exit::Refused;
        }
    };
    if check {
        return Exit::Done;
    }

    let guard = logs::start_on_stdout("info");
    let end = run(settings, path);
    let exit = match end {
        Ok(()) => Exit::Done,
        Err(e) => {
            error!("host: {e:#}");
            Exit::Unreachable
        }
    };
    drop(guard);

    exit
}

fn load(path: &Path) -> Result<EntrySettings> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;

    Ok(settings::read(&text)?)
}

fn run(settings: EntrySettings, path: PathBuf) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;

    runtime.block_on(LocalSet::new().run_until(serve(settings, path)))
}

async fn serve(settings: EntrySettings, path: PathBuf) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let host = Host::start(settings).await?;

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match load(&path) {
                Ok(settings) => host.on_settings_reloaded(&settings),
                Err(e) => warn!("host: settings are invalid, keeping the previous ones: {e:#}"),
            },
        }
    }
    host.shut_down().await;

    Ok(())
}
