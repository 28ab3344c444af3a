//! Reads the head of the configuration from the platform and installs new versions.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{CompiledConfig, ConfigHead, HeadChange};
use log::info;
use rand::RngExt;

use crate::process::vm::AppState;
use crate::version::publishing::{fetch_config, read_head_row};

/// The number of VMs above which each of them reads the head less often.
const FULL_RATE_VMS: usize = 200;
/// How often the head is read, on average, if there are few VMs.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the head periodically until the process ends.
pub(crate) async fn follow(shared: Arc<AppState>) {
    loop {
        let read_at = shared.now();
        if let Ok(Some((_, row))) = read_head_row(shared.platform.as_ref()).await {
            on_head(&shared, row.head, read_at).await;
        }
        // Many VMs together stay within the platform's limit on reads.
        let vms = shared.peers.listed().len().max(1) as u32;
        let factor = (vms as f64 / FULL_RATE_VMS as f64).max(1.0);
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(factor * jitter)).await;
    }
}

/// Handles a head that was the newest at the time `seen`; a newer configuration than the active one
/// is fetched and installed.
pub(crate) async fn on_head(shared: &Arc<AppState>, head: ConfigHead, seen: Duration) {
    let change = shared.active_config().on_head(&head, seen);
    let HeadChange::Fetch(head) = change else { return };
    let known = shared.config();
    let known = known.as_ref().map(|known| &known.config);
    let Ok(config) = fetch_config(shared.platform.as_ref(), &head, known).await else { return };
    install(shared, head, config.into(), Some(seen));
}

/// Makes a configuration the active one, unless the active one is at least as new.
///
/// `seen` is a time at which its head was the newest, if one is known.
pub(crate) fn install(
    shared: &Arc<AppState>,
    head: ConfigHead,
    config: Arc<CompiledConfig>,
    seen: Option<Duration>,
) {
    let version = head.version;
    if !shared.active_config().install(head, config.clone(), seen) {
        return;
    }
    shared.apply_config(&config);
    shared.members().describe(|member| member.version = version);
    shared.versions.send_replace(version);
    info!(vm = shared.settings.vm.as_str(), version = version; "configuration in force");
}
