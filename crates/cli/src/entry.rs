//! The command `entry`: runs one entry VM on a platform until SIGTERM or SIGINT.

use std::path::Path;
use std::sync::Arc;

use bamboocourse_entry::{EntryProcess, Pool};
use bamboocourse_platform::{PlatformProtocol, PlatformSettings, PlatformStore, read_settings};
use log::{error, info};
use tokio::runtime::{Builder, Runtime};

use crate::args::EntryOptions;
use crate::signals::{EarlySignals, Request, Signals};
use crate::{Exit, logs};

/// Runs an entry VM until SIGTERM or SIGINT, then lets it finish its running requests.
pub(crate) fn entry(options: &EntryOptions) -> Exit {
    let signals = match EarlySignals::record() {
        Ok(signals) => signals,
        Err(why) => {
            eprintln!("bamboocourse: signals cannot be handled: {why}");
            return Exit::Failure;
        }
    };
    let Some(path) = &options.settings else {
        eprintln!("bamboocourse: no settings file; pass --settings or set BAMBOOCOURSE_SETTINGS");
        return Exit::Usage;
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(why) => {
            eprintln!("bamboocourse: {}: {why}", path.display());
            return Exit::Usage;
        }
    };
    logs::start();
    info!(commit = env!("BAMBOOCOURSE_COMMIT"), process = std::process::id();
        "the process has started");
    let result = build_runtime(settings.cores)
        .and_then(|runtime| runtime.block_on(run(settings, path, signals)));
    let exit = match result {
        Ok(()) => Exit::Success,
        Err(why) => {
            error!(why:%; "the VM cannot serve");
            eprintln!("bamboocourse: cannot serve: {why}");
            Exit::Failure
        }
    };
    logs::flush();
    exit
}

/// Builds a runtime with a worker thread for each core, or a single-threaded one for one core.
fn build_runtime(cores: usize) -> std::io::Result<Runtime> {
    if cores <= 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread().worker_threads(cores).enable_all().build()
}

async fn run(
    settings: PlatformSettings,
    path: &Path,
    signals: EarlySignals,
) -> std::io::Result<()> {
    let mut signals = Signals::new(signals)?;
    if signals.is_end_asked() {
        info!("the process was told to end before it served");
        return Ok(());
    }
    let pool = Pool::new(settings.entry.local);
    let store = Arc::new(PlatformStore::new(settings.store, pool));
    let vm = EntryProcess::start(settings.entry.clone(), store, Arc::new(PlatformProtocol))?;
    while signals.next().await == Request::Reload {
        reload(&settings, path);
    }
    logs::write_promptly();
    vm.leave().await;
    Ok(())
}

/// Checks a changed settings file and logs the result; new settings apply from the next start on.
fn reload(current: &PlatformSettings, path: &Path) {
    match load_settings(path) {
        Ok(settings) if settings == *current => info!("the settings file is unchanged"),
        Ok(_) => info!("the settings file has changed; its settings apply from the next start on"),
        Err(why) => {
            error!(why:%; "the settings file cannot be loaded; the current settings stay in use")
        }
    }
}

/// Reads and checks a settings file.
fn load_settings(path: &Path) -> Result<PlatformSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    read_settings(&text).map_err(|error| error.to_string())
}
