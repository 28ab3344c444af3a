//! Which failure domains get nothing, by the operator's words.
//!
//! A few words a day reach hundreds of VMs over several ways: late, twice, out of order, and from a
//! store that came back from an older copy. Each VM keeps the newest word on each domain.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DomainId;
use crate::map::hash_of;
use crate::process::listed_position::ListedPosition;
use crate::process::store_position::StorePosition;

/// How long a word that a restore of the store may have lost holds on, so that the operator can write
/// it again. To hold on for too long costs room only.
pub const LOST_WORD_TERM: Duration = Duration::from_secs(10);
/// The most words on domains that are no longer emptied.
const MAX_ENDED_WORDS: usize = 64;

/// The operator's word on a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainWord {
    /// The domain.
    pub domain: DomainId,
    /// Whether the domain's endpoints get nothing.
    pub emptied: bool,
    /// Where the word stands.
    pub position: ListedPosition,
}

impl DomainWord {
    /// Returns whether this word replaces a known one on the same domain.
    ///
    /// Of two words, each VM keeps the same one, whichever it hears first: where neither position replaces
    /// the other, the later one is of a copy that lacks the earlier one.
    fn replaces(&self, known: &Self) -> bool {
        let (own, other) = (self.position, known.position);
        if own.at == other.at {
            return other.restored && !own.restored;
        }
        let differs = self.emptied != known.emptied;
        own.replaces(other, differs) || (own.at.era < other.at.era && !other.replaces(own, differs))
    }
}

/// The newest word on each domain.
///
/// ```
/// use bamboocourse_decide::{DomainWord, EmptiedDomains, ListedPosition, StorePosition};
/// let word = |version, emptied| {
///     let at = StorePosition::new(0, version);
///     let position = ListedPosition { at, restored: false };
///     DomainWord { domain: "konya-a".into(), emptied, position }
/// };
/// let mut domains = EmptiedDomains::default();
/// assert!(domains.on_word(word(7, true)));
/// assert!(!domains.on_word(word(5, false)));
/// assert!(domains.is_emptied("konya-a"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EmptiedDomains {
    words: BTreeMap<DomainId, DomainWord>,
    /// The words that a restore may have lost: the position of the read that lacked each, and when it
    /// counts as taken back.
    lost: BTreeMap<DomainId, (StorePosition, Duration)>,
}

impl EmptiedDomains {
    /// Returns whether a domain's endpoints get nothing.
    pub fn is_emptied(&self, domain: &str) -> bool {
        self.words.get(domain).is_some_and(|word| word.emptied)
    }

    /// Returns the emptied domains.
    pub fn emptied(&self) -> impl Iterator<Item = &DomainId> {
        self.words.values().filter(|word| word.emptied).map(|word| &word.domain)
    }

    /// Returns all words, for another VM.
    pub fn words(&self) -> impl Iterator<Item = &DomainWord> {
        self.words.values()
    }

    /// Returns a number that is equal for VMs with equal words; 0 without words.
    pub fn fingerprint(&self) -> u64 {
        let word = |word: &DomainWord| {
            let ListedPosition { at, restored } = word.position;
            hash_of(&(&word.domain, word.emptied, at, restored))
        };
        self.words.values().map(word).fold(0, u64::wrapping_add)
    }

    /// Takes in a word; returns whether the domain is emptied or taken back by it.
    pub fn on_word(&mut self, word: DomainWord) -> bool {
        let known = self.words.get(&word.domain);
        if known.is_some_and(|known| !word.replaces(known)) {
            return false;
        }
        let changes = known.is_some_and(|known| known.emptied) != word.emptied;
        self.words.insert(word.domain.clone(), word);
        self.prune();
        changes
    }

    /// Takes in all rows of the store at a position; returns whether the set of emptied domains changes.
    ///
    /// `era_start` is the lowest position that the store has shown in its era; rows up to there may be of
    /// the copy from which it was restored. A domain without a row is taken back, at once or, if the
    /// copy may lack the row, after [`LOST_WORD_TERM`].
    pub fn on_whole(
        &mut self,
        shown: Vec<(DomainId, StorePosition)>,
        read: StorePosition,
        era_start: StorePosition,
        now: Duration,
    ) -> bool {
        let mut changed = false;
        let missing: Vec<DomainWord> = self
            .words
            .values()
            .filter(|word| word.emptied && word.position.at <= read)
            .filter(|word| shown.iter().all(|(domain, _)| *domain != word.domain))
            .cloned()
            .collect();
        for word in missing {
            if word.position.at.era < read.era {
                self.lost.entry(word.domain).or_insert((read, now + LOST_WORD_TERM));
            } else {
                changed |= self.take_back(word.domain, read);
            }
        }
        let era_start = era_start.min(read);
        for (domain, at) in shown {
            let restored = at.era > 0 && at <= era_start;
            let position = ListedPosition { at, restored };
            changed |= self.on_word(DomainWord { domain, emptied: true, position });
        }
        changed
    }

    /// Takes back the domains whose lost words were not written again; returns whether there are any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let due = self.lost.iter().filter(|(_, (_, until))| *until <= now);
        let due: Vec<_> = due.map(|(domain, (read, _))| (domain.clone(), *read)).collect();
        let mut changed = false;
        for (domain, read) in due {
            self.lost.remove(&domain);
            let is_lost = self.words.get(&domain).is_some_and(|word| word.position.at < read);
            changed |= is_lost && self.take_back(domain, read);
        }
        changed
    }

    fn take_back(&mut self, domain: DomainId, at: StorePosition) -> bool {
        let position = ListedPosition { at, restored: false };
        self.on_word(DomainWord { domain, emptied: false, position })
    }

    /// Forgets the oldest words on domains that are not emptied, beyond [`MAX_ENDED_WORDS`].
    fn prune(&mut self) {
        let ended = || self.words.values().filter(|word| !word.emptied);
        if ended().count() > MAX_ENDED_WORDS {
            let oldest =
                ended().min_by_key(|word| word.position.at).map(|word| word.domain.clone());
            self.words.retain(|domain, _| Some(domain) != oldest.as_ref());
        }
    }
}
