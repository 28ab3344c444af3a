//! Tracks which VMs of a failure domain are alive, and spreads each VM's description of itself.
//!
//! Every VM describes itself in one numbered state. VMs exchange digests, which hold a revision and
//! a heartbeat for each VM, and send each other only the states that the other lacks. Numbering by
//! source follows the sync of the Chotki architecture overview; `docs/membership.md` compares it
//! with sending the full state.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::ids::{Incarnation, ModelId, VersionId, VmId, WorkspaceId};
use crate::map::{FastMap, hash_of};
use crate::version::active_config::ConfigHead;

/// How long a VM without a new heartbeat still counts as alive.
pub const ALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// How often a VM of a small domain exchanges digests.
const SMALL_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// How often a VM of a larger domain exchanges digests.
const LARGE_GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// The most VMs of a small domain; larger domains gossip less often, so that the traffic of each VM
/// stays within its limit.
const SMALL_DOMAIN_VMS: usize = 16;

/// Returns how often a VM exchanges digests with a peer in a domain of `vms` VMs.
///
/// ```
/// use bamboocourse_decide::gossip_interval;
/// assert!(gossip_interval(3) < gossip_interval(45));
/// ```
pub fn gossip_interval(vms: usize) -> Duration {
    if vms > SMALL_DOMAIN_VMS { LARGE_GOSSIP_INTERVAL } else { SMALL_GOSSIP_INTERVAL }
}

/// How often a VM's own heartbeat advances.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a VM without a new heartbeat stays known.
const FORGET_DELAY: Duration = Duration::from_secs(120);

/// A short identifier of a VM in digests.
pub type ShortId = u32;

/// A VM's description of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MemberState {
    /// The name of the VM.
    pub vm: VmId,
    /// The VM's process instance.
    pub life: Incarnation,
    /// The number of this description; the first one of a process instance has the instance's
    /// number.
    pub revision: u64,
    /// The VM's heartbeat counter.
    pub heartbeat: u64,
    /// Whether the VM takes no new work.
    pub leaving: bool,
    /// The version of the configuration in force on the VM.
    pub version: VersionId,
    /// The tokens per second that callers ask the VM for, by workspace.
    pub demand: BTreeMap<WorkspaceId, u64>,
    /// The requests per minute that callers send to the VM, by model.
    pub models: BTreeMap<ModelId, u64>,
}

/// The revision and heartbeat of one VM, as far as the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// The VM.
    pub id: ShortId,
    /// The number of the VM's description.
    pub revision: u64,
    /// The VM's heartbeat counter.
    pub heartbeat: u64,
}

/// A summary of what a VM knows, for another VM.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// An entry for each VM of the domain.
    pub entries: Vec<DigestEntry>,
    /// The head of the configuration in force at the sender; `None` if the sender has none.
    pub head: Option<ConfigHead>,
    /// The time since the head was last confirmed; `None` if it never was.
    pub age: Option<Duration>,
}

/// The difference between what two VMs know.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DigestDiff {
    /// States that the other VM lacks.
    pub send: Vec<MemberState>,
    /// VMs whose states this VM lacks.
    pub request: Vec<ShortId>,
}

/// One VM's knowledge of its domain.
#[derive(Debug)]
pub struct Members {
    own: MemberState,
    /// The time at which the own heartbeat last advanced.
    advanced: Duration,
    others: FastMap<ShortId, Peer>,
}

/// Another VM of the domain.
#[derive(Debug)]
struct Peer {
    state: MemberState,
    /// The time of its last new heartbeat.
    last_heard: Duration,
}

impl Members {
    /// Creates the view of a VM that knows no other VM yet.
    ///
    /// ```
    /// use bamboocourse_decide::Members;
    /// use std::time::Duration;
    /// let members = Members::new("vm-1".into(), 1, Duration::ZERO);
    /// assert_eq!(members.alive(Duration::ZERO).count(), 1);
    /// ```
    pub fn new(vm: VmId, life: Incarnation, now: Duration) -> Self {
        let own =
            MemberState { vm, life, revision: life, heartbeat: life, ..MemberState::default() };
        Self { own, advanced: now, others: FastMap::default() }
    }

    /// Changes the VM's own description, with a new revision if it differs.
    pub fn describe(&mut self, change: impl FnOnce(&mut MemberState)) {
        let mut state = self.own.clone();
        change(&mut state);
        if state != self.own {
            state.revision = self.own.revision + 1;
            self.own = state;
        }
    }

