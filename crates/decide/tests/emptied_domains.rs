//! The operator's words on failure domains: late, twice, out of order, and after a store that came
//! back older.

use std::time::Duration;

use bamboocourse_decide::{
    DomainWord, EmptiedDomains, LOST_WORD_TERM, ListedPosition, StorePosition,
};

fn word(domain: &str, era: u64, version: u64, emptied: bool) -> DomainWord {
    let position = ListedPosition { at: StorePosition::new(era, version), restored: false };
    DomainWord { domain: domain.into(), emptied, position }
}

fn at(era: u64, version: u64) -> StorePosition {
    StorePosition::new(era, version)
}

fn names(domains: &EmptiedDomains) -> Vec<String> {
    domains.emptied().map(ToString::to_string).collect()
}

/// Defines a test of words in all orders: each VM ends with the same domains and fingerprint.
macro_rules! in_any_order {
    ($name:ident, [$($word:expr),*], $expected:expr) => {
        #[test]
        fn $name() {
            let words: Vec<DomainWord> = vec![$($word),*];
            let mut fingerprints = Vec::new();
            for seed in 0..200_u64 {
                let mut order: Vec<usize> = (0..words.len()).collect();
                order.sort_by_key(|index| bamboocourse_decide::hash_of(&(seed, *index)));
                let mut domains = EmptiedDomains::default();
                // Each is heard twice.
                for index in order.iter().chain(order.iter().rev()) {
                    domains.on_word(words[*index].clone());
                }
                assert_eq!(names(&domains), $expected as Vec<String>, "{order:?}");
                fingerprints.push(domains.fingerprint());
            }
            fingerprints.dedup();
            assert_eq!(fingerprints.len(), 1);
        }
    };
}

in_any_order!(
    emptied_twice_in_a_row,
    [word("a", 0, 5, true), word("a", 0, 8, false), word("a", 0, 9, true)],
    vec!["a".to_owned()]
);
in_any_order!(taken_back_while_it_spreads, [word("a", 0, 5, true), word("a", 0, 6, false)], vec![]);
in_any_order!(
    overlapping,
    [word("a", 0, 5, true), word("b", 0, 6, true), word("a", 0, 7, false)],
    vec!["b".to_owned()]
);
in_any_order!(
    word_of_a_new_era_under_a_lower_version,
    [word("a", 0, 900, true), word("a", 1, 850, false)],
    vec![]
);
in_any_order!(
    word_of_the_copy_is_older_than_a_lost_removal,
    [
        word("a", 0, 900, false),
        DomainWord {
            position: ListedPosition { at: at(1, 850), restored: true },
            ..word("a", 0, 0, true)
        }
    ],
    vec![]
);

#[test]
fn domain_without_a_row_in_the_same_era_is_taken_back() {
    let mut domains = EmptiedDomains::default();
    domains.on_word(word("a", 1, 5, true));
    domains.on_word(word("b", 1, 9, true));
    // `b` was heard of from another VM after the read.
    assert!(domains.on_whole(Vec::new(), at(1, 7), at(1, 1), Duration::ZERO));
    assert_eq!(names(&domains), ["b"]);
}

#[test]
fn word_that_a_restore_lost_holds_until_it_is_written_again() {
    let mut domains = EmptiedDomains::default();
    domains.on_word(word("a", 0, 50, true));
    assert!(!domains.on_whole(Vec::new(), at(1, 40), at(1, 40), Duration::ZERO));
    assert_eq!(names(&domains), ["a"]);
    assert!(!domains.on_word(word("a", 1, 41, true)));
    assert!(!domains.expire(LOST_WORD_TERM));
    assert_eq!(names(&domains), ["a"]);
}

#[test]
fn word_that_is_not_written_again_after_a_restore_ends() {
    let mut domains = EmptiedDomains::default();
    domains.on_word(word("a", 0, 50, true));
    domains.on_whole(Vec::new(), at(1, 40), at(1, 40), Duration::ZERO);
    // A second read does not lengthen it.
    domains.on_whole(Vec::new(), at(1, 60), at(1, 40), LOST_WORD_TERM / 2);
    assert!(!domains.expire(LOST_WORD_TERM - Duration::from_millis(1)));
    assert!(domains.expire(LOST_WORD_TERM));
    assert!(names(&domains).is_empty());
    // A VM that still has the lost word does not bring it back.
    assert!(!domains.on_word(word("a", 0, 50, true)));
}

#[test]
fn row_of_the_copy_does_not_undo_a_lost_removal() {
    let mut domains = EmptiedDomains::default();
    domains.on_word(word("a", 0, 30, true));
    domains.on_word(word("a", 0, 50, false));
    assert!(!domains.on_whole(vec![("a".into(), at(1, 30))], at(1, 40), at(1, 40), Duration::ZERO));
    assert!(names(&domains).is_empty());
    // A VM that starts knows the copy only, and hears of the removal.
    let mut started = EmptiedDomains::default();
    started.on_whole(vec![("a".into(), at(1, 30))], at(1, 40), at(1, 40), Duration::ZERO);
    assert_eq!(names(&started), ["a"]);
    assert!(started.on_word(word("a", 0, 50, false)));
    assert_eq!(started.fingerprint(), domains.fingerprint());
}

#[test]
fn words_are_bounded() {
    let mut domains = EmptiedDomains::default();
    domains.on_word(word("kept", 0, 1, true));
    for version in 2..1_000 {
        domains.on_word(word(&format!("d{version}"), 0, version, true));
        domains.on_word(word(&format!("d{version}"), 0, version, false));
        domains.on_word(word(&format!("d{version}"), 1, version, false));
    }
    assert!(domains.words().count() <= 65);
    assert_eq!(names(&domains), ["kept"]);
}
