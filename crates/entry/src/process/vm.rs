//! The process of one entry VM: starting its parts, and taking it out of service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::info;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::connection::callers::CallerServer;
use crate::connection::status::{self, Readiness, StatusPage};
use crate::edge::budget::ByteBudget;
use crate::edge::clock::unix_millis;
use crate::edge::pool::Pool;
use crate::edge::{Protocol, Store};
use crate::process::active_fleet::ActiveFleet;
use crate::process::asks::Asks;
use crate::process::coordinator::{Coordinator, CoordinatorEvent, Handles};
use crate::process::crashes::Crashes;
use crate::process::domain_words::DomainWords;
use crate::process::drain::Drain;
use crate::process::endpoint_list::EndpointList;
use crate::process::follow::{Sink, TableFollower};
use crate::process::freshness::Freshness;
use crate::process::link::{self, LeaderLink, PeerServices};
use crate::process::metrics::Metrics;
use crate::process::open_requests::OpenRequests;
use crate::process::quotas::Quotas;
use crate::process::roster::RosterView;
use crate::process::scheduler::Scheduler;
use crate::process::settings::EntrySettings;
use crate::process::shutdown::{self, OpenCount, Ticks};
use crate::request::Pipeline;

/// The time for the last report of the spent tokens, which is sent within 12 ms.
const LAST_REPORT_DELAY: Duration = Duration::from_millis(40);
/// How often waiting requests are given free slots and connections that were idle too long are
/// closed.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How many connections may wait to be accepted at one listener.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// A running entry VM.
pub struct EntryProcess {
    settings: Arc<EntrySettings>,
    drain: Drain,
    quotas: Arc<Quotas>,
    events: mpsc::UnboundedSender<CoordinatorEvent>,
    tasks: JoinSet<()>,
    /// The address that callers connect to.
    pub front: SocketAddr,
}