    /// Returns the VM's own description.
    pub fn own(&self) -> &MemberState {
        &self.own
    }

    /// Returns the digest entries to send, advancing the own heartbeat if it is due.
    pub fn digest_entries(&mut self, now: Duration) -> Vec<DigestEntry> {
        if now >= self.advanced + HEARTBEAT_INTERVAL {
            self.own.heartbeat += 1;
            self.advanced = now;
        }
        self.others.retain(|_, peer| now < peer.last_heard + FORGET_DELAY);
        let others = self.others.values().filter(|peer| now < peer.last_heard + ALIVE_TIMEOUT);
        let states = std::iter::once(&self.own).chain(others.map(|peer| &peer.state));
        let digest_entry = |state: &MemberState| DigestEntry {
            id: short_id(&state.vm),
            revision: state.revision,
            heartbeat: state.heartbeat,
        };
        states.map(digest_entry).collect()
    }

    /// Updates heartbeats from another VM's digest, and returns what each side lacks.
    pub fn compare(&mut self, entries: &[DigestEntry], now: Duration) -> DigestDiff {
        let mut diff = DigestDiff::default();
        let own_id = short_id(&self.own.vm);
        let mut their_revisions = FastMap::default();
        for entry in entries {
            their_revisions.insert(entry.id, entry.revision);
            if entry.id == own_id {
                continue;
            }
            match self.others.get_mut(&entry.id) {
                Some(peer) if entry.revision <= peer.state.revision => {
                    peer.on_heartbeat(entry.heartbeat, now)
                }
                Some(peer) => {
                    peer.on_heartbeat(entry.heartbeat, now);
                    diff.request.push(entry.id);
                }
                None => diff.request.push(entry.id),
            }
        }
        let alive = self.alive(now).filter(|state| {
            their_revisions.get(&short_id(&state.vm)).is_none_or(|known| *known < state.revision)
        });
        diff.send = alive.cloned().collect();
        diff
    }

    /// Returns the states of the VMs that are known.
    pub fn states(&self, ids: &[ShortId]) -> Vec<MemberState> {
        let own_id = short_id(&self.own.vm);
        let find = |id: &ShortId| {
            if *id == own_id {
                return Some(self.own.clone());
            }
            self.others.get(id).map(|peer| peer.state.clone())
        };
        ids.iter().filter_map(find).collect()
    }

    /// Merges states received from another VM; those that are not newer only update the heartbeat.
    pub fn merge(&mut self, states: Vec<MemberState>, now: Duration) {
        for state in states {
            if state.vm == self.own.vm {
                continue;
            }
            let id = short_id(&state.vm);
            match self.others.get_mut(&id) {
                Some(peer) if state.revision <= peer.state.revision => {
                    peer.on_heartbeat(state.heartbeat, now)
                }
                Some(peer) => *peer = Peer { state, last_heard: now },
                None => {
                    self.others.insert(id, Peer { state, last_heard: now });
                }
            }
        }
    }

    /// Returns the VMs that are alive, this VM first.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &MemberState> {
        let others = self.others.values().filter(move |peer| now < peer.last_heard + ALIVE_TIMEOUT);
        std::iter::once(&self.own).chain(others.map(|peer| &peer.state))
    }

    /// Returns the names of the VMs that are alive and not leaving, sorted.
    pub fn serving(&self, now: Duration) -> Vec<VmId> {
        let serving = self.alive(now).filter(|state| !state.leaving);
        let mut names: Vec<VmId> = serving.map(|state| state.vm.clone()).collect();
        names.sort();
        names
    }

    /// Picks a random VM to gossip with, other than this VM, among the candidates; `None` if there
    /// is no other VM.
    pub fn pick_peer<'a>(&self, candidates: &'a [VmId], rng: &mut impl Rng) -> Option<&'a VmId> {
        let others: Vec<&VmId> = candidates.iter().filter(|vm| **vm != self.own.vm).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rng.random_range(0..others.len())])
    }
}

impl Peer {
    /// Updates the heartbeat if it is new.
    fn on_heartbeat(&mut self, heartbeat: u64, now: Duration) {
        if heartbeat > self.state.heartbeat {
            self.state.heartbeat = heartbeat;
            self.last_heard = now;
        }
    }
}

/// Returns the short identifier of a VM.
///
/// ```
/// use bamboocourse_decide::short_id;
/// assert_ne!(short_id("vm-1"), short_id("vm-2"));
/// ```
pub fn short_id(vm: &str) -> ShortId {
    (hash_of(vm) >> 32) as ShortId
}
