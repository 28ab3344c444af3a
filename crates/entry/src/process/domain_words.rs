//! The failure domains that the operator has emptied, as far as this VM knows.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bamboocourse_decide::{
    DomainId, DomainWord, EmptiedDomains, FastSet, ListedPosition, StorePosition,
};
use log::info;

use crate::edge::clock::boot_now;
use crate::edge::{Protocol, StoreRows, Table};
use crate::process::freshness::Freshness;
use crate::process::metrics::Metrics;
use crate::process::scheduler::Scheduler;
use crate::wire::EmptiedDomain;

/// The most words that another VM may tell at once.
const MAX_TOLD_WORDS: usize = 1_024;

/// The operator's words on failure domains; the scheduler gets the domains that are emptied.
pub(crate) struct DomainWords {
    protocol: Arc<dyn Protocol>,
    scheduler: Arc<Scheduler>,
    freshness: Arc<Freshness>,
    metrics: Arc<Metrics>,
    domains: Mutex<EmptiedDomains>,
}

impl DomainWords {
    pub(crate) fn new(
        protocol: Arc<dyn Protocol>,
        scheduler: Arc<Scheduler>,
        freshness: Arc<Freshness>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { protocol, scheduler, freshness, metrics, domains: Mutex::default() }
    }

    /// Applies rows of the operator's table; a whole table comes with the lowest position that the
    /// store has shown in its era.
    pub(crate) fn on_rows(&self, rows: &StoreRows, snapshot: Option<StorePosition>) {
        let words = rows.rows.iter().filter_map(|row| {
            let domain = self.protocol.read_emptied(row)?;
            Some((domain, row.version, row.value.is_some()))
        });
        let mut domains = self.domains();
        match snapshot {
            Some(era_start) => {
                let there = words.filter(|(_, _, emptied)| *emptied);
                let shown = there.map(|(domain, at, _)| (domain, at)).collect();
                self.change(&mut domains, "store", |domains| {
                    domains.on_whole(shown, rows.version, era_start, boot_now())
                });
            }
            None => self.change(&mut domains, "store", |domains| {
                let mut changed = false;
                for (domain, at, emptied) in words {
                    let position = ListedPosition { at, restored: false };
                    changed |= domains.on_word(DomainWord { domain, emptied, position });
                }
                changed
            }),
        }
    }

    /// Applies the words that another VM has told.
    pub(crate) fn on_told(self: &Arc<Self>, words: &[EmptiedDomain], from: &str) {
        if words.is_empty() {
            return;
        }
        let mut domains = self.domains();
        self.change(&mut domains, from, |domains| {
            let mut changed = false;
            for word in words.iter().take(MAX_TOLD_WORDS) {
                changed |= domains.on_word(read_word(word));
            }
            changed
        });
    }

    /// Returns which words this VM knows, and the words, if another VM is known to know others.
    pub(crate) fn tell(&self, known: Option<u64>) -> (u64, Vec<EmptiedDomain>) {
        let domains = self.domains();
        let own = domains.fingerprint();
        if known.is_none_or(|known| known == own) {
            return (own, Vec::new());
        }
        (own, domains.words().map(write_word).collect())
    }

    /// Takes back the domains whose words a restore of the store has lost for good.
    pub(crate) fn expire(&self) {
        let mut domains = self.domains();
        self.change(&mut domains, "no word since a restore", |domains| domains.expire(boot_now()));
    }

    /// Applies a change; if the set of emptied domains is another one, requests see it at once.
    fn change(
        &self,
        domains: &mut EmptiedDomains,
        from: &str,
        apply: impl FnOnce(&mut EmptiedDomains) -> bool,
    ) {
        let before: FastSet<DomainId> = domains.emptied().cloned().collect();
        if !apply(domains) {
            return;
        }
        let emptied: FastSet<DomainId> = domains.emptied().cloned().collect();
        if emptied == before {
            return;
        }
        self.scheduler.set_emptied(emptied.clone());
        // The word may be as old as this VM's copy was until now.
        let age_ms = self.freshness.age_ms(Table::Operator);
        for word in domains.words().filter(|word| word.emptied != before.contains(&word.domain)) {
            self.metrics.record_emptied(&word.domain, word.emptied);
            info!(domain = word.domain.as_str(), emptied = word.emptied,
                row:% = word.position.at, restored = word.position.restored, from, age_ms,
                domains = emptied.len(); "a failure domain is emptied or taken back");
        }
    }

    fn domains(&self) -> MutexGuard<'_, EmptiedDomains> {
        self.domains.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_word(word: &EmptiedDomain) -> DomainWord {
    let at = StorePosition::new(word.era, word.version);
    let position = ListedPosition { at, restored: word.restored };
    DomainWord { domain: DomainId::new(&word.domain), emptied: word.emptied, position }
}

fn write_word(word: &DomainWord) -> EmptiedDomain {
    let ListedPosition { at, restored } = word.position;
    let domain = word.domain.to_string();
    EmptiedDomain { domain, emptied: word.emptied, version: at.version, era: at.era, restored }
}
