//! Follows two tables of the store: the operators' configuration and the list of endpoints.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    ConfigStamp, FeedCall, FeedTimes, Follower, StorePosition, TableFeed, TableSource,
};
use log::{info, warn};
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::edge::{Store, StoreError, StoreRows, Table};
use crate::process::active_fleet::ActiveFleet;
use crate::process::domain_words::DomainWords;
use crate::process::endpoint_list::EndpointList;
use crate::process::freshness::Freshness;
use crate::process::metrics::{Metrics, StoreCall};
use crate::process::roster::RosterView;

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
    /// The configuration in force and the failure domains that are emptied.
    Config(Arc<ActiveFleet>, Arc<DomainWords>),
    /// The list of endpoints.
    Endpoints(Arc<EndpointList>),
}

impl Sink {
    fn table(&self) -> Table {
        match self {
            Sink::Config(..) => Table::Operator,
            Sink::Endpoints(_) => Table::Endpoints,
        }
    }

    /// Returns how the calls for the table are counted.
    fn call(&self) -> StoreCall {
        match self {
            Sink::Config(..) => StoreCall::Config,
            Sink::Endpoints(_) => StoreCall::Endpoints,
        }
    }

    /// Applies rows; a whole table comes with the lowest position that the store has shown in its era.
    fn on_rows(&self, rows: &StoreRows, snapshot: Option<StorePosition>) {
        match self {
            Sink::Config(active_fleet, domain_words) => {
                // Before the configuration, whose position says up to where the table is known.
                domain_words.on_rows(rows, snapshot);
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

    /// Returns whether a VM makes no calls for the table while another VM tells its changes.
    fn is_left(&self, follower: Follower) -> bool {
        match (self, follower) {
            // The configuration is large and rarely changes: for a relay, following the store is
            // cheaper than a message from another domain.
            (Sink::Config(..), Follower::Relay) => false,
            (Sink::Config(..), Follower::Member) | (Sink::Endpoints(_), _) => true,
        }
    }

    /// Returns the position up to which relayed changes cover the table; the start if none are
    /// relayed.
    fn version(&self) -> StorePosition {
        match self {
            Sink::Config(active_fleet, _) => active_fleet.row_version(),
            Sink::Endpoints(list) => list.version(),
        }
    }

    /// Waits before a VM that starts believes the store's configuration: after a restore it may be an
    /// older one, and another VM may tell the newest.
    async fn hold_back(&self, rows: &StoreRows, started: Instant, roster: &RosterView) {
        let Self::Config(active_fleet, _) = self else { return };
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

/// Follows a table of the store.
pub(crate) struct TableFollower {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) sink: Sink,
    pub(crate) roster: Arc<RosterView>,
    pub(crate) freshness: Arc<Freshness>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) times: FeedTimes,
}

/// The state of a VM's own calls for a table.
struct Calls {
    feed: TableFeed,
    /// The position from which the next call continues; `None` to read the whole table.
    after: Option<StorePosition>,
    /// When the process began to follow the table.
    started: Instant,
    /// The delay after the next failure.
    delay: Duration,
    /// Whether the last call was answered.
    reachable: bool,
}

impl TableFollower {
    /// Follows the table for as long as the process lives.
    ///
    /// A VM that is no relay calls the store only while no relay tells what is new.
    pub(crate) async fn run(self) {
        let mut calls = Calls {
            feed: TableFeed::new(self.times),
            after: None,
            started: Instant::now(),
            delay: RETRY_DELAY,
            reachable: true,
        };
        wait_for_relay(&self.sink, &self.roster).await;
        let mut reads = None;
        loop {
            let is_left = self.sink.version() > StorePosition::START
                && self.sink.is_left(self.follower())
                && self.is_told();
            if reads.replace(!is_left) != Some(!is_left) {
                let table = self.sink.table();
                info!(table:?, reads = !is_left, known:% = self.sink.version(),
                    position:? = self.roster.position(),
                    store_ms = self.freshness.source_age_ms(table, TableSource::Store),
                    leader_ms = self.freshness.source_age_ms(table, TableSource::Leader),
                    relay_ms = self.freshness.source_age_ms(table, TableSource::Relay);
                    "the source of a table has changed");
            }
            if is_left {
                // What was relayed is known; the next call continues from there.
                calls.after = calls.after.or(Some(StorePosition::START));
                tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
                continue;
            }
            calls.after = calls.after.map(|after| after.max(self.sink.version()));
            match self.call(&calls).await {
                Some(Ok((rows, waited))) => self.on_answer(&mut calls, rows, waited).await,
                Some(Err(error)) => self.on_failure(&mut calls, error).await,
                None => {}
            }
        }
    }

    /// Calls the store for what is new, or for the whole table; returns the answer and whether the
    /// store waited for changes as long as it was asked to.
    ///
    /// Returns `None` if the call was given up as nobody else tells what is new any more.
    async fn call(&self, calls: &Calls) -> Option<Result<(StoreRows, bool), StoreError>> {
        let (table, began) = (self.sink.table(), boot_now());
        let told = self.is_told();
        self.metrics.count_store_call(self.sink.call());
        self.freshness.set_called(table, Some(began));
        let answer = match calls.after {
            Some(after) => {
                let call = calls.feed.next_call(self.follower(), told, began);
                let answer = tokio::select! {
                    answer = self.read_changes(after, call) => Some(answer),
                    () = self.untold(), if call.told => None,
                };
                answer.map(|answer| answer.map(|rows| (rows, boot_now() >= began + call.wait)))
            }
            None => Some(self.store.read(table).await.map(|rows| (rows, false))),
        };
        self.freshness.set_called(table, None);
        if answer.is_none() {
            let open_ms = boot_now().saturating_sub(began).as_millis() as u64;
            info!(table:?, open_ms; "nobody tells what is new; the feed is opened again");
        }
        answer
    }

    /// Reads the changes after a position; fails if the answer is overdue.
    async fn read_changes(
        &self,
        after: StorePosition,
        call: FeedCall,
    ) -> Result<StoreRows, StoreError> {
        let answer = self.store.changes(self.sink.table(), after, call.wait);
        tokio::pin!(answer);
        // A process that was stopped meanwhile gets the second part to read what has arrived.
        for time in [call.wait + call.grace / 2, call.grace / 2] {
            if let Ok(answer) = tokio::time::timeout(time, answer.as_mut()).await {
                return answer;
            }
        }
        Err(StoreError::Overdue)
    }

    /// Waits until no other VM tells what is new.
    async fn untold(&self) {
        while self.is_told() {
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether another VM tells this one the table's changes.
    fn is_told(&self) -> bool {
        let age = self.freshness.age(self.sink.table());
        let jitter = self.roster.jitter(self.times.jitter);
        self.times.is_told(self.follower(), &age, jitter, boot_now())
    }

    fn follower(&self) -> Follower {
        if self.roster.is_relay() { Follower::Relay } else { Follower::Member }
    }

    async fn on_answer(&self, calls: &mut Calls, rows: StoreRows, waited: bool) {
        let table = self.sink.table();
        if !calls.reachable {
            info!(table:?; "the store can be followed again");
            calls.reachable = true;
        }
        calls.feed.on_answer(boot_now());
        calls.delay = RETRY_DELAY;
        self.sink.on_recovery();
        self.sink.hold_back(&rows, calls.started, &self.roster).await;
        let is_whole = calls.after.is_none();
        self.sink.on_rows(&rows, is_whole.then(|| self.store.era_start()));
        self.freshness.on_told(table, TableSource::Store, boot_now());
        calls.after = Some(rows.version.max(calls.after.unwrap_or_default()));
        // An idle feed that has waited goes on at once.
        if !rows.rows.is_empty() || !waited {
            tokio::time::sleep(FEED_DELAY).await;
        }
    }

    async fn on_failure(&self, calls: &mut Calls, error: StoreError) {
        let table = self.sink.table();
        if let StoreError::HistoryGone = error {
            // All VMs that follow the store read the whole table after a restore.
            let wait = self.roster.jitter(read_spread(&self.roster));
            info!(table:?, after:% = calls.after.unwrap_or_default(), era = self.store.era(),
                wait_ms = wait.as_millis() as u64;
                "the store no longer keeps this history; the whole table is read again");
            calls.after = None;
            tokio::time::sleep(wait).await;
            return;
        }
        self.metrics.store_errors.add(1, &[]);
        if calls.reachable {
            warn!(table:?, error:%, age_ms = self.freshness.age_ms(table);
                "the store cannot be followed");
            calls.reachable = false;
        }
        // The store responds, so entries do not expire for want of it.
        if !matches!(error, StoreError::OlderEra(_)) {
            self.sink.on_outage();
        }
        let is_overdue = matches!(error, StoreError::Overdue);
        calls.feed.on_failure(is_overdue);
        let wait = match self.follower() {
            // The call itself has taken long enough.
            Follower::Relay if is_overdue => return,
            Follower::Relay => calls.delay,
            Follower::Member => calls.delay + self.roster.jitter(calls.delay * 3),
        };
        self.freshness.wait_retry(wait).await;
        calls.delay = (calls.delay * 2).min(MAX_RETRY_DELAY);
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
