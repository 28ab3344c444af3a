//! A fleet in one process: stand-ins and entry VMs on loopback.
//!
//! Each VM has its own runtime. Shutting the runtime down ends all work of the VM at once, as if
//! its process were killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboocourse_decide::rendezvous_score;
use bamboocourse_serve::{
    EntryVm, HttpPlatform, Publication, PublishError, PublishedVersion, Settings, domain_states,
    publish,
};
use bamboocourse_standin::{Engine, EngineSpec, Network, PlainEndpoint, Platform, WeightStore};
use tokio::runtime::{Builder, Runtime};

use crate::sample::{ENGINE_GIB, Endpoints, Sample};

/// How long a killed VM's runtime may take to close its listeners.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before a killed VM's addresses are tried again.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The bytes of a GiB.
const GIB: u64 = 1 << 30;
/// The host number of the first VM in a domain.
const FIRST_VM_HOST: u8 = 10;
/// The host number of the first endpoint of the fleet.
const FIRST_ENDPOINT_HOST: u8 = 100;

/// The description of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The deployment.
    pub sample: Sample,
    /// The number of failure domains.
    pub domains: u8,
    /// The number of VMs in each domain.
    pub vms: u8,
    /// The time between two output tokens of an engine.
    pub token_interval: Duration,
    /// The time that the weight store takes for a load.
    pub load_time: Duration,
    /// Whether engines start with models loaded.
    pub preload: bool,
    /// The seed of the stand-ins.
    pub seed: u64,
    /// Changes the settings of every VM before its start.
    pub settings: fn(&mut Settings),
}

impl FleetSpec {
    /// Describes a fleet of three domains with `vms` VMs in each.
    pub fn new(sample: Sample, vms: u8) -> Self {
        Self {
            sample,
            domains: 3,
            vms,
            token_interval: Duration::from_millis(5),
            load_time: Duration::from_millis(200),
            preload: true,
            seed: 1,
            settings: |_| {},
        }
    }
}

/// One entry VM of a fleet.
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// The number of its domain, from 1.
    pub domain: u8,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    settings: Settings,
    running: Option<(Runtime, EntryVm)>,
}

/// A running fleet.
pub struct Fleet {
    /// The network between the domains.
    pub network: Network,
    /// The stand-in for the platform.
    pub platform: Platform,
    /// The engines of the services with models, service by service.
    pub engines: Vec<Engine>,
    /// The endpoints of the plain services.
    pub plain_endpoints: Vec<PlainEndpoint>,
    /// The entry VMs, running or not.
    pub vms: Vec<Vm>,
    spec: FleetSpec,
    endpoints: Vec<Endpoints>,
    publications: u32,
}

impl Fleet {
    /// Starts the stand-ins and VMs without publishing a configuration.
    ///
    /// Fails if an address of the fleet cannot be bound.
    pub async fn start(spec: FleetSpec) -> std::io::Result<Self> {
        let network = Network::default();
        let platform = Platform::start(network.clone(), spec.seed).await?;
        let mut fleet = Self {
            network,
            platform,
            engines: Vec::new(),
            plain_endpoints: Vec::new(),
            vms: Vec::new(),
            spec,
            endpoints: Vec::new(),
            publications: 0,
        };
        fleet.start_endpoints().await?;
        for domain in 1..=fleet.spec.domains {
            for host in 0..fleet.spec.vms {
                fleet.add_vm(domain, host).await?;
            }
        }
        Ok(fleet)
    }

