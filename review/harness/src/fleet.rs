//! Entry VMs as processes with settings files, kept running as the platform does, and the record.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bamboocourse_emulator::free_ports;

/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How often the platform looks at the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}

/// One entry VM.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    ended: Instant,
    /// How often a process ended because of its memory.
    pub over_memory: u32,
    /// How often it ended by itself in another way.
    pub own_ends: u32,
    /// The most memory that a process has used, in MB.
    pub peak_mb: u64,
}

/// All entry VMs; dropping it ends their processes and removes their files.
pub struct Fleet {
    pub vms: Vec<Vm>,
    binary: PathBuf,
    folder: PathBuf,
    memory_mb: u64,
}

impl Fleet {
    /// Writes the settings of `count` VMs and starts them.
    pub fn start(count: usize, store: SocketAddr, memory_mb: u64) -> std::io::Result<Self> {
        let binary = std::env::current_dir()?.join("target/release/bamboocourse");
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("bamboocourse-review-{id}"));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self { vms: Vec::new(), binary, folder, memory_mb };
        let zones = ["zone-a", "zone-b", "zone-c"];
        let mut ports = Vec::new();
        for index in 0..count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 1 + (id % 250) as u8, 9, 1 + index as u8));
            let [front, ready, control, other] = free_ports(ip)?;
            ports.push((ip, front, ready, control, other));
        }
        let seeds: Vec<String> =
            ports.iter().take(3).map(|(ip, _, _, control, _)| format!("{ip}:{control}")).collect();
        for (index, (ip, front, ready, control, other)) in ports.into_iter().enumerate() {
            let name = format!("edge-{}", index + 1);
            let zone = zones[index % 3];
            let mut text = format!(
                "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,control\nip={ip}\n\
                 zone={zone}\nregion=region-1\nbind.front={ip}:{front}\nbind.ready={ip}:{ready}\n\
                 bind.control={ip}:{control}\nport_range={other},{other}\nseeds={}\n\
                 bootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n\
                 limits.memory_mb={memory_mb}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
                 limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
                 fault_tolerance.machines=2\nfault_tolerance.zones=1\nbounds.seed_lag_s=3\n\
                 bounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
                 bounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
                 bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.revert_slack_ms=250\n\
                 bounds.max_stretch_ms=5000\nbounds.retry_budget_ratio=0.2\n\
                 bounds.budget_window_s=10\nbounds.retry_slack=56\nbounds.quota_window_s=8\n\
                 bounds.quota_excess=0.1\nbounds.quota_slack=7400\nbounds.recovery_s=12\n\
                 bounds.pass_ms=120\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n\
                 bounds.ceiling_window_s=5\nbounds.ceiling_excess=1.1\n\
                 provider.address={store}\nprovider.form=table\nprovider.writes_per_s=400\n\
                 provider.reads_per_s=2000\nprovider.row_bytes=65536\n",
                seeds.join(",")
            );
            for zone in zones {
                text.push_str(&format!("zones.{zone}=region-1\n"));
            }
            let settings = fleet.folder.join(format!("{name}.conf"));
            std::fs::write(&settings, text)?;
            fleet.vms.push(Vm {
                log: fleet.folder.join(format!("{name}.log")),
                name,
                front: SocketAddr::new(ip, front),
                ready: SocketAddr::new(ip, ready),
                settings,
                child: None,
                ended: Instant::now(),
                over_memory: 0,
                own_ends: 0,
                peak_mb: 0,
            });
        }
        for index in 0..count {
            fleet.spawn(index)?;
        }
        // Once they have read their settings, a process that starts does not belong to the first start.
        std::thread::sleep(Duration::from_millis(300));
        for vm in &fleet.vms {
            let text = std::fs::read_to_string(&vm.settings)?;
            std::fs::write(&vm.settings, text.replace("bootstrap=true", "bootstrap=false"))?;
        }
        Ok(fleet)
    }

    fn spawn(&mut self, index: usize) -> std::io::Result<()> {
        let vm = &mut self.vms[index];
        let log = File::options().create(true).append(true).open(&vm.log)?;
        let child = Command::new(&self.binary)
            .arg("entry")
            .env("BAMBOOCOURSE_SETTINGS", &vm.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        vm.child = Some(child);
        Ok(())
    }

    /// Does for some time what the platform does: kills a process that exceeds its memory, and starts
    /// processes again that have ended.
    pub async fn watch(&mut self, time: Duration, record: &Record) -> std::io::Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for index in 0..self.vms.len() {
                self.watch_one(index, record)?;
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        Ok(())
    }

    fn watch_one(&mut self, index: usize, record: &Record) -> std::io::Result<()> {
        let memory_mb = self.memory_mb;
        let vm = &mut self.vms[index];
        if let Some(child) = &mut vm.child {
            if let Some(status) = child.try_wait()? {
                record.line(&format!("{} ended by itself: {status}", vm.name));
                vm.own_ends += 1;
                vm.child = None;
                vm.ended = Instant::now();
                return Ok(());
            }
            let used = resident_mb(child.id());
            vm.peak_mb = vm.peak_mb.max(used);
            if used > memory_mb {
                record.line(&format!(
                    "{} uses {used} MB, more than the {memory_mb} MB of limits.memory_mb: the \
                     platform kills it",
                    vm.name
                ));
                child.kill()?;
                child.wait()?;
                vm.over_memory += 1;
                vm.child = None;
                vm.ended = Instant::now();
            }
        } else if vm.ended.elapsed() >= RESTART_DELAY {
            record.line(&format!("{} is started again", vm.name));
            self.spawn(index)?;
        }
        Ok(())
    }

    /// Waits until all VMs say that they are ready; fails after 20 s.
    pub async fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        for vm in &self.vms {
            while !is_ready(vm.ready).await {
                if Instant::now() > end {
                    return Err(format!("{} is not ready after 20 s", vm.name));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(child) = &mut vm.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns whether a VM answers the platform's readiness check with 200.
pub async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut connection = crate::http::Connection::open(address).await.ok()?;
        connection.send("GET /bamboocourse/ready", &[], b"").await.ok()?;
        Some(connection.receive().await.ok()?.status)
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), check).await, Ok(Some(200)))
}

/// Returns the resident memory of a process in MB; 0 if it cannot be read.
fn resident_mb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_000
}
