//! The configuration in force, and the config row of the store that it was read from.

use std::io::Read;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{ConfigStamp, FleetConfig, StorePosition};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use log::{error, info, warn};
use tokio::sync::watch;

use crate::edge::{Protocol, StoreRow};
use crate::process::quotas::Quotas;
use crate::process::scheduler::Scheduler;

/// The key of the config row among the rows that VMs send each other.
const CONFIG_KEY: &str = "config";

/// The configuration in force, which is only ever replaced by a newer one.
pub(crate) struct ActiveFleet {
    protocol: Arc<dyn Protocol>,
    quotas: Arc<Quotas>,
    scheduler: Arc<Scheduler>,
    fleet: watch::Sender<Option<Arc<FleetConfig>>>,
    row: Mutex<Option<ConfigRow>>,
    /// The config row as other VMs get it, with its version; made when a VM first needs it.
    packed: Mutex<(StorePosition, Vec<u8>)>,
}

/// The row of the configuration in force.
struct ConfigRow {
    row: StoreRow,
    stamp: ConfigStamp,
    /// The newest older configuration that was shown since; logged once.
    older: ConfigStamp,
}

/// The largest config row that another VM may send, in bytes.
const MAX_ROW_BYTES: u64 = 8 << 20;

impl ActiveFleet {
    pub(crate) fn new(
        protocol: Arc<dyn Protocol>,
        quotas: Arc<Quotas>,
        scheduler: Arc<Scheduler>,
    ) -> Self {
        Self {
            protocol,
            quotas,
            scheduler,
            fleet: watch::Sender::new(None),
            row: Mutex::default(),
            packed: Mutex::default(),
        }
    }

    /// Returns the configuration in force; `None` before the first.
    pub(crate) fn fleet(&self) -> Option<Arc<FleetConfig>> {
        self.fleet.borrow().clone()
    }

    /// Returns the config row that the configuration in force was read from, deflated for another
    /// VM; empty before the first configuration.
    ///
    /// Rows are large and much alike, and every VM of a domain gets them through its relays' links.
    pub(crate) fn packed_row(&self) -> Vec<u8> {
        let row = self.config_row().as_ref().map(|active| active.row.clone());
        let Some(StoreRow { value: Some(value), version, .. }) = row else { return Vec::new() };
        let mut packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        if packed.0 != version {
            let mut encoder = DeflateEncoder::new(&value[..], Compression::fast());
            let mut bytes = Vec::new();
            if let Err(error) = encoder.read_to_end(&mut bytes) {
                warn!(row:% = version, error:%; "a config row cannot be packed for other VMs");
                return Vec::new();
            }
            *packed = (version, bytes);
        }
        packed.1.clone()
    }

    /// Applies a packed config row that another VM sent; returns whether it is in force now.
    pub(crate) fn offer_packed(&self, packed: &[u8], version: StorePosition) -> bool {
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(packed).take(MAX_ROW_BYTES);
        if let Err(error) = decoder.read_to_end(&mut value) {
            warn!(row:% = version, error:%; "a config row of another VM cannot be unpacked");
            return false;
        }
        let row = StoreRow { key: CONFIG_KEY.into(), value: Some(value.into()), version };
        self.offer(&row, "another VM")
    }

    /// Returns the config row's position in the store; the start before the first.
    pub(crate) fn row_version(&self) -> StorePosition {
        self.stamp().row
    }

    /// Returns which configuration is in force.
    pub(crate) fn stamp(&self) -> ConfigStamp {
        self.config_row().as_ref().map_or(ConfigStamp::NONE, |active| active.stamp)
    }

    /// Waits until a configuration is in force, but no longer than `timeout`; returns whether one
    /// is.
    pub(crate) async fn wait_known(&self, timeout: Duration) -> bool {
        let mut fleet = self.fleet.subscribe();
        // The sender lives as long as `self`.
        tokio::time::timeout(timeout, fleet.wait_for(Option::is_some)).await.is_ok()
    }

    fn config_row(&self) -> MutexGuard<'_, Option<ConfigRow>> {
        self.row.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a config row's configuration in force if it is newer; returns whether it was.
    ///
    /// The operator's version decides which one is newer, then the row's position: a configuration
    /// that the operator has written again under another position replaces its former row.
    ///
    /// `from` says in logs where the row came from.
    pub(crate) fn offer(&self, row: &StoreRow, from: &'static str) -> bool {
        let Some(read) = self.protocol.read_config(row) else { return false };
        let fleet = match read {
            Ok(fleet) => fleet,
            Err(why) => {
                error!(row:% = row.version, from, why:%;
                    "a configuration cannot be read and is ignored");
                return false;
            }
        };
        let stamp = ConfigStamp { version: fleet.version, row: row.version };
        let mut active = self.config_row();
        if let Some(active) = active.as_mut() {
            if stamp <= active.stamp {
                if stamp.version < active.stamp.version && stamp > active.older {
                    warn!(version = stamp.version, row:% = stamp.row, from,
                        known = active.stamp.version, known_row:% = active.stamp.row;
                        "an older configuration is ignored");
                    active.older = stamp;
                }
                return false;
            }
            if stamp.version == active.stamp.version && row.value == active.row.value {
                info!(version = stamp.version, row:% = stamp.row, former_row:% = active.stamp.row,
                    from; "the configuration in force was written again");
                (active.row, active.stamp) = (row.clone(), stamp);
                return false;
            }
        }
        let former = active.as_ref().map_or(ConfigStamp::NONE, |active| active.stamp);
        *active = Some(ConfigRow { row: row.clone(), stamp, older: ConfigStamp::NONE });
        info!(version = fleet.version, former = former.version, row:% = row.version,
            former_row:% = former.row, from,
            routes = fleet.hosts.values().map(Vec::len).sum::<usize>(),
            workspaces = fleet.workspaces.len(); "a configuration is in force");
        self.quotas.apply_config(&fleet);
        self.scheduler.apply_config(&fleet);
        self.fleet.send_replace(Some(Arc::new(fleet)));
        true
    }
}