    /// Starts the endpoints of all services; those of each service are spread evenly over the
    /// domains.
    async fn start_endpoints(&mut self) -> std::io::Result<()> {
        let store = WeightStore::new(6, self.spec.load_time);
        let spec = EngineSpec {
            memory: ENGINE_GIB * GIB,
            slots: 32,
            prefill_time: Duration::from_micros(100),
            token_interval: self.spec.token_interval,
            fencing: true,
        };
        let mut host = FIRST_ENDPOINT_HOST;
        for service in self.spec.sample.services.clone() {
            let mut endpoints = Endpoints::new();
            for index in 0..service.endpoints {
                let domain = (index % usize::from(self.spec.domains)) as u8 + 1;
                let address = Network::address(domain, host);
                host += 1;
                let name = format!("{}-e{index}", service.name);
                let bound = if service.models > 0 {
                    let seed = self.spec.seed + index as u64;
                    let engine = self.start_engine(address, &spec, &store, seed).await?;
                    let bound = engine.address;
                    self.engines.push(engine);
                    bound
                } else {
                    let plain = PlainEndpoint::start(self.network.clone(), address).await?;
                    let bound = plain.address;
                    self.plain_endpoints.push(plain);
                    bound
                };
                endpoints.push((name, domain_name(domain), bound));
            }
            if self.spec.preload && service.models > 0 {
                let engines = &self.engines[self.engines.len() - service.endpoints..];
                preload(engines, &endpoints, service.name, service.models, self.spec.domains);
            }
            self.endpoints.push(endpoints);
        }
        Ok(())
    }

    async fn start_engine(
        &self,
        address: SocketAddr,
        spec: &EngineSpec,
        store: &Arc<WeightStore>,
        seed: u64,
    ) -> std::io::Result<Engine> {
        Engine::start(self.network.clone(), address, spec.clone(), store.clone(), seed).await
    }

    /// Starts a VM and adds it to the platform.
    async fn add_vm(&mut self, domain: u8, host: u8) -> std::io::Result<()> {
        let address = Network::address(domain, FIRST_VM_HOST + host);
        let name = format!("vm-{domain}-{host}");
        let platform = self.platform.address;
        let domain_name = domain_name(domain);
        let mut settings = Settings::new(&name, &domain_name, address, address, address, platform);
        settings.local = Some(address.ip());
        (self.spec.settings)(&mut settings);
        let running = launch(settings.clone()).await?;
        let entry = &running.1;
        settings.listen = entry.listen;
        settings.operator = entry.operator;
        settings.peer = entry.peer;
        self.platform.add_vm(&name, &domain_name, entry.peer);
        let (listen, operator) = (entry.listen, entry.operator);
        self.vms.push(Vm { name, domain, listen, operator, settings, running: Some(running) });
        Ok(())
    }

    /// Ends all work of a VM at once, as if its process were killed; does nothing to a VM that does
    /// not run.
    pub fn kill(&mut self, index: usize) {
        if let Some((runtime, entry)) = self.vms[index].running.take() {
            std::mem::forget(entry);
            runtime.shutdown_background();
        }
    }

