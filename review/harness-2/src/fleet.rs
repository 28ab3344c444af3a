//! Entry VMs as processes of their own, on loopback, with settings as of a small deployment.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bamboocourse_emulator::{Caller, Store, free_ports};

/// The zones, by turns.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// One entry VM.
pub struct Vm {
    pub name: String,
    ip: IpAddr,
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    other_port: u16,
    zone: &'static str,
    started_before: bool,
    child: Option<Child>,
}

/// All entry VMs, with the files of their settings and logs in one folder.
pub struct Fleet {
    pub vms: Vec<Vm>,
    folder: PathBuf,
    program: PathBuf,
    store: SocketAddr,
}

impl Fleet {
    /// Starts VMs with `bootstrap=true`.
    pub fn start(count: usize, store: &Store, folder: &Path) -> std::io::Result<Self> {
        let program = PathBuf::from("target/release/bamboocourse");
        let mut fleet =
            Self { vms: Vec::new(), folder: folder.to_owned(), program, store: store.address };
        let part = 1 + (std::process::id() % 250) as u8;
        for index in 0..count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, part, 77, 1 + index as u8));
            let [front, ready, control, other] = free_ports(ip)?;
            fleet.vms.push(Vm {
                name: format!("edge-{}-{}", ZONES[index % 3], 1 + index / 3),
                ip,
                front: SocketAddr::new(ip, front),
                ready: SocketAddr::new(ip, ready),
                control: SocketAddr::new(ip, control),
                other_port: other,
                zone: ZONES[index % 3],
                started_before: false,
                child: None,
            });
        }
        for index in 0..count {
            fleet.spawn(index)?;
        }
        Ok(fleet)
    }

    /// Starts a VM's process by the command of the deploy file.
    pub fn spawn(&mut self, index: usize) -> std::io::Result<()> {
        let seeds: Vec<String> = self.vms.iter().take(3).map(|vm| vm.control.to_string()).collect();
        let zones: String = ZONES.map(|zone| format!("zones.{zone}=region-1\n")).concat();
        let (folder, store) = (self.folder.clone(), self.store);
        let vm = &mut self.vms[index];
        let settings = format!(
            "node_name={}\nrole=entry\nmachine_class=edge\nserves=edge,control\nip={}\nzone={}\n\
             region=region-1\n{zones}bind.front={}\nbind.ready={}\nbind.control={}\n\
             port_range={},{}\nseeds={}\nbootstrap={}\nloss_counts=false\nlimits.cpu_share=0.25\n\
             limits.cpu_cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1200\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\nbounds.drain_ms=2000\n\
             bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.revert_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revoke=false\n\
             bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_slack=56\nbounds.quota_window_s=8\nbounds.quota_excess=0.1\n\
             bounds.quota_slack=7400\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
             bounds.retry_after_s=0\nbounds.require_fencing=false\nbounds.lease_ms=3000\n\
             bounds.thaw_slack_ms=300\nbounds.ceiling_window_s=5\nbounds.ceiling_excess=1.1\n\
             provider.address={store}\nprovider.form=table\nprovider.writes_per_s=400\n\
             provider.reads_per_s=2000\nprovider.tx_ms=5.0\nprovider.part_writes_per_s=200\n\
             provider.row_bytes=65536\nprovider.across=false\nprovider.history_s=20\n",
            vm.name,
            vm.ip,
            vm.zone,
            vm.front,
            vm.ready,
            vm.control,
            vm.other_port,
            vm.other_port,
            seeds.join(","),
            !vm.started_before,
        );
        let path = folder.join(format!("{}.conf", vm.name));
        std::fs::write(&path, settings)?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(folder.join(format!("{}.log", vm.name)))?;
        let child = Command::new(&self.program)
            .arg("entry")
            .env("BAMBOOCOURSE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        vm.started_before = true;
        vm.child = Some(child);
        Ok(())
    }

    /// Returns the id of a VM's process.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.vms[index].child.as_ref().map(Child::id)
    }

    /// Kills a VM's process.
    pub fn kill(&mut self, index: usize) -> std::io::Result<()> {
        if let Some(mut child) = self.vms[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until a VM says that it is ready; returns whether it does so within 15 s.
    pub async fn wait_ready(&self, index: usize) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if let Ok(mut caller) = Caller::connect(self.vms[index].ready).await
                && let Ok(answer) = caller.request("GET /bamboocourse/ready", &[], "").await
                && answer.status == 200
            {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Returns the indexes of the VMs whose process has ended.
    pub fn ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if let Some(child) = &mut vm.child
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                ended.push(index);
            }
        }
        ended
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(child) = &mut vm.child {
                // Killing fails if the process has just ended.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// The record of a run, with the time since its start on each line.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: File::create(path)?, start: Instant::now() })
    }

    /// Writes a line, also to the standard output.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        // A full disk ends the record, not the check.
        let _ = writeln!(self.file, "{line}");
    }

    /// Writes a line with the time of an earlier event, to the file only.
    pub fn event(&mut self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file, "{at:9.3}   {text}");
    }
}
