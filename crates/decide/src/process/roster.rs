//! Which VMs are relays: a few VMs of each failure domain, through which the others reach the leader.
//!
//! A relay holds a part of all token limits, reports to the leader, and passes on what the leader
//! and the store tell. The other VMs of its domain ask it for the tokens of single requests. So the
//! leader's work does not grow with the number of VMs, and a domain that is cut off lives on what
//! its relays hold. In a small fleet every VM is a relay.
//!
//! The load pattern that this answers: all VMs of a large fleet start, or lose their relay, at the
//! same moment. Each VM asks for a place by itself; the leader answers each with the same few names
//! and appoints only as many relays as are missing, so shortage does not breed messages. Where a
//! domain lacks a relay for long, its VMs offer themselves one after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, Fence, VmId};
use crate::map::{FastMap, rendezvous_score};

/// The relays of the whole fleet, if its domains have enough VMs.
const FLEET_RELAYS: usize = 12;
/// The least number of relays of a domain, so that one may be lost.
const MIN_DOMAIN_RELAYS: usize = 2;
/// The number of a roster version's low bits, which count the changes under one fencing number; a
/// fencing number takes the other 53.
const VERSION_CHANGE_BITS: u32 = 10;
/// How long a relay may send no report before other VMs are no longer told to use it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a silent relay's place is kept, as it may have restarted.
const REPLACE_DELAY: Duration = Duration::from_secs(10);
/// How long VMs of a domain without relays are gathered before the largest of them are appointed.
const GATHER_TIME: Duration = Duration::from_millis(300);
/// How long a VM that asked for a place may be appointed.
const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM that other VMs reach the leader through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's failure domain.
    pub domain: DomainId,
    /// Where the VM accepts connections of other VMs.
    pub peer: SocketAddr,
}

/// The relays of the fleet, as the leader told them last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Roster {
    /// Grows with every change, also across changes of the leader.
    pub version: u64,
    /// The relays, by name.
    pub relays: Vec<Relay>,
    /// The number of relays that each domain should have, if it has as many VMs.
    pub target: usize,
    /// The leader that made the roster; a relay, too.
    #[serde(default)]
    pub leader: VmId,
}

impl Roster {
    /// Replaces this roster by a newer one; returns whether it was newer.
    pub fn update(&mut self, other: &Roster) -> bool {
        let newer = other.version > self.version;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Returns the leader's address, if the leader is among the relays.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.relays.iter().find(|relay| relay.vm == self.leader).map(|relay| relay.peer)
    }

    /// Returns whether a domain has fewer relays than it should have.
    pub fn is_short(&self, domain: &str) -> bool {
        self.relays.iter().filter(|relay| relay.domain == domain).count() < self.target
    }

    /// Returns the relays that a VM may use, in the order in which it tries them.
    ///
    /// The order differs from VM to VM, so that the relays of a domain share its VMs.
    ///
    /// ```
    /// use bamboocourse_decide::{Relay, Roster};
    /// let relay = |vm: &str, domain: &str| Relay {
    ///     vm: vm.into(),
    ///     domain: domain.into(),
    ///     peer: "127.0.0.1:7600".parse().expect("an address"),
    /// };
    /// let relays = vec![relay("a", "d1"), relay("b", "d2")];
    /// let roster = Roster { version: 1, relays, target: 2, leader: "a".into() };
    /// let choices = roster.choices("d2", "c");
    /// assert_eq!(choices.iter().map(|relay| relay.vm.as_str()).collect::<Vec<_>>(), ["b"]);
    /// ```
    pub fn choices(&self, domain: &str, vm: &str) -> Vec<&Relay> {
        let usable = |relay: &&Relay| relay.domain == domain && relay.vm != vm;
        let mut relays: Vec<&Relay> = self.relays.iter().filter(usable).collect();
        relays.sort_by_key(|relay| std::cmp::Reverse(rendezvous_score(vm, &relay.vm)));
        relays
    }
}

/// Appoints the relays, on the leader.
#[derive(Debug, Clone)]
pub struct RelayAppointer {
    fence: Fence,
    leader: VmId,
    /// The number of relays that each domain should have.
    target: usize,
    relays: BTreeMap<VmId, KnownRelay>,
    candidates: FastMap<VmId, Candidate>,
    /// When the first candidate of each domain without relays came.
    gathering: FastMap<DomainId, Duration>,
    roster: Roster,
    /// The number of changes of the roster under this fence.
    changes: u64,
}

