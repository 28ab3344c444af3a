//! The command `serve`: runs one entry VM until SIGTERM or SIGINT.

use bamboocourse_serve::{EntryVm, Settings};
use log::info;

use crate::Exit;
use crate::args::ServeOptions;
use crate::signals::{EarlySignals, Request, Signals};

/// Runs an entry VM until SIGTERM or SIGINT, then drains it: running requests are finished.
pub(crate) fn serve(options: &ServeOptions) -> Exit {
    let signals = match EarlySignals::record() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot handle signals: {error}");
            return Exit::Failure;
        }
    };
    let Some(settings) = read_settings(options) else { return Exit::Usage };
    if let Err(errors) = settings.check() {
        for error in errors {
            eprintln!("{error}");
        }
        return Exit::Usage;
    }
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread().enable_all().build() else {
        return Exit::Failure;
    };
    match runtime.block_on(run(settings, signals)) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("cannot serve: {error}");
            Exit::Failure
        }
    }
}

async fn run(settings: Settings, signals: EarlySignals) -> std::io::Result<()> {
    let mut signals = Signals::new(signals)?;
    let vm = EntryVm::start(settings).await?;
    while signals.next().await == Request::Reload {
        info!("the settings are flags; they apply until the process ends");
    }
    vm.drain().await;
    Ok(())
}

/// Returns the settings that the options give; `None` if an address is missing.
fn read_settings(options: &ServeOptions) -> Option<Settings> {
    let addresses = (options.listen, options.operator, options.peer, options.platform);
    let (Some(listen), Some(operator), Some(peer), Some(platform)) = addresses else {
        return None;
    };
    let mut settings =
        Settings::new(&options.vm, &options.domain, listen, operator, peer, platform);
    settings.local = options.local;
    settings.grace = options.grace.unwrap_or(settings.grace);
    settings.queue_wait = options.queue_wait.unwrap_or(settings.queue_wait);
    settings.header_wait = options.header_wait.unwrap_or(settings.header_wait);
    settings.endpoint_wait = options.endpoint_wait.unwrap_or(settings.endpoint_wait);
    settings.body_limit = options.body_limit.unwrap_or(settings.body_limit);
    Some(settings)
}