    /// Starts a killed VM again on the same addresses, and lists it if the platform does not.
    ///
    /// Fails if the addresses are still in use after 5 seconds, or if the VM cannot start.
    pub async fn restart(&mut self, index: usize) -> std::io::Result<()> {
        let settings = self.vms[index].settings.clone();
        let deadline = tokio::time::Instant::now() + CLOSE_TIMEOUT;
        loop {
            match launch(settings.clone()).await {
                Ok(running) => {
                    let vm = &mut self.vms[index];
                    vm.running = Some(running);
                    self.platform.add_vm(&vm.name, &domain_name(vm.domain), vm.settings.peer);
                    return Ok(());
                }
                // A killed runtime closes its listeners some time after `kill` returns.
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {
                    if tokio::time::Instant::now() >= deadline {
                        return Err(error);
                    }
                    tokio::time::sleep(CLOSE_RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Shuts a VM down gracefully and waits until it has left the fleet.
    pub async fn drain(&mut self, index: usize) {
        self.platform.mark_leaving(&self.vms[index].name);
        if let Some((runtime, entry)) = self.vms[index].running.take() {
            let _ = runtime.spawn(entry.drain()).await;
            runtime.shutdown_background();
        }
        self.platform.remove_vm(&self.vms[index].name);
    }

    /// Returns the service files; the workspaces that `withdrawn` names have no keys.
    pub fn files(&self, withdrawn: &[&str]) -> Vec<bamboocourse_decide::SourceFile> {
        self.spec.sample.files(&self.endpoints, withdrawn)
    }

    /// Returns an operator's client of the platform.
    pub fn operator_client(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.address, None)
    }

    /// Publishes the deployment; the workspaces that `withdrawn` names have no keys.
    ///
    /// Fails as [`publish`] does.
    pub async fn publish(&mut self, withdrawn: &[&str]) -> Result<PublishedVersion, PublishError> {
        self.publications += 1;
        let id = format!("publication-{}", self.publications);
        let publication = Publication { files: self.files(withdrawn), base: None, id };
        publish(&self.operator_client(), &publication).await
    }

    /// Waits until every running VM has applied a version; returns how long that took, or `None`
    /// after a timeout.
    pub async fn wait_applied(&self, version: u64, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let running = self.vms.iter().filter_map(|vm| vm.running.as_ref());
            if running.into_iter().all(|(_, entry)| entry.version() >= version) {
                return Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Waits until the leaders of all domains report that all VMs have applied a version; returns
    /// how long that took, or `None` after a timeout.
    pub async fn wait_reported(&self, version: u64, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        let platform = self.operator_client();
        while started.elapsed() < timeout {
            if let Ok(states) = domain_states(&platform).await {
                let all_domains = states.len() == usize::from(self.spec.domains);
                let vms: usize = states.values().map(|state| state.vms.len()).sum();
                let running = self.vms.iter().filter(|vm| vm.running.is_some()).count();
                let all_vms = vms >= running;
                if all_domains
                    && all_vms
                    && states.values().all(|state| state.oldest_version() >= version)
                {
                    return Some(started.elapsed());
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Returns the addresses of the running VMs for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.vms.iter().filter(|vm| vm.running.is_some());
        running.map(|vm| vm.listen).collect()
    }

    /// Returns the number of loads after which an engine held more than its memory, over all
    /// engines.
    pub fn overcommit_count(&self) -> u64 {
        self.engines.iter().map(Engine::overcommit_count).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.vms.len() {
            self.kill(index);
        }
    }
}

/// Returns the name of a domain.
pub fn domain_name(domain: u8) -> String {
    format!("domain-{domain}")
}

/// Starts a VM on a runtime of its own.
async fn launch(settings: Settings) -> std::io::Result<(Runtime, EntryVm)> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let started = runtime.spawn(EntryVm::start(settings)).await;
    match started {
        Ok(Ok(entry)) => Ok((runtime, entry)),
        Ok(Err(error)) => {
            runtime.shutdown_background();
            Err(error)
        }
        Err(error) => {
            runtime.shutdown_background();
            Err(std::io::Error::other(error))
        }
    }
}

/// Loads each model of a service in its two preferred domains, where the planner would place its
/// replicas, as far as the engines' memory suffices.
fn preload(engines: &[Engine], endpoints: &Endpoints, service: &str, models: usize, domains: u8) {
    let mut free = vec![ENGINE_GIB; engines.len()];
    for index in 0..models {
        let name = Sample::model(service, index);
        // The weights, and 2 GiB for the KV cache.
        let needed = Sample::model_gib(index) + 2;
        let mut order: Vec<String> = (1..=domains).map(domain_name).collect();
        order.sort_by_key(|domain| std::cmp::Reverse(rendezvous_score(&name, domain)));
        for domain in order.iter().take(2) {
            let local = (0..engines.len()).filter(|engine| endpoints[*engine].1 == *domain);
            let Some(engine) = local.max_by_key(|engine| free[*engine]) else { continue };
            if free[engine] >= needed {
                free[engine] -= needed;
                engines[engine].preload([(format!("{name}@1"), needed * GIB)]);
            }
        }
    }
}