#[derive(Debug, Clone)]
struct KnownRelay {
    relay: Relay,
    /// When its last report came, or when this leader took over.
    heard: Duration,
}

/// A VM without a relay.
#[derive(Debug, Clone)]
struct Candidate {
    relay: Relay,
    /// The VM's processor and memory, of which more is better for a relay.
    capacity: u64,
    heard: Duration,
}

impl RelayAppointer {
    /// Starts for a leader under a fence from the former leader's roster, as if each relay had last
    /// reported now.
    ///
    /// `domains` is the number of failure domains.
    ///
    /// ```
    /// use bamboocourse_decide::RelayAppointer;
    /// use std::time::Duration;
    /// let appointer = RelayAppointer::new(1, "vm-1".into(), 3, &Default::default(), Duration::ZERO);
    /// assert!(appointer.roster().relays.is_empty());
    /// ```
    pub fn new(fence: Fence, leader: VmId, domains: usize, former: &Roster, now: Duration) -> Self {
        let known =
            |relay: &Relay| (relay.vm.clone(), KnownRelay { relay: relay.clone(), heard: now });
        let mut appointer = Self {
            fence,
            leader,
            target: FLEET_RELAYS.div_ceil(domains.max(1)).max(MIN_DOMAIN_RELAYS),
            relays: former.relays.iter().map(known).collect(),
            candidates: FastMap::default(),
            gathering: FastMap::default(),
            roster: Roster::default(),
            changes: 0,
        };
        appointer.refresh(now);
        appointer
    }

    /// Returns the relays to use now.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Records the report of a relay, which may have been appointed by a former leader.
    pub fn on_relay(&mut self, relay: Relay, now: Duration) {
        self.candidates.remove(&relay.vm);
        self.relays.insert(relay.vm.clone(), KnownRelay { relay, heard: now });
        self.refresh(now);
    }

    /// Records that a VM has no relay; returns whether it is one from now on.
    ///
    /// `capacity` compares VMs: relays are the larger ones.
    pub fn on_candidate(&mut self, relay: Relay, capacity: u64, now: Duration) -> bool {
        let (vm, domain) = (relay.vm.clone(), relay.domain.clone());
        self.candidates.insert(vm.clone(), Candidate { relay, capacity, heard: now });
        self.gathering.entry(domain.clone()).or_insert(now);
        self.appoint(&domain, now);
        self.relays.contains_key(&vm)
    }

    /// Appoints the largest candidates of a domain while it has too few relays.
    fn appoint(&mut self, domain: &DomainId, now: Duration) {
        self.candidates.retain(|_, candidate| now < candidate.heard + CANDIDATE_TIMEOUT);
        self.relays.retain(|_, known| now < known.heard + REPLACE_DELAY);
        let own = |known: &&KnownRelay| known.relay.domain == *domain;
        let kept = self.relays.values().filter(own).count();
        let live = |known: &&KnownRelay| now < known.heard + SILENCE_TIMEOUT;
        let usable = self.relays.values().filter(own).filter(live).count();
        // With no relay to use, silent ones are replaced at once.
        let count = if usable == 0 { 0 } else { kept };
        let gathered = self.gathering.get(domain).is_some_and(|from| now >= *from + GATHER_TIME);
        if usable == 0 && !gathered {
            return;
        }
        let mut candidates: Vec<Candidate> = self
            .candidates
            .values()
            .filter(|candidate| candidate.relay.domain == *domain)
            .cloned()
            .collect();
        candidates.sort_by(|a, b| b.capacity.cmp(&a.capacity).then(a.relay.vm.cmp(&b.relay.vm)));
        for candidate in candidates.into_iter().take(self.target.saturating_sub(count)) {
            self.candidates.remove(&candidate.relay.vm);
            let known = KnownRelay { relay: candidate.relay, heard: now };
            self.relays.insert(known.relay.vm.clone(), known);
        }
        self.gathering.remove(domain);
        self.refresh(now);
    }

    /// Updates the roster with the relays that report.
    pub fn refresh(&mut self, now: Duration) {
        let live = self.relays.values().filter(|known| now < known.heard + SILENCE_TIMEOUT);
        let relays: Vec<Relay> = live.map(|known| known.relay.clone()).collect();
        if relays == self.roster.relays && self.roster.version > 0 {
            return;
        }
        self.changes += 1;
        let version = (self.fence << VERSION_CHANGE_BITS) + self.changes;
        let leader = self.leader.clone();
        self.roster = Roster { version, relays, target: self.target, leader };
    }
}
