//! Follows two tables of the store: the operators' configuration and the list of endpoints.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{ConfigStamp, StorePosition, TableSource};
use log::{info, warn};
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::edge::{Store, StoreError, StoreRows, Table};
use crate::process::active_fleet::ActiveFleet;
use crate::process::endpoint_list::EndpointList;
use crate::process::freshness::Freshness;
use crate::process::metrics::{Metrics, StoreCall};
use crate::process::roster::RosterView;

/// How long one call to the store waits for changes; each call has a cost, so the wait is long.
const FEED_TIMEOUT: Duration = Duration::from_secs(25);
/// The delay between calls, so that one call reads a series of changes together.
const FEED_DELAY: Duration = Duration::from_millis(250);
/// How often a VM checks whether the leader still relays changes.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a VM that starts waits for a relay before it reads a table itself.
const START_DELAY: Duration = Duration::from_millis(1_500);
/// The time over which relays spread a whole read that all of them need, for each relay: the store
/// gets at most 40 such reads of a table in a second.
const RELAY_READ_SPACING: Duration = Duration::from_millis(25);
/// The time over which VMs that are no relays spread such a read; it matters if no relay is left.
const LONE_READ_SPREAD: Duration = Duration::from_secs(3);
/// The delay after a failed call; it doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The part of the process that a table's rows are applied to.
#[derive(Clone)]
pub(crate) enum Sink {
    /// The configuration in force.
    Config(Arc<ActiveFleet>),
    /// The list of endpoints.
    Endpoints(Arc<EndpointList>),
}

impl Sink {
    fn table(&self) -> Table {
        match self {
            Sink::Config(_) => Table::Operator,
            Sink::Endpoints(_) => Table::Endpoints,
        }
    }

    /// Returns how the calls for the table are counted.
    fn call(&self) -> StoreCall {
        match self {
            Sink::Config(_) => StoreCall::Config,
            Sink::Endpoints(_) => StoreCall::Endpoints,
        }
    }

    /// Applies rows; a whole table comes with the lowest position that the store has shown in its era.
    fn on_rows(&self, rows: &StoreRows, snapshot: Option<StorePosition>) {
        match self {
            Sink::Config(active_fleet) => {
                for row in &rows.rows {
                    active_fleet.offer(row, "store");
                }
            }
            Sink::Endpoints(list) => match snapshot {
                Some(era_start) => list.on_snapshot(rows, era_start),
                None => list.on_changes(rows),
            },
        }
    }

    /// Returns whether this VM relies on another one for the table's changes.
    fn is_relayed(&self, roster: &RosterView) -> bool {
        match self {
            // The configuration is large and rarely changes: for a relay, following the store is
            // cheaper than a message from another domain.
            Sink::Config(_) => roster.is_relayed(),
            Sink::Endpoints(list) => list.is_relayed() || roster.is_relayed(),
        }
    }

    /// Returns the position up to which relayed changes cover the table; the start if none are
    /// relayed.
    fn version(&self) -> StorePosition {
        match self {
            Sink::Config(active_fleet) => active_fleet.row_version(),
            Sink::Endpoints(list) => list.version(),
        }
    }

    /// Waits before a VM that starts believes the store's configuration: after a restore it may be an
    /// older one, and another VM may tell the newest.
    async fn hold_back(&self, rows: &StoreRows, started: Instant, roster: &RosterView) {
        let Self::Config(active_fleet) = self else { return };
        let can_be_older = rows.version.era > 0 && !roster.is_first_start();
        if !can_be_older || active_fleet.stamp() != ConfigStamp::NONE {
            return;
        }
        let wait = START_DELAY.saturating_sub(started.elapsed());
        let told = active_fleet.wait_known(wait).await;
        info!(told, read:% = rows.version, waited_ms = started.elapsed().as_millis() as u64;
            "the store's configuration is compared with what other VMs have told");
    }

