//! What this VM is in the fleet, and which VMs are relays, as far as it knows.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{Relay, RelayPart, Roster, hash_of};
use log::info;
use tokio::sync::watch;

use crate::edge::clock::boot_now;
use crate::process::settings::EntrySettings;

/// What a VM is in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Position {
    /// Not known yet: the VM looks for a relay.
    Candidate,
    /// The VM reports to a relay of its domain.
    Member,
    /// The VM reports to the leader, and other VMs of its domain report to it.
    Relay,
}

/// This VM's position and the roster.
#[derive(Debug)]
pub(crate) struct RosterView {
    settings: Arc<EntrySettings>,
    state: Mutex<State>,
    changed: watch::Sender<Position>,
}

#[derive(Debug, Default)]
struct State {
    roster: Roster,
    /// Since when this VM's domain has lacked a relay.
    short_since: Option<Duration>,
}

/// How long a domain lacks a relay before its VMs offer themselves.
const OFFER_DELAY: Duration = Duration::from_secs(10);

impl RosterView {
    pub(crate) fn new(settings: Arc<EntrySettings>) -> Self {
        let changed = watch::Sender::new(Position::Candidate);
        Self { settings, state: Mutex::default(), changed }
    }

    /// Returns what this VM is.
    pub(crate) fn position(&self) -> Position {
        *self.changed.borrow()
    }

    /// Returns whether this VM is a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.position() == Position::Relay
    }

    /// Returns whether the whole system starts for the first time.
    pub(crate) fn is_first_start(&self) -> bool {
        self.settings.first_start
    }

    /// Returns a receiver that is notified when the position or the roster changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Position> {
        self.changed.subscribe()
    }

    /// Sets what this VM is; a relay stays one for as long as its process lives.
    pub(crate) fn set_position(&self, position: Position, why: &'static str) {
        self.changed.send_if_modified(|known| {
            let changed = *known != position && *known != Position::Relay;
            if changed {
                info!(position:? = position, former:? = *known, why;
                    "this VM's position in the fleet has changed");
                *known = position;
            }
            changed
        });
    }

    /// Returns the roster.
    pub(crate) fn roster(&self) -> Roster {
        self.state().roster.clone()
    }

    /// Returns the roster's version.
    pub(crate) fn version(&self) -> u64 {
        self.state().roster.version
    }

    /// Replaces the roster if another one is newer.
    pub(crate) fn update(&self, roster: &Roster) {
        if self.state().roster.update(roster) {
            info!(version = roster.version, relays = roster.relays.len(),
                own = roster.choices(&self.settings.domain, &self.settings.vm).len();
                "the roster of relays has changed");
            // A changed roster matters to a VM that looks for a relay.
            self.changed.send_modify(|_| {});
        }
    }

    /// Returns the number of relays and the rank of this VM among them, by name.
    pub(crate) fn rank(&self) -> RelayPart {
        let state = self.state();
        let relays = &state.roster.relays;
        let own = &self.settings.vm;
        let rank = relays.iter().filter(|relay| relay.vm < *own).count();
        RelayPart { relays: relays.len().max(1) as u32, rank: rank as u32 }
    }

    /// Returns whether this VM's domain has fewer relays than it should have.
    pub(crate) fn is_short(&self) -> bool {
        self.state().roster.is_short(&self.settings.domain)
    }

    /// Returns whether this VM's domain has lacked a relay for so long that this VM offers itself;
    /// starts the time anew if so.
    pub(crate) fn offers_itself(&self) -> bool {
        let now = boot_now();
        let mut state = self.state();
        if !state.roster.is_short(&self.settings.domain) {
            state.short_since = None;
            return false;
        }
        let since = *state.short_since.get_or_insert(now);
        let share = hash_of(&(self.settings.vm.as_str(), since)) % 1_000;
        let offers = now >= since + OFFER_DELAY + OFFER_DELAY * share as u32 / 1_000;
        if offers {
            state.short_since = None;
        }
        offers
    }

    /// Returns the other relays of this VM's domain, in the order in which this VM tries them.
    pub(crate) fn choices(&self) -> Vec<Relay> {
        let state = self.state();
        let choices = state.roster.choices(&self.settings.domain, &self.settings.vm);
        choices.into_iter().cloned().collect()
    }

    /// Returns the addresses of VMs that the settings name, without this VM's own.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer;
        self.settings.seeds.iter().copied().filter(|seed| *seed != own).collect()
    }

    /// Returns where a relay looks for the leader if the VM that the lease's row names does not lead:
    /// the leader that the roster names, then the other relays, those of its domain first, of which
    /// one may know a newer roster.
    pub(crate) fn leader_choices(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let mut relays: Vec<&Relay> = state.roster.relays.iter().collect();
        relays.sort_by_key(|relay| relay.domain != self.settings.domain);
        let relays = relays.into_iter().map(|relay| relay.peer);
        let named = state.roster.leader_address().into_iter().chain(relays);
        named.filter(|peer| *peer != self.settings.peer).collect()
    }

    /// Returns a part of `max` that differs from VM to VM and from process to process, so that many
    /// VMs do not act at the same moment.
    pub(crate) fn jitter(&self, max: Duration) -> Duration {
        let vm = self.settings.vm.as_str();
        let share = hash_of(&(vm, std::process::id(), boot_now().as_secs())) % 1_000;
        max * share as u32 / 1_000
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