impl EntryProcess {
    /// Binds the VM's addresses and starts its tasks on the current runtime.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or the metrics cannot be set up.
    pub fn start(
        settings: EntrySettings,
        store: Arc<dyn Store>,
        protocol: Arc<dyn Protocol>,
    ) -> std::io::Result<Self> {
        let settings = Arc::new(settings);
        let front = listen(settings.front)?;
        let ready = listen(settings.ready)?;
        let peer = listen(settings.peer)?;
        let metrics_listener = settings.metrics.map(listen).transpose()?;
        let life = unix_millis();
        let metrics = Arc::new(Metrics::new().map_err(std::io::Error::other)?);
        let pool = Pool::new(settings.local);
        metrics.observe_era(store.clone());
        let freshness = Arc::new(Freshness::default());
        metrics.observe_ages(freshness.clone());
        let (events, event_receiver) = mpsc::unbounded_channel();
        let scheduler = Arc::new(Scheduler::new(settings.domain.clone(), metrics.clone()));
        scheduler.set_cold_bound(settings.bounds.cold);
        let crashes = Arc::new(Crashes::new(scheduler.clone(), metrics.clone()));
        let roster = Arc::new(RosterView::new(settings.clone()));
        let (relay_requests, relay_receiver) = mpsc::unbounded_channel();
        let quotas = Arc::new(Quotas::new(
            settings.bounds,
            settings.first_start,
            roster.clone(),
            relay_requests,
        ));
        let active_fleet =
            Arc::new(ActiveFleet::new(protocol.clone(), quotas.clone(), scheduler.clone()));
        let domain_words = Arc::new(DomainWords::new(
            protocol.clone(),
            scheduler.clone(),
            freshness.clone(),
            metrics.clone(),
        ));
        let delay = settings.bounds.removal_delay;
        let endpoint_list =
            Arc::new(EndpointList::new(protocol.clone(), scheduler.clone(), events.clone(), delay));
        let (shutdown_sender, shutdown) = shutdown::channel();
        let (leader, leader_receiver) = watch::channel(None);
        let (requests, connections) = (OpenRequests::default(), OpenCount::default());
        let lingering = OpenCount::default();
        let pipeline = Arc::new(Pipeline {
            protocol: protocol.clone(),
            active_fleet: active_fleet.clone(),
            scheduler: scheduler.clone(),
            quotas: quotas.clone(),
            crashes: crashes.clone(),
            caller_budget: ByteBudget::for_callers(settings.memory),
            pool: pool.clone(),
            metrics: metrics.clone(),
            freshness: freshness.clone(),
            run_times: Mutex::default(),
            open: requests.clone(),
            shutdown: shutdown.clone(),
        });
        let readiness = Readiness {
            path: protocol.readiness_path(),
            active_fleet: active_fleet.clone(),
            scheduler: scheduler.clone(),
            quotas: quotas.clone(),
            started: Instant::now(),
            shutdown: shutdown.clone(),
        };
        let handles = Handles {
            settings: settings.clone(),
            store: store.clone(),
            protocol,
            pool: pool.clone(),
            active_fleet: active_fleet.clone(),
            domain_words: domain_words.clone(),
            endpoint_list: endpoint_list.clone(),
            scheduler: scheduler.clone(),
            quotas: quotas.clone(),
            crashes: crashes.clone(),
            roster: roster.clone(),
            freshness: freshness.clone(),
            metrics: metrics.clone(),
            leader,
            events: events.clone(),
        };
        let link = LeaderLink {
            settings: settings.clone(),
            life,
            active_fleet: active_fleet.clone(),
            domain_words: domain_words.clone(),
            endpoint_list: endpoint_list.clone(),
            scheduler: scheduler.clone(),
            quotas: quotas.clone(),
            crashes: crashes.clone(),
            events: events.clone(),
            budget: pool.budget().clone(),
            roster: roster.clone(),
            freshness: freshness.clone(),
            asks: Asks::new(relay_receiver),
            leader: leader_receiver,
            found: None,
            asked_own: false,
        };
        let callers = CallerServer {
            pipeline,
            active_fleet: active_fleet.clone(),
            shutdown,
            connections: connections.clone(),
            lingering: lingering.clone(),
            metrics: metrics.clone(),
        };
        let mut tasks = JoinSet::new();
        let address = front.local_addr()?;
        tasks.spawn(callers.accept(front));
        tasks.spawn(status::accept(ready, StatusPage::Ready(Arc::new(readiness))));
        if let Some(listener) = metrics_listener {
            tasks.spawn(status::accept(listener, StatusPage::Metrics(metrics.clone())));
        }
        let config = Sink::Config(active_fleet, domain_words.clone());
        for sink in [config, Sink::Endpoints(endpoint_list)] {
            let follower = TableFollower {
                store: store.clone(),
                sink,
                roster: roster.clone(),
                freshness: freshness.clone(),
                metrics: metrics.clone(),
                times: settings.bounds.feed,
            };
            tasks.spawn(follower.run());
        }
        tasks.spawn(Coordinator::new(handles, life).run(event_receiver));
        let services = PeerServices {
            events: events.clone(),
            quotas: quotas.clone(),
            scheduler: scheduler.clone(),
            metrics,
        };
        tasks.spawn(link::accept(peer, services, pool.budget().clone()));
        tasks.spawn(link.run());
        let ticks = Ticks::new(UPKEEP_INTERVAL);
        tasks.spawn(run_upkeep(scheduler, crashes, domain_words, pool, ticks.clone()));
        let drain = Drain {
            vm: settings.vm.clone(),
            shutdown: shutdown_sender,
            requests,
            connections,
            lingering,
            ticks,
        };
        info!(vm = settings.vm.as_str(), domain = settings.domain.as_str(), life,
            front:% = address, first = settings.first_start; "an entry VM has started");
        Ok(Self { settings, drain, quotas, events, tasks, front: address })
    }

    /// Takes the VM out of service: reports the VM as not ready, waits for running requests and
    /// ends all tasks.
    ///
    /// Shortly before the grace period ends, requests that still run get their final response.
    pub async fn leave(mut self) {
        let times = self.drain.begin(self.settings.bounds.grace);
        // The receiver is gone only while the process shuts down.
        let _ = self.events.send(CoordinatorEvent::Leave);
        self.drain.run(times).await;
        self.quotas.close();
        tokio::time::sleep(LAST_REPORT_DELAY).await;
        self.tasks.shutdown().await;
        self.drain.finish(times);
    }
}

/// Gives free slots to waiting requests and prunes idle connections at intervals, since time alone
/// can make an endpoint available again or a connection too old.
async fn run_upkeep(
    scheduler: Arc<Scheduler>,
    crashes: Arc<Crashes>,
    domain_words: Arc<DomainWords>,
    pool: Pool,
    own: Ticks,
) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        own.tick();
        scheduler.dispatch_waiting();
        scheduler.record_availability();
        crashes.prune();
        domain_words.expire();
        scheduler.prune_limits();
        pool.prune();
    }
}

/// Listens on an address, even if connections of a former process linger there.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