    fn on_outage(&self) {
        if let Sink::Endpoints(list) = self {
            list.on_outage();
        }
    }

    fn on_recovery(&self) {
        if let Sink::Endpoints(list) = self {
            list.on_recovery();
        }
    }
}

/// Follows a table for as long as the process lives.
///
/// A VM that is no relay follows it only while no relay tells what is new.
pub(crate) async fn follow(
    store: Arc<dyn Store>,
    sink: Sink,
    roster: Arc<RosterView>,
    freshness: Arc<Freshness>,
    metrics: Arc<Metrics>,
) {
    let table = sink.table();
    let mut after: Option<StorePosition> = None;
    let started = Instant::now();
    wait_for_relay(&sink, &roster).await;
    let mut delay = RETRY_DELAY;
    let mut reachable = true;
    let mut reads = None;
    loop {
        let is_relayed = sink.version() > StorePosition::START && sink.is_relayed(&roster);
        if reads.replace(!is_relayed) != Some(!is_relayed) {
            info!(table:?, reads = !is_relayed, known:% = sink.version(),
                position:? = roster.position(), relay_age_ms = roster.relay_age();
                "the source of a table has changed");
        }
        if is_relayed {
            // What was relayed is known; the next read continues from there.
            after = after.or(Some(StorePosition::START));
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        after = after.map(|after| after.max(sink.version()));
        metrics.count_store_call(sink.call());
        freshness.set_called(table, Some(boot_now()));
        let result = match after {
            Some(after) => store.changes(table, after, FEED_TIMEOUT).await,
            None => store.read(table).await,
        };
        freshness.set_called(table, None);
        match result {
            Ok(rows) => {
                freshness.on_told(table, TableSource::Store, boot_now());
                if !reachable {
                    info!(table:?; "the store can be followed again");
                    reachable = true;
                }
                sink.on_recovery();
                sink.hold_back(&rows, started, &roster).await;
                sink.on_rows(&rows, after.is_none().then(|| store.era_start()));
                after = Some(rows.version.max(after.unwrap_or_default()));
                delay = RETRY_DELAY;
                tokio::time::sleep(FEED_DELAY).await;
            }
            Err(StoreError::HistoryGone) => {
                // All VMs that follow the store read the whole table after a restore.
                let wait = roster.jitter(read_spread(&roster));
                info!(table:?, after:% = after.unwrap_or_default(), era = store.era(),
                    wait_ms = wait.as_millis() as u64;
                    "the store no longer keeps this history; the whole table is read again");
                after = None;
                tokio::time::sleep(wait).await;
            }
            Err(error) => {
                metrics.store_errors.add(1, &[]);
                if reachable {
                    warn!(table:?, error:%; "the store cannot be followed");
                    reachable = false;
                }
                // The store responds, so entries do not expire for want of it.
                if !matches!(error, StoreError::OlderEra(_)) {
                    sink.on_outage();
                }
                let wait = if roster.is_relay() { delay } else { delay + roster.jitter(delay * 3) };
                tokio::time::sleep(wait).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Returns the time over which VMs like this one spread a whole read.
fn read_spread(roster: &RosterView) -> Duration {
    if roster.is_relay() {
        RELAY_READ_SPACING * roster.roster().relays.len().max(1) as u32
    } else {
        LONE_READ_SPREAD
    }
}

/// Waits until this VM is a relay, or until a relay has told of the table, but no longer than
/// [`START_DELAY`] and a jitter.
async fn wait_for_relay(sink: &Sink, roster: &RosterView) {
    let end = Instant::now() + START_DELAY + roster.jitter(START_DELAY);
    let mut moved = roster.subscribe();
    while !roster.is_relay() && sink.version() == StorePosition::START && Instant::now() < end {
        let check = (Instant::now() + RELAY_CHECK_INTERVAL).min(end);
        // The sender lives as long as the roster.
        let _ = tokio::time::timeout_at(check, moved.changed()).await;
    }
}
