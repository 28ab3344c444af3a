//! Merges a publisher's files with the platform's current configuration.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::version::check::{ConfigError, SourceFile, check_files, content_hash};
use crate::version::config::Config;

/// The content hashes of service files by file name.
pub type FileHashes = BTreeMap<SmolStr, SmolStr>;

/// Why a publication is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conflict {
    /// Another operator changed the same files since the publisher's base.
    SameFiles(Vec<SmolStr>),
    /// The merged files have errors.
    Errors(Vec<ConfigError>),
}

/// Merges a publisher's files with those of the current head.
///
/// `base` holds the hashes of the files that the publisher started from. Files that only others
/// changed since then are taken from `head`; a file that both changed is a conflict. Without a
/// base, the publisher's files replace all files of the head.
///
/// # Errors
/// Returns [`Conflict`] if both changed the same files, or if the merged files have errors.
///
/// ```
/// use bamboocourse_decide::{rebase, Config};
/// assert!(rebase(&[], None, &Config::default()).is_ok());
/// ```
pub fn rebase(
    files: &[SourceFile],
    base: Option<&FileHashes>,
    head: &Config,
) -> Result<Config, Conflict> {
    let Some(base) = base else {
        return check_files(files).map_err(Conflict::Errors);
    };
    let hashes: FileHashes =
        files.iter().map(|file| (file.name.clone(), content_hash(file.text.as_bytes()))).collect();
    let mut merged: BTreeMap<SmolStr, String> = head.sources.clone();
    let mut conflicts = Vec::new();
    for name in hashes.keys().chain(base.keys()) {
        let (ours, original, theirs) = (hashes.get(name), base.get(name), head.files.get(name));
        if ours == original {
            continue;
        }
        if theirs != original && theirs != ours {
            conflicts.push(name.clone());
            continue;
        }
        match files.iter().find(|file| file.name == *name) {
            Some(file) => merged.insert(name.clone(), file.text.clone()),
            None => merged.remove(name),
        };
    }
    if !conflicts.is_empty() {
        conflicts.sort();
        conflicts.dedup();
        return Err(Conflict::SameFiles(conflicts));
    }
    let merged_files: Vec<SourceFile> =
        merged.into_iter().map(|(name, text)| SourceFile { name, text }).collect();
    check_files(&merged_files).map_err(Conflict::Errors)
}
