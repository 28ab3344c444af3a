//! Stores one endpoint's ledger in the table and reconciles it with the state of the endpoint's
//! engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    Endpoint, EndpointId, EndpointRow, Fence, Item, Ledger, OpenOrder, Order, OrderDenied,
};
use tokio::sync::{Mutex, Notify};

use crate::edge::engine::{self, OrderOutcome};
use crate::edge::{Commit, PlatformError};
use crate::process::shares::encode_json;
use crate::process::vm::AppState;
use crate::version::publishing::read_row;

/// How often a ledger is compared with the state of its engine.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// The ledger of one endpoint, which the leader of the domain takes over and keeps in the table.
pub(crate) struct LedgerStore {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    /// Whether the engine rejects orders with an old fencing number.
    pub(crate) fencing: bool,
    /// The accelerator memory of the endpoint, in bytes.
    pub(crate) memory: u64,
    /// `None` until the leader has taken the endpoint over.
    pub(crate) stored: Mutex<Option<StoredLedger>>,
    /// Notified when the engine rejected an order or sent no usable reply to it.
    order_failed: Notify,
}

/// A ledger and the revision of its row.
pub(crate) struct StoredLedger {
    pub(crate) ledger: Ledger,
    pub(crate) revision: u64,
    /// Whether the engine has accepted the fencing number of this leader.
    pub(crate) fenced: bool,
}

impl LedgerStore {
    /// Creates the store for an endpoint that has not been taken over yet.
    pub(crate) fn new(name: &EndpointId, endpoint: &Endpoint) -> Self {
        Self {
            endpoint: name.clone(),
            address: endpoint.address,
            fencing: endpoint.fencing,
            memory: endpoint.memory,
            stored: Mutex::new(None),
            order_failed: Notify::new(),
        }
    }

    /// Takes the endpoint over and reconciles its ledger with the engine until the lease is lost.
    pub(crate) async fn run(self: Arc<Self>, shared: Arc<AppState>, fence: Fence) {
        loop {
            if shared.leading_fence() != Some(fence) {
                return;
            }
            let taken = self.stored.lock().await.is_some();
            if !taken && !self.take_over(&shared, fence).await {
                tokio::time::sleep(RECONCILE_INTERVAL).await;
                continue;
            }
            self.reconcile(&shared, fence).await;
            let _ = tokio::time::timeout(RECONCILE_INTERVAL, self.order_failed.notified()).await;
        }
    }

    fn key(&self) -> String {
        format!("endpoint/{}", self.endpoint)
    }

    /// Reads the row, or its default if there is none.
    async fn read(&self, shared: &AppState) -> Result<(u64, EndpointRow), PlatformError> {
        let found = read_row(shared.platform.as_ref(), &self.key()).await?;
        Ok(found.unwrap_or_default())
    }

    /// Writes the row under the leader's fencing number; returns whether the endpoint is taken
    /// over.
    async fn take_over(&self, shared: &AppState, fence: Fence) -> bool {
        let Ok((revision, row)) = self.read(shared).await else { return false };
        if row.fence > fence {
            return false;
        }
        let now = shared.now();
        let ledger = Ledger::take_over(row, self.memory, self.fencing, fence, now);
        let mut stored = StoredLedger { ledger, revision, fenced: false };
        if !self.commit(shared, &mut stored).await {
            return false;
        }
        *self.stored.lock().await = Some(stored);
        true
    }

    /// Commits the ledger's row and returns whether it is stored; after a lost reply the row is
    /// read back.
    async fn commit(&self, shared: &AppState, stored: &mut StoredLedger) -> bool {
        let key = self.key();
        let row = stored.ledger.row().clone();
        let commit = Commit::default().replace(&key, stored.revision, encode_json(&row));
        match shared.platform.commit(commit).await {
            Ok(reply) if reply.committed => {
                stored.revision = reply.revision;
                true
            }
            Ok(_) => false,
            Err(error) if error.is_uncertain() => match self.read(shared).await {
                Ok((revision, found)) if found == row && revision != stored.revision => {
                    stored.revision = revision;
                    true
                }
                _ => false,
            },
            Err(_) => false,
        }
    }

    /// Writes an order to the ledger and returns it; `None` if the ledger denies the order or
    /// cannot be stored. Only a returned order may be sent.
    pub(crate) async fn issue(
        &self,
        shared: &AppState,
        order: Order,
        item: &Item,
        memory: u64,
    ) -> Option<OpenOrder> {
        let mut guard = self.stored.lock().await;
        let stored = guard.as_mut()?;
        let open = match stored.ledger.issue(order, item, memory, shared.now()) {
            Ok(open) => open,
            Err(
                OrderDenied::Busy
                | OrderDenied::NoEffect
                | OrderDenied::Late
                | OrderDenied::NoMemory(_),
            ) => {
                return None;
            }
        };
        if self.commit(shared, stored).await {
            return Some(open);
        }
        // It is not known whether the table holds the order, so the endpoint is taken over again.
        *guard = None;
        None
    }

    /// Sends an order to the engine and records in the ledger that it was carried out.
    pub(crate) async fn execute(&self, shared: &AppState, open: OpenOrder) {
        // Another VM may have become the leader while this process was paused.
        if shared.leading_fence() != Some(open.number.fence) {
            return;
        }
        match engine::send_order(&shared.pool, self.address, &open).await {
            OrderOutcome::Done => {
                let mut guard = self.stored.lock().await;
                let Some(stored) = guard.as_mut() else { return };
                stored.ledger.on_done(open.number, shared.now());
                if !self.commit(shared, stored).await {
                    *guard = None;
                }
            }
            OrderOutcome::Fenced | OrderOutcome::Unknown => self.order_failed.notify_one(),
        }
    }

    /// Sends the fencing number if the engine has not accepted it yet, takes in the engine's state
    /// and sends the open order again if that is due.
    async fn reconcile(&self, shared: &Arc<AppState>, fence: Fence) {
        let fenced = self.stored.lock().await.as_ref().is_some_and(|stored| stored.fenced);
        if !fenced
            && engine::send_fence(&shared.pool, self.address, fence).await != OrderOutcome::Done
        {
            return;
        }
        let mut guard = self.stored.lock().await;
        let Some(stored) = guard.as_mut() else { return };
        stored.fenced = true;
        let Some(state) = engine::read_state(&shared.pool, self.address).await else { return };
        let now = shared.now();
        let changed = stored.ledger.on_state(&state, now);
        let retried = stored.ledger.retry(now);
        if !changed && retried.is_none() {
            return;
        }
        if !self.commit(shared, stored).await {
            *guard = None;
            return;
        }
        if let Some(open) = retried {
            let (address, shared) = (self.address, shared.clone());
            tokio::spawn(async move {
                if shared.leading_fence() == Some(open.number.fence) {
                    engine::send_order(&shared.pool, address, &open).await;
                }
            });
        }
    }
}
